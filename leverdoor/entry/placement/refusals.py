# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What a caller and the log learn when no target can take a request.

Owns no state; relies on the states of the targets (fleet.py).
"""

from collections.abc import Iterable

from leverdoor.entry.placement.fleet import Fleet, TargetState
from leverdoor.model.resources import Target

__all__ = [
    "describe_loads",
    "limited_retry_after_ms",
    "resting_retry_after_ms",
    "retry_after_ms",
]

MIN_RETRY_AFTER_MS = 150
"""Least time after which a refused request should come back, in ms.

About one warm run: before that the same requests still run. Greater: a caller waits
while slots are free. Smaller: it meets the same load.
"""
RETRY_AFTER_SPREAD_MS = 350
"""Spread of that time, in ms, so that refused requests come back one by one.

Greater: some wait longer than the load lasts. Smaller: requests that were refused
together come back together.
"""


def retry_after_ms(chance: float) -> int:
    """Return when a request that placement refused should come back, in ms.

    Between MIN_RETRY_AFTER_MS and the sum of both bounds, evenly spread. It doesn't
    depend on the load, which is another by then.

    Args:
      chance: a random number of [0, 1).
    """
    return int(MIN_RETRY_AFTER_MS + RETRY_AFTER_SPREAD_MS * chance)


def limited_retry_after_ms(room_s: float, chance: float) -> int:
    """Return when a request should come back that targets' limits leave no room for.

    From the time when there should be room for it to twice that, so that those refused
    together come one by one.

    Args:
      room_s: until any target should have room, in seconds.
      chance: a random number of [0, 1).
    """
    least_ms = max(room_s * 1000, MIN_RETRY_AFTER_MS)
    return int(least_ms * (1 + chance))


def resting_retry_after_ms(rest_s: float, urgent: bool, chance: float) -> int:
    """Return when a request should come back that was refused since all targets rest.

    Spread from the end of the first rest on: urgent ones over the first half of
    `RETRY_AFTER_SPREAD_MS`, others over the second.

    Args:
      rest_s: until the first rest ends, in seconds.
      urgent: whether it goes before others.
      chance: a random number of [0, 1).
    """
    least_ms = max(rest_s * 1000, MIN_RETRY_AFTER_MS)
    half_ms = RETRY_AFTER_SPREAD_MS / 2
    first_ms = 0.0 if urgent else half_ms
    return int(least_ms + first_ms + half_ms * chance)


def describe_loads(targets: Iterable[Target], fleet: Fleet, now: float) -> str:
    """Return, for the log, the loads of targets that could not take a request.

    For each target: name, estimated load over slots, time since the last report of it
    arrived, "cold" in its warm-up, "leaving" or "resting" if it said so, "ejected" if
    it is ejected or silent, its limit.
    """
    loads = []
    for target in targets:
        state = fleet.of(target, now)
        cold = " cold" if state.in_warm_up(now) else ""
        out = "" if state.is_usable(now) else f" {_unusable_reason(state, now)}"
        age_ms = state.load_age_ms(now)
        per_s = fleet.limit_per_s(target)
        limit = "" if per_s is None else f" limit {per_s:g}/s"
        load = f"{state.load(now):.1f}/{target.slots}"
        loads.append(f"{target.name} {load} ({age_ms} ms){cold}{out}{limit}")
    return ", ".join(loads)


def _unusable_reason(state: TargetState, now: float) -> str:
    """Return why a target gets no requests."""
    if state.availability.leaving:
        return "leaving"
    return "resting" if state.availability.is_resting(now) else "ejected"
