# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How entries tell each other how they fare, whatever their number.

Each round an entry sends a heartbeat to the aggregators of its failure domain: the
two entries there with the widest links. Aggregators exchange digests of their
domains within the region, and digests of their regions with other regions, and
return one digest of everything to the entries of their domain in turn. What an
entry knows is therefore at most a few rounds old, at bytes and work that do not
grow with the number of entries but by a byte for each entry and target. There is
no agreement: two that both take themselves for an aggregator only cost bytes.

Decisions only: what to send is returned, the time is passed in.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import msgspec

from leverdoor.entry.exchange.exchange_types import EntryStatus, PeerUpdate, Sending
from leverdoor.entry.exchange.merging import PART_TRUST_S, MeanShares, Merger, merged
from leverdoor.entry.exchange.messages import (
    Digest,
    DigestScope,
    DomainView,
    EntryHeartbeat,
    Message,
    News,
    RegionCounts,
    Shares,
    TargetLists,
    parse_ids,
    serialize_ids,
)
from leverdoor.entry.exchange.recipients import Partners, in_turn
from leverdoor.entry.exchange.use_exchange import UseExchange, UseSummary
from leverdoor.entry.exchange.use_lists import Use
from leverdoor.entry.exchange.views import Views
from leverdoor.entry.exchange.warm_news import WarmNews
from leverdoor.entry.membership.member import MemberRow, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import LastSeen
from leverdoor.entry.membership.roles import Roles

__all__ = ["Exchange"]

SHARE_ROUNDS = 5
"""Rounds between two tellings of the regions' shares, which move in seconds."""
FAR_REGIONS = 9
"""Other regions told of in one digest at most; 27 are all told within 0.6 s."""
FAR_DOMAINS = 18
"""Failure domains of other regions told of in one digest at most; two a region."""
OWN_COUNTS_KEPT = 32
"""Own heartbeats whose counts are kept, to subtract them from what comes back."""


class _OwnCounts(msgspec.Struct, frozen=True):
    """What one of the own heartbeats counted."""

    in_flight: dict[str, int]
    use: Use


class Exchange:
    """What this entry tells others, and what it learns from them."""

    def __init__(self, membership: Membership, roles: Roles) -> None:
        """Create it around the entries known and their roles."""
        self._membership = membership
        self._roles = roles
        self._own = membership.own
        self.lists = TargetLists()
        self._turn = member_id(self._own.name) % 1_000
        """Counts rounds; entries start at different places in their rotations."""
        self._seq = 0
        self._own_counts: OrderedDict[int, _OwnCounts] = OrderedDict()
        self._merger = Merger(self._own.domain)
        self.use = UseExchange(membership)
        self._views = Views(membership)
        self._warm_news = WarmNews()
        self._partners = Partners(membership, roles)
        self._totals: dict[str, tuple[float, dict[str, int]]] = {}
        """By region, the requests of all others at its targets, and when a digest told
        them; digests that mean a list of targets not known here tell nothing."""
        self._region_shares: Shares = {}
        self._last_digest: dict[tuple[str, DigestScope], tuple[int, int]] = {}
        """By sender and scope, its incarnation and round."""

    # What others tell.

    def take(self, message: Message, revision: int, now: float) -> PeerUpdate:
        """Take a message.

        Args:
          message: what came.
          revision: the revision in force here.
          now: monotonic time in seconds.
        """
        if isinstance(message, News):
            return PeerUpdate(
                source=message.pull if message.revision > revision else ""
            )
        if isinstance(message, EntryHeartbeat):
            return self._take_heartbeat(message, revision, now)
        return self._take_digest(message, revision, now)

    def _take_heartbeat(
        self, heard: EntryHeartbeat, revision: int, now: float
    ) -> PeerUpdate:
        name = heard.member.name
        if name == self._own.name or self._merger.is_old(heard):
            return PeerUpdate()
        self._membership.introduce(heard.member, now)
        row = MemberRow(member_id(name), heard.member.incarnation, heard.state)
        self._membership.observe(LastSeen(row, now), now)
        known = self._membership.member(name)
        if known is None or known.incarnation != heard.member.incarnation:
            return PeerUpdate()
        self._merger.take_heartbeat(heard, now)
        self.use.take_heartbeat(heard, now)
        warm = parse_ids(heard.warm)
        self._warm_news.take_from_domain(warm, now)
        source = heard.member.pull if heard.revision > revision else ""
        return PeerUpdate(
            warm=warm,
            outage_ms=heard.outage_ms,
            source=source,
            confirmed_ms=heard.confirmed_ms,
        )

    def _take_digest(self, digest: Digest, revision: int, now: float) -> PeerUpdate:
        self._roles.note_digest(digest.sender, now)
        for view in digest.views:
            self._views.take(view, now)
        sender = self._membership.member(digest.sender)
        source = digest.pull if digest.revision > revision else ""
        if sender is None or not self._is_next(digest):
            return PeerUpdate(source=source)
        warm = parse_ids(digest.warm)
        others = None
        if digest.scope == DigestScope.DOMAIN:
            shares = MeanShares(digest.entries, digest.shares)
            counts = self._parse_counts(digest)
            self._merger.take_domain(sender.domain, counts, shares, now)
            self._warm_news.take_from_region(warm, now)
            self.use.take_part(digest, sender, now)
        elif digest.scope == DigestScope.REGION and sender.region != self._own.region:
            self._merger.take_region(sender.region, self._parse_counts(digest), now)
            self.use.take_part(digest, sender, now)
        elif digest.scope == DigestScope.ALL and sender.domain == self._own.domain:
            others = self._take_total(digest, now)
        use = None
        if others is not None:
            use = self.use.parse_total(digest, self._counted(digest).use)
        return PeerUpdate(
            others, warm, digest.outage_ms, source, digest.confirmed_ms, use
        )

    def _is_next(self, digest: Digest) -> bool:
        """Return whether a digest is newer than the last one of its sender."""
        place = (digest.sender, digest.scope)
        incarnation, turn = self._last_digest.get(place, (0, 0))
        if digest.incarnation == incarnation and digest.turn <= turn:
            return False
        self._last_digest[place] = (digest.incarnation, digest.turn)
        return True

    def _parse_counts(self, digest: Digest) -> dict[str, dict[str, int]]:
        """Return the counts of a digest by region, as far as their lists are known."""
        parsed = {loads.region: self.lists.parse(loads) for loads in digest.loads}
        return {r: counts for r, counts in parsed.items() if counts is not None}

    def _take_total(self, digest: Digest, now: float) -> dict[str, int] | None:
        """Return what others have, once the digest's sums are less one's own."""
        if digest.shares:
            self._region_shares = digest.shares
        if self._roles.is_aggregator(now):
            self._partners.heard_fellow(digest.turn, now)
            return None
        for loads in digest.loads:
            counts = self.lists.parse(loads)
            if counts is not None:
                others = self._without_own(counts, digest)
                self._totals[loads.region] = (now, others)
        fresh = [c for at, c in self._totals.values() if now - at <= PART_TRUST_S]
        return merged(fresh)

    def _without_own(self, counts: dict[str, int], digest: Digest) -> dict[str, int]:
        own = self._counted(digest).in_flight
        for name in own.keys() & counts.keys():
            counts[name] = max(counts[name] - own[name], 0)
        return counts

    def _counted(self, digest: Digest) -> "_OwnCounts":
        """Return the own counts that a digest of everything holds."""
        seq = self._views.own_seq(digest.views)
        return self._own_counts.get(seq, _OwnCounts({}, {}))

    # What this entry tells.

    def heartbeat(self, report: EntryStatus) -> EntryHeartbeat:
        """Return the next heartbeat."""
        self._seq += 1
        self._own_counts[self._seq % 256] = _OwnCounts(report.in_flight, report.use)
        while len(self._own_counts) > OWN_COUNTS_KEPT:
            self._own_counts.popitem(last=False)
        return EntryHeartbeat(
            self._own,
            self._seq,
            report.state,
            report.revision,
            report.in_flight,
            report.shares if self._seq % SHARE_ROUNDS == 1 else {},
            report.outage_ms,
            serialize_ids(report.warm),
            self.use.serialize(report.use),
            report.confirmed_ms,
        )

    def announce(self, report: EntryStatus, now: float) -> list[Sending]:
        """Tell the aggregators a changed state between two rounds."""
        return [Sending(self.heartbeat(report), self._partners.aggregators(now))]

    def say_goodbye(self, report: EntryStatus) -> list[Sending]:
        """Tell the whole region that this entry leaves: it must not be named."""
        to = [m.gossip for m in self._membership.in_own_region()]
        return [Sending(self.heartbeat(report), to)]

    def news(self, revision: int, now: float) -> list[Sending]:
        """Tell of a newer state: those that pass it on, and the own domain."""
        to = self._partners.aggregators(now)
        if self._roles.is_aggregator(now):
            live, silent = self._membership.in_own_domain(now)
            to = [m.gossip for m in (*live, *silent)]
            to += [m.gossip for m in self._partners.near(now)]
            to += [m.gossip for m in self._partners.far(self._turn, now)]
        return [Sending(News(revision, self._own.pull), to)]

    def round(
        self, report: EntryStatus, now: float
    ) -> tuple[list[Sending], PeerUpdate]:
        """Return what to send this round, and what the sums of others are."""
        self._turn += 1
        sendings = self.announce(report, now)
        if not self._roles.is_aggregator(now):
            self.use.merge_no_more()
            return sendings, PeerUpdate()
        self._region_shares = self._merger.region_shares(report.shares).shares
        heard = PeerUpdate(
            others=self._merger.of_others(now),
            use=self.use.of_others(report.lived_s, now),
        )
        return sendings + self._digests(report, now), heard

    def region_shares(self) -> Shares:
        """Return the mean of the region's entries' shares, as last known."""
        return self._region_shares

    def forget(self, now: float) -> None:
        """Drop what entries that are gone told."""
        self._merger.forget(now)
        self.use.forget(now)

    def _digests(self, report: EntryStatus, now: float) -> list[Sending]:
        """Return an aggregator's digests of a round."""
        domain = self._merger.of_domain(report.in_flight, now)
        region = self._merger.with_domains(domain, now)
        total = self._merger.with_regions(region, now)
        use = self.use.tell(report.use, report.lived_s, now)
        near = self._membership.domains(self._own.region)
        views = [self._view(name, report, now) for name in near]
        without_seqs = [msgspec.structs.replace(v, seqs=b"") for v in views]
        sendings = [
            Sending(
                self._domain_digest(report, domain, without_seqs, use, now),
                [m.gossip for m in self._partners.near(now)],
            ),
            Sending(
                self._digest(
                    report,
                    DigestScope.REGION,
                    without_seqs,
                    self._counts(region, self.lists.regions()),
                    use,
                ),
                [m.gossip for m in self._partners.far(self._turn, now)],
            ),
            Sending(
                self._total_digest(report, total, views, use, now),
                [m.gossip for m in self._partners.audience(self._turn, now)],
            ),
        ]
        return [s for s in sendings if s.to]

    def _domain_digest(
        self,
        report: EntryStatus,
        counts: dict[str, int],
        views: list[DomainView],
        use: UseSummary,
        now: float,
    ) -> Digest:
        mean = self._merger.domain_shares(report.shares)
        warm = self._warm_news.for_region(report.warm, now)
        digest = self._digest(
            report,
            DigestScope.DOMAIN,
            views,
            self._counts(counts, self.lists.regions()),
            use,
        )
        return self._with_shares(digest, mean, warm)

    def _total_digest(
        self,
        report: EntryStatus,
        counts: dict[str, int],
        near: list[DomainView],
        use: UseSummary,
        now: float,
    ) -> Digest:
        far = [
            domain
            for region in self._membership.other_regions()
            for domain in self._membership.domains(region)
        ]
        far_views = [
            self._view(domain, report, now)
            for domain in in_turn(far, FAR_DOMAINS, self._turn)
        ]
        others = [r for r in self.lists.regions() if r != self._own.region]
        regions = [self._own.region, *in_turn(others, FAR_REGIONS, self._turn)]
        digest = self._digest(
            report,
            DigestScope.ALL,
            near + far_views,
            self._counts(counts, regions),
            use,
        )
        mean = self._merger.region_shares(report.shares)
        warm = self._warm_news.for_domain(report.warm, now)
        return self._with_shares(digest, mean, warm)

    def _with_shares(self, digest: Digest, mean: MeanShares, warm: list[int]) -> Digest:
        """Return a digest with shares, in some rounds, and with news of warm keys."""
        tells = self._turn % SHARE_ROUNDS < 2
        return msgspec.structs.replace(
            digest,
            entries=mean.entries,
            shares=mean.shares if tells else {},
            warm=serialize_ids(warm),
        )

    def _digest(
        self,
        report: EntryStatus,
        scope: DigestScope,
        views: list[DomainView],
        loads: list[RegionCounts],
        use: UseSummary,
    ) -> Digest:
        return Digest(
            self._own.name,
            scope,
            self._turn,
            self._own.incarnation,
            report.revision,
            self._own.pull,
            views,
            loads,
            outage_ms=report.outage_ms,
            use=use.by_scope[scope],
            use_age_ms=use.age_ms,
            silent=use.silent[scope],
            confirmed_ms=report.confirmed_ms,
            merged_ms=use.merged_ms,
        )

    def _view(self, domain: str, report: EntryStatus, now: float) -> DomainView:
        return self._views.make(domain, report.state, self._newest_seq, self._turn, now)

    def _newest_seq(self, name: str) -> int:
        return self._seq if name == self._own.name else self._merger.seq(name)

    def _counts(
        self, counts: Mapping[str, int], regions: Iterable[str]
    ) -> list[RegionCounts]:
        return [
            self.lists.serialize(region, counts)
            for region in regions
            if region in self.lists.regions()
        ]
