# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The protocol by which entries exchange their status.

In each round an entry sends a heartbeat to the aggregators of its failure domain: the
two entries there with the fastest links. An aggregator merges these heartbeats into
digests. It sends a digest of its failure domain to the aggregators of the region's
other failure domains, a digest of its region to aggregators of other regions, and a
digest of all entries to a part of the entries of its failure domain that rotates with
each round. Each entry's knowledge is therefore at most a few rounds old. The bytes and
CPU time per entry do not grow with the number of entries, except for one byte for each
entry and target. The protocol needs no consensus: if several entries act as the same
aggregator, the only cost is additional bytes.

Owns the contents of received digests (sums of others by region, shares, the newest
round of each sender) and the counts of this entry's recent heartbeats. All of it is
lost with the process and complete again after a few rounds. Opens no socket and reads
no clock: methods return the messages to send and take the time as an argument. Relies
on `Roles` for the selection of aggregators.
"""

from collections import OrderedDict

import msgspec

from leverdoor.entry.configuration.confirmation import ReportedAnswer
from leverdoor.entry.exchange.admitted_keys import AdmittedKeyMeans
from leverdoor.entry.exchange.digest_builder import (
    SHARES_INTERVAL_ROUNDS,
    DigestBuilder,
    DigestRound,
)
from leverdoor.entry.exchange.domain_views import DomainViews
from leverdoor.entry.exchange.encoding import parse_hashes, serialize_hashes
from leverdoor.entry.exchange.entry_reports import EntryReports
from leverdoor.entry.exchange.exchange_types import (
    EntryStatus,
    OutgoingMessage,
    PeerUpdate,
)
from leverdoor.entry.exchange.limit_exchange import LimitExchange
from leverdoor.entry.exchange.merging import (
    SUM_MAX_AGE_S,
    LoadMerger,
    WeightedShares,
    sum_counts,
)
from leverdoor.entry.exchange.messages import (
    OWN_SCOPE,
    Digest,
    DigestScope,
    EntryHeartbeat,
    ExchangeMessage,
    LimitUpdate,
    QuarantineUpdate,
    RevisionAnnouncement,
    Shares,
)
from leverdoor.entry.exchange.recipients import Recipients
from leverdoor.entry.exchange.speed_encoding import parse_speeds, serialize_speeds
from leverdoor.entry.exchange.speed_relay import SpeedRelay
from leverdoor.entry.exchange.target_counts import TargetCountCodec
from leverdoor.entry.exchange.usage_encoding import Usage
from leverdoor.entry.exchange.usage_exchange import UsageExchange
from leverdoor.entry.exchange.warm_key_relay import WarmKeyRelay
from leverdoor.entry.membership.member import DigestRow, Member, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import HeartbeatObservation
from leverdoor.entry.membership.roles import Roles
from leverdoor.model.position import Position
from leverdoor.quarantine.notices import parse_notices, serialize_notices

__all__ = ["Exchange"]

SEQ_MODULUS = 256
"""Digests carry heartbeat sequence numbers modulo this, in one byte."""
MAX_REPORTED_COUNTS = 32
"""Maximum number of own heartbeats whose counts are retained.

The counts are subtracted from received sums. They cover 6.4 s, more than
`SUM_MAX_AGE_S`. With fewer, requests of this entry in a late digest would count as
requests of others.
"""
INITIAL_ROUND_MODULUS = 1_000
"""The initial round number is the member id modulo this.

Different initial numbers spread the rotations of the entries.
"""


class _ReportedCounts(msgspec.Struct, frozen=True):
    """The counts that one heartbeat of this entry reported."""

    in_flight: dict[str, int]
    use: Usage


class Exchange:
    """Builds this entry's messages and evaluates those of other entries."""

    def __init__(self, membership: Membership, roles: Roles) -> None:
        """Create the exchange for a membership and the roles of its entries."""
        self._membership = membership
        self._roles = roles
        self._own = membership.own
        self.target_count_codec = TargetCountCodec()
        self._round_number = member_id(self._own.name) % INITIAL_ROUND_MODULUS
        """Number of the current round; it starts at a hash of the name."""
        self._seq = 0
        self._reported_counts: OrderedDict[int, _ReportedCounts] = OrderedDict()
        self._merger = LoadMerger(self._own.domain)
        self.use = UsageExchange(membership)
        self._views = DomainViews(membership)
        self._warm_key_relay = WarmKeyRelay()
        self._speed_relay = SpeedRelay()
        self._admitted_keys = AdmittedKeyMeans()
        self.unserved = EntryReports(
            self._own, lambda h: h.unserved, lambda d: d.unserved
        )
        """The entries that the store does not answer."""
        self.without_links = EntryReports(
            self._own, lambda h: h.links_lost, lambda d: d.without_links
        )
        """The entries that have lost their links to all targets."""
        self._limits = LimitExchange(self._own.name)
        self._recipients = Recipients(membership, roles)
        self._digest_builder = DigestBuilder(
            membership,
            self.target_count_codec,
            self._merger,
            self._views,
            self._warm_key_relay,
            self._speed_relay,
            self._admitted_keys,
            self.unserved,
            self.without_links,
        )
        self._others_by_region: dict[str, tuple[float, dict[str, int]]] = {}
        """By region of the targets: time of the last digest with counts for a known
        target list, and the requests in flight of all other entries."""
        self._region_shares: Shares = {}
        self._region_admitted_keys: Shares = {}
        self._last_rounds: dict[tuple[str, DigestScope], tuple[int, int]] = {}
        """By sender and scope: incarnation and round number of its newest digest."""

    # Received messages.

    def take(
        self, message: ExchangeMessage, in_force: Position, now: float
    ) -> PeerUpdate:
        """Process a message of another entry and return what it reports.

        Args:
          message: the received message.
          in_force: the position in force at this entry.
          now: monotonic time in seconds.
        """
        if isinstance(message, RevisionAnnouncement):
            return PeerUpdate(
                source=message.pull if message.position > in_force else "",
                answer=_reported_answer(message),
            )
        if isinstance(message, QuarantineUpdate):
            return PeerUpdate(notices=parse_notices(message.notices))
        if isinstance(message, LimitUpdate):
            return PeerUpdate(limits=self._limits.receive(message, now))
        if isinstance(message, EntryHeartbeat):
            return self._handle_heartbeat(message, in_force, now)
        return self._handle_digest(message, in_force, now)

    def _handle_heartbeat(
        self, heartbeat: EntryHeartbeat, in_force: Position, now: float
    ) -> PeerUpdate:
        member = heartbeat.member
        if member.name == self._own.name or self._merger.is_outdated(heartbeat):
            return PeerUpdate()
        self._membership.update_member(member, now)
        row = DigestRow(member_id(member.name), member.incarnation, heartbeat.state)
        self._membership.record_heartbeat(HeartbeatObservation(row, now), now)
        known = self._membership.member(member.name)
        if known is None or known.incarnation != member.incarnation:
            return PeerUpdate()
        self._merger.record_heartbeat(heartbeat, now)
        self._admitted_keys.record_entry(member.name, heartbeat.admitted_keys, now)
        self.use.record_heartbeat(heartbeat, now)
        self.unserved.record_heartbeat(heartbeat, now)
        self.without_links.record_heartbeat(heartbeat, now)
        warm = parse_hashes(heartbeat.warm_keys)
        self._warm_key_relay.record_domain_keys(warm, now)
        speeds = parse_speeds(heartbeat.speeds)
        self._speed_relay.record_domain(speeds, now)
        return PeerUpdate(
            warm_keys=warm,
            speeds=speeds,
            outage_age_ms=heartbeat.outage_age_ms,
            source=member.pull if heartbeat.position > in_force else "",
            answer=_reported_answer(heartbeat),
        )

    def _handle_digest(
        self, digest: Digest, in_force: Position, now: float
    ) -> PeerUpdate:
        self._roles.record_digest(digest.sender, now)
        for view in digest.views:
            self._views.apply(view, now)
        sender = self._membership.member(digest.sender)
        source = digest.pull if digest.position > in_force else ""
        if sender is None or not self._accept_round(digest):
            return PeerUpdate(source=source)
        update = PeerUpdate(
            warm_keys=parse_hashes(digest.warm_keys),
            speeds=parse_speeds(digest.speeds),
            outage_age_ms=digest.outage_age_ms,
            source=source,
            answer=_reported_answer(digest),
        )
        if sender.region == self._own.region:
            self.unserved.record_digest(digest, sender, now)
            self.without_links.record_digest(digest, sender, now)
        if digest.scope == DigestScope.ALL:
            return self._record_all_entries(digest, sender, update, now)
        self._record_partial_sums(digest, sender, update, now)
        return update

    def _accept_round(self, digest: Digest) -> bool:
        """Record a digest's round; return whether it is newer than the recorded one.

        A digest of another incarnation of the sender always counts as newer.
        """
        sender_scope = (digest.sender, digest.scope)
        incarnation, round_number = self._last_rounds.get(sender_scope, (0, 0))
        if digest.incarnation == incarnation and digest.round_number <= round_number:
            return False
        self._last_rounds[sender_scope] = (digest.incarnation, digest.round_number)
        return True

    def _record_partial_sums(
        self, digest: Digest, sender: Member, update: PeerUpdate, now: float
    ) -> None:
        """Record the sums of another failure domain or region.

        Digests with scope DOMAIN also contain shares, warm keys and slow targets.
        Digests with scope REGION from the own region are ignored.
        """
        if digest.scope == DigestScope.DOMAIN:
            shares = WeightedShares(digest.entries, digest.shares)
            counts = self._parse_counts(digest)
            self._merger.record_domain(sender.domain, counts, shares, now)
            self._warm_key_relay.record_region_keys(update.warm_keys, now)
            self._speed_relay.record_other_domains(update.speeds, now)
            self._admitted_keys.record_domain(sender.domain, digest.admitted_keys, now)
            self.use.record_partial_sums(digest, sender, now)
        elif sender.region != self._own.region:
            self._merger.record_region(sender.region, self._parse_counts(digest), now)
            self.use.record_partial_sums(digest, sender, now)

    def _parse_counts(self, digest: Digest) -> dict[str, dict[str, int]]:
        """Return a digest's counts by region, without those of unknown target lists."""
        parsed = {
            loads.region: self.target_count_codec.parse(loads) for loads in digest.loads
        }
        return {r: counts for r, counts in parsed.items() if counts is not None}

    def _record_all_entries(
        self, digest: Digest, sender: Member, update: PeerUpdate, now: float
    ) -> PeerUpdate:
        """Record the shares and, unless this entry aggregates, the sums of all entries.

        Digests of another failure domain are ignored. An aggregator computes the sums
        itself.

        Returns: the update, extended by the counts and usage of all other entries.
        """
        if sender.domain != self._own.domain:
            return update
        if digest.shares:
            self._region_shares = digest.shares
            # Sent in the same rounds; empty once all regions admit all keys.
            self._region_admitted_keys = digest.admitted_keys
        if self._roles.is_aggregator(now):
            self._recipients.record_other_aggregator(digest.round_number, now)
            return update
        own_counts = self._own_counts_included(digest)
        for loads in digest.loads:
            counts = self.target_count_codec.parse(loads)
            if counts is not None:
                _subtract(own_counts.in_flight, counts)
                self._others_by_region[loads.region] = (now, counts)
        recent_sums = [
            c for at, c in self._others_by_region.values() if now - at <= SUM_MAX_AGE_S
        ]
        usage = self.use.usage_of_others_from_digest(digest, own_counts.use)
        return msgspec.structs.replace(
            update, others_in_flight=sum_counts(recent_sums), use=usage
        )

    def _own_counts_included(self, digest: Digest) -> _ReportedCounts:
        """Return the own counts that the sums of a digest include."""
        seq = self._views.own_heartbeat_seq(digest.views)
        return self._reported_counts.get(seq, _ReportedCounts({}, {}))

    # Sent messages.

    def heartbeat(self, status: EntryStatus) -> EntryHeartbeat:
        """Create the next heartbeat and retain its counts."""
        self._seq += 1
        self._reported_counts[self._seq % SEQ_MODULUS] = _ReportedCounts(
            status.in_flight, status.use
        )
        while len(self._reported_counts) > MAX_REPORTED_COUNTS:
            self._reported_counts.popitem(last=False)
        has_shares = self._seq % SHARES_INTERVAL_ROUNDS == 1
        return EntryHeartbeat(
            self._own,
            self._seq,
            status.state,
            status.position.revision,
            status.in_flight,
            status.shares if has_shares else {},
            status.outage_age_ms,
            serialize_hashes(status.warm_keys),
            self.use.serialize(status.use),
            status.answer.age_ms,
            status.answer.number,
            status.unserved,
            status.position.era,
            serialize_speeds(status.speeds),
            status.admitted_keys if has_shares else {},
            status.links_lost,
        )

    def heartbeat_messages(
        self, status: EntryStatus, now: float
    ) -> list[OutgoingMessage]:
        """Return a heartbeat to the aggregators. May be called between two rounds."""
        return [
            OutgoingMessage(
                self.heartbeat(status), self._recipients.own_aggregator_addresses(now)
            )
        ]

    def leave_messages(self, status: EntryStatus) -> list[OutgoingMessage]:
        """Return a heartbeat to all entries of the region.

        Recipients then omit this entry from look-up responses at once.
        """
        addresses = [m.gossip for m in self._membership.known_in_own_region()]
        return [OutgoingMessage(self.heartbeat(status), addresses)]

    def announce_revision(
        self, position: Position, answer: ReportedAnswer, now: float
    ) -> list[OutgoingMessage]:
        """Return the announcement of a newer position or of a newer confirmation.

        An ordinary entry sends it to the aggregators of its failure domain. An
        aggregator sends it to all entries of its failure domain and to other
        aggregators.

        Args:
          position: the position in force at this entry.
          answer: the newest answer of the store that confirms the position.
          now: monotonic time in seconds.
        """
        announcement = RevisionAnnouncement(
            position.revision,
            self._own.pull,
            answer.number,
            answer.age_ms,
            position.era,
        )
        return [OutgoingMessage(announcement, self._announcement_recipients(now))]

    def _announcement_recipients(self, now: float) -> list[str]:
        """Return the addresses to which this entry sends announcements."""
        if not self._roles.is_aggregator(now):
            return self._recipients.own_aggregator_addresses(now)
        live, silent = self._membership.own_domain_by_liveness(now)
        addresses = [m.gossip for m in (*live, *silent)]
        addresses += [m.gossip for m in self._recipients.other_domain_aggregators(now)]
        addresses += [
            m.gossip
            for m in self._recipients.select_remote_aggregators(self._round_number, now)
        ]
        return addresses

    def round(
        self, status: EntryStatus, now: float
    ) -> tuple[list[OutgoingMessage], PeerUpdate]:
        """Return the messages of a round and, at an aggregator, the sums of others."""
        self._round_number += 1
        outgoing = self.heartbeat_messages(status, now)
        if status.notices:
            outgoing.append(self._quarantine_message(status, now))
        is_aggregator = self._roles.is_aggregator(now)
        outgoing += self._limit_messages(status, is_aggregator, now)
        if not is_aggregator:
            self.use.stop_merging()
            return outgoing, PeerUpdate()
        self._region_shares = self._merger.region_shares(status.shares).shares
        self._region_admitted_keys = self._admitted_keys.region_mean(
            status.admitted_keys, now
        )
        update = PeerUpdate(
            others_in_flight=self._merger.counts_of_others(now),
            use=self.use.merged_usage_of_others(status.uptime_s, now),
        )
        return outgoing + self._build_digests(status, now), update

    def _quarantine_message(self, status: EntryStatus, now: float) -> OutgoingMessage:
        """Return the message with notices of requests that terminate targets.

        It goes to the recipients of announcements; each entry forwards notices that are
        new to it.
        """
        message = QuarantineUpdate(self._own.name, serialize_notices(status.notices))
        return OutgoingMessage(message, self._announcement_recipients(now))

    def _limit_messages(
        self, status: EntryStatus, is_aggregator: bool, now: float
    ) -> list[OutgoingMessage]:
        """Return the messages with targets' limits; they take the same path as digests.

        Selects recipients only for scopes that have limits to report. The selection
        consumes random numbers, so that others would change seeded runs.
        """
        self._limits.record_own(status.limits, now)
        scopes = DigestScope if is_aggregator else (OWN_SCOPE,)
        updates = {
            scope: self._limits.build_update(scope, self._round_number, now)
            for scope in scopes
        }
        outgoing = [
            OutgoingMessage(update, self._limit_recipients(scope, now))
            for scope, update in updates.items()
            if update is not None
        ]
        return [message for message in outgoing if message.destinations]

    def _limit_recipients(self, scope: int, now: float) -> list[str]:
        if scope == OWN_SCOPE:
            return self._recipients.own_aggregator_addresses(now)
        if scope == DigestScope.DOMAIN:
            return [m.gossip for m in self._recipients.other_domain_aggregators(now)]
        if scope == DigestScope.REGION:
            return [
                m.gossip
                for m in self._recipients.select_remote_aggregators(
                    self._round_number, now
                )
            ]
        return [m.gossip for m in self._membership.known_in_own_domain()]

    def _build_digests(self, status: EntryStatus, now: float) -> list[OutgoingMessage]:
        """Return an aggregator's digests of a round with their recipients."""
        digest_usage = self.use.build_digest_usage(status.use, status.uptime_s, now)
        digests = self._digest_builder.build(
            DigestRound(status, self._round_number, self._seq, digest_usage, now)
        )
        recipients = {
            DigestScope.DOMAIN: self._recipients.other_domain_aggregators(now),
            DigestScope.REGION: self._recipients.select_remote_aggregators(
                self._round_number, now
            ),
            DigestScope.ALL: self._recipients.select_domain_entries(
                self._round_number, now
            ),
        }
        outgoing = [
            OutgoingMessage(digest, [m.gossip for m in recipients[scope]])
            for scope, digest in digests.items()
        ]
        return [message for message in outgoing if message.destinations]

    def region_shares(self) -> Shares:
        """Return the last known mean of the shares over the entries of the region."""
        return self._region_shares

    def admitted_keys(self) -> Shares:
        """Return the last known mean fractions of keys that full regions admit."""
        return self._region_admitted_keys

    def forget(self, now: float) -> None:
        """Remove expired data."""
        self._merger.forget(now)
        self._admitted_keys.forget(now)
        self.use.forget(now)
        self._limits.forget(now)
        self._speed_relay.forget(now)


def _subtract(own: dict[str, int], counts: dict[str, int]) -> None:
    """Subtract own counts from sums in place; a sum does not become negative."""
    for name in own.keys() & counts.keys():
        counts[name] = max(counts[name] - own[name], 0)


def _reported_answer(
    message: EntryHeartbeat | Digest | RevisionAnnouncement,
) -> ReportedAnswer:
    """Return the store answer that confirms the sender's position."""
    return ReportedAnswer(message.position, message.answer, message.confirmed_ms)
