# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which target serves a request: warmth, load, regions and their shares."""
