# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What logs say afterwards: where requests were lost, and why."""
