# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What entries report to each other, at any number of entries.

Each round an entry sends a heartbeat to the aggregators of its failure domain: the
two entries there with the widest links. Aggregators exchange digests of their
domains within the region, and digests of their regions with other regions, and
return one digest of everything to the entries of their domain in turn. What an
entry knows is therefore at most a few rounds old, at bytes and work that do not
grow with the number of entries but by a byte for each entry and target. There is
no agreement: two that both take themselves for an aggregator only cost bytes.

Owns what came in digests (sums of others by region, shares, the newest round of each
sender) and the counts of the own last heartbeats, all lost with the process and
complete again after a few rounds. Opens no socket and reads no clock: messages to send
are returned, the time is passed in. Relies on `Roles` for who aggregates.
"""

from collections import OrderedDict

import msgspec

from leverdoor.entry.configuration.confirmation import ToldAnswer
from leverdoor.entry.exchange.digest_builder import (
    SHARES_INTERVAL_ROUNDS,
    DigestBuilder,
    DigestRound,
)
from leverdoor.entry.exchange.domain_views import DomainViews
from leverdoor.entry.exchange.encoding import parse_ids, serialize_ids
from leverdoor.entry.exchange.exchange_types import (
    EntryStatus,
    OutgoingMessage,
    PeerUpdate,
)
from leverdoor.entry.exchange.limit_exchange import LimitExchange
from leverdoor.entry.exchange.merging import (
    SUM_MAX_AGE_S,
    MeanShares,
    Merger,
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
from leverdoor.entry.exchange.target_counts import TargetCountCodec
from leverdoor.entry.exchange.unserved import UnservedEntries
from leverdoor.entry.exchange.usage_encoding import Usage
from leverdoor.entry.exchange.usage_exchange import UsageExchange
from leverdoor.entry.exchange.warm_key_relay import WarmKeyRelay
from leverdoor.entry.membership.member import Member, MemberRow, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import LastSeen
from leverdoor.entry.membership.roles import Roles
from leverdoor.quarantine.notices import parse_notices, serialize_notices

__all__ = ["Exchange"]

SEQ_MODULUS = 256
"""Numbers of heartbeats that digests tell apart: one byte."""
MAX_REPORTED_COUNTS = 32
"""Own heartbeats whose counts are kept, to subtract them from what comes back.

6.4 s of heartbeats, longer than sums are used. With fewer, own requests in a late
digest would count as those of others.
"""
INITIAL_ROUND_MODULUS = 1_000
"""Entries count rounds from one of so many numbers, which spreads their rotations."""


class _ReportedCounts(msgspec.Struct, frozen=True):
    """What one of the own heartbeats counted."""

    in_flight: dict[str, int]
    use: Usage


class Exchange:
    """The messages of this entry, and what it learns from those of others."""

    def __init__(self, membership: Membership, roles: Roles) -> None:
        """Create it around the entries known and their roles."""
        self._membership = membership
        self._roles = roles
        self._own = membership.own
        self.target_count_codec = TargetCountCodec()
        self._round_number = member_id(self._own.name) % INITIAL_ROUND_MODULUS
        """Counts rounds."""
        self._seq = 0
        self._reported_counts: OrderedDict[int, _ReportedCounts] = OrderedDict()
        self._merger = Merger(self._own.domain)
        self.use = UsageExchange(membership)
        self._views = DomainViews(membership)
        self._warm_key_relay = WarmKeyRelay()
        self.unserved = UnservedEntries(self._own)
        self._limits = LimitExchange(self._own.name)
        self._recipients = Recipients(membership, roles)
        self._digest_builder = DigestBuilder(
            membership,
            self.target_count_codec,
            self._merger,
            self._views,
            self._warm_key_relay,
            self.unserved,
        )
        self._totals: dict[str, tuple[float, dict[str, int]]] = {}
        """By region, when a digest brought the requests of all others at its targets,
        and these. Counts of an unknown list of targets change nothing."""
        self._region_shares: Shares = {}
        self._last_rounds: dict[tuple[str, DigestScope], tuple[int, int]] = {}
        """By sender and scope, its incarnation and round."""

    # Messages of others.

    def take(self, message: ExchangeMessage, revision: int, now: float) -> PeerUpdate:
        """Take a message.

        Args:
          message: what came.
          revision: the revision in force here.
          now: monotonic time in seconds.
        """
        if isinstance(message, RevisionAnnouncement):
            return PeerUpdate(
                source=message.pull if message.revision > revision else "",
                answer=ToldAnswer(
                    message.revision, message.answer, message.confirmed_ms
                ),
            )
        if isinstance(message, QuarantineUpdate):
            return PeerUpdate(notices=parse_notices(message.notices))
        if isinstance(message, LimitUpdate):
            return PeerUpdate(limits=self._limits.receive(message, now))
        if isinstance(message, EntryHeartbeat):
            return self._handle_heartbeat(message, revision, now)
        return self._handle_digest(message, revision, now)

    def _handle_heartbeat(
        self, heartbeat: EntryHeartbeat, revision: int, now: float
    ) -> PeerUpdate:
        member = heartbeat.member
        if member.name == self._own.name or self._merger.is_outdated(heartbeat):
            return PeerUpdate()
        self._membership.introduce(member, now)
        row = MemberRow(member_id(member.name), member.incarnation, heartbeat.state)
        self._membership.observe(LastSeen(row, now), now)
        known = self._membership.member(member.name)
        if known is None or known.incarnation != member.incarnation:
            return PeerUpdate()
        self._merger.record_heartbeat(heartbeat, now)
        self.use.record_heartbeat(heartbeat, now)
        self.unserved.record_heartbeat(heartbeat, now)
        warm = parse_ids(heartbeat.warm_keys)
        self._warm_key_relay.record_domain_keys(warm, now)
        return PeerUpdate(
            warm_keys=warm,
            outage_ms=heartbeat.outage_ms,
            source=member.pull if heartbeat.revision > revision else "",
            answer=ToldAnswer(
                heartbeat.revision, heartbeat.answer, heartbeat.confirmed_ms
            ),
        )

    def _handle_digest(self, digest: Digest, revision: int, now: float) -> PeerUpdate:
        self._roles.note_digest(digest.sender, now)
        for view in digest.views:
            self._views.record(view, now)
        sender = self._membership.member(digest.sender)
        source = digest.pull if digest.revision > revision else ""
        if sender is None or not self._is_newer(digest):
            return PeerUpdate(source=source)
        update = PeerUpdate(
            warm_keys=parse_ids(digest.warm_keys),
            outage_ms=digest.outage_ms,
            source=source,
            answer=ToldAnswer(digest.revision, digest.answer, digest.confirmed_ms),
        )
        if sender.region == self._own.region:
            self.unserved.record_digest(digest, sender, now)
        if digest.scope == DigestScope.ALL:
            return self._record_total(digest, sender, update, now)
        self._record_partial_sums(digest, sender, update.warm_keys, now)
        return update

    def _is_newer(self, digest: Digest) -> bool:
        """Return whether a digest is newer than the last one of its sender."""
        sender_scope = (digest.sender, digest.scope)
        incarnation, round_number = self._last_rounds.get(sender_scope, (0, 0))
        if digest.incarnation == incarnation and digest.round_number <= round_number:
            return False
        self._last_rounds[sender_scope] = (digest.incarnation, digest.round_number)
        return True

    def _record_partial_sums(
        self, digest: Digest, sender: Member, warm: list[int], now: float
    ) -> None:
        """Take the sums of another failure domain or region."""
        if digest.scope == DigestScope.DOMAIN:
            shares = MeanShares(digest.entries, digest.shares)
            counts = self._parse_counts(digest)
            self._merger.record_domain(sender.domain, counts, shares, now)
            self._warm_key_relay.record_region_keys(warm, now)
            self.use.record_partial_sums(digest, sender, now)
        elif sender.region != self._own.region:
            self._merger.record_region(sender.region, self._parse_counts(digest), now)
            self.use.record_partial_sums(digest, sender, now)

    def _parse_counts(self, digest: Digest) -> dict[str, dict[str, int]]:
        """Return the counts of a digest by region, as far as their lists are known."""
        parsed = {
            loads.region: self.target_count_codec.parse(loads) for loads in digest.loads
        }
        return {r: counts for r, counts in parsed.items() if counts is not None}

    def _record_total(
        self, digest: Digest, sender: Member, update: PeerUpdate, now: float
    ) -> PeerUpdate:
        """Take the sums of all entries, and subtract the own counts from them.

        An aggregator does not use them: it makes such sums itself.
        """
        if sender.domain != self._own.domain:
            return update
        if digest.shares:
            self._region_shares = digest.shares
        if self._roles.is_aggregator(now):
            self._recipients.record_other_aggregator(digest.round_number, now)
            return update
        own_counts = self._own_counts_included(digest)
        for loads in digest.loads:
            counts = self.target_count_codec.parse(loads)
            if counts is not None:
                _subtract(own_counts.in_flight, counts)
                self._totals[loads.region] = (now, counts)
        recent_sums = [
            c for at, c in self._totals.values() if now - at <= SUM_MAX_AGE_S
        ]
        usage = self.use.usage_of_others_in(digest, own_counts.use)
        return msgspec.structs.replace(
            update, others_in_flight=sum_counts(recent_sums), use=usage
        )

    def _own_counts_included(self, digest: Digest) -> _ReportedCounts:
        """Return the own counts that the sums of a digest include."""
        seq = self._views.own_heartbeat_seq(digest.views)
        return self._reported_counts.get(seq, _ReportedCounts({}, {}))

    # Messages of this entry.

    def heartbeat(self, status: EntryStatus) -> EntryHeartbeat:
        """Return the next heartbeat, and keep its counts."""
        self._seq += 1
        self._reported_counts[self._seq % SEQ_MODULUS] = _ReportedCounts(
            status.in_flight, status.use
        )
        while len(self._reported_counts) > MAX_REPORTED_COUNTS:
            self._reported_counts.popitem(last=False)
        return EntryHeartbeat(
            self._own,
            self._seq,
            status.state,
            status.revision,
            status.in_flight,
            status.shares if self._seq % SHARES_INTERVAL_ROUNDS == 1 else {},
            status.outage_ms,
            serialize_ids(status.warm_keys),
            self.use.serialize(status.use),
            status.answer.age_ms,
            status.answer.number,
            status.unserved,
        )

    def announce(self, status: EntryStatus, now: float) -> list[OutgoingMessage]:
        """Return a heartbeat for the aggregators, also between two rounds."""
        return [
            OutgoingMessage(self.heartbeat(status), self._recipients.aggregators(now))
        ]

    def announce_leave(self, status: EntryStatus) -> list[OutgoingMessage]:
        """Return a heartbeat for the whole region: this entry must not be named."""
        addresses = [m.gossip for m in self._membership.in_own_region()]
        return [OutgoingMessage(self.heartbeat(status), addresses)]

    def announce_revision(
        self, revision: int, answer: ToldAnswer, now: float
    ) -> list[OutgoingMessage]:
        """Return the news of a newer state, or of an answer that confirms it.

        They go to the aggregators of the own failure domain; from an aggregator, to
        its whole failure domain and to the other aggregators.

        Args:
          revision: the one in force here.
          answer: the store's newest answer that it rests on.
          now: monotonic time in seconds.
        """
        announcement = RevisionAnnouncement(
            revision, self._own.pull, answer.number, answer.age_ms
        )
        return [OutgoingMessage(announcement, self._announcement_recipients(now))]

    def _announcement_recipients(self, now: float) -> list[str]:
        """Return the addresses that get news from this entry first."""
        if not self._roles.is_aggregator(now):
            return self._recipients.aggregators(now)
        live, silent = self._membership.own_domain_by_liveness(now)
        addresses = [m.gossip for m in (*live, *silent)]
        addresses += [m.gossip for m in self._recipients.region_aggregators(now)]
        addresses += [
            m.gossip
            for m in self._recipients.remote_aggregators(self._round_number, now)
        ]
        return addresses

    def round(
        self, status: EntryStatus, now: float
    ) -> tuple[list[OutgoingMessage], PeerUpdate]:
        """Return what to send this round and, of an aggregator, the sums of others."""
        self._round_number += 1
        outgoing = self.announce(status, now)
        if status.notices:
            outgoing.append(self._quarantine_message(status, now))
        is_aggregator = self._roles.is_aggregator(now)
        outgoing += self._limit_messages(status, is_aggregator, now)
        if not is_aggregator:
            self.use.stop_merging()
            return outgoing, PeerUpdate()
        self._region_shares = self._merger.region_shares(status.shares).shares
        update = PeerUpdate(
            others_in_flight=self._merger.counts_of_others(now),
            use=self.use.usage_of_others(status.uptime_s, now),
        )
        return outgoing + self._build_digests(status, now), update

    def _quarantine_message(self, status: EntryStatus, now: float) -> OutgoingMessage:
        """Return what to tell of requests that end targets, and to whom.

        It goes the way of news of the state; whoever it is new to passes it on.
        """
        message = QuarantineUpdate(self._own.name, serialize_notices(status.notices))
        return OutgoingMessage(message, self._announcement_recipients(now))

    def _limit_messages(
        self, status: EntryStatus, is_aggregator: bool, now: float
    ) -> list[OutgoingMessage]:
        """Return what to tell of targets' limits, and to whom: the way of digests.

        Recipients are chosen only for what there is to tell, since that draws chance.
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
        return [s for s in outgoing if s.destinations]

    def _limit_recipients(self, scope: int, now: float) -> list[str]:
        if scope == OWN_SCOPE:
            return self._recipients.aggregators(now)
        if scope == DigestScope.DOMAIN:
            return [m.gossip for m in self._recipients.region_aggregators(now)]
        if scope == DigestScope.REGION:
            return [
                m.gossip
                for m in self._recipients.remote_aggregators(self._round_number, now)
            ]
        return [m.gossip for m in self._membership.in_own_domain()]

    def _build_digests(self, status: EntryStatus, now: float) -> list[OutgoingMessage]:
        """Return an aggregator's digests of a round, with their recipients."""
        digest_usage = self.use.build_digest_usage(status.use, status.uptime_s, now)
        digests = self._digest_builder.build(
            DigestRound(status, self._round_number, self._seq, digest_usage, now)
        )
        recipients = {
            DigestScope.DOMAIN: self._recipients.region_aggregators(now),
            DigestScope.REGION: self._recipients.remote_aggregators(
                self._round_number, now
            ),
            DigestScope.ALL: self._recipients.domain_entries(self._round_number, now),
        }
        outgoing = [
            OutgoingMessage(digest, [m.gossip for m in recipients[scope]])
            for scope, digest in digests.items()
        ]
        return [s for s in outgoing if s.destinations]

    def region_shares(self) -> Shares:
        """Return the mean of the region's entries' shares, as last known."""
        return self._region_shares

    def forget(self, now: float) -> None:
        """Drop what is too old to be used."""
        self._merger.forget(now)
        self.use.forget(now)
        self._limits.forget(now)


def _subtract(own: dict[str, int], counts: dict[str, int]) -> None:
    """Subtract own counts from sums, in place; a sum does not go below 0."""
    for name in own.keys() & counts.keys():
        counts[name] = max(counts[name] - own[name], 0)
