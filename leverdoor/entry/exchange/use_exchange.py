# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The use of workspaces in heartbeats and digests, sent and received.

An ordinary entry reports its own use and gets the sums of all in a digest. An
aggregator merges reports (`UseMerger`) and adds what silent entries may take.

Owns since when this entry merges all sums, lost with the process; until it has reports
of all failure domains and regions it gives no sum. Relies on `Membership` for who is
silent, and on `workspaces.quota` for how long a silent entry may use what it had.
"""

from collections.abc import Mapping

import msgspec

from leverdoor.entry.exchange.messages import Digest, DigestScope, EntryHeartbeat
from leverdoor.entry.exchange.use_lists import Use, UseLists
from leverdoor.entry.exchange.use_merging import FRESH_S, UseMerger, UseReport
from leverdoor.entry.membership.member import LEAVING, Member
from leverdoor.entry.membership.members import Membership
from leverdoor.workspaces.isolation import RESERVATION_S
from leverdoor.workspaces.remote_usage import RemoteUsage

__all__ = ["UseSummary", "UseExchange"]

LEAST_PART_REPORTED = 6
"""Percentage of a quota that all failure domains together may leave out of digests.

Where there are many workspaces. Greater, more of a quota can be used unseen; smaller,
digests are larger.
"""
LEAST_REPORTED = 20
"""Percentage of a quota below which digests of all entries leave out its use.

Where there are many workspaces. Enough of the quota is left, and receivers take the use
to be this much. Greater, they admit less than they could; smaller, digests are larger.
"""
UNREPORTED_PARTS = 2
"""Even parts of a quota that a silent entry may take whose use is not known.

One by the number of entries, one by its use, which is taken to be the mean.
"""


class UseSummary(msgspec.Struct, frozen=True):
    """The use in the digests of a round, by the entries that they cover."""

    by_scope: dict[DigestScope, bytes]
    silent: dict[DigestScope, int]
    """How many of the entries covered are silent."""
    age_ms: int
    """Of the oldest report that is summed as it is."""
    merged_ms: int
    """For how long this entry has merged all sums."""


class UseExchange:
    """The use of workspaces that this entry reports, receives and merges."""

    def __init__(self, membership: Membership) -> None:
        """Create it around what is known of the entries."""
        self._membership = membership
        self._own = membership.own
        self._lists = UseLists()
        self._merger = UseMerger()
        self._merges_since: float | None = None
        """Since when it has all sums, as an aggregator; None while it has not."""

    def renew(self, planned: Mapping[str, float]) -> None:
        """Take the workspaces with quotas of a new configuration.

        Args:
          planned: for each, the planned requests of a window.
        """
        self._lists.renew(planned)
        self._merger.planned = planned

    def forget(self, now: float) -> None:
        """Drop what does not count any more."""
        self._merger.forget(now)

    def serialize(self, use: Use) -> bytes:
        """Serialize the own use for a heartbeat."""
        return self._lists.serialize(use)

    def take_heartbeat(self, heartbeat: EntryHeartbeat, now: float) -> None:
        """Take the report of an entry, if it is of the own failure domain."""
        member = heartbeat.member
        use = self._lists.parse(heartbeat.use)
        if use is None or member.domain != self._own.domain:
            return
        report = UseReport(
            now,
            use,
            incarnation=member.incarnation,
            leaves=heartbeat.state == LEAVING,
        )
        self._merger.take_entry(member.name, report)

    def take_part(self, digest: Digest, sender: Member, now: float) -> None:
        """Take the sums of another failure domain or region."""
        use = self._lists.parse(digest.use)
        if use is None:
            return
        merged_s = digest.merged_ms / 1000
        if digest.scope == DigestScope.DOMAIN:
            entries = self._membership.count_in_domain(sender.domain)
            report = UseReport(now, use, merged_s, entries, digest.silent)
            self._merger.take_domain(sender.domain, report)
        else:
            entries = self._membership.count_in_region(sender.region)
            report = UseReport(now, use, merged_s, entries, digest.silent)
            self._merger.take_region(sender.region, report)

    def parse_total(self, digest: Digest, own: Use) -> RemoteUsage | None:
        """Return the use of all others; None if the digest's list is not known.

        Args:
          digest: an aggregator's sums of all entries.
          own: the own use that is counted in it.
        """
        use = self._lists.parse(digest.use)
        if use is None:
            return None
        for name in own.keys() & use.keys():
            use[name] = max(use[name] - own[name], 0)
        age_s = digest.use_age_ms / 1000
        merged_s = digest.merged_ms / 1000
        least_reported = self._lists.least_reported(digest.use)
        return RemoteUsage(use, age_s, merged_s, least_reported, digest.silent)

    def of_others(self, uptime_s: float, now: float) -> RemoteUsage | None:
        """Return the use of all others as an aggregator has it.

        Returns: None while reports of a failure domain or region are missing: this
          entry may just have taken the role.
        """
        if self._merges_since is None:
            if not self._merger.knows(self._near(), self._far(), now):
                return None
            self._merges_since = now
        sums = self._merger.sums({}, self._unreported_parts(uptime_s, now), now)
        age_s = self._merger.age_s(now)
        merged_s = now - self._merges_since
        return RemoteUsage(sums.total, age_s, merged_s, 0.0, sums.silent[-1])

    def stop_merging(self) -> None:
        """Record that this entry is not an aggregator now."""
        self._merges_since = None

    def _unreported_parts(self, uptime_s: float, now: float) -> int:
        """Return what entries of the own domain may take that sent no report here.

        In even parts of a quota. After a restart of all, an entry of which nothing
        was received may serve behind a cut, and takes one. Others reported to an
        aggregator that is gone: see `UNREPORTED_PARTS`.
        """
        domain = self._own.domain
        last_seen = self._membership.last_seen(domain)
        never = self._membership.count_in_domain(domain) - 1 - len(last_seen)
        never = max(never, 0) if uptime_s <= RESERVATION_S else 0
        unreported = [
            s
            for s in last_seen
            if FRESH_S < now - s.at <= RESERVATION_S
            and s.row.state != LEAVING
            and not self._merger.has_report(self._membership.name(s.row.id))
        ]
        return never + len(unreported) * UNREPORTED_PARTS

    def _near(self) -> set[str]:
        """Return the region's other failure domains of which any entry was seen."""
        return {
            domain
            for domain in self._membership.domains(self._own.region)
            if domain != self._own.domain and self._membership.last_seen(domain)
        }

    def _far(self) -> set[str]:
        """Return the other regions of which any entry was seen."""
        return {
            region
            for region in self._membership.other_regions()
            for domain in self._membership.domains(region)
            if self._membership.last_seen(domain)
        }

    def summary(self, own: Use, uptime_s: float, now: float) -> UseSummary:
        """Return the use for an aggregator's digests of a round."""
        sums = self._merger.sums(own, self._unreported_parts(uptime_s, now), now)
        part = LEAST_PART_REPORTED // len(self._membership.all_domains())
        by_scope = {
            DigestScope.DOMAIN: self._lists.serialize(sums.domain, part),
            DigestScope.REGION: self._lists.serialize(sums.region, part),
            DigestScope.ALL: self._lists.serialize(sums.total, LEAST_REPORTED),
        }
        scopes = (DigestScope.DOMAIN, DigestScope.REGION, DigestScope.ALL)
        silent = dict(zip(scopes, sums.silent, strict=True))
        age_ms = round(self._merger.age_s(now) * 1000)
        since = now if self._merges_since is None else self._merges_since
        merged_ms = round((now - since) * 1000)
        return UseSummary(by_scope, silent, age_ms, merged_ms)
