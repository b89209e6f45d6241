# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Who takes part and who holds what: heartbeats, ownership."""
