# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Links from this entry to targets, directly or through a peer."""
