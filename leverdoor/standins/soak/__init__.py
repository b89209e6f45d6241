# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A randomized fault soak of real entry processes on one machine."""
