# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Sums of workspace usage, including the usage that silent entries may reach.

Counts of requests in flight expire when an entry falls silent. Usage does not: a silent
entry may be partitioned and still serve, and the usage of an ended incarnation counts
until the end of the quota window.

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
"""Maximum age at which a report counts unchanged, in seconds.

Applies to reports of entries and failure domains: three rounds of heartbeats or
digests. If shorter, lost datagrams cause reservations for live entries, which waste
part of the quota; if longer, a partitioned entry and the others use the same part of
the quota.
"""
FAR_FRESH_S = 1.2
"""The same for another region, in seconds; its digests are up to 0.79 s old (p99)."""
MAX_TOTALS = 16
"""Retained sums of all entries: two for each round, for longer than `FAR_FRESH_S`."""
ENDED_USAGE_S = 5.0
"""Time for which the usage of an ended incarnation counts, in seconds: the quota
window."""


class UsageReport(msgspec.Struct):
    """Usage reported by an entry, or by an aggregator for a group of entries."""

    at: float
    """Time of receipt: monotonic time in seconds."""
    use: Usage
    merged_s: float = ENDED_USAGE_S
    """Time for which the sender has merged the sums, in seconds. They lack incarnations
    that ended before."""
    entries: int = 1
    """Number of entries whose usage it contains."""
    silent: int = 0
    """Number of these entries that were silent."""
    incarnation: int = 0
    leaves: bool = False
    """Whether the entry accepts no new requests."""
    previous: "UsageReport | None" = None
    """Usage that only an earlier report contains, whose sender had merged for the full
    window."""
    reserved: Usage | None = None
    """Usage reserved for the entries while they are silent; None otherwise."""


class UsageSums(msgspec.Struct, frozen=True):
    """Workspace usage of the own failure domain, of its region and of all entries."""

    domain: Usage
    region: Usage
    total: Usage
    silent: tuple[int, int, int]
    """Number of silent entries in the failure domain, in the region and in total. Each
    may take a part of every quota, whatever its usage was."""


class UsageMerger:
    """Merges workspace usage by entry, failure domain and region."""

    def __init__(self) -> None:
        """Create an empty merger."""
        self.planned: Mapping[str, float] = {}
        """Planned requests of a window, by workspace with a quota."""
        self._entries: dict[str, UsageReport] = {}
        self._ended: list[UsageReport] = []
        """The last reports of ended incarnations."""
        self._domains: dict[str, UsageReport] = {}
        self._regions: dict[str, UsageReport] = {}
        self._totals: deque[tuple[float, Usage]] = deque(maxlen=MAX_TOTALS)
        """Recent sums of all entries, with the times of their computation."""

    def record_entry(self, name: str, report: UsageReport) -> None:
        """Record the report of an entry of the own failure domain."""
        last_report = self._entries.get(name)
        if last_report is not None and last_report.incarnation != report.incarnation:
            self._ended.append(last_report)
        self._entries[name] = report

    def record_domain(self, domain: str, report: UsageReport) -> None:
        """Record the sums of another failure domain of the region."""
        _record_part(self._domains, domain, report, FRESH_S)

    def record_region(self, region: str, report: UsageReport) -> None:
        """Record the sums of another region."""
        _record_part(self._regions, region, report, FAR_FRESH_S)

    def has_report(self, name: str) -> bool:
        """Return whether an entry of the own failure domain reported its usage here."""
        return name in self._entries

    def has_fresh_reports(
        self, domains: set[str], regions: set[str], now: float
    ) -> bool:
        """Return whether the reports of these failure domains and regions are fresh."""
        near = _fresh(self._domains, FRESH_S, now)
        far = _fresh(self._regions, FAR_FRESH_S, now)
        return domains <= near.keys() and regions <= far.keys()

    def forget(self, now: float) -> None:
        """Remove expired reports."""
        self._ended = [r for r in self._ended if now - r.at <= ENDED_USAGE_S]
        self._entries = {
            name: report
            for name, report in self._entries.items()
            if now - report.at <= HOLD_S
        }

    def sums(self, own: Mapping[str, int], unreported: int, now: float) -> UsageSums:
        """Return the sums for an aggregator's digests.

        Args:
          own: the usage of this entry.
          unreported: equal parts of a quota that the failure domain's entries without a
            report may take.
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
        """Return the age of the oldest report that counts unchanged, in seconds."""
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
        """Return the reported usage if it is fresh, otherwise the reserved usage."""
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
        """Return the usage to reserve for a report's silent entries by their usage.

        It is based on the total when the report arrived, like the computation of an
        entry that receives no digests. The remaining reservation depends on the number
        of silent entries.
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
    """Count the silent entries that may still serve."""
    count = 0
    for report in reports.values():
        age_s = now - report.at
        if age_s <= fresh_s:
            count += report.silent
        elif age_s <= HOLD_S and not report.leaves:
            count += report.entries
    return count


def _subtract(report: UsageReport, use: Usage) -> UsageReport:
    """Return an earlier report's usage that exceeds the usage in a later report."""
    remaining = {name: count - use.get(name, 0) for name, count in report.use.items()}
    return UsageReport(
        report.at, {n: count for n, count in remaining.items() if count > 0}
    )


def _record_part(
    parts: dict[str, UsageReport], name: str, report: UsageReport, fresh_s: float
) -> None:
    """Record sums from one of the two aggregators of a failure domain or region.

    The sums of an aggregator that has merged for less than `ENDED_USAGE_S` may lack
    ended incarnations. After a crash of both aggregators and of other entries, the
    usage of these entries would be lost. The last complete sums are therefore retained
    in addition for that time.
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
