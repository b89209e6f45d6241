# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which entries aggregate for a failure domain, and which follow the store.

Each entry computes the roles by itself, from the entries that count as live here and
the widths of their links; nothing is agreed. Two that see different entries may both
take a role: that costs bytes or reads of the store, no more.

Owns the times of digests in the records of `Membership`, lost with them. Relies on
`Membership` for who is live.
"""

from collections.abc import Collection
from itertools import islice
from random import Random

from leverdoor.entry.membership.liveness import SILENCE_S, is_live
from leverdoor.entry.membership.member import LEAVING, Member, link_sort_key, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import NEVER, PeerRecord

__all__ = ["AGGREGATORS", "AGGREGATOR_RETRY_S", "AGGREGATOR_SILENCE_S", "Roles"]

AGGREGATORS = 2
"""Entries of a failure domain that merge what the others report.

One may be gone. With one, a death leaves the failure domain without digests until it is
replaced; each further one costs digests to every other aggregator.
"""
AGGREGATOR_SILENCE_S = 0.8
"""Time without a digest from an aggregator after which the next takes its place.

A digest is due every 0.4 s. Shorter, one lost datagram replaces it, which costs some
bytes; longer, the failure domain's view grows old, up to `SILENCE_S` for all of it.
"""
AGGREGATOR_RETRY_S = 5.0
"""Time after which an aggregator that never sent a digest may again, in seconds.

Long beside `AGGREGATOR_SILENCE_S`, so that it holds the role a small part of the time;
longer, one that recovered stays replaced by one with a narrower link.
"""


class Roles:
    """The roles of entries as this one computes them."""

    def __init__(self, membership: Membership, rng: Random) -> None:
        """Create it.

        Args:
          membership: the entries known.
          rng: chooses whom to try in a failure domain without live entries.
        """
        self._membership = membership
        self._own = membership.own
        self._own_record = PeerRecord(self._own, link_sort_key(self._own))
        self._rng = rng

    # Aggregators.

    def note_digest(self, name: str, now: float) -> None:
        """Record that a digest came from the entry of a name."""
        record = self._membership.record(name)
        if record is not None:
            record.digest_at = now

    def aggregators(self, domain: str, now: float) -> list[Member]:
        """Return the entries that merge what a failure domain's entries report.

        The two with the widest links of those that send digests. One from which no
        digest comes is passed over, long before it counts as silent.
        """
        sending = (r for r in self._candidates(domain, now) if self._sends(r, now))
        return [r.member for r in islice(sending, AGGREGATORS)]

    def is_aggregator(self, now: float) -> bool:
        """Return whether this entry merges for its failure domain."""
        return self._own in self.aggregators(self._own.domain, now)

    def recipients(self, domain: str, now: float) -> list[Member]:
        """Return the entries that get what a failure domain's aggregators need.

        Those that are passed over get it too while they count as live: two that
        passed each other over would otherwise never exchange messages again.
        """
        candidates = self._candidates(domain, now)
        if not candidates:
            return self._contacts(domain)
        first = [r.member for r in candidates[:AGGREGATORS]]
        chosen = self.aggregators(domain, now)
        found = first + [m for m in chosen if m not in first]
        return [m for m in found if m.name != self._own.name]

    def _candidates(self, domain: str, now: float) -> list[PeerRecord]:
        """Return the live entries of a failure domain, the widest links first."""
        found = [
            r
            for r in self._membership.records([domain])
            if r.state != LEAVING and is_live(r, self._own.region, now)
        ]
        if domain == self._own.domain:
            found.append(self._own_record)
        return sorted(found, key=lambda r: r.link_sort_key)

    def _contacts(self, domain: str) -> list[Member]:
        """Return whom to contact in a failure domain of which no entry is live.

        The widest links, of those last seen before it was cut off and of all, and one
        at random: both sides exchange messages soon after the cut is repaired.
        """
        records = sorted(
            self._membership.records([domain]), key=lambda r: r.link_sort_key
        )
        newest = max((r.heartbeat_at for r in records), default=NEVER)
        lately = [r for r in records if r.heartbeat_at >= newest - SILENCE_S]
        chance = self._rng.sample(records, min(1, len(records)))
        tried = [*records[:AGGREGATORS], *lately[:AGGREGATORS], *chance]
        return list({r.member.name: r.member for r in tried}.values())

    def _sends(self, record: PeerRecord, now: float) -> bool:
        """Return whether digests come from an entry, or may still come.

        Those of other regions come from each aggregator in turn, too seldom to judge.
        """
        if record is self._own_record or record.member.region != self._own.region:
            return True
        if now - record.digest_due_since > AGGREGATOR_RETRY_S:
            record.digest_due_since = now
        last = max(record.digest_at, record.digest_due_since)
        return now - last <= AGGREGATOR_SILENCE_S

    # Followers of the store.

    def follows_store(
        self,
        followers: int,
        now: float,
        unserved: Collection[int] = (),
        own_unserved: bool = False,
    ) -> bool:
        """Return whether this entry is one of its region's followers of the store.

        They watch the store and pass all changes on, so those with the widest links
        come first, of the live ones that the store answers. While it answers none of
        them, all count.

        Args:
          followers: how many a region has.
          now: monotonic time in seconds.
          unserved: others that the store does not answer, by `member_id`.
          own_unserved: whether it does not answer this entry.
        """
        if not own_unserved:
            return self.rank_among_live(now, unserved) < followers
        others = self._membership.live_in_own_region(now)
        if any(member_id(m.name) not in unserved for m in others):
            return False
        return self.rank_among_live(now, ()) < followers

    def rank_among_live(self, now: float, unserved: Collection[int]) -> int:
        """Return this entry's place by link among the region's live ones, from 0.

        Args:
          now: monotonic time in seconds.
          unserved: entries that don't count, by `member_id`.
        """
        own = link_sort_key(self._own)
        others = self._membership.live_in_own_region(now)
        if unserved:
            others = [m for m in others if member_id(m.name) not in unserved]
        return sum(link_sort_key(m) < own for m in others)

    def rank_among_known(self) -> int | None:
        """Return this entry's place among all of its region on record, from 0.

        Silent ones count, since at a start nothing was received yet. None if no
        other is known.
        """
        known = self._membership.in_own_region()
        if not known:
            return None
        return sorted([*known, self._own], key=link_sort_key).index(self._own)
