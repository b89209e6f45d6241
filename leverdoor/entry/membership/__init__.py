# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What entries tell each other: who is there, and how they fare."""
