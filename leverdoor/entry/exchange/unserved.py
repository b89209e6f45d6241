# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which entries of the region say that the store does not answer them.

An entry says so in its heartbeats; the aggregators of its failure domain tell the
region's others, and each aggregator its own failure domain. Owns what was told lately;
lost with the process and told again each round. Opens no socket and reads no clock.
"""

from leverdoor.entry.exchange.encoding import parse_ids
from leverdoor.entry.exchange.messages import Digest, DigestScope, EntryHeartbeat
from leverdoor.entry.membership.member import Member, member_id

__all__ = ["UnservedEntries"]

REPORT_MAX_AGE_S = 1.5
"""How long what was told counts, in seconds: seven rounds.

Longer, an entry that is served again is passed over for longer; shorter, some lost
datagrams give it a role that it can't fill.
"""
MAX_IDS = 64
"""Entries that a digest names at most: 256 bytes. While the store answers nobody all
are unserved, which changes nothing that entries do."""


class UnservedEntries:
    """The region's entries that the store does not answer."""

    def __init__(self, own: Member) -> None:
        """Create it for an entry that was told nothing yet."""
        self._own = own
        self._domain_reports: dict[int, float] = {}
        """By `member_id` of entries of the own failure domain, when one said so."""
        self._other_domain_reports: dict[str, tuple[float, frozenset[int]]] = {}
        """By other failure domain, when its aggregators told, and what."""
        self._region_report: tuple[float, frozenset[int]] = (0.0, frozenset())
        """The same for the whole region, from an aggregator of the own one."""

    def record_heartbeat(self, heartbeat: EntryHeartbeat, now: float) -> None:
        """Take whether an entry of the own failure domain is unserved."""
        entry_id = member_id(heartbeat.member.name)
        if heartbeat.unserved:
            self._domain_reports[entry_id] = now
        else:
            self._domain_reports.pop(entry_id, None)

    def record_digest(self, digest: Digest, sender: Member, now: float) -> None:
        """Take what an aggregator of the region tells."""
        reported = frozenset(parse_ids(digest.unserved))
        if digest.scope == DigestScope.DOMAIN:
            self._other_domain_reports[sender.domain] = (now, reported)
        elif digest.scope == DigestScope.ALL and sender.domain == self._own.domain:
            self._region_report = (now, reported)

    def of_domain(self, own: bool, now: float) -> list[int]:
        """Return the unserved entries of the own failure domain.

        Args:
          own: whether this entry is one.
          now: monotonic time in seconds.
        """
        unserved = [
            entry_id
            for entry_id, at in self._domain_reports.items()
            if now - at <= REPORT_MAX_AGE_S
        ]
        unserved += [member_id(self._own.name)] if own else []
        return sorted(unserved)[:MAX_IDS]

    def of_region(self, own: bool, now: float) -> list[int]:
        """Return those of the region, as an aggregator was told them."""
        others = [
            ids
            for at, ids in self._other_domain_reports.values()
            if now - at <= REPORT_MAX_AGE_S
        ]
        unserved = frozenset(self.of_domain(own, now)).union(*others)
        return sorted(unserved)[:MAX_IDS]

    def unserved_others(self, now: float) -> frozenset[int]:
        """Return all others of the region that are known to be unserved."""
        at, reported = self._region_report
        known = frozenset(self.of_region(False, now))
        return known | reported if now - at <= REPORT_MAX_AGE_S else known
