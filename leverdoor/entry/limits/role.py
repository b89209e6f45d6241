# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which entry hands out the room of a limited target: its limiter.

The first by a hash among the serving entries of the target's region, the same for all
that know the same entries; of all regions, where no entry is known in the target's.
Whoever can reach the target can most likely reach them. There is no agreement. Where
views differ, as while an entry falls silent or a region is cut in two, several take
themselves for the limiter; each then hands out a part only, so that the sum stays below
one and a half times the limit.

Owns no state but what it computed a moment ago. Relies on `Membership` for who is
there, and on `PauseDetector` for how long this entry has known them.
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

__all__ = ["LimiterRole"]

HANDOVER_S = 4.0
"""Age of an entry's last heartbeat up to which another may still ask it, in seconds:
entries of other regions take it for silent after 3.2 s, which digests may delay."""
NEWCOMER_S = 1.2
"""Time for which an entry that started or resumed is not known to all, in seconds."""
HANDOVER_PART = 0.5
"""Part of a limit handed out while another entry may be asked as well, which hands out
all of it; for the 2.4 s that this lasts, half of it fits the bound of 4 s."""
SPLIT_SPARE = 1.2
"""Factor on the part of the region's entries that are live here: each side of a cut
hands out so much of the limit, and together at most this much."""
REMEMBERED_S = 0.1
"""How long it is remembered who limits a target, in seconds, to save processor time
where a region has hundreds of entries."""
MOST_RANKINGS = 256
"""Targets whose order of entries is kept."""


class _Limiter(msgspec.Struct, frozen=True):
    """Who limits a target, as it was found at a time."""

    at: float
    member: Member | None
    part: float
    """Of the limit that this entry may hand out, once it has run for long enough."""


class _Ranking(msgspec.Struct, frozen=True):
    """The entries that may limit a target, the first one first."""

    made_of: tuple[int, int]
    """Version of the membership, and how many entries it had."""
    names: list[str]


class LimiterRole:
    """Who limits which target, as this entry sees it."""

    def __init__(
        self,
        membership: Membership,
        state: Callable[[], EntryState],
        pauses: PauseDetector,
    ) -> None:
        """Create it.

        Args:
          membership: the entries known.
          state: returns the state of this entry.
          pauses: for how long this entry has run.
        """
        self._membership = membership
        self.own = membership.own
        self._state = state
        self._pauses = pauses
        self._found: dict[int, _Limiter] = {}
        self._rankings: dict[int, _Ranking] = {}
        self._shares: dict[str, tuple[float, float]] = {}
        """By region, when its live part was found, and this."""

    def limiter(self, target: Target, now: float) -> Member | None:
        """Return the entry that hands out a target's room; None if none can be asked.

        Args:
          target: which one.
          now: monotonic time in seconds.
        """
        return self._find(target, now).member

    def part(self, target: Target, now: float) -> float:
        """Return the part of a target's limit that this entry may hand out.

        0 if another entry limits it.
        """
        part = self._find(target, now).part
        if part and self._pauses.uninterrupted_s(now) < NEWCOMER_S:
            return min(part, HANDOVER_PART)
        return part

    def _find(self, target: Target, now: float) -> _Limiter:
        key = target_id(target.name)
        found = self._found.get(key)
        if found is None or now - found.at > REMEMBERED_S:
            names = self._ranked(key, target.region)
            member = self._first_serving(names, now)
            own = member is not None and member.name == self.own.name
            part = self._part(names, target.region, now) if own else 0.0
            found = self._found[key] = _Limiter(now, member, part)
        return found

    def _ranked(self, key: int, region: str) -> list[str]:
        """Return the names of the entries that may limit a target, in its order.

        Kept until an entry comes, goes or restarts: hashing all of a large region for
        each target would cost a percent of a core.
        """
        made_of = (self._membership.version, self._membership.count)
        known = self._rankings.get(key)
        if known is not None and known.made_of == made_of:
            return known.names
        names = [r.member.name for r in self._records(region)]
        if self._belongs(region):
            names.append(self.own.name)
        names.sort(key=lambda name: _place(name, key), reverse=True)
        if len(self._rankings) >= MOST_RANKINGS:
            self._rankings.clear()
            self._found.clear()
        self._rankings[key] = _Ranking(made_of, names)
        return names

    def _first_serving(self, names: list[str], now: float) -> Member | None:
        for name in names:
            if name == self.own.name:
                if self._state() == SERVING:
                    return self.own
                continue
            record = self._membership.record(name)
            if record is not None and self._serves(record, now):
                return record.member
        return None

    def _part(self, names: list[str], region: str, now: float) -> float:
        # What is silent may as well be the other side of a cut: no part is greater
        # than the share of the entries that are seen here.
        share = min(SPLIT_SPARE * self._live_share(region, now), 1.0)
        return min(share, HANDOVER_PART) if self._has_rival(names, now) else share

    def _has_rival(self, names: list[str], now: float) -> bool:
        """Return whether a silent entry may still hand out a target's room.

        Args:
          names: of the entries that may limit it; those before this one count.
          now: monotonic time in seconds.
        """
        before = names[: names.index(self.own.name)]
        records = [self._membership.record(name) for name in before]
        return any(
            record.state == SERVING and now - record.heartbeat_at <= HANDOVER_S
            for record in records
            if record is not None
        )

    def _live_share(self, region: str, now: float) -> float:
        """Return the part of a region's entries that are live, this one included."""
        at, share = self._shares.get(region, (float("-inf"), 1.0))
        if now - at > REMEMBERED_S:
            known = [r for r in self._records(region) if r.state != LEAVING]
            live = sum(self._serves(r, now) for r in known)
            own = int(self._belongs(region))
            share = (live + own) / (len(known) + own)
            self._shares[region] = (now, share)
        return share

    def _belongs(self, region: str) -> bool:
        """Return whether this entry may limit a region's targets."""
        return self.own.region == region or not self._knows(region)

    def _knows(self, region: str) -> bool:
        return bool(self._membership.count_in_region(region))

    def _records(self, region: str) -> list[PeerRecord]:
        """Return the records of the entries that may limit a region's targets."""
        membership = self._membership
        regions = [region]
        if not self._knows(region):
            regions = [self.own.region, *membership.other_regions()]
        domains = [d for r in regions for d in membership.domains(r)]
        return list(membership.records(domains))

    def _serves(self, record: PeerRecord, now: float) -> bool:
        return record.state == SERVING and is_live(record, self.own.region, now)


def _place(name: str, key: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed=key)
