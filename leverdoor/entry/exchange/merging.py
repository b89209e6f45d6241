# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Sums of the requests in flight at targets, and means of the regions' shares.

An aggregator has the heartbeats of its failure domain one by one, and other failure
domains and regions as the sums that their aggregators made. Counts of an entry that
falls silent are dropped after a moment, so that those of a dead one free their slots.

Owns the newest heartbeats and sums, lost with the process and complete again after a
few rounds. Relies on the caller for the time, and for keeping old digests out.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import TypeAlias

import msgspec

from leverdoor.entry.exchange.messages import EntryHeartbeat, Shares
from leverdoor.entry.membership.peer_record import NEVER

__all__ = ["SUM_MAX_AGE_S", "MeanShares", "Merger", "sum_counts"]

HEARTBEAT_MAX_AGE_S = 1.0
"""Age up to which an entry's own counts are summed, in seconds.

Five heartbeats. Shorter, lost datagrams make targets look idle, and more is sent to
them than they have slots for; longer, requests of a dead entry keep slots.
"""
SUM_MAX_AGE_S = 2.5
"""Age up to which the sums of another domain or region are used, in seconds.

As long as a count of other entries counts at a target (`PEER_TRUST_S` of the fleet).
Shorter, a region whose digests are late passes for idle; longer, requests that ended
keep slots.
"""


class MeanShares(msgspec.Struct, frozen=True):
    """The mean of some entries' shares."""

    entries: int
    """How many entries it is the mean of."""
    shares: Shares


EMPTY_SHARES = MeanShares(0, {})

Counts: TypeAlias = dict[str, int]
"""Requests at each target, by its name."""


class _PartialSums(msgspec.Struct):
    """The sums of a failure domain or region, from its aggregators' digests."""

    at: float = NEVER
    counts: dict[str, tuple[float, Counts]] = {}
    """By the targets' region: when its sums came, and these."""
    shares: MeanShares = EMPTY_SHARES

    def record(self, counts: Mapping[str, Counts], now: float) -> None:
        """Take sums by region; those of regions left out stay, and grow old."""
        self.at = now
        self.counts |= {region: (now, sums) for region, sums in counts.items()}


class Merger:
    """Requests in flight and shares by entry, failure domain and region."""

    def __init__(self, domain: str) -> None:
        """Create it knowing nothing.

        Args:
          domain: the failure domain whose heartbeats are merged here.
        """
        self._domain = domain
        self._heartbeats: dict[str, tuple[float, EntryHeartbeat]] = {}
        self._shares: dict[str, Shares] = {}
        """By entry of the own domain; only some heartbeats carry them."""
        self._domains: dict[str, _PartialSums] = {}
        self._regions: dict[str, _PartialSums] = {}

    def is_outdated(self, heartbeat: EntryHeartbeat) -> bool:
        """Return whether a later heartbeat of the same incarnation came before."""
        last = self._last(heartbeat.member.name)
        if last is None or last.member.incarnation != heartbeat.member.incarnation:
            return False
        return heartbeat.seq <= last.seq

    def seq(self, name: str) -> int:
        """Return the number of an entry's newest heartbeat; 0 if none came here."""
        last = self._last(name)
        return last.seq if last is not None else 0

    def _last(self, name: str) -> EntryHeartbeat | None:
        _, last = self._heartbeats.get(name, (0.0, None))
        return last

    def record_heartbeat(self, heartbeat: EntryHeartbeat, now: float) -> None:
        """Take the counts and shares of an entry."""
        name = heartbeat.member.name
        self._heartbeats[name] = (now, heartbeat)
        if heartbeat.shares:
            self._shares[name] = heartbeat.shares

    def record_domain(
        self,
        domain: str,
        counts: Mapping[str, Counts],
        shares: MeanShares,
        now: float,
    ) -> None:
        """Take the sums of another failure domain.

        Args:
          domain: which one.
          counts: its requests by the targets' region, without those of unknown lists.
          shares: the mean of its entries' shares; empty if the digest has none.
          now: monotonic time in seconds.
        """
        partial = self._domains.setdefault(domain, _PartialSums())
        partial.record(counts, now)
        if shares.shares:
            partial.shares = shares

    def record_region(
        self, region: str, counts: Mapping[str, Counts], now: float
    ) -> None:
        """Take the sums of another region, by the targets' region."""
        self._regions.setdefault(region, _PartialSums()).record(counts, now)

    def forget(self, now: float) -> None:
        """Drop what is too old to be used."""
        self._heartbeats = {
            name: (at, heartbeat)
            for name, (at, heartbeat) in self._heartbeats.items()
            if now - at <= SUM_MAX_AGE_S
        }
        self._shares = {n: s for n, s in self._shares.items() if n in self._heartbeats}
        self._domains = _without_expired(self._domains, now)
        self._regions = _without_expired(self._regions, now)

    # Requests at each target, by its name.

    def domain_counts(self, own: Mapping[str, int], now: float) -> dict[str, int]:
        """Return the requests of the own failure domain.

        Args:
          own: those of this entry.
          now: monotonic time in seconds.
        """
        return sum_counts([own, *self._domain_heartbeat_counts(now)])

    def region_counts(self, domain: Mapping[str, int], now: float) -> dict[str, int]:
        """Return the requests of the region, from those of the own failure domain."""
        return sum_counts([domain, *_recent_counts(self._domains, now)])

    def total_counts(self, region: Mapping[str, int], now: float) -> dict[str, int]:
        """Return the requests of all entries, from those of the own region."""
        return sum_counts([region, *_recent_counts(self._regions, now)])

    def counts_of_others(self, now: float) -> dict[str, int]:
        """Return the requests of all entries but this one."""
        region = self.region_counts(self.domain_counts({}, now), now)
        return self.total_counts(region, now)

    def _domain_heartbeat_counts(self, now: float) -> list[dict[str, int]]:
        return [
            heartbeat.in_flight
            for at, heartbeat in self._heartbeats.values()
            if now - at <= HEARTBEAT_MAX_AGE_S
            and heartbeat.member.domain == self._domain
        ]

    # Shares.

    def domain_shares(self, own: Shares) -> MeanShares:
        """Return the mean of the own failure domain's entries."""
        domain_entries = [MeanShares(1, s) for s in self._shares.values()]
        return _weighted_mean([MeanShares(1, own), *domain_entries])

    def region_shares(self, own: Shares) -> MeanShares:
        """Return the mean of the own region's entries."""
        domains = [partial.shares for partial in self._domains.values()]
        return _weighted_mean([self.domain_shares(own), *domains])


def sum_counts(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Return the sums of several counts."""
    total: dict[str, int] = {}
    for summand in counts:
        if not total:
            total = dict(summand)
            continue
        for name, count in summand.items():
            total[name] = total.get(name, 0) + count
    return total


def _without_expired(
    partials: dict[str, _PartialSums], now: float
) -> dict[str, _PartialSums]:
    return {n: p for n, p in partials.items() if now - p.at <= SUM_MAX_AGE_S}


def _recent_counts(partials: dict[str, _PartialSums], now: float) -> list[Counts]:
    return [
        counts
        for partial in partials.values()
        for at, counts in partial.counts.values()
        if now - at <= SUM_MAX_AGE_S
    ]


def _weighted_mean(partials: Iterable[MeanShares]) -> MeanShares:
    """Return the mean of shares, each weighted by its number of entries."""
    entries = 0
    sums: dict[str, dict[str, float]] = {}
    weights: Counter[str] = Counter()
    for partial in partials:
        entries += partial.entries
        for service, by_region in partial.shares.items():
            weights[service] += partial.entries
            service_sums = sums.setdefault(service, {})
            for region, share in by_region.items():
                service_sums[region] = (
                    service_sums.get(region, 0.0) + partial.entries * share
                )
    mean = {
        service: {r: round(v / weights[service], 4) for r, v in by_region.items()}
        for service, by_region in sums.items()
    }
    return MeanShares(entries, mean)
