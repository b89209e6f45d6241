# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What operators write and what is believed of it: resources, networks, targets."""
