# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Sums of the use of workspaces, and what silent entries may still take of quotas.

Counts of requests in flight are dropped when an entry falls silent. Usage is not: a
silent entry may be cut off and still serve, and the use of a former incarnation
counts until the window of quotas has passed.

Owns the newest reports by entry, failure domain and region, lost with the process.
Relies on the caller for the time.
"""

import math
from collections import deque
from collections.abc import Mapping

import msgspec

from leverdoor.entry.exchange.usage_encoding import Usage, sum_usage
from leverdoor.workspaces.allowance import EVEN_PART
from leverdoor.workspaces.isolation import HOLD_S, stretch

__all__ = ["FRESH_S", "UsageReport", "UsageMerger", "UsageSums"]

FRESH_S = 0.7
"""Age up to which the report of an entry or failure domain is summed as it is, in s.

Three rounds of heartbeats or digests. Shorter, lost datagrams make entries reserve for
live ones, which costs some room of the quota; longer, a cut-off entry and the others
use the same room.
"""
FAR_FRESH_S = 1.2
"""The same for another region, whose digests are up to 0.79 s old (p99), in s."""
MAX_TOTALS = 16
"""Sums of all entries that are kept: two a round, for longer than `FAR_FRESH_S`."""
ENDED_USAGE_S = 5.0
"""How long the use of a former incarnation counts, in s: the window of quotas."""


class UsageReport(msgspec.Struct):
    """The use that one entry reported, or an aggregator for many."""

    at: float
    """When it came: monotonic time in seconds."""
    use: Usage
    merged_s: float = ENDED_USAGE_S
    """For how long its sender has merged the sums. Incarnations that ended before are
    missing."""
    entries: int = 1
    """How many entries it is the use of."""
    silent: int = 0
    """How many of them were silent."""
    incarnation: int = 0
    leaves: bool = False
    """Whether the entry takes no new requests."""
    previous: "UsageReport | None" = None
    """The part of an earlier report, of a sender that had merged for long, that this
    one lacks."""
    reserved: Usage | None = None
    """What its entries may take since they are silent; None while they are not."""


class UsageSums(msgspec.Struct, frozen=True):
    """The use of workspaces by the own failure domain, its region, and all."""

    domain: Usage
    region: Usage
    total: Usage
    silent: tuple[int, int, int]
    """Entries of the domain, of the region and of all that are silent: they may take
    part of each quota whatever their use was."""


class UsageMerger:
    """The use of workspaces by entry, failure domain and region."""

    def __init__(self) -> None:
        """Create it knowing nothing."""
        self.planned: Mapping[str, float] = {}
        """For each workspace with a quota, the planned requests of a window."""
        self._entries: dict[str, UsageReport] = {}
        self._ended: list[UsageReport] = []
        """The last reports of incarnations that ended."""
        self._domains: dict[str, UsageReport] = {}
        self._regions: dict[str, UsageReport] = {}
        self._totals: deque[tuple[float, Usage]] = deque(maxlen=MAX_TOTALS)
        """When sums of all entries were made, and these."""

    def record_entry(self, name: str, report: UsageReport) -> None:
        """Take the report of an entry of the own failure domain."""
        last_report = self._entries.get(name)
        if last_report is not None and last_report.incarnation != report.incarnation:
            self._ended.append(last_report)
        self._entries[name] = report

    def record_domain(self, domain: str, report: UsageReport) -> None:
        """Take the sums of another failure domain of the region."""
        _record_part(self._domains, domain, report, FRESH_S)

    def record_region(self, region: str, report: UsageReport) -> None:
        """Take the sums of another region."""
        _record_part(self._regions, region, report, FAR_FRESH_S)

    def has_report(self, name: str) -> bool:
        """Return whether an entry of the own failure domain reported its use here."""
        return name in self._entries

    def has_fresh_reports(
        self, domains: set[str], regions: set[str], now: float
    ) -> bool:
        """Return whether reports of some failure domains and regions are fresh."""
        near = _fresh(self._domains, FRESH_S, now)
        far = _fresh(self._regions, FAR_FRESH_S, now)
        return domains <= near.keys() and regions <= far.keys()

    def forget(self, now: float) -> None:
        """Drop what does not count any more."""
        self._ended = [r for r in self._ended if now - r.at <= ENDED_USAGE_S]
        self._entries = {
            name: report
            for name, report in self._entries.items()
            if now - report.at <= HOLD_S
        }

    def sums(self, own: Mapping[str, int], unreported: int, now: float) -> UsageSums:
        """Return the sums for an aggregator's digests.

        Args:
          own: the use of this entry.
          unreported: even parts that entries of the domain without a report may take.
          now: monotonic time in seconds.
        """
        ended_usage = [r.use for r in self._ended if now - r.at <= ENDED_USAGE_S]
        domain = sum_usage(
            own, *ended_usage, *self._counted_usage(self._entries, FRESH_S, now)
        )
        region = sum_usage(domain, *self._counted_usage(self._domains, FRESH_S, now))
        total = sum_usage(region, *self._counted_usage(self._regions, FAR_FRESH_S, now))
        self._totals.append((now, total))
        domain_silent = unreported + _count_silent(self._entries, FRESH_S, now)
        region_silent = domain_silent + _count_silent(self._domains, FRESH_S, now)
        total_silent = region_silent + _count_silent(self._regions, FAR_FRESH_S, now)
        silent = (domain_silent, region_silent, total_silent)
        return UsageSums(domain, region, total, silent)

    def age_s(self, now: float) -> float:
        """Return the age of the oldest report that is taken as it is, in seconds."""
        fresh = [
            *_fresh(self._entries, FRESH_S, now).values(),
            *_fresh(self._domains, FRESH_S, now).values(),
            *_fresh(self._regions, FAR_FRESH_S, now).values(),
        ]
        return max((now - report.at for report in fresh), default=0.0)

    def _counted_usage(
        self, parts: Mapping[str, UsageReport], fresh_s: float, now: float
    ) -> list[Usage]:
        current_usage = [
            self._reported_or_reserved(report, fresh_s, now)
            for report in parts.values()
        ]
        previous = [r.previous for r in parts.values() if r.previous is not None]
        return current_usage + [o.use for o in previous if now - o.at <= ENDED_USAGE_S]

    def _reported_or_reserved(
        self, report: UsageReport, fresh_s: float, now: float
    ) -> Usage:
        """Return a use as it was reported; what it may become once it is not fresh."""
        age_s = now - report.at
        if age_s <= fresh_s:
            return report.use
        if report.leaves:
            return report.use if age_s <= ENDED_USAGE_S else {}
        if age_s > HOLD_S:
            return {}
        if report.reserved is None:
            report.reserved = self._reservation(report)
        return report.reserved

    def _reservation(self, report: UsageReport) -> Usage:
        """Return what the silent entries of a report may take by their use.

        It goes by the total when the report came, as they themselves reckon while they
        receive nothing. The rest of what they may take goes by their number.
        """
        total_then = next((total for at, total in self._totals if at >= report.at), {})
        reserved_usage = {}
        for name, count in report.use.items():
            total = max(total_then.get(name, 0), count)
            factor = stretch(self.planned.get(name, 0.0), total)
            reserved_usage[name] = math.ceil((1 - EVEN_PART) * count * factor)
        return reserved_usage


def _fresh(
    reports: Mapping[str, UsageReport], fresh_s: float, now: float
) -> dict[str, UsageReport]:
    return {
        name: report for name, report in reports.items() if now - report.at <= fresh_s
    }


def _count_silent(
    reports: Mapping[str, UsageReport], fresh_s: float, now: float
) -> int:
    """Count the entries that are silent, and still may serve."""
    count = 0
    for report in reports.values():
        age_s = now - report.at
        if age_s <= fresh_s:
            count += report.silent
        elif age_s <= HOLD_S and not report.leaves:
            count += report.entries
    return count


def _subtract(report: UsageReport, use: Usage) -> UsageReport:
    """Return a report without what a later one has as well."""
    remaining = {name: count - use.get(name, 0) for name, count in report.use.items()}
    return UsageReport(
        report.at, {n: count for n, count in remaining.items() if count > 0}
    )


def _record_part(
    parts: dict[str, UsageReport], name: str, report: UsageReport, fresh_s: float
) -> None:
    """Take the sums of a part, from one of its two aggregators.

    One that has not merged for as long as requests count may lack incarnations that
    ended: after a kill of both aggregators and others, what these took would be
    forgotten. The last sums of one that had them are kept beside it for that time.
    """
    last_report = parts.get(name)
    if last_report is not None and report.merged_s < ENDED_USAGE_S:
        is_complete = last_report.merged_s >= ENDED_USAGE_S
        if is_complete and report.at - last_report.at <= fresh_s:
            return
        report.previous = (
            _subtract(last_report, report.use) if is_complete else last_report.previous
        )
    parts[name] = report
