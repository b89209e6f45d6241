# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Sums of workspace usage, with reservations for silent entries.

Counts of requests in flight expire when an entry falls silent. Usage does not: a silent
entry may be partitioned and still serve, and the usage of an ended incarnation counts
until the end of the quota window.

Owns the newest reports by entry, failure domain and region, lost with the process.
Relies on the caller for the time.
"""

import math
from collections import deque
from collections.abc import Collection, Mapping
from enum import Enum, auto
from typing import NamedTuple

import msgspec

from leverdoor.entry.exchange.usage_encoding import Usage, sum_usage
from leverdoor.workspaces.allowance import EVENLY_DIVIDED_FRACTION
from leverdoor.workspaces.isolation import RESERVATION_S, isolated_use_factor

__all__ = [
    "FRESH_S",
    "RegisteredGroups",
    "UnreportedParts",
    "UsageMerger",
    "UsageReport",
    "UsageSums",
]

FRESH_S = 0.7
"""Maximum age of a fresh report, in seconds; later, a reservation replaces its usage.

Applies to reports of entries and failure domains: three rounds of heartbeats or
digests. If shorter, lost datagrams cause reservations for live entries, which waste
part of the quota; if longer, a partitioned entry and the others use the same part of
the quota.
"""
FAR_FRESH_S = 1.2
"""Maximum age of a fresh report of another region, in seconds.

Digests of other regions are up to 0.79 s old (p99). The consequences of other values
are those for `FRESH_S`.
"""
MAX_TOTALS = 16
"""Maximum number of retained sums of all entries.

`compute_sums` adds two in each round, so that they cover more than `FAR_FRESH_S`.
"""
ENDED_USAGE_S = 5.0
"""Time for which the usage of an ended incarnation counts, in seconds: the quota
window."""


class UsageReport(msgspec.Struct):
    """Usage reported by an entry, or by an aggregator for a group of entries."""

    at: float
    """Time of receipt: monotonic time in seconds."""
    use: Usage
    merged_s: float = ENDED_USAGE_S
    """Time for which the sender has merged reports, in seconds. The sums lack the usage
    of incarnations that ended before that time."""
    entries: int = 1
    """Number of entries whose usage it contains."""
    silent: int = 0
    """Number of these entries that were silent."""
    incarnation: int = 0
    is_leaving: bool = False
    """Whether the entry is in the state LEAVING."""
    previous: "UsageReport | None" = None
    """Remainder of the last complete report above this one; None if there is none."""
    reserved: Usage | None = None
    """Cached reservation; None until it is first computed."""


class RegisteredGroups(NamedTuple):
    """Names of what the store has registrations of; see `UsageMerger.registered`."""

    entries: Collection[str] = frozenset()
    """Entries of the own failure domain."""
    domains: Collection[str] = frozenset()
    """Other failure domains of the region with at least one registered entry."""
    regions: Collection[str] = frozenset()
    """Other regions with at least one registered entry."""


class UnreportedParts(NamedTuple):
    """Equal parts of each quota to reserve for silent entries without a report."""

    domain: int = 0
    """Parts for entries of the own failure domain."""
    region: int = 0
    """Parts for the other failure domains of the region."""
    other_regions: int = 0
    """Parts for the other regions."""


class UsageSums(msgspec.Struct, frozen=True):
    """Workspace usage of the own failure domain, of its region and of all entries."""

    domain: Usage
    region: Usage
    total: Usage
    silent: tuple[int, int, int]
    """Number of silent entries in the failure domain, in the region and in total. For
    each, an equal part of every quota is reserved, independent of its usage."""


class UsageMerger:
    """Merges workspace usage by entry, failure domain and region."""

    def __init__(self) -> None:
        """Create an empty merger."""
        self.planned: Mapping[str, float] = {}
        """By workspace: requests of a window up to which all entries together admit."""
        self.registered = RegisteredGroups()
        """What is registered in the store. Its reservations do not expire: both sides
        of a partition may last, and keep their parts of each quota."""
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
        _record_group_report(self._domains, domain, report, FRESH_S)

    def record_region(self, region: str, report: UsageReport) -> None:
        """Record the sums of another region."""
        _record_group_report(self._regions, region, report, FAR_FRESH_S)

    def has_report(self, name: str) -> bool:
        """Return whether an entry of the own failure domain reported its usage here."""
        return name in self._entries

    @property
    def reported_domains(self) -> Collection[str]:
        """Return the other failure domains of the region that reported here."""
        return self._domains.keys()

    @property
    def reported_regions(self) -> Collection[str]:
        """Return the other regions that reported here."""
        return self._regions.keys()

    def has_fresh_report(self, now: float) -> bool:
        """Return whether any report is fresh."""
        return bool(self._fresh_reports(now))

    def has_fresh_reports(
        self, domains: set[str], regions: set[str], now: float
    ) -> bool:
        """Return whether the reports of these failure domains and regions are fresh."""
        near = _fresh_reports(self._domains, FRESH_S, now)
        far = _fresh_reports(self._regions, FAR_FRESH_S, now)
        return domains <= near.keys() and regions <= far.keys()

    def forget(self, now: float) -> None:
        """Remove expired reports."""
        self._ended = [r for r in self._ended if now - r.at <= ENDED_USAGE_S]
        self._entries = {
            name: report
            for name, report in self._entries.items()
            if now - report.at <= RESERVATION_S or name in self.registered.entries
        }

    def compute_sums(
        self, own: Mapping[str, int], unreported: UnreportedParts, now: float
    ) -> UsageSums:
        """Compute the sums by scope, and retain the total for later reservations.

        Args:
          own: the usage of this entry.
          unreported: what to reserve for silent entries without a report.
          now: monotonic time in seconds.
        """
        ended_usage = [r.use for r in self._ended if now - r.at <= ENDED_USAGE_S]
        entries, domains, regions = self._scopes()
        domain = sum_usage(own, *ended_usage, *self._counted_usage(entries, now))
        region = sum_usage(domain, *self._counted_usage(domains, now))
        total = sum_usage(region, *self._counted_usage(regions, now))
        self._totals.append((now, total))
        domain_silent = _count_silent(entries, now) + unreported.domain
        region_silent = domain_silent + unreported.region
        region_silent += _count_silent(domains, now)
        total_silent = region_silent + unreported.other_regions
        total_silent += _count_silent(regions, now)
        silent = (domain_silent, region_silent, total_silent)
        return UsageSums(domain, region, total, silent)

    def _scopes(self) -> "tuple[_Scope, _Scope, _Scope]":
        """Return the reports of entries, of failure domains and of regions."""
        registered = self.registered
        return (
            _Scope(self._entries, FRESH_S, registered.entries),
            _Scope(self._domains, FRESH_S, registered.domains),
            _Scope(self._regions, FAR_FRESH_S, registered.regions),
        )

    def age_s(self, now: float) -> float:
        """Return the age of the oldest fresh report, in seconds."""
        fresh = self._fresh_reports(now)
        return max((now - report.at for report in fresh), default=0.0)

    def _fresh_reports(self, now: float) -> list[UsageReport]:
        return [
            report
            for scope in self._scopes()
            for report in scope.reports.values()
            if now - report.at <= scope.fresh_s
        ]

    def _counted_usage(self, scope: "_Scope", now: float) -> list[Usage]:
        current_usage = [
            self._reported_or_reserved(report, scope.state(name, now), now)
            for name, report in scope.reports.items()
        ]
        previous = [
            r.previous for r in scope.reports.values() if r.previous is not None
        ]
        return current_usage + [o.use for o in previous if now - o.at <= ENDED_USAGE_S]

    def _reported_or_reserved(
        self, report: UsageReport, state: "_ReportState", now: float
    ) -> Usage:
        """Return the reported usage if it counts, otherwise the reserved usage.

        What was reported counts until it has left the window, if it is more than the
        silent entries may reach.
        """
        if state is _ReportState.COUNTED:
            return report.use
        if state is _ReportState.EXPIRED:
            return {}
        if report.reserved is None:
            report.reserved = self._reservation(report)
        if now - report.at > ENDED_USAGE_S:
            return report.reserved
        return {n: max(c, report.use[n]) for n, c in report.reserved.items()}

    def _reservation(self, report: UsageReport) -> Usage:
        """Return the usage that the silent entries of a report may reach.

        An entry without digests extrapolates its usage from the last total that it
        knows (see `isolated_use_factor`); this does the same with the total at the time
        of the report. `UsageSums.silent` covers the reservation that is independent of
        usage.
        """
        total_then = next((total for at, total in self._totals if at >= report.at), {})
        reserved_usage = {}
        for name, count in report.use.items():
            total = max(total_then.get(name, 0), count)
            factor = isolated_use_factor(self.planned.get(name, 0.0), total)
            reserved_usage[name] = math.ceil(
                (1 - EVENLY_DIVIDED_FRACTION) * count * factor
            )
        return reserved_usage


def _fresh_reports(
    reports: Mapping[str, UsageReport], fresh_s: float, now: float
) -> dict[str, UsageReport]:
    return {
        name: report for name, report in reports.items() if now - report.at <= fresh_s
    }


class _ReportState(Enum):
    COUNTED = auto()
    """The usage counts as reported."""
    RESERVED = auto()
    """The senders are silent and may still serve."""
    EXPIRED = auto()


class _Scope(NamedTuple):
    """The newest reports of entries, failure domains or regions, by name."""

    reports: Mapping[str, UsageReport]
    fresh_s: float
    registered: Collection[str]

    def state(self, name: str, now: float) -> _ReportState:
        """Return how a report counts."""
        report = self.reports[name]
        age_s = now - report.at
        if age_s <= self.fresh_s:
            return _ReportState.COUNTED
        if report.is_leaving:
            has_ended = age_s > ENDED_USAGE_S
            return _ReportState.EXPIRED if has_ended else _ReportState.COUNTED
        if age_s <= RESERVATION_S or name in self.registered:
            return _ReportState.RESERVED
        return _ReportState.EXPIRED


def _count_silent(scope: _Scope, now: float) -> int:
    """Count the silent entries that may still serve."""
    count = 0
    for name, report in scope.reports.items():
        if now - report.at <= scope.fresh_s:
            count += report.silent
        elif scope.state(name, now) is _ReportState.RESERVED:
            count += report.entries
    return count


def _remainder(report: UsageReport, use: Usage) -> UsageReport:
    """Return an earlier report's usage that exceeds the usage in a later report."""
    remaining = {name: count - use.get(name, 0) for name, count in report.use.items()}
    return UsageReport(
        report.at, {n: count for n, count in remaining.items() if count > 0}
    )


def _record_group_report(
    reports_by_name: dict[str, UsageReport],
    name: str,
    report: UsageReport,
    fresh_s: float,
) -> None:
    """Record sums from one of the two aggregators of a failure domain or region.

    A report is incomplete if its sender has merged for less than `ENDED_USAGE_S`, since
    it may lack ended incarnations. It is ignored while the last complete report is
    fresh. Later it replaces the complete report, whose remainder is retained for
    `ENDED_USAGE_S`. Otherwise, a crash of both aggregators together with other entries
    would lose the usage of the other entries.
    """
    last_report = reports_by_name.get(name)
    if last_report is not None and report.merged_s < ENDED_USAGE_S:
        is_complete = last_report.merged_s >= ENDED_USAGE_S
        if is_complete and report.at - last_report.at <= fresh_s:
            return
        report.previous = (
            _remainder(last_report, report.use) if is_complete else last_report.previous
        )
    reports_by_name[name] = report
