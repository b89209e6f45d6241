# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Computes retry delays and log details of requests that no target can take.

Owns no state; relies on the states of the targets (fleet.py).
"""

from collections.abc import Iterable

from leverdoor.entry.placement.fleet import Fleet, TargetState
from leverdoor.model.resources import Target

__all__ = [
    "describe_loads",
    "limited_retry_after_ms",
    "refused_key_retry_after_ms",
    "resting_retry_after_ms",
    "retry_after_ms",
]

MIN_RETRY_AFTER_MS = 150
"""Minimum delay before a rejected request is retried, in ms.

About a warm run of a fast service; an earlier retry finds the same requests running.
With a greater value, a caller waits while slots are free. With a smaller one, the retry
meets the same load.
"""
RETRY_AFTER_SPREAD_MS = 350
"""Range over which retries are spread, in ms.

With a greater value, some callers wait longer than the overload lasts. With a smaller
one, requests that were rejected together are retried together.
"""
REFUSED_KEY_RETRY_MS = 1000
"""Minimum delay before a request is retried whose key a full region refuses, in ms.

Other keys are admitted as the load falls, within seconds. With a greater value, a
caller waits although its key is served again. With a smaller one, the retry is refused
as well.
"""


def retry_after_ms(random_fraction: float) -> int:
    """Return the retry delay of a rejected request, in ms.

    The delay is evenly distributed between MIN_RETRY_AFTER_MS and its sum with
    RETRY_AFTER_SPREAD_MS. It does not depend on the load, which will have changed by
    then.

    Args:
      random_fraction: a random number of [0, 1).
    """
    return int(MIN_RETRY_AFTER_MS + RETRY_AFTER_SPREAD_MS * random_fraction)


def limited_retry_after_ms(room_s: float, random_fraction: float) -> int:
    """Return the retry delay of a request rejected by the limits of targets, in ms.

    The delay is between once and twice the time until room is expected, which spreads
    the retries of requests that were rejected together.

    Args:
      room_s: time until any target is expected to have room, in seconds.
      random_fraction: a random number of [0, 1).
    """
    least_ms = max(room_s * 1000, MIN_RETRY_AFTER_MS)
    return int(least_ms * (1 + random_fraction))


def refused_key_retry_after_ms(random_fraction: float) -> int:
    """Return the retry delay of a request that a full region refuses by its key, in ms.

    Args:
      random_fraction: a random number of [0, 1).
    """
    return int(REFUSED_KEY_RETRY_MS * (1 + random_fraction))


def resting_retry_after_ms(rest_s: float, urgent: bool, random_fraction: float) -> int:
    """Return the retry delay of a request rejected because all targets rest, in ms.

    Retries start when the first rest ends. Urgent requests are spread over the first
    half of `RETRY_AFTER_SPREAD_MS`, others over the second half.

    Args:
      rest_s: time until the first rest ends, in seconds.
      urgent: whether the request is urgent.
      random_fraction: a random number of [0, 1).
    """
    least_ms = max(rest_s * 1000, MIN_RETRY_AFTER_MS)
    half_ms = RETRY_AFTER_SPREAD_MS / 2
    offset_ms = 0.0 if urgent else half_ms
    return int(least_ms + offset_ms + half_ms * random_fraction)


def describe_loads(targets: Iterable[Target], fleet: Fleet, now: float) -> str:
    """Describe, for the log, the targets that could not take a request.

    The description of a target consists of its name, its estimated load over its slots,
    the time since its last load report or count arrived, "cold" if it is in its
    warm-up, "leaving", "resting" or "ejected" (also if silent) if it is unusable, and
    its limit.
    """
    descriptions = []
    for target in targets:
        state = fleet.state_of(target, now)
        cold = " cold" if state.in_warm_up(now) else ""
        unusable = "" if state.is_usable(now) else f" {_unusable_reason(state, now)}"
        age_ms = state.load_age_ms(now)
        per_s = fleet.reported_limit_per_s(target)
        limit = "" if per_s is None else f" limit {per_s:g}/s"
        load = f"{state.load(now):.1f}/{target.slots}"
        descriptions.append(
            f"{target.name} {load} ({age_ms} ms){cold}{unusable}{limit}"
        )
    return ", ".join(descriptions)


def _unusable_reason(state: TargetState, now: float) -> str:
    """Return why a target receives no requests."""
    if state.availability.leaving:
        return "leaving"
    return "resting" if state.availability.is_resting(now) else "ejected"
