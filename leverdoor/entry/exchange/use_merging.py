# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Sums of the use of workspaces, and what silent entries may still take of quotas.

Counts of requests in flight are dropped when an entry falls silent. Use is not: a
silent entry may be cut off and still serve, and the use of a former incarnation
counts until the window of quotas has passed.

Owns the newest reports by entry, failure domain and region, lost with the process.
Relies on the caller for the time.
"""

import math
from collections import deque
from collections.abc import Mapping

import msgspec

from leverdoor.entry.exchange.use_lists import Use, summed
from leverdoor.workspaces.allowance import EVENLY_DIVIDED_FRACTION
from leverdoor.workspaces.isolation import RESERVATION_S, isolated_use_factor

__all__ = ["FRESH_S", "UseReport", "UseMerger", "UseSums"]

FRESH_S = 0.7
"""Age up to which the report of an entry or failure domain is summed as it is, in s.

Three rounds of heartbeats or digests. Shorter, lost datagrams make entries reserve for
live ones, which costs some room of the quota; longer, a cut-off entry and the others
use the same room.
"""
FAR_FRESH_S = 1.2
"""The same for another region, whose digests are up to 0.79 s old (p99), in s."""
KEPT_TOTALS = 16
"""Sums of all entries that are kept: two a round, for longer than `FAR_FRESH_S`."""
FORMER_S = 5.0
"""How long the use of a former incarnation counts, in s: the window of quotas."""


class UseReport(msgspec.Struct):
    """The use that one entry reported, or an aggregator for many."""

    at: float
    """When it came: monotonic time in seconds."""
    use: Use
    merged_s: float = FORMER_S
    """For how long its sender has merged the sums. Incarnations that ended before are
    missing."""
    entries: int = 1
    """How many entries it is the use of."""
    silent: int = 0
    """How many of them were silent."""
    incarnation: int = 0
    leaves: bool = False
    """Whether the entry takes no new requests."""
    older: "UseReport | None" = None
    """The part of an earlier report, of a sender that had merged for long, that this
    one lacks."""
    reserved: Use | None = None
    """What its entries may take since they are silent; None while they are not."""


class UseSums(msgspec.Struct, frozen=True):
    """The use of workspaces by the own failure domain, its region, and all."""

    domain: Use
    region: Use
    total: Use
    silent: tuple[int, int, int]
    """Entries of the domain, of the region and of all that are silent: they may take
    part of each quota whatever their use was."""


class UseMerger:
    """The use of workspaces by entry, failure domain and region."""

    def __init__(self) -> None:
        """Create it knowing nothing."""
        self.planned: Mapping[str, float] = {}
        """For each workspace with a quota, the planned requests of a window."""
        self._entries: dict[str, UseReport] = {}
        self._former: list[UseReport] = []
        """The last reports of incarnations that ended."""
        self._domains: dict[str, UseReport] = {}
        self._regions: dict[str, UseReport] = {}
        self._totals: deque[tuple[float, Use]] = deque(maxlen=KEPT_TOTALS)
        """When sums of all entries were made, and these."""

    def take_entry(self, name: str, report: UseReport) -> None:
        """Take the report of an entry of the own failure domain."""
        before = self._entries.get(name)
        if before is not None and before.incarnation != report.incarnation:
            self._former.append(before)
        self._entries[name] = report

    def take_domain(self, domain: str, report: UseReport) -> None:
        """Take the sums of another failure domain of the region."""
        _take_part(self._domains, domain, report, FRESH_S)

    def take_region(self, region: str, report: UseReport) -> None:
        """Take the sums of another region."""
        _take_part(self._regions, region, report, FAR_FRESH_S)

    def has_report(self, name: str) -> bool:
        """Return whether an entry of the own failure domain reported its use here."""
        return name in self._entries

    def knows(self, domains: set[str], regions: set[str], now: float) -> bool:
        """Return whether reports of some failure domains and regions are fresh."""
        near = _fresh(self._domains, FRESH_S, now)
        far = _fresh(self._regions, FAR_FRESH_S, now)
        return domains <= near.keys() and regions <= far.keys()

    def forget(self, now: float) -> None:
        """Drop what does not count any more."""
        self._former = [r for r in self._former if now - r.at <= FORMER_S]
        self._entries = {
            name: report
            for name, report in self._entries.items()
            if now - report.at <= RESERVATION_S
        }

    def sums(self, own: Mapping[str, int], unreported: int, now: float) -> UseSums:
        """Return the sums for an aggregator's digests.

        Args:
          own: the use of this entry.
          unreported: even parts that entries of the domain without a report may take.
          now: monotonic time in seconds.
        """
        former = [r.use for r in self._former if now - r.at <= FORMER_S]
        domain = summed(own, *former, *self._held(self._entries, FRESH_S, now))
        region = summed(domain, *self._held(self._domains, FRESH_S, now))
        total = summed(region, *self._held(self._regions, FAR_FRESH_S, now))
        self._totals.append((now, total))
        near = unreported + _silent(self._entries, FRESH_S, now)
        with_domains = near + _silent(self._domains, FRESH_S, now)
        with_regions = with_domains + _silent(self._regions, FAR_FRESH_S, now)
        silent = (near, with_domains, with_regions)
        return UseSums(domain, region, total, silent)

    def age_s(self, now: float) -> float:
        """Return the age of the oldest report that is taken as it is, in seconds."""
        fresh = [
            *_fresh(self._entries, FRESH_S, now).values(),
            *_fresh(self._domains, FRESH_S, now).values(),
            *_fresh(self._regions, FAR_FRESH_S, now).values(),
        ]
        return max((now - report.at for report in fresh), default=0.0)

    def _held(
        self, parts: Mapping[str, UseReport], fresh_s: float, now: float
    ) -> list[Use]:
        found = [self._use(report, fresh_s, now) for report in parts.values()]
        older = [r.older for r in parts.values() if r.older is not None]
        return found + [o.use for o in older if now - o.at <= FORMER_S]

    def _use(self, report: UseReport, fresh_s: float, now: float) -> Use:
        """Return a use as it was reported; what it may become once it is not fresh."""
        age_s = now - report.at
        if age_s <= fresh_s:
            return report.use
        if report.leaves:
            return report.use if age_s <= FORMER_S else {}
        if age_s > RESERVATION_S:
            return {}
        if report.reserved is None:
            report.reserved = self._reserve(report)
        return report.reserved

    def _reserve(self, report: UseReport) -> Use:
        """Return what the silent entries of a report may take by their use.

        It goes by the total when the report came, as they themselves reckon while they
        receive nothing. The rest of what they may take goes by their number.
        """
        then = next((total for at, total in self._totals if at >= report.at), {})
        found = {}
        for name, count in report.use.items():
            total = max(then.get(name, 0), count)
            times = isolated_use_factor(self.planned.get(name, 0.0), total)
            found[name] = math.ceil((1 - EVENLY_DIVIDED_FRACTION) * count * times)
        return found


def _fresh(
    reports: Mapping[str, UseReport], fresh_s: float, now: float
) -> dict[str, UseReport]:
    return {name: one for name, one in reports.items() if now - one.at <= fresh_s}


def _silent(reports: Mapping[str, UseReport], fresh_s: float, now: float) -> int:
    """Count the entries that are silent, and still may serve."""
    found = 0
    for one in reports.values():
        age_s = now - one.at
        if age_s <= fresh_s:
            found += one.silent
        elif age_s <= RESERVATION_S and not one.leaves:
            found += one.entries
    return found


def _without(report: UseReport, use: Use) -> UseReport:
    """Return a report without what a later one has as well."""
    rest = {name: count - use.get(name, 0) for name, count in report.use.items()}
    return UseReport(report.at, {n: count for n, count in rest.items() if count > 0})


def _take_part(
    parts: dict[str, UseReport], name: str, report: UseReport, fresh_s: float
) -> None:
    """Take the sums of a part, from one of its two aggregators.

    One that has not merged for as long as requests count may lack incarnations that
    ended: after a kill of both aggregators and others, what these took would be
    forgotten. The last sums of one that had them are kept beside it for that time.
    """
    before = parts.get(name)
    if before is not None and report.merged_s < FORMER_S:
        complete = before.merged_s >= FORMER_S
        if complete and report.at - before.at <= fresh_s:
            return
        report.older = _without(before, report.use) if complete else before.older
    parts[name] = report
