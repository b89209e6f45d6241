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
there, and on `Pauses` for how long this entry has known them.
"""

from collections.abc import Callable

import xxhash

from leverdoor.entry.membership.liveness import is_live
from leverdoor.entry.membership.member import LEAVING, SERVING, EntryState, Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import PeerRecord
from leverdoor.entry.pauses import Pauses
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


class LimiterRole:
    """Who limits which target, as this entry sees it."""

    def __init__(
        self,
        membership: Membership,
        state: Callable[[], EntryState],
        pauses: Pauses,
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
        self._found: dict[int, tuple[float, Member | None]] = {}

    def limiter(self, target: Target, now: float) -> Member | None:
        """Return the entry that hands out a target's room; None if none can be asked.

        Args:
          target: which one.
          now: monotonic time in seconds.
        """
        key = target_id(target.name)
        at, found = self._found.get(key, (float("-inf"), None))
        if now - at > REMEMBERED_S:
            found = self._choose(key, target.region, now)
            self._found[key] = (now, found)
        return found

    def _choose(self, key: int, region: str, now: float) -> Member | None:
        members = [r.member for r in self._records(region) if self._serves(r, now)]
        if self._belongs(region) and self._state() == SERVING:
            members.append(self.own)
        return max(members, key=lambda m: _place(m, key), default=None)

    def part(self, target: Target, now: float) -> float:
        """Return the part of a target's limit that this entry may hand out.

        0 if another entry limits it.
        """
        running_s = self._pauses.running_s(now)
        limiter = self.limiter(target, now)
        if limiter is None or limiter.name != self.own.name:
            return 0.0
        if running_s < NEWCOMER_S or self._has_rival(target, now):
            return HANDOVER_PART
        return min(SPLIT_SPARE * self._live_share(target.region, now), 1.0)

    def _has_rival(self, target: Target, now: float) -> bool:
        """Return whether a silent entry may still hand out the room of a target."""
        key = target_id(target.name)
        own = _place(self.own, key)
        return any(
            now - record.heartbeat_at <= HANDOVER_S and _place(record.member, key) > own
            for record in self._records(target.region)
            if record.state == SERVING and not self._serves(record, now)
        )

    def _live_share(self, region: str, now: float) -> float:
        """Return the part of a region's entries that are live, this one included."""
        known = [r for r in self._records(region) if r.state != LEAVING]
        live = sum(self._serves(r, now) for r in known)
        own = int(self._belongs(region))
        return (live + own) / (len(known) + own)

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


def _place(member: Member, key: int) -> int:
    return xxhash.xxh3_64_intdigest(member.name.encode(), seed=key)
