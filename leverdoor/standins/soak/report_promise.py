# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whether entries heeded what targets said of themselves in answers: a pure check.

A target that said to an entry that it leaves gets nothing of that entry's from the
bound on leaving on; one that asked an entry for rest gets two requests of it at most
until the rest is over, but for those on their way. Owns no state; relies on what
targets saw, and on the callers for which entry each request was sent to.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec

from leverdoor.standins.upstreams import UpstreamArrival

__all__ = ["EntryArrival", "arrivals_by_entry", "report_breaches"]

LEAVE_S = 2.5
"""Bound on leaving, in seconds."""
UNDER_WAY_S = 0.5
"""Time after it asked for rest in which requests on their way still arrive, in s."""
MOST_IN_REST = 2
"""Requests of one entry that may arrive in the remaining time of a rest."""


class EntryArrival(msgspec.Struct, frozen=True):
    """A request of one entry that reached a target."""

    entry: str
    sent_at: float
    """When its caller sent it, in seconds of the loop's clock."""
    arrival: UpstreamArrival


Excused = Callable[[str, float, float], bool]
"""Whether an entry was restarted, frozen or cut off between two times."""


def arrivals_by_entry(
    arrivals: Iterable[UpstreamArrival], senders: Mapping[str, tuple[str, float]]
) -> list[EntryArrival]:
    """Return arrivals with their entries, in the order in which they came.

    Args:
      arrivals: as a target saw them.
      senders: by request id, the entry that a caller sent it to, and when.
    """
    found = [
        EntryArrival(*senders[a.request_id], a)
        for a in arrivals
        if a.request_id in senders
    ]
    return sorted(found, key=lambda one: one.arrival.at)


def report_breaches(
    target: str, arrivals: Iterable[EntryArrival], excused: Excused
) -> Iterator[str]:
    """Yield a line for each entry that did not heed a target, and what it sent.

    Args:
      target: its name.
      arrivals: what reached it, in order.
      excused: whether an entry need not know any more what it was told.
    """
    by_entry: defaultdict[str, list[EntryArrival]] = defaultdict(list)
    for one in arrivals:
        by_entry[one.entry].append(one)
    for entry, own in by_entry.items():
        yield from _after_leaving(target, entry, own, excused)
        yield from _during_rests(target, entry, own, excused)


def _after_leaving(
    target: str, entry: str, arrivals: list[EntryArrival], excused: Excused
) -> Iterator[str]:
    """Yield a line if a target got requests after it had said that it leaves."""
    told = [one.arrival.answered_at for one in arrivals if one.arrival.leaving]
    if not told:
        return
    told_at = min(told)
    late = [
        one.arrival.at - told_at
        for one in arrivals
        if one.sent_at > told_at + LEAVE_S
        and not excused(entry, told_at, one.arrival.at)
    ]
    if late:
        yield (
            f"DRAIN {target}: {len(late)} requests of {entry},"
            f" the last {max(late):.1f} s after it said that it leaves"
        )


def _during_rests(
    target: str, entry: str, arrivals: list[EntryArrival], excused: Excused
) -> Iterator[str]:
    """Yield a line if a target got too many requests while it wanted rest."""
    broken = 0
    most = 0
    for one in arrivals:
        told_at, rest_s = one.arrival.answered_at, one.arrival.rest_s
        until = told_at + rest_s
        count = sum(
            told_at + UNDER_WAY_S < other.arrival.at < until for other in arrivals
        )
        if rest_s and count > MOST_IN_REST and not excused(entry, told_at, until):
            broken += 1
            most = max(most, count)
    if broken:
        yield (
            f"BUDGET {target}: {broken} rests broken by {entry},"
            f" up to {most} requests in one"
        )
