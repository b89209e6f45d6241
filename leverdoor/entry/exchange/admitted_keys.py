# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Means of the fractions of keys that full regions admit, over a region's entries.

Each entry controls its own fraction (placement.key_admission) and approaches the mean
of the entries of its region. Entries that admit all keys report nothing.

Owns the reported fractions; lost with the process and complete again after two seconds.
Relies on the caller for the time and for discarding outdated digests.
"""

from collections.abc import Iterable, Mapping

import msgspec

from leverdoor.entry.exchange.merging import SUM_MAX_AGE_S
from leverdoor.entry.exchange.messages import Shares

__all__ = ["AdmittedKeyMeans"]

SENT_DIGITS = 3
"""Decimal digits of a fraction in messages."""


class _Report(msgspec.Struct, frozen=True):
    """Fractions that an entry or an aggregator reported."""

    at: float
    """Monotonic time of receipt in seconds."""
    fractions: Shares


class AdmittedKeyMeans:
    """The means of the own failure domain and region."""

    def __init__(self) -> None:
        """Create it without reports."""
        self._entries: dict[str, _Report] = {}
        self._domains: dict[str, _Report] = {}

    def record_entry(self, name: str, fractions: Shares, now: float) -> None:
        """Record the fractions of an entry of the own failure domain, if any."""
        if fractions:
            self._entries[name] = _Report(now, fractions)

    def record_domain(self, domain: str, fractions: Shares, now: float) -> None:
        """Record the mean of another failure domain of the own region, if any."""
        if fractions:
            self._domains[domain] = _Report(now, fractions)

    def domain_mean(self, own: Shares, now: float) -> Shares:
        """Return the mean of the own failure domain.

        Args:
          own: the fractions of this entry.
          now: monotonic time in seconds.
        """
        return _mean([own, *_recent(self._entries, now)])

    def region_mean(self, own: Shares, now: float) -> Shares:
        """Return the mean of the own region, in which each failure domain counts once.

        Arguments as for `domain_mean`.
        """
        return _mean([self.domain_mean(own, now), *_recent(self._domains, now)])

    def forget(self, now: float) -> None:
        """Drop expired reports."""
        self._entries = _without_expired(self._entries, now)
        self._domains = _without_expired(self._domains, now)


def _is_recent(report: _Report, now: float) -> bool:
    return now - report.at <= SUM_MAX_AGE_S


def _recent(reports: Mapping[str, _Report], now: float) -> list[Shares]:
    return [r.fractions for r in reports.values() if _is_recent(r, now)]


def _without_expired(reports: Mapping[str, _Report], now: float) -> dict[str, _Report]:
    return {name: r for name, r in reports.items() if _is_recent(r, now)}


def _mean(reports: Iterable[Shares]) -> Shares:
    """Return the mean of each fraction over the reports that contain it."""
    values: dict[tuple[str, str], list[float]] = {}
    for report in reports:
        for service, by_region in report.items():
            for region, fraction in by_region.items():
                values.setdefault((service, region), []).append(fraction)
    means: Shares = {}
    for (service, region), found in values.items():
        mean = round(sum(found) / len(found), SENT_DIGITS)
        means.setdefault(service, {})[region] = mean
    return means
