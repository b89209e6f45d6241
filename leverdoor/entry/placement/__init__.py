# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which target serves a request, or when it should come back; starts in policy.py."""
