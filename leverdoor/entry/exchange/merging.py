# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Sums of the requests in flight at targets, and means of the regions' shares.

An aggregator receives heartbeats from each entry of its failure domain, and for other
failure domains and regions the sums that their aggregators computed. Counts of a silent
entry expire, so that requests of a failed entry do not occupy slots.

Owns the newest heartbeats and sums, lost with the process and complete again after a
few rounds. Relies on the caller for the time and for discarding outdated digests.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import TypeAlias

import msgspec

from leverdoor.entry.exchange.messages import EntryHeartbeat, Shares
from leverdoor.entry.membership.peer_record import NEVER

__all__ = ["SUM_MAX_AGE_S", "WeightedShares", "LoadMerger", "sum_counts"]

HEARTBEAT_MAX_AGE_S = 1.0
"""Maximum age of an entry's heartbeat for its counts to be summed, in seconds.

Five heartbeats. If shorter, lost datagrams make targets appear idle, and they receive
more requests than they have slots; if longer, requests of a failed entry occupy slots.
"""
SUM_MAX_AGE_S = 2.5
"""Maximum age of the sums of another failure domain or region, in seconds.

Equal to `placement.load_estimate.PEER_LOAD_TTL_S`, the time for which a target's load
includes the counts of other entries. If shorter, a region with late digests appears
idle; if longer, finished requests occupy slots.
"""


class WeightedShares(msgspec.Struct, frozen=True):
    """The mean of the shares of entries, weighted by their number."""

    entries: int
    """Number of entries averaged."""
    shares: Shares


EMPTY_SHARES = WeightedShares(0, {})

Counts: TypeAlias = dict[str, int]
"""Requests in flight, by name of the target."""


class _PartialSums(msgspec.Struct):
    """The sums of a failure domain or region from its aggregators' digests."""

    updated_at: float = NEVER
    counts: dict[str, tuple[float, Counts]] = {}
    """By region of the targets: the time of receipt and the sums."""
    shares: WeightedShares = EMPTY_SHARES

    def record(self, counts: Mapping[str, Counts], now: float) -> None:
        """Record sums by region; sums of omitted regions stay until they expire."""
        self.updated_at = now
        self.counts |= {region: (now, sums) for region, sums in counts.items()}


class LoadMerger:
    """Merges requests in flight and shares by failure domain and region."""

    def __init__(self, domain: str) -> None:
        """Create an empty merger.

        Args:
          domain: the failure domain of this entry.
        """
        self._domain = domain
        self._heartbeats: dict[str, tuple[float, EntryHeartbeat]] = {}
        self._shares: dict[str, Shares] = {}
        """By entry of the own failure domain. Only some heartbeats carry shares."""
        self._domains: dict[str, _PartialSums] = {}
        self._regions: dict[str, _PartialSums] = {}

    def is_outdated(self, heartbeat: EntryHeartbeat) -> bool:
        """Return whether this or a later heartbeat of the incarnation arrived."""
        last = self._last_heartbeat(heartbeat.member.name)
        if last is None or last.member.incarnation != heartbeat.member.incarnation:
            return False
        return heartbeat.seq <= last.seq

    def newest_seq(self, name: str) -> int:
        """Return the number of an entry's newest heartbeat; 0 if none arrived."""
        last = self._last_heartbeat(name)
        return last.seq if last is not None else 0

    def _last_heartbeat(self, name: str) -> EntryHeartbeat | None:
        _, last = self._heartbeats.get(name, (0.0, None))
        return last

    def record_heartbeat(self, heartbeat: EntryHeartbeat, now: float) -> None:
        """Record the counts and shares of an entry."""
        name = heartbeat.member.name
        self._heartbeats[name] = (now, heartbeat)
        if heartbeat.shares:
            self._shares[name] = heartbeat.shares

    def record_domain(
        self,
        domain: str,
        counts: Mapping[str, Counts],
        shares: WeightedShares,
        now: float,
    ) -> None:
        """Record the sums of another failure domain.

        Args:
          domain: name of the failure domain.
          counts: its requests in flight by region of the targets, without unknown
            target lists.
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
        """Record the sums of another region, by region of the targets."""
        self._regions.setdefault(region, _PartialSums()).record(counts, now)

    def forget(self, now: float) -> None:
        """Remove expired heartbeats and sums.

        Heartbeats remain beyond `HEARTBEAT_MAX_AGE_S` for their sequence numbers and
        shares.
        """
        self._heartbeats = {
            name: (at, heartbeat)
            for name, (at, heartbeat) in self._heartbeats.items()
            if now - at <= SUM_MAX_AGE_S
        }
        self._shares = {n: s for n, s in self._shares.items() if n in self._heartbeats}
        self._domains = _without_expired(self._domains, now)
        self._regions = _without_expired(self._regions, now)

    # Requests in flight, by name of the target.

    def domain_counts(
        self, own_counts: Mapping[str, int], now: float
    ) -> dict[str, int]:
        """Return the requests in flight of the own failure domain.

        Args:
          own_counts: the requests of this entry.
          now: monotonic time in seconds.
        """
        return sum_counts([own_counts, *self._domain_heartbeat_counts(now)])

    def region_counts(
        self, domain_counts: Mapping[str, int], now: float
    ) -> dict[str, int]:
        """Return the region's requests in flight, from those of the failure domain."""
        return sum_counts([domain_counts, *_recent_counts(self._domains, now)])

    def all_entries_counts(
        self, region_counts: Mapping[str, int], now: float
    ) -> dict[str, int]:
        """Return the requests in flight of all entries, from those of the region."""
        return sum_counts([region_counts, *_recent_counts(self._regions, now)])

    def counts_of_others(self, now: float) -> dict[str, int]:
        """Return the requests in flight of all other entries."""
        region = self.region_counts(self.domain_counts({}, now), now)
        return self.all_entries_counts(region, now)

    def _domain_heartbeat_counts(self, now: float) -> list[dict[str, int]]:
        return [
            heartbeat.in_flight
            for at, heartbeat in self._heartbeats.values()
            if now - at <= HEARTBEAT_MAX_AGE_S
            and heartbeat.member.domain == self._domain
        ]

    # Shares.

    def domain_shares(self, own_shares: Shares) -> WeightedShares:
        """Return the mean over the entries of the own failure domain."""
        domain_entries = [WeightedShares(1, s) for s in self._shares.values()]
        return _weighted_mean([WeightedShares(1, own_shares), *domain_entries])

    def region_shares(self, own_shares: Shares) -> WeightedShares:
        """Return the mean over the entries of the own region."""
        domains = [partial.shares for partial in self._domains.values()]
        return _weighted_mean([self.domain_shares(own_shares), *domains])


def sum_counts(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Return the sums of several counts by name."""
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
    return {n: p for n, p in partials.items() if now - p.updated_at <= SUM_MAX_AGE_S}


def _recent_counts(partials: dict[str, _PartialSums], now: float) -> list[Counts]:
    return [
        counts
        for partial in partials.values()
        for at, counts in partial.counts.values()
        if now - at <= SUM_MAX_AGE_S
    ]


def _weighted_mean(partials: Iterable[WeightedShares]) -> WeightedShares:
    """Return the mean of shares, weighted by the number of entries."""
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
    return WeightedShares(entries, mean)
