# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tracks the region's entries whose requests the store does not answer.

An entry reports this in its heartbeats. The aggregators of its failure domain forward
it to the region's other aggregators, and each aggregator to its own failure domain.
Owns the recent reports, lost with the process and repeated in each round. Opens no
socket and reads no clock.
"""

from leverdoor.entry.exchange.encoding import parse_hashes
from leverdoor.entry.exchange.messages import Digest, DigestScope, EntryHeartbeat
from leverdoor.entry.membership.member import Member, member_id

__all__ = ["UnservedEntries"]

REPORT_MAX_AGE_S = 1.5
"""Maximum age of a report, in seconds: seven rounds.

If greater, an entry that the store answers again remains excluded as a store follower
for longer; if smaller, a few lost datagrams make an entry a store follower although the
store does not answer it.
"""
MAX_IDS = 64
"""Maximum number of entries in a digest: 256 bytes.

While the store answers no entry, all are unserved. A truncated list then changes no
decision.
"""


class UnservedEntries:
    """The region's entries whose requests the store does not answer."""

    def __init__(self, own: Member) -> None:
        """Create an empty record for this entry."""
        self._own = own
        self._domain_reports: dict[int, float] = {}
        """By `member_id` in the own failure domain: time of the last report."""
        self._other_domain_reports: dict[str, tuple[float, frozenset[int]]] = {}
        """By other failure domain: time and entries of its aggregators' last report."""
        self._region_report: tuple[float, frozenset[int]] = (0.0, frozenset())
        """Time and entries of the last report for the region, from an aggregator of the
        own failure domain."""

    def record_heartbeat(self, heartbeat: EntryHeartbeat, now: float) -> None:
        """Record whether the sender of a heartbeat is unserved."""
        entry_id = member_id(heartbeat.member.name)
        if heartbeat.unserved:
            self._domain_reports[entry_id] = now
        else:
            self._domain_reports.pop(entry_id, None)

    def record_digest(self, digest: Digest, sender: Member, now: float) -> None:
        """Record the unserved entries in a digest of an aggregator of the region."""
        reported = frozenset(parse_hashes(digest.unserved))
        if digest.scope == DigestScope.DOMAIN:
            self._other_domain_reports[sender.domain] = (now, reported)
        elif digest.scope == DigestScope.ALL and sender.domain == self._own.domain:
            self._region_report = (now, reported)

    def unserved_in_domain(self, is_own_unserved: bool, now: float) -> list[int]:
        """Return the unserved entries of the own failure domain.

        Args:
          is_own_unserved: whether this entry is unserved.
          now: monotonic time in seconds.
        """
        unserved = [
            entry_id
            for entry_id, at in self._domain_reports.items()
            if now - at <= REPORT_MAX_AGE_S
        ]
        unserved += [member_id(self._own.name)] if is_own_unserved else []
        return sorted(unserved)[:MAX_IDS]

    def unserved_in_region(self, is_own_unserved: bool, now: float) -> list[int]:
        """Return the unserved entries of the region, as reported to this aggregator.

        Args:
          is_own_unserved: whether this entry is unserved.
          now: monotonic time in seconds.
        """
        others = [
            ids
            for at, ids in self._other_domain_reports.values()
            if now - at <= REPORT_MAX_AGE_S
        ]
        unserved = frozenset(self.unserved_in_domain(is_own_unserved, now)).union(
            *others
        )
        return sorted(unserved)[:MAX_IDS]

    def unserved_others(self, now: float) -> frozenset[int]:
        """Return all other entries of the region that are known to be unserved."""
        at, reported = self._region_report
        known = frozenset(self.unserved_in_region(False, now))
        return known | reported if now - at <= REPORT_MAX_AGE_S else known
