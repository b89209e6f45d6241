# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which part of the platform's bounds an entry plans with, and how often it acts.

The platform bounds retries and shifts of traffic over all entries. Each entry keeps to
a part of them by itself, since it knows what the others did only some tenths of a
second later. The product and the emulator build an entry from these same values, so
they stand here and not beside the rule. Owns no state.
"""

__all__ = [
    "SHIFT_FRACTION",
    "INITIAL_RETRIES",
    "MAX_SAVED_RETRIES",
    "RETRY_FRACTION",
    "SHARE_UPDATE_ROUNDS",
    "SHIFT_WINDOW_S",
    "WARM_KEY_REPORT_S",
    "max_saved_retries",
]

RETRY_FRACTION = 0.5
"""Part of the bound on retries (the setting `repeat_ratio`) that is planned with.

The rest is for entries that start with saved retries and for calls of retried requests.
Greater: the bound is passed sooner; 0.75 made no difference to worth (0.787 beside
0.789, 12 entries). Smaller: requests fail that a second attempt would have saved.
"""
MAX_SAVED_RETRIES = 4.0
"""Retries that an entry saves up for a service at most.

Fewer where many entries share the slack of the bound (`max_saved_retries`). Greater: all
entries together may pass the bound in a burst. Smaller: a target that dies with several
requests fails most of them.
"""
SAVED_SLACK_SHARE = 0.75
"""Part of the slack of the bound on retries that all entries together save up."""
MIN_SAVED_RETRIES = 1.0
"""Retries that an entry saves up at least: with less it could make none."""
INITIAL_RETRIES = 2.0
"""Retries that an entry starts with, for a service.

Half of those saved at most, since many entries may start together. Greater: starts pass
the bound. Smaller: the first failures after a start are not retried.
"""
SHIFT_WINDOW_S = 2.0
"""Window of the bound on shifts, in seconds: the setting `max_shift` is a share of a
region's requests in two seconds."""
SHIFT_FRACTION = 0.53
"""Part of the bound on shifts that is planned with.

Agreement between entries may move half as much besides (spill.py:AGREEMENT_MOVE_PART),
0.8 in all; the rest is for chance, since keys have unequal numbers of requests.
Greater: the operator's cap may be passed. Smaller: keys leave a full region more
slowly.
"""
SHARE_UPDATE_ROUNDS = 2
"""Rounds of heartbeats between two moves of the regions' shares: 0.4 s.

No move before the effect of the last one was reported. Greater: shares move in larger
steps. Smaller: more processor time for the same rate.
"""
WARM_KEY_REPORT_S = 0.5
"""How long heartbeats carry the digest of a warm key, in seconds.

Two or three of them, one may be lost. Greater: longer heartbeats. Smaller: with one
datagram lost the key counts as cold at other entries.
"""


def max_saved_retries(slack: float, entries: int) -> float:
    """Return the retries that an entry saves up for a service.

    Each saves an even part of the slack, so that all together stay within it at any
    number of entries, in touch or not.

    Args:
      slack: retries that all entries together may make beyond a share of requests.
      entries: how many share it, this one included.
    """
    return max(
        min(SAVED_SLACK_SHARE * slack / entries, MAX_SAVED_RETRIES), MIN_SAVED_RETRIES
    )
