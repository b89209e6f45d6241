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

from leverdoor.entry.configuration.confirmation import ReportedAnswer
from leverdoor.entry.exchange.encoding import parse_ids, serialize_ids
from leverdoor.entry.exchange.exchange_types import EntryStatus, PeerUpdate, Sending
from leverdoor.entry.exchange.limit_exchange import LimitExchange
from leverdoor.entry.exchange.merging import PART_TRUST_S, MeanShares, Merger, merged
from leverdoor.entry.exchange.messages import (
    OWN_SCOPE,
    Digest,
    DigestScope,
    EntryHeartbeat,
    ExchangeMessage,
    LimitNews,
    News,
    QuarantineNews,
    Shares,
)
from leverdoor.entry.exchange.recipients import Recipients
from leverdoor.entry.exchange.round_digests import (
    SHARES_ROUNDS,
    DigestRound,
    RoundDigests,
)
from leverdoor.entry.exchange.target_counts import TargetLists
from leverdoor.entry.exchange.unserved import UnservedEntries
from leverdoor.entry.exchange.use_exchange import UseExchange
from leverdoor.entry.exchange.use_lists import Use
from leverdoor.entry.exchange.views import Views
from leverdoor.entry.exchange.warm_news import WarmNews
from leverdoor.entry.membership.member import DigestRow, Member, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import HeartbeatObservation
from leverdoor.entry.membership.roles import Roles
from leverdoor.quarantine.notices import parse_notices, serialize_notices

__all__ = ["Exchange"]

SEQS = 256
"""Numbers of heartbeats that digests tell apart: one byte."""
OWN_COUNTS_KEPT = 32
"""Own heartbeats whose counts are kept, to subtract them from what comes back.

6.4 s of heartbeats, longer than sums are used. With fewer, own requests in a late
digest would count as those of others.
"""
FIRST_TURNS = 1_000
"""Entries count rounds from one of so many numbers, which spreads their rotations."""


class _OwnCounts(msgspec.Struct, frozen=True):
    """What one of the own heartbeats counted."""

    in_flight: dict[str, int]
    use: Use


class Exchange:
    """The messages of this entry, and what it learns from those of others."""

    def __init__(self, membership: Membership, roles: Roles) -> None:
        """Create it around the entries known and their roles."""
        self._membership = membership
        self._roles = roles
        self._own = membership.own
        self.lists = TargetLists()
        self._turn = member_id(self._own.name) % FIRST_TURNS
        """Counts rounds."""
        self._seq = 0
        self._own_counts: OrderedDict[int, _OwnCounts] = OrderedDict()
        self._merger = Merger(self._own.domain)
        self.use = UseExchange(membership)
        self._views = Views(membership)
        self._warm_news = WarmNews()
        self.unserved = UnservedEntries(self._own)
        self._limits = LimitExchange(self._own.name)
        self._recipients = Recipients(membership, roles)
        self._round_digests = RoundDigests(
            membership,
            self.lists,
            self._merger,
            self._views,
            self._warm_news,
            self.unserved,
        )
        self._totals: dict[str, tuple[float, dict[str, int]]] = {}
        """By region, when a digest brought the requests of all others at its targets,
        and these. Counts of an unknown list of targets change nothing."""
        self._region_shares: Shares = {}
        self._last_digest: dict[tuple[str, DigestScope], tuple[int, int]] = {}
        """By sender and scope, its incarnation and round."""

    # Messages of others.

    def take(self, message: ExchangeMessage, revision: int, now: float) -> PeerUpdate:
        """Take a message.

        Args:
          message: what came.
          revision: the revision in force here.
          now: monotonic time in seconds.
        """
        if isinstance(message, News):
            return PeerUpdate(
                source=message.pull if message.revision > revision else "",
                answer=ReportedAnswer(
                    message.revision, message.answer, message.confirmed_ms
                ),
            )
        if isinstance(message, QuarantineNews):
            return PeerUpdate(notices=parse_notices(message.notices))
        if isinstance(message, LimitNews):
            return PeerUpdate(limits=self._limits.take(message, now))
        if isinstance(message, EntryHeartbeat):
            return self._take_heartbeat(message, revision, now)
        return self._take_digest(message, revision, now)

    def _take_heartbeat(
        self, heartbeat: EntryHeartbeat, revision: int, now: float
    ) -> PeerUpdate:
        member = heartbeat.member
        if member.name == self._own.name or self._merger.is_old(heartbeat):
            return PeerUpdate()
        self._membership.update_member(member, now)
        row = DigestRow(member_id(member.name), member.incarnation, heartbeat.state)
        self._membership.record_heartbeat(HeartbeatObservation(row, now), now)
        known = self._membership.member(member.name)
        if known is None or known.incarnation != member.incarnation:
            return PeerUpdate()
        self._merger.take_heartbeat(heartbeat, now)
        self.use.take_heartbeat(heartbeat, now)
        self.unserved.take_heartbeat(heartbeat, now)
        warm = parse_ids(heartbeat.warm)
        self._warm_news.take_from_domain(warm, now)
        return PeerUpdate(
            warm=warm,
            outage_ms=heartbeat.outage_ms,
            source=member.pull if heartbeat.revision > revision else "",
            answer=ReportedAnswer(
                heartbeat.revision, heartbeat.answer, heartbeat.confirmed_ms
            ),
        )

    def _take_digest(self, digest: Digest, revision: int, now: float) -> PeerUpdate:
        self._roles.record_digest(digest.sender, now)
        for view in digest.views:
            self._views.take(view, now)
        sender = self._membership.member(digest.sender)
        source = digest.pull if digest.revision > revision else ""
        if sender is None or not self._is_next(digest):
            return PeerUpdate(source=source)
        update = PeerUpdate(
            warm=parse_ids(digest.warm),
            outage_ms=digest.outage_ms,
            source=source,
            answer=ReportedAnswer(digest.revision, digest.answer, digest.confirmed_ms),
        )
        if sender.region == self._own.region:
            self.unserved.take_digest(digest, sender, now)
        if digest.scope == DigestScope.ALL:
            return self._take_total(digest, sender, update, now)
        self._take_part(digest, sender, update.warm, now)
        return update

    def _is_next(self, digest: Digest) -> bool:
        """Return whether a digest is newer than the last one of its sender."""
        place = (digest.sender, digest.scope)
        incarnation, turn = self._last_digest.get(place, (0, 0))
        if digest.incarnation == incarnation and digest.turn <= turn:
            return False
        self._last_digest[place] = (digest.incarnation, digest.turn)
        return True

    def _take_part(
        self, digest: Digest, sender: Member, warm: list[int], now: float
    ) -> None:
        """Take the sums of another failure domain or region."""
        if digest.scope == DigestScope.DOMAIN:
            shares = MeanShares(digest.entries, digest.shares)
            counts = self._parse_counts(digest)
            self._merger.take_domain(sender.domain, counts, shares, now)
            self._warm_news.take_from_region(warm, now)
            self.use.take_part(digest, sender, now)
        elif sender.region != self._own.region:
            self._merger.take_region(sender.region, self._parse_counts(digest), now)
            self.use.take_part(digest, sender, now)

    def _parse_counts(self, digest: Digest) -> dict[str, dict[str, int]]:
        """Return the counts of a digest by region, as far as their lists are known."""
        parsed = {loads.region: self.lists.parse(loads) for loads in digest.loads}
        return {r: counts for r, counts in parsed.items() if counts is not None}

    def _take_total(
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
            self._recipients.note_other_aggregator(digest.turn, now)
            return update
        own = self._own_counts_in(digest)
        for loads in digest.loads:
            counts = self.lists.parse(loads)
            if counts is not None:
                _subtract(own.in_flight, counts)
                self._totals[loads.region] = (now, counts)
        fresh = [c for at, c in self._totals.values() if now - at <= PART_TRUST_S]
        use = self.use.parse_total(digest, own.use)
        return msgspec.structs.replace(update, others=merged(fresh), use=use)

    def _own_counts_in(self, digest: Digest) -> _OwnCounts:
        """Return the own counts that the sums of a digest include."""
        seq = self._views.own_seq(digest.views)
        return self._own_counts.get(seq, _OwnCounts({}, {}))

    # Messages of this entry.

    def heartbeat(self, status: EntryStatus) -> EntryHeartbeat:
        """Return the next heartbeat, and keep its counts."""
        self._seq += 1
        self._own_counts[self._seq % SEQS] = _OwnCounts(status.in_flight, status.use)
        while len(self._own_counts) > OWN_COUNTS_KEPT:
            self._own_counts.popitem(last=False)
        return EntryHeartbeat(
            self._own,
            self._seq,
            status.state,
            status.revision,
            status.in_flight,
            status.shares if self._seq % SHARES_ROUNDS == 1 else {},
            status.outage_ms,
            serialize_ids(status.warm),
            self.use.serialize(status.use),
            status.answer.age_ms,
            status.answer.number,
            status.unserved,
        )

    def announce(self, status: EntryStatus, now: float) -> list[Sending]:
        """Return a heartbeat for the aggregators, also between two rounds."""
        return [Sending(self.heartbeat(status), self._recipients.aggregators(now))]

    def announce_leave(self, status: EntryStatus) -> list[Sending]:
        """Return a heartbeat for the whole region: this entry must not be named."""
        to = [m.gossip for m in self._membership.known_in_own_region()]
        return [Sending(self.heartbeat(status), to)]

    def news(self, revision: int, answer: ReportedAnswer, now: float) -> list[Sending]:
        """Return the news of a newer state, or of an answer that confirms it.

        They go to the aggregators of the own failure domain; from an aggregator, to
        its whole failure domain and to the other aggregators.

        Args:
          revision: the one in force here.
          answer: the store's newest answer that it rests on.
          now: monotonic time in seconds.
        """
        news = News(revision, self._own.pull, answer.number, answer.age_ms)
        return [Sending(news, self._news_recipients(now))]

    def _news_recipients(self, now: float) -> list[str]:
        """Return the addresses that get news from this entry first."""
        if not self._roles.is_aggregator(now):
            return self._recipients.aggregators(now)
        live, silent = self._membership.own_domain_by_liveness(now)
        to = [m.gossip for m in (*live, *silent)]
        to += [m.gossip for m in self._recipients.near(now)]
        to += [m.gossip for m in self._recipients.far(self._turn, now)]
        return to

    def round(
        self, status: EntryStatus, now: float
    ) -> tuple[list[Sending], PeerUpdate]:
        """Return what to send this round and, of an aggregator, the sums of others."""
        self._turn += 1
        sendings = self.announce(status, now)
        if status.notices:
            sendings.append(self._quarantine_news(status, now))
        aggregates = self._roles.is_aggregator(now)
        sendings += self._limit_news(status, aggregates, now)
        if not aggregates:
            self.use.stop_merging()
            return sendings, PeerUpdate()
        self._region_shares = self._merger.region_shares(status.shares).shares
        update = PeerUpdate(
            others=self._merger.of_others(now),
            use=self.use.of_others(status.uptime_s, now),
        )
        return sendings + self._digests(status, now), update

    def _quarantine_news(self, status: EntryStatus, now: float) -> Sending:
        """Return what to tell of requests that end targets, and to whom.

        It goes the way of news of the state; whoever it is new to passes it on.
        """
        message = QuarantineNews(self._own.name, serialize_notices(status.notices))
        return Sending(message, self._news_recipients(now))

    def _limit_news(
        self, status: EntryStatus, aggregates: bool, now: float
    ) -> list[Sending]:
        """Return what to tell of targets' limits, and to whom: the way of digests.

        Recipients are chosen only for what there is to tell, since that draws chance.
        """
        self._limits.note_own(status.limits, now)
        scopes = DigestScope if aggregates else (OWN_SCOPE,)
        told = {scope: self._limits.news(scope, self._turn, now) for scope in scopes}
        sendings = [
            Sending(news, self._limit_recipients(scope, now))
            for scope, news in told.items()
            if news is not None
        ]
        return [s for s in sendings if s.to]

    def _limit_recipients(self, scope: int, now: float) -> list[str]:
        if scope == OWN_SCOPE:
            return self._recipients.aggregators(now)
        if scope == DigestScope.DOMAIN:
            return [m.gossip for m in self._recipients.near(now)]
        if scope == DigestScope.REGION:
            return [m.gossip for m in self._recipients.far(self._turn, now)]
        return [m.gossip for m in self._membership.known_in_own_domain()]

    def _digests(self, status: EntryStatus, now: float) -> list[Sending]:
        """Return an aggregator's digests of a round, with their recipients."""
        use = self.use.summary(status.use, status.uptime_s, now)
        made = self._round_digests.make(
            DigestRound(status, self._turn, self._seq, use, now)
        )
        recipients = {
            DigestScope.DOMAIN: self._recipients.near(now),
            DigestScope.REGION: self._recipients.far(self._turn, now),
            DigestScope.ALL: self._recipients.own_domain(self._turn, now),
        }
        sendings = [
            Sending(digest, [m.gossip for m in recipients[scope]])
            for scope, digest in made.items()
        ]
        return [s for s in sendings if s.to]

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
