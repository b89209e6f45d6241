# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Safety margins below the platform's bounds on retries and traffic shifts.

The platform bounds the retries and shifts of all entries together. Each entry limits
itself to a fraction of a bound because reports of other entries arrive some tenths of a
second late. The product and the emulator share these values, so they are defined here
and not in the modules that apply them. Owns no state.
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
"""Fraction of the retry ratio (the setting `repeat_ratio`) that the retry budget uses.

The rest covers the initial retries of starting entries and calls of retried requests. A
greater value exceeds the bound sooner; 0.75 did not change worth (0.787 against 0.789,
12 entries). With a smaller value, requests fail that a second attempt would have saved.
"""
MAX_SAVED_RETRIES = 4.0
"""Maximum retries that an entry saves for a service.

`max_saved_retries` lowers it where many entries share the slack of the bound. With a
greater value, a burst of all entries may exceed the bound. With a smaller value, most
requests in flight at a crashing target are not retried.
"""
SAVED_SLACK_SHARE = 0.75
"""Fraction of the retry bound's slack that all entries together may save."""
MIN_SAVED_RETRIES = 1.0
"""Minimum capacity for saved retries; below 1 an entry could not retry at all."""
INITIAL_RETRIES = 2.0
"""Retries that an entry may make for a service right after its start.

This is half of `MAX_SAVED_RETRIES` because many entries may start together. With a
greater value, simultaneous starts exceed the bound. With a smaller value, the first
failures after a start are not retried.
"""
SHIFT_WINDOW_S = 2.0
"""Window of the shift bound, in seconds.

The setting `max_shift` is a share of a region's requests within two seconds.
"""
SHIFT_FRACTION = 0.53
"""Fraction of the shift cap that an entry's own share updates may use.

Agreement between entries may move half as much in addition
(region_shares.py:AGREEMENT_MOVE_PART), 0.8 in all. The rest absorbs the random
variation that unequal numbers of requests per key cause. With a greater value, traffic
may exceed the operator's shift cap. With a smaller value, keys leave a full region more
slowly.
"""
SHARE_UPDATE_ROUNDS = 2
"""Heartbeat rounds between two updates of the regions' shares: 0.4 s.

The effect of an update must be reported before the next one. With a greater value,
shares move in larger steps. A smaller value costs more processor time for the same rate
of shift.
"""
WARM_KEY_REPORT_S = 0.5
"""How long heartbeats carry the digest of a warm key, in seconds.

Two or three heartbeats carry it, so one may be lost. A greater value makes heartbeats
longer. With a smaller value, other entries treat the key as cold after the loss of one
datagram.
"""


def max_saved_retries(slack: float, entries: int) -> float:
    """Return the maximum retries that an entry saves for a service.

    Each entry saves an equal part of the slack, so that the total stays within it at
    any number of entries, even if they cannot exchange messages.

    Args:
      slack: retries that all entries together may make beyond a share of requests.
      entries: number of entries that share the slack, including this one.
    """
    return max(
        min(SAVED_SLACK_SHARE * slack / entries, MAX_SAVED_RETRIES), MIN_SAVED_RETRIES
    )
