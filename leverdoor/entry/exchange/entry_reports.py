# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tracks which of the region's entries report a condition: unserved, or without links.

An unserved entry is one that the store does not answer; an entry without links cannot
connect to any target. An entry reports this in its heartbeats. The aggregators of its
failure domain forward it to the region's other aggregators, and each aggregator to its
own failure domain. Owns the recent reports, lost with the process and repeated in each
round. Opens no socket and reads no clock.
"""

from collections.abc import Callable

from leverdoor.entry.exchange.encoding import parse_hashes
from leverdoor.entry.exchange.messages import Digest, DigestScope, EntryHeartbeat
from leverdoor.entry.membership.member import Member, member_id

__all__ = ["EntryReports"]

REPORT_MAX_AGE_S = 1.5
"""Maximum age of a report, in seconds: seven rounds.

If greater, an entry that the store answers again remains excluded as a store follower
for longer, and one that has links again is avoided for longer; if smaller, a few lost
datagrams make an entry a store follower although the store does not answer it.
"""
MAX_IDS = 64
"""Maximum number of entries in a digest: 256 bytes.

If all entries of a region report the condition, a truncated list changes no decision.
"""


class EntryReports:
    """The region's entries that report one condition."""

    def __init__(
        self,
        own: Member,
        is_reported: Callable[[EntryHeartbeat], bool],
        reported_ids: Callable[[Digest], bytes],
    ) -> None:
        """Create an empty record.

        Args:
          own: this entry.
          is_reported: returns whether the sender of a heartbeat reports the condition.
          reported_ids: returns the hashes of the entries in a digest that report it.
        """
        self._own = own
        self._is_reported = is_reported
        self._reported_ids = reported_ids
        self._domain_reports: dict[int, float] = {}
        """By `member_id` in the own failure domain: time of the last report."""
        self._other_domain_reports: dict[str, tuple[float, frozenset[int]]] = {}
        """By other failure domain: time and entries of its aggregators' last report."""
        self._region_report: tuple[float, frozenset[int]] = (0.0, frozenset())
        """Time and entries of the last report for the region, from an aggregator of the
        own failure domain."""

    def record_heartbeat(self, heartbeat: EntryHeartbeat, now: float) -> None:
        """Record whether the sender of a heartbeat reports the condition."""
        entry_id = member_id(heartbeat.member.name)
        if self._is_reported(heartbeat):
            self._domain_reports[entry_id] = now
        else:
            self._domain_reports.pop(entry_id, None)

    def record_digest(self, digest: Digest, sender: Member, now: float) -> None:
        """Record the reports in a digest of an aggregator of the region."""
        reported = frozenset(parse_hashes(self._reported_ids(digest)))
        if digest.scope == DigestScope.DOMAIN:
            self._other_domain_reports[sender.domain] = (now, reported)
        elif digest.scope == DigestScope.ALL and sender.domain == self._own.domain:
            self._region_report = (now, reported)

    def in_domain(self, own: bool, now: float) -> list[int]:
        """Return the reporting entries of the own failure domain.

        Args:
          own: whether this entry reports the condition.
          now: monotonic time in seconds.
        """
        reporting = [
            entry_id
            for entry_id, at in self._domain_reports.items()
            if now - at <= REPORT_MAX_AGE_S
        ]
        reporting += [member_id(self._own.name)] if own else []
        return sorted(reporting)[:MAX_IDS]

    def in_region(self, own: bool, now: float) -> list[int]:
        """Return the reporting entries of the region, as known to this aggregator.

        Args:
          own: whether this entry reports the condition.
          now: monotonic time in seconds.
        """
        others = [
            ids
            for at, ids in self._other_domain_reports.values()
            if now - at <= REPORT_MAX_AGE_S
        ]
        reporting = frozenset(self.in_domain(own, now)).union(*others)
        return sorted(reporting)[:MAX_IDS]

    def others(self, now: float) -> frozenset[int]:
        """Return all other entries of the region that are known to report it."""
        at, reported = self._region_report
        known = frozenset(self.in_region(False, now))
        return known | reported if now - at <= REPORT_MAX_AGE_S else known
