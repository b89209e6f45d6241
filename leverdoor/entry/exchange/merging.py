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

__all__ = ["PART_TRUST_S", "MeanShares", "Merger", "merged"]

HEARTBEAT_TRUST_S = 1.0
"""Age up to which an entry's own counts are summed, in seconds.

Five heartbeats. Shorter, lost datagrams make targets look idle, and more is sent to
them than they have slots for; longer, requests of a dead entry keep slots.
"""
PART_TRUST_S = 2.5
"""Age up to which the sums of another domain or region are used, in seconds.

As long as a count of other entries counts at a target (`PEER_LOAD_TTL_S` of the fleet).
Shorter, a region whose digests are late passes for idle; longer, requests that ended
keep slots.
"""


class MeanShares(msgspec.Struct, frozen=True):
    """The mean of some entries' shares."""

    entries: int
    """How many entries it is the mean of."""
    shares: Shares


NO_SHARES = MeanShares(0, {})

Counts: TypeAlias = dict[str, int]
"""Requests at each target, by its name."""


class _Part(msgspec.Struct):
    """The sums of a failure domain or region, from its aggregators' digests."""

    at: float = NEVER
    counts: dict[str, tuple[float, Counts]] = {}
    """By the targets' region: when its sums came, and these."""
    shares: MeanShares = NO_SHARES

    def take(self, counts: Mapping[str, Counts], now: float) -> None:
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
        self._domains: dict[str, _Part] = {}
        self._regions: dict[str, _Part] = {}

    def is_old(self, heartbeat: EntryHeartbeat) -> bool:
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

    def take_heartbeat(self, heartbeat: EntryHeartbeat, now: float) -> None:
        """Take the counts and shares of an entry."""
        name = heartbeat.member.name
        self._heartbeats[name] = (now, heartbeat)
        if heartbeat.shares:
            self._shares[name] = heartbeat.shares

    def take_domain(
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
        part = self._domains.setdefault(domain, _Part())
        part.take(counts, now)
        if shares.shares:
            part.shares = shares

    def take_region(
        self, region: str, counts: Mapping[str, Counts], now: float
    ) -> None:
        """Take the sums of another region, by the targets' region."""
        self._regions.setdefault(region, _Part()).take(counts, now)

    def forget(self, now: float) -> None:
        """Drop what is too old to be used."""
        self._heartbeats = {
            name: (at, heartbeat)
            for name, (at, heartbeat) in self._heartbeats.items()
            if now - at <= PART_TRUST_S
        }
        self._shares = {n: s for n, s in self._shares.items() if n in self._heartbeats}
        self._domains = _fresh(self._domains, now)
        self._regions = _fresh(self._regions, now)

    # Requests at each target, by its name.

    def of_domain(self, own: Mapping[str, int], now: float) -> dict[str, int]:
        """Return the requests of the own failure domain.

        Args:
          own: those of this entry.
          now: monotonic time in seconds.
        """
        return merged([own, *self._of_neighbours(now)])

    def with_domains(self, domain: Mapping[str, int], now: float) -> dict[str, int]:
        """Return the requests of the region, from those of the own failure domain."""
        return merged([domain, *_counts(self._domains, now)])

    def with_regions(self, region: Mapping[str, int], now: float) -> dict[str, int]:
        """Return the requests of all entries, from those of the own region."""
        return merged([region, *_counts(self._regions, now)])

    def of_others(self, now: float) -> dict[str, int]:
        """Return the requests of all entries but this one."""
        region = self.with_domains(self.of_domain({}, now), now)
        return self.with_regions(region, now)

    def _of_neighbours(self, now: float) -> list[dict[str, int]]:
        return [
            heartbeat.in_flight
            for at, heartbeat in self._heartbeats.values()
            if now - at <= HEARTBEAT_TRUST_S and heartbeat.member.domain == self._domain
        ]

    # Shares.

    def domain_shares(self, own: Shares) -> MeanShares:
        """Return the mean of the own failure domain's entries."""
        neighbours = [MeanShares(1, s) for s in self._shares.values()]
        return _mean([MeanShares(1, own), *neighbours])

    def region_shares(self, own: Shares) -> MeanShares:
        """Return the mean of the own region's entries."""
        domains = [part.shares for part in self._domains.values()]
        return _mean([self.domain_shares(own), *domains])


def merged(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Return the sums of several counts."""
    total: dict[str, int] = {}
    for one in counts:
        if not total:
            total = dict(one)
            continue
        for name, count in one.items():
            total[name] = total.get(name, 0) + count
    return total


def _fresh(parts: dict[str, _Part], now: float) -> dict[str, _Part]:
    return {n: p for n, p in parts.items() if now - p.at <= PART_TRUST_S}


def _counts(parts: dict[str, _Part], now: float) -> list[Counts]:
    return [
        counts
        for part in parts.values()
        for at, counts in part.counts.values()
        if now - at <= PART_TRUST_S
    ]


def _mean(parts: Iterable[MeanShares]) -> MeanShares:
    """Return the mean of shares, each weighted by its number of entries."""
    entries = 0
    sums: dict[str, dict[str, float]] = {}
    weights: Counter[str] = Counter()
    for part in parts:
        entries += part.entries
        for service, by_region in part.shares.items():
            weights[service] += part.entries
            into = sums.setdefault(service, {})
            for region, share in by_region.items():
                into[region] = into.get(region, 0.0) + part.entries * share
    mean = {
        service: {r: round(v / weights[service], 4) for r, v in by_region.items()}
        for service, by_region in sums.items()
    }
    return MeanShares(entries, mean)
