# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selects the limiter of a target: the entry that grants requests to it.

Rendezvous hashing selects the limiter among the serving entries of the target's region,
or of all regions if no entry is known in that region. Entries with the same membership
view select the same limiter, and an entry that can reach the target can most likely
reach its limiter. There is no consensus: while views differ, as when an entry stops
sending heartbeats or a region is partitioned, several entries may act as limiter. Each
then grants only a share of the limit, so that the sum stays below one and a half times
the limit.

Owns only caches of its results. Relies on `Membership` for the known entries and on
`PauseDetector` for how long this entry has run without a pause.
"""

from collections.abc import Callable

import msgspec
import xxhash

from leverdoor.entry.membership.liveness import is_live
from leverdoor.entry.membership.member import LEAVING, SERVING, EntryState, Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import PeerRecord
from leverdoor.entry.pause_detector import PauseDetector
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id

__all__ = ["LimiterSelector"]

HANDOVER_S = 4.0
"""Age of the last heartbeat up to which an entry may still get grant requests, in s.

Entries of other regions consider it silent after 3.2 s, and digests may arrive late.
"""
DISCOVERY_S = 1.2
"""Time until all entries know of an entry that started or resumed, in seconds."""
HANDOVER_SHARE = 0.5
"""Share of a limit that is granted while another entry may still grant all of it.

Two limiters may overlap for up to 2.4 s. With this share, the sum of their grants in a
window of 4 s stays below 1.5 times the limit.
"""
PARTITION_SHARE_FACTOR = 1.2
"""Factor on the share of the region's entries that are live in this entry's view.

Each side of a partition grants that share of the limit. Together, the sides grant at
most this multiple of the limit.
"""
SELECTION_CACHE_S = 0.1
"""How long a selected limiter is cached, in seconds.

The cache saves processor time in regions with hundreds of entries.
"""
MAX_RANKINGS = 256
"""Greatest number of cached rankings; when it is reached, all are dropped."""


class _CachedLimiter(msgspec.Struct, frozen=True):
    """The limiter of a target, as it was selected at a time."""

    cached_at: float
    member: Member | None
    own_share: float
    """Share of the limit that this entry may grant once all entries know the entry."""


class _Ranking(msgspec.Struct, frozen=True):
    """The names of the entries that may limit a target, by descending hash weight."""

    membership_version: tuple[int, int]
    """Version of the membership and its number of entries."""
    names: list[str]


class LimiterSelector:
    """Selects limiters by this entry's view of the membership."""

    def __init__(
        self,
        membership: Membership,
        state: Callable[[], EntryState],
        pauses: PauseDetector,
    ) -> None:
        """Create a selector with empty caches.

        Args:
          membership: the known entries.
          state: returns the state of this entry.
          pauses: measures how long this entry has run without a pause.
        """
        self._membership = membership
        self.own = membership.own
        self._state = state
        self._pauses = pauses
        self._cached_limiters: dict[int, _CachedLimiter] = {}
        self._rankings: dict[int, _Ranking] = {}
        self._live_shares: dict[str, tuple[float, float]] = {}
        """By region, the time of the computation and the share of live entries."""

    def limiter(self, target: Target, now: float) -> Member | None:
        """Return the limiter of a target; None if no entry serves.

        Args:
          target: the target.
          now: monotonic time in seconds.
        """
        return self._select(target, now).member

    def own_share(self, target: Target, now: float) -> float:
        """Return the share of a target's limit that this entry may grant.

        It is 0 if another entry is the limiter.
        """
        share = self._select(target, now).own_share
        if share and self._pauses.uninterrupted_s(now) < DISCOVERY_S:
            return min(share, HANDOVER_SHARE)
        return share

    def _select(self, target: Target, now: float) -> _CachedLimiter:
        key = target_id(target.name)
        cached = self._cached_limiters.get(key)
        if cached is None or now - cached.cached_at > SELECTION_CACHE_S:
            names = self._ranking(key, target.region)
            member = self._first_serving(names, now)
            own = member is not None and member.name == self.own.name
            share = self._share_as_limiter(names, target.region, now) if own else 0.0
            cached = self._cached_limiters[key] = _CachedLimiter(now, member, share)
        return cached

    def _ranking(self, key: int, region: str) -> list[str]:
        """Return the names of the entries that may limit a target, by hash weight.

        The first serving entry is the limiter. The ranking is cached until an entry
        joins, leaves or restarts. Hashing all entries of a large region for each target
        would cost a percent of a core.
        """
        membership_version = (self._membership.change_count, self._membership.count)
        known = self._rankings.get(key)
        if known is not None and known.membership_version == membership_version:
            return known.names
        names = [r.member.name for r in self._eligible_records(region)]
        if self._may_limit_region(region):
            names.append(self.own.name)
        names.sort(key=lambda name: _hash_weight(name, key), reverse=True)
        if len(self._rankings) >= MAX_RANKINGS:
            self._rankings.clear()
            self._cached_limiters.clear()
        self._rankings[key] = _Ranking(membership_version, names)
        return names

    def _first_serving(self, names: list[str], now: float) -> Member | None:
        for name in names:
            if name == self.own.name:
                if self._state() == SERVING:
                    return self.own
                continue
            record = self._membership.record(name)
            if record is not None and self._is_serving(record, now):
                return record.member
        return None

    def _share_as_limiter(self, names: list[str], region: str, now: float) -> float:
        # Silent entries may serve on the other side of a partition, so the live share
        # bounds the share up to `PARTITION_SHARE_FACTOR`.
        share = min(PARTITION_SHARE_FACTOR * self._live_share(region, now), 1.0)
        return (
            min(share, HANDOVER_SHARE) if self._has_rival_limiter(names, now) else share
        )

    def _has_rival_limiter(self, names: list[str], now: float) -> bool:
        """Return whether an entry ranked before this one may still act as the limiter.

        Such an entry is silent, since this entry is the first live one.

        Args:
          names: the ranking of the entries for the target.
          now: monotonic time in seconds.
        """
        predecessors = names[: names.index(self.own.name)]
        records = [self._membership.record(name) for name in predecessors]
        return any(
            record.state == SERVING and now - record.heartbeat_at <= HANDOVER_S
            for record in records
            if record is not None
        )

    def _live_share(self, region: str, now: float) -> float:
        """Return the share of a region's entries that are live, including this one."""
        computed_at, share = self._live_shares.get(region, (float("-inf"), 1.0))
        if now - computed_at > SELECTION_CACHE_S:
            known = [r for r in self._eligible_records(region) if r.state != LEAVING]
            live = sum(self._is_serving(r, now) for r in known)
            own = int(self._may_limit_region(region))
            share = (live + own) / (len(known) + own)
            self._live_shares[region] = (now, share)
        return share

    def _may_limit_region(self, region: str) -> bool:
        """Return whether this entry may limit a region's targets."""
        return self.own.region == region or not self._has_entries(region)

    def _has_entries(self, region: str) -> bool:
        """Return whether other entries are known in a region, live or silent."""
        return bool(self._membership.count_in_region(region))

    def _eligible_records(self, region: str) -> list[PeerRecord]:
        """Return the records of the entries that may limit a region's targets."""
        membership = self._membership
        regions = [region]
        if not self._has_entries(region):
            regions = [self.own.region, *membership.other_regions()]
        domains = [d for r in regions for d in membership.domains(r)]
        return list(membership.records(domains))

    def _is_serving(self, record: PeerRecord, now: float) -> bool:
        return record.state == SERVING and is_live(record, self.own.region, now)


def _hash_weight(name: str, key: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed=key)
