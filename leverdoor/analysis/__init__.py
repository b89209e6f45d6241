# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What logs tell afterwards."""
