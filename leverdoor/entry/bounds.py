# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which part of the platform's bounds an entry plans with; the rest is for chance."""

__all__ = [
    "MOVED_SHARE",
    "RETRIES_FIRST",
    "RETRIES_SAVED",
    "RETRY_SHARE",
    "SHARE_ROUNDS",
    "SHIFT_WINDOW_S",
    "WARM_TOLD_S",
]

RETRY_SHARE = 0.5
"""Part of the bound on repeats that is planned with.

The rest is for entries that start with saved repeats and for calls of repeated
requests. 0.75 made no difference to worth (0.787 beside 0.789, 12 entries).
"""
RETRIES_SAVED = 4.0
"""Repeats saved up by an entry for a service at most; 48 of a slack of 64 at 12."""
RETRIES_FIRST = 2.0
"""Repeats that an entry starts with, for a service; chosen."""
SHIFT_WINDOW_S = 2.0
"""Window of the bound on shifts, in seconds; the setting speaks of two seconds."""
MOVED_SHARE = 0.53
"""Part of the bound on shifts that is planned with; the rest is for chance."""
SHARE_ROUNDS = 2
"""Rounds of heartbeats between two moves of the regions' shares: 0.4 s. Chosen."""
WARM_TOLD_S = 0.5
"""How long heartbeats tell a warm key: two or three of them, one may be lost."""
