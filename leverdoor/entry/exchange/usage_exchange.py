# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Exchange of workspace usage in heartbeats and digests.

An ordinary entry reports its own usage and receives the sums of all entries in a
digest. An aggregator merges reports (`UsageMerger`) and adds reservations for silent
entries.

Owns the time since when this entry has merged reports of all failure domains and
regions. It is lost with the process; until the reports are complete again, this entry
computes no sum of others. Relies on `Membership` for silent entries, and on
`workspaces.isolation` for the time for which a silent entry may use its part of a
quota.
"""

from collections.abc import Collection, Mapping

import msgspec

from leverdoor.entry.exchange.messages import Digest, DigestScope, EntryHeartbeat
from leverdoor.entry.exchange.usage_encoding import Usage, UsageCodec
from leverdoor.entry.exchange.usage_merging import (
    FRESH_S,
    RegisteredGroups,
    UnreportedParts,
    UsageMerger,
    UsageReport,
    UsageSums,
)
from leverdoor.entry.membership.member import LEAVING, Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import HeartbeatObservation
from leverdoor.workspaces.isolation import RESERVATION_S
from leverdoor.workspaces.remote_usage import RemoteUsage

__all__ = ["DigestUsage", "UsageExchange"]

OMITTED_QUOTA_PERCENT = 6
"""Percentage of a quota that all failure domains together may omit from digests.

Applies if there are many workspaces. The percentage of each failure domain is rounded
down; with more than six failure domains it is zero. If greater, more usage of a quota
is unknown to other entries; if smaller, digests grow.
"""
TOTAL_OMITTED_PERCENT = 20
"""Percentage of a quota up to which digests with scope ALL omit its usage.

Applies if there are many workspaces. Most of such a quota is unused, and receivers
assume this usage for an omitted workspace. If greater, they admit less than they could;
if smaller, digests grow.
"""
UNKNOWN_USAGE_PARTS = 2
"""Equal parts of a quota reserved for a silent entry with unknown usage.

One part is reserved as for each silent entry, and one in place of its usage, which is
assumed to be the mean.
"""


class DigestUsage(msgspec.Struct, frozen=True):
    """Encoded usage for the digests of a round, by scope."""

    by_scope: dict[DigestScope, bytes]
    silent: dict[DigestScope, int]
    """Number of silent entries in each scope."""
    age_ms: int
    """Age of the oldest fresh report, in ms."""
    merged_ms: int
    """Time for which this entry has merged the usage of all entries, in ms."""


class UsageExchange:
    """Reports, receives and merges workspace usage."""

    def __init__(self, membership: Membership) -> None:
        """Create the exchange for a membership."""
        self._membership = membership
        self._own = membership.own
        self._codec = UsageCodec()
        self._merger = UsageMerger()
        self._complete_since: float | None = None
        """Time at which this aggregator first had reports of all failure domains and
        regions; None before that. Reset only by `stop_merging`."""

    def renew(self, planned: Mapping[str, float]) -> None:
        """Replace the workspaces with quotas by those of a new configuration.

        Args:
          planned: by workspace, requests of a window up to which all entries together
            admit.
        """
        self._codec.renew(planned)
        self._merger.planned = planned

    def forget(self, now: float) -> None:
        """Remove expired reports."""
        self._merger.registered = self._registered_groups()
        self._merger.forget(now)

    def serialize(self, usage: Usage) -> bytes:
        """Serialize the own usage for a heartbeat."""
        return self._codec.serialize(usage)

    def record_heartbeat(self, heartbeat: EntryHeartbeat, now: float) -> None:
        """Record the report of an entry of the own failure domain; ignore others."""
        member = heartbeat.member
        usage = self._codec.parse(heartbeat.use)
        if usage is None or member.domain != self._own.domain:
            return
        report = UsageReport(
            now,
            usage,
            incarnation=member.incarnation,
            is_leaving=heartbeat.state == LEAVING,
        )
        self._merger.record_entry(member.name, report)

    def record_partial_sums(self, digest: Digest, sender: Member, now: float) -> None:
        """Record the sums of another failure domain or region."""
        usage = self._codec.parse(digest.use)
        if usage is None:
            return
        merged_s = digest.merged_ms / 1000
        if digest.scope == DigestScope.DOMAIN:
            entries = self._membership.count_in_domain(sender.domain)
            report = UsageReport(now, usage, merged_s, entries, digest.silent)
            self._merger.record_domain(sender.domain, report)
        else:
            entries = self._membership.count_in_region(sender.region)
            report = UsageReport(now, usage, merged_s, entries, digest.silent)
            self._merger.record_region(sender.region, report)

    def usage_of_others_from_digest(
        self, digest: Digest, own: Usage
    ) -> RemoteUsage | None:
        """Return the usage of others in a digest; None if it is unusable.

        It is unusable if its list of workspaces is unknown, or if its sender has not
        yet received the reports of all failure domains and regions: its sums lack
        theirs, without any reservation.

        Args:
          digest: an aggregator's sums of all entries.
          own: the own usage that the digest includes.
        """
        usage = self._codec.parse(digest.use)
        if usage is None or digest.merged_ms == 0:
            return None
        for name in own.keys() & usage.keys():
            usage[name] = max(usage[name] - own[name], 0)
        age_s = digest.use_age_ms / 1000
        merged_s = digest.merged_ms / 1000
        omission_fraction = self._codec.parse_omission_fraction(digest.use)
        return RemoteUsage(usage, age_s, merged_s, omission_fraction, digest.silent)

    def merged_usage_of_others(self, uptime_s: float, now: float) -> RemoteUsage | None:
        """Return the usage of all other entries as merged by this aggregator.

        Sets `_complete_since` when reports of all failure domains and regions with live
        entries are fresh for the first time.

        Returns: None before that, for example shortly after this entry became an
          aggregator, and while no other entry reports, so that the sums consist of
          reservations only.
        """
        if self._membership.count > 1 and not self._merger.has_fresh_report(now):
            return None
        if self._complete_since is None:
            if not self._merger.has_fresh_reports(
                self._live_domains(now), self._live_regions(now), now
            ):
                return None
            self._complete_since = now
        sums = self._compute_sums({}, uptime_s, now)
        age_s = self._merger.age_s(now)
        merged_s = now - self._complete_since
        return RemoteUsage(sums.total, age_s, merged_s, 0.0, sums.silent[-1])

    def stop_merging(self) -> None:
        """Record that this entry is not an aggregator."""
        self._complete_since = None

    def _registered_groups(self) -> RegisteredGroups:
        registered = self._membership.registered()
        return RegisteredGroups(
            {m.name for m in registered if m.domain == self._own.domain},
            {m.domain for m in registered if m.domain != self._own.domain},
            {m.region for m in registered if m.region != self._own.region},
        )

    def _unreported_parts(self, uptime_s: float, now: float) -> int:
        """Return the number of equal quota parts to reserve for entries without a
        report.

        One part is reserved for an entry that was never seen while this entry's uptime
        is at most `RESERVATION_S`: after a restart of all entries, it may serve behind
        a network partition. An entry that was seen may have reported to a former
        aggregator; see `UNKNOWN_USAGE_PARTS`.
        """
        domain = self._own.domain
        last_seen = self._membership.newest_heartbeats(domain)
        never_seen = self._membership.count_in_domain(domain) - 1 - len(last_seen)
        never_seen = max(never_seen, 0) if uptime_s <= RESERVATION_S else 0
        unreported = [
            s
            for s in last_seen
            if self._is_reserved(s, now)
            and not self._merger.has_report(self._membership.name(s.row.id))
        ]
        return never_seen + len(unreported) * UNKNOWN_USAGE_PARTS

    def _is_reserved(self, seen: HeartbeatObservation, now: float) -> bool:
        """Return whether an entry of the failure domain is silent and may serve."""
        silent_s = now - seen.at
        if silent_s <= FRESH_S or seen.row.state == LEAVING:
            return False
        name = self._membership.name(seen.row.id)
        return silent_s <= RESERVATION_S or name in self._merger.registered.entries

    def _compute_sums(self, own: Usage, uptime_s: float, now: float) -> UsageSums:
        parts = UnreportedParts(
            self._unreported_parts(uptime_s, now),
            self._unreported_group_parts(
                self._other_domains(), self._merger.reported_domains, uptime_s
            ),
            self._unreported_group_parts(
                self._other_region_domains(), self._merger.reported_regions, uptime_s
            ),
        )
        return self._merger.compute_sums(own, parts, now)

    def _unreported_group_parts(
        self,
        domains_by_group: Mapping[str, list[str]],
        reported: Collection[str],
        uptime_s: float,
    ) -> int:
        """Return the number of equal quota parts to reserve for silent groups.

        These are failure domains or regions that have not reported to this aggregator.
        Those of their entries that were seen may serve behind a network partition that
        began before this entry became an aggregator. The others may do so for a while
        after its start, as in the own failure domain.

        Args:
          domains_by_group: the failure domains of each group.
          reported: the groups that have reported.
          uptime_s: time since this entry was started, in seconds.
        """
        silent_domains = [
            domain
            for group, domains in domains_by_group.items()
            if group not in reported
            for domain in domains
        ]
        seen = sum(len(self._membership.newest_heartbeats(d)) for d in silent_domains)
        known = sum(self._membership.count_in_domain(d) for d in silent_domains)
        never_seen = known - seen if uptime_s <= RESERVATION_S else 0
        return never_seen + seen * UNKNOWN_USAGE_PARTS

    def _other_domains(self) -> dict[str, list[str]]:
        """Return the region's other failure domains, each as a group of itself."""
        domains = self._membership.domains(self._own.region)
        return {d: [d] for d in domains if d != self._own.domain}

    def _other_region_domains(self) -> dict[str, list[str]]:
        """Return the failure domains of each other region."""
        regions = self._membership.other_regions()
        return {r: self._membership.domains(r) for r in regions}

    def _live_domains(self, now: float) -> set[str]:
        """Return the region's other failure domains with at least one live entry."""
        live = self._membership.live_in_own_region(now)
        return {m.domain for m in live} - {self._own.domain}

    def _live_regions(self, now: float) -> set[str]:
        """Return the other regions with at least one live entry."""
        return set(self._membership.live_regions(now)) - {self._own.region}

    def build_digest_usage(
        self, own: Usage, uptime_s: float, now: float
    ) -> DigestUsage:
        """Return the usage for an aggregator's digests of a round."""
        sums = self._compute_sums(own, uptime_s, now)
        omission_percent = OMITTED_QUOTA_PERCENT // len(self._membership.all_domains())
        by_scope = {
            DigestScope.DOMAIN: self._codec.serialize(sums.domain, omission_percent),
            DigestScope.REGION: self._codec.serialize(sums.region, omission_percent),
            DigestScope.ALL: self._codec.serialize(sums.total, TOTAL_OMITTED_PERCENT),
        }
        scopes = (DigestScope.DOMAIN, DigestScope.REGION, DigestScope.ALL)
        silent = dict(zip(scopes, sums.silent, strict=True))
        age_ms = round(self._merger.age_s(now) * 1000)
        complete_since = now if self._complete_since is None else self._complete_since
        merged_ms = round((now - complete_since) * 1000)
        return DigestUsage(by_scope, silent, age_ms, merged_ms)
