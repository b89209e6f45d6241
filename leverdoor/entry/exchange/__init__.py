# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Exchange of heartbeats, digests, announcements and quota usage among entries."""
