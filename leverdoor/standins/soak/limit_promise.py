# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whether targets of a soak got more than they named: a pure check of what was seen.

Owns no state; relies on the record alone.
"""

from collections import defaultdict
from collections.abc import Iterator

from leverdoor.standins.soak.record import NamedLimit, Record

__all__ = ["limit_breaches"]

CONTACT_S = 4.0
"""Time after a limit was first named from which on it is kept, in seconds."""
WINDOW_S = 4.0
"""Any window of this length is looked at, in seconds."""
OVERSHOOT_X = 1.5
"""Times its limit that a target may get in a window."""
SLACK = 5.0
"""Requests that it may get besides."""
FALL_S = 1.5
"""Time for which a limit that fell may still be taken for what it was, in seconds: an
answer has to name it, and all have to hear of it."""
STEP_S = 0.05
"""Step in which what a window allows is added up, in seconds."""
DISTURBED_S = 4.0
"""Time after an entry was disturbed for which its requests don't count, in seconds."""


def limit_breaches(record: Record) -> Iterator[str]:
    """Return a line for each target that got more than its limit allows.

    Requests of entries that were disturbed shortly before are left out, not those of
    others that asked them.
    """
    entry = {a.request_id: a.entry for a in record.attempts}
    named: defaultdict[str, list[NamedLimit]] = defaultdict(list)
    for limit in record.limits:
        named[limit.target].append(limit)
    for target, limits in named.items():
        times = sorted(
            r.at
            for r in record.runs
            if r.target == target
            and not record.was_disturbed(entry.get(r.request_id, ""), DISTURBED_S, r.at)
        )
        worst = max(_excesses(times, limits), default=(0.0, 0.0, 0))
        if worst[0] > 0.0:
            _, allowed, count = worst
            yield f"LIMIT {target}: {count} in a window, {allowed:.0f} allowed"


def _excesses(
    times: list[float], limits: list[NamedLimit]
) -> Iterator[tuple[float, float, int]]:
    """Return for each window what is beyond the bound, the bound, and the count."""
    first = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        allowed = _allowed(limits, at)
        if allowed is not None:
            count = last - first + 1
            yield count - allowed, allowed, count


def _allowed(limits: list[NamedLimit], until: float) -> float | None:
    """Return what the window up to a time allows; None if there is no limit in it."""
    began = until - WINDOW_S
    if any(
        limit.per_s is None for limit in _in_force(limits, began - CONTACT_S, until)
    ):
        return None
    total = 0.0
    for step in range(round(WINDOW_S / STEP_S)):
        at = began + step * STEP_S
        known = _in_force(limits, at - FALL_S, at)
        total += max(limit.per_s or 0.0 for limit in known) * STEP_S
    return OVERSHOOT_X * total + SLACK


def _in_force(limits: list[NamedLimit], since: float, until: float) -> list[NamedLimit]:
    """Return what was named at any moment of a span; at first there is no limit."""
    before = [limit for limit in limits if limit.at <= since]
    first = before[-1] if before else NamedLimit("", since, None)
    return [first, *(limit for limit in limits if since < limit.at <= until)]
