# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Computes which entries aggregate for a failure domain and which follow the store.

Each entry computes the roles locally, from the entries that it considers live and the
bandwidth of their links, without consensus. Two entries with different views may both
take a role, which costs only extra traffic or extra reads of the store.

Owns the times of digests in the records of `Membership`, which are lost with them.
Relies on `Membership` for the live entries.
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
"""Number of entries per failure domain that merge the reports of the others.

With two, one may fail. With a single aggregator, its death leaves the failure domain
without digests until it is replaced; each further one exchanges digests with every
other aggregator.
"""
AGGREGATOR_SILENCE_S = 0.8
"""Time without a digest after which the next entry replaces an aggregator, in seconds.

A digest is due every 0.4 s. With a shorter time, one lost datagram replaces the
aggregator, which costs some traffic. With a longer one, the view of the failure domain
becomes outdated, and after `SILENCE_S` its entries would not count as live.
"""
AGGREGATOR_RETRY_S = 5.0
"""Time after which an aggregator without digests may be selected again, in seconds.

An entry that sends no digests is an aggregator for `AGGREGATOR_SILENCE_S` of every such
period, which is a small part of the time. With a longer period, an entry that recovered
remains replaced by one with a narrower link for longer.
"""


class Roles:
    """Elects aggregators and followers of the store among the known entries."""

    def __init__(self, membership: Membership, rng: Random) -> None:
        """Create the roles on the records of the known entries.

        Args:
          membership: records of the known entries.
          rng: chooses the entry to probe in a failure domain without live entries.
        """
        self._membership = membership
        self._own = membership.own
        self._own_record = PeerRecord(self._own, link_sort_key(self._own))
        self._rng = rng

    # Aggregators.

    def record_digest(self, name: str, now: float) -> None:
        """Record that this entry received a digest from another one, given by name."""
        record = self._membership.record(name)
        if record is not None:
            record.digest_at = now

    def aggregators(self, domain: str, now: float) -> list[Member]:
        """Return the entries that merge the reports of a failure domain.

        These are the entries with the widest links among those that send digests. An
        entry that sends no digests is skipped well before it counts as silent.
        """
        senders = (
            r for r in self._candidates(domain, now) if self._sends_digests(r, now)
        )
        return [r.member for r in islice(senders, AGGREGATORS)]

    def is_aggregator(self, now: float) -> bool:
        """Return whether this entry is an aggregator of its failure domain."""
        return self._own in self.aggregators(self._own.domain, now)

    def recipients(self, domain: str, now: float) -> list[Member]:
        """Return the recipients of messages for the aggregators of a failure domain.

        Entries that `aggregators` skips remain recipients while they are live.
        Otherwise two entries that skip each other would never exchange messages again.
        """
        candidates = self._candidates(domain, now)
        if not candidates:
            return self._probe_recipients(domain)
        widest = [r.member for r in candidates[:AGGREGATORS]]
        chosen = self.aggregators(domain, now)
        found = widest + [m for m in chosen if m not in widest]
        return [m for m in found if m.name != self._own.name]

    def _candidates(self, domain: str, now: float) -> list[PeerRecord]:
        """Return the live entries of a failure domain, widest links first."""
        found = [
            r
            for r in self._membership.records([domain])
            if r.state != LEAVING and is_live(r, self._own.region, now)
        ]
        if domain == self._own.domain:
            found.append(self._own_record)
        return sorted(found, key=lambda r: r.link_sort_key)

    def _probe_recipients(self, domain: str) -> list[Member]:
        """Return the entries to probe in a failure domain without live entries.

        These are up to `AGGREGATORS` entries with the widest links of all, as many of
        those that were live last, and a random one. Both sides of a partition then
        exchange messages soon after it heals.
        """
        records = sorted(
            self._membership.records([domain]), key=lambda r: r.link_sort_key
        )
        newest = max((r.heartbeat_at for r in records), default=NEVER)
        last_live = [r for r in records if r.heartbeat_at >= newest - SILENCE_S]
        random_entry = self._rng.sample(records, min(1, len(records)))
        probed = [*records[:AGGREGATORS], *last_live[:AGGREGATORS], *random_entry]
        return list({r.member.name: r.member for r in probed}.values())

    def _sends_digests(self, record: PeerRecord, now: float) -> bool:
        """Return whether an entry sends digests, or is due to send its first one.

        Begins a new period of `AGGREGATOR_RETRY_S` if the last one is over. Entries of
        other regions always count, since their aggregators take turns and send too
        rarely for this timeout.
        """
        if record is self._own_record or record.member.region != self._own.region:
            return True
        if now - record.digest_expected_since > AGGREGATOR_RETRY_S:
            record.digest_expected_since = now
        last_digest_at = max(record.digest_at, record.digest_expected_since)
        return now - last_digest_at <= AGGREGATOR_SILENCE_S

    # Followers of the store.

    def follows_store(
        self,
        follower_count: int,
        now: float,
        unserved: Collection[int] = (),
        own_unserved: bool = False,
    ) -> bool:
        """Return whether this entry is one of its region's followers of the store.

        Followers watch the store and forward all changes, so the entries with the
        widest links are elected among the live ones that the store answers. While the
        store answers none of them, all are eligible.

        Args:
          follower_count: number of followers per region.
          now: monotonic time in seconds.
          unserved: `member_id` of each other entry that the store does not answer.
          own_unserved: whether the store does not answer this entry.
        """
        if not own_unserved:
            return self.rank_among_live(now, unserved) < follower_count
        others = self._membership.live_in_own_region(now)
        if any(member_id(m.name) not in unserved for m in others):
            return False
        return self.rank_among_live(now, ()) < follower_count

    def rank_among_live(self, now: float, unserved: Collection[int]) -> int:
        """Return the rank of this entry by link among the region's live ones, from 0.

        Args:
          now: monotonic time in seconds.
          unserved: `member_id` of each entry to leave out of the ranking.
        """
        own = link_sort_key(self._own)
        others = self._membership.live_in_own_region(now)
        if unserved:
            others = [m for m in others if member_id(m.name) not in unserved]
        return sum(link_sort_key(m) < own for m in others)

    def rank_among_known(self) -> int | None:
        """Return the rank of this entry by link among its region's known ones, from 0.

        Silent entries are included, since a starting entry has received no heartbeats
        yet. Return None if no other entry of the region is known.
        """
        known = self._membership.known_in_own_region()
        if not known:
            return None
        return sorted([*known, self._own], key=link_sort_key).index(self._own)
