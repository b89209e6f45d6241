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

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Mapping
from typing import TypeVar

import msgspec

from leverdoor.entry.digests import (
    AGE_STEP_S,
    OLDEST_STEPS,
    Digest,
    DigestScope,
    DomainView,
    Heartbeat,
    Message,
    News,
    RegionCounts,
    Shares,
    TargetLists,
    parse_ids,
    parse_rows,
    rows_hash,
    serialize_ages,
    serialize_ids,
    serialize_rows,
)
from leverdoor.entry.member import EntryState, Member, member_id
from leverdoor.entry.membership import (
    HEARTBEAT_S,
    NEVER,
    MemberRow,
    Membership,
    Sighting,
)

__all__ = ["Exchange", "Heard", "Report", "Sending"]

SHARE_ROUNDS = 5
"""Rounds between two tellings of the regions' shares, which move in seconds."""
SILENT_ROUNDS = 5
"""Rounds between two digests to entries that went silent, so that they come back."""
ROWS_REPEAT_S = 0.7
"""How long changed rows are repeated in digests: three rounds, some may be lost."""
WARM_REPEAT_S = 0.5
"""How long news of warm keys are repeated; two rounds and a half."""
WARM_SPACING_S = 1.0
"""Time within which an aggregator passes the same news of a warm key on once."""
MOST_WARM = 128
"""News of warm keys in one digest at most: 512 bytes."""
MOST_WARM_SEEN = 4_096
"""News of warm keys remembered as passed on; 32 digests full of them."""
FAR_PARTNERS = 2
"""Aggregators of another region told in one round at most, if it has more of them."""
UNPAIRED_ROUNDS = 3
"""One round in so many goes to another aggregator than the paired one."""
FAR_REGIONS = 9
"""Other regions told of in one digest at most; 27 are all told within 0.6 s."""
FAR_DOMAINS = 18
"""Failure domains of other regions told of in one digest at most; two a region."""
HEARTBEAT_TRUST_S = 1.0
"""Age up to which an entry's own counts are summed; five heartbeats."""
PART_TRUST_S = 2.5
"""Age up to which the counts of another domain or region are summed, as a target's
load by its own report would be."""
OWN_COUNTS_KEPT = 32
"""Own heartbeats whose counts are kept, to subtract them from what comes back."""
KEPT_ROWS = 512
"""Serialized rows kept by hash; some for each of the aim's 56 failure domains."""


T = TypeVar("T")


class Report(msgspec.Struct, frozen=True):
    """How this entry fares, as its heartbeats tell it."""

    state: EntryState
    revision: int
    in_flight: dict[str, int]
    shares: Shares
    outage_ms: int
    warm: list[int]


class Sending(msgspec.Struct, frozen=True):
    """A message, and the addresses that get it."""

    message: Message
    to: list[str]


class Heard(msgspec.Struct, frozen=True):
    """What a message or a round tells the other parts of this entry."""

    others: dict[str, int] | None = None
    """Requests that all other entries have at each target; None if not told."""
    warm: list[int] = []
    outage_ms: int = -1
    source: str = ""
    """Where a newer state can be fetched; empty if there is none."""


class _Part(msgspec.Struct):
    """What a failure domain or region told of its requests and shares."""

    at: float
    counts: dict[str, int]
    entries: int = 1
    shares: Shares = {}


class Exchange:
    """What this entry tells others, and what it learns from them."""

    def __init__(self, membership: Membership) -> None:
        """Create it around what is known of the entries."""
        self._membership = membership
        self._own = membership.own
        self.lists = TargetLists()
        self._turn = member_id(self._own.name) % 1_000
        """Counts rounds; entries start at different places in their rotations."""
        self._seq = 0
        self._own_counts: OrderedDict[int, dict[str, int]] = OrderedDict()
        self._heartbeats: dict[str, tuple[float, Heartbeat]] = {}
        self._member_shares: dict[str, Shares] = {}
        self._domains: dict[str, _Part] = {}
        self._regions: dict[str, _Part] = {}
        self._totals: dict[str, dict[str, int]] = {}
        """By region, the requests of all at its targets, from digests."""
        self._digested: tuple[int, Shares] = (0, {})
        self._last_digest: dict[tuple[str, DigestScope], tuple[int, int]] = {}
        """By sender and scope, its incarnation and round."""
        self._fellow_round: tuple[float, int] = (NEVER, 0)
        """When the domain's first aggregator told the domain, and its round then."""
        self._rows: OrderedDict[int, list[MemberRow]] = OrderedDict()
        self._row_changes: dict[str, tuple[int, float]] = {}
        self._warm_domain: deque[tuple[float, int]] = deque(maxlen=MOST_WARM)
        self._warm_region: deque[tuple[float, int]] = deque(maxlen=MOST_WARM)
        self._warm_seen: OrderedDict[int, float] = OrderedDict()

    # What others tell.

    def take(self, message: Message, revision: int, now: float) -> Heard:
        """Take a message.

        Args:
          message: what came.
          revision: the revision in force here.
          now: monotonic time in seconds.
        """
        if isinstance(message, News):
            return Heard(source=message.pull if message.revision > revision else "")
        if isinstance(message, Heartbeat):
            return self._take_heartbeat(message, revision, now)
        return self._take_digest(message, revision, now)

    def _take_heartbeat(self, heard: Heartbeat, revision: int, now: float) -> Heard:
        name = heard.member.name
        if name == self._own.name or self._is_old(heard):
            return Heard()
        self._membership.introduce(heard.member, now)
        row = MemberRow(member_id(name), heard.member.incarnation, heard.state)
        self._membership.sight(Sighting(row, now), now)
        known = self._membership.member(name)
        if known is None or known.incarnation != heard.member.incarnation:
            return Heard()
        self._heartbeats[name] = (now, heard)
        if heard.shares:
            self._member_shares[name] = heard.shares
        warm = parse_ids(heard.warm)
        self._pass_on(warm, self._warm_domain, now)
        source = heard.member.pull if heard.revision > revision else ""
        return Heard(warm=warm, outage_ms=heard.outage_ms, source=source)

    def _is_old(self, heard: Heartbeat) -> bool:
        """Return whether a heartbeat was overtaken by a later one of its life."""
        _, last = self._heartbeats.get(heard.member.name, (0.0, None))
        if last is None or last.member.incarnation != heard.member.incarnation:
            return False
        return heard.seq <= last.seq

    def _take_digest(self, digest: Digest, revision: int, now: float) -> Heard:
        self._membership.digest_came(digest.sender, now)
        for view in digest.views:
            self._take_view(view, now)
        sender = self._membership.member(digest.sender)
        source = digest.pull if digest.revision > revision else ""
        if sender is None or not self._is_next(digest):
            return Heard(source=source)
        warm = parse_ids(digest.warm)
        others = None
        if digest.scope == DigestScope.DOMAIN:
            self._take_domain(digest, sender, now)
            self._pass_on(warm, self._warm_region, now)
        elif digest.scope == DigestScope.REGION:
            self._take_region(digest, sender, now)
        elif sender.domain == self._own.domain:
            others = self._take_total(digest, now)
        return Heard(others, warm, digest.outage_ms, source)

    def _is_next(self, digest: Digest) -> bool:
        """Return whether a digest is newer than the last one of its sender."""
        place = (digest.sender, digest.scope)
        incarnation, turn = self._last_digest.get(place, (0, 0))
        if digest.incarnation == incarnation and digest.turn <= turn:
            return False
        self._last_digest[place] = (digest.incarnation, digest.turn)
        return True

    def _take_view(self, view: DomainView, now: float) -> None:
        if view.rows:
            self._rows[rows_hash(view.rows)] = parse_rows(view.rows)
        rows = self._rows.get(view.hash)
        if rows is None or len(rows) != len(view.ages):
            return
        self._rows.move_to_end(view.hash)
        while len(self._rows) > KEPT_ROWS:
            self._rows.popitem(last=False)
        for row, steps in zip(rows, view.ages, strict=True):
            if steps < OLDEST_STEPS:
                at = now - steps * AGE_STEP_S
                self._membership.sight(Sighting(row, at), now)

    def _take_domain(self, digest: Digest, sender: Member, now: float) -> None:
        counts = self._parse_counts(digest)
        before = self._domains.get(sender.domain)
        shares = digest.shares or (before.shares if before else {})
        part = _Part(now, counts, digest.entries, shares)
        self._domains[sender.domain] = part

    def _take_region(self, digest: Digest, sender: Member, now: float) -> None:
        if sender.region != self._own.region:
            self._regions[sender.region] = _Part(now, self._parse_counts(digest))

    def _parse_counts(self, digest: Digest) -> dict[str, int]:
        found: dict[str, int] = {}
        for loads in digest.loads:
            found.update(self.lists.parse(loads) or {})
        return found

    def _take_total(self, digest: Digest, now: float) -> dict[str, int] | None:
        """Return what others have, once the digest's sums are less one's own."""
        if digest.shares:
            self._digested = (digest.entries, digest.shares)
        if self._membership.is_aggregator(now):
            self._fellow_round = (now, digest.turn)
            return None
        for loads in digest.loads:
            counts = self.lists.parse(loads)
            if counts is not None:
                self._totals[loads.region] = self._without_own(counts, digest)
        return _merged(self._totals.values())

    def _without_own(self, counts: dict[str, int], digest: Digest) -> dict[str, int]:
        own = self._own_counts.get(self._own_seq(digest), {})
        return {n: c - own.get(n, 0) for n, c in counts.items() if c > own.get(n, 0)}

    def _own_seq(self, digest: Digest) -> int:
        """Return which of the own heartbeats a digest counted; -1 if none."""
        own = member_id(self._own.name)
        for view in digest.views:
            if view.seqs and view.domain == self._own.domain:
                rows = self._rows.get(view.hash, [])
                if len(rows) != len(view.seqs):
                    return -1
                for row, seq in zip(rows, view.seqs, strict=True):
                    if row.id == own:
                        return seq
        return -1

    def _pass_on(
        self, warm: Iterable[int], to: deque[tuple[float, int]], now: float
    ) -> None:
        for digest in warm:
            if now - self._warm_seen.get(digest, -WARM_SPACING_S) >= WARM_SPACING_S:
                to.append((now, digest))
                self._warm_seen[digest] = now
                self._warm_seen.move_to_end(digest)
        while len(self._warm_seen) > MOST_WARM_SEEN:
            self._warm_seen.popitem(last=False)

    # What this entry tells.

    def heartbeat(self, report: Report) -> Heartbeat:
        """Return the next heartbeat."""
        self._seq += 1
        self._own_counts[self._seq % 256] = report.in_flight
        while len(self._own_counts) > OWN_COUNTS_KEPT:
            self._own_counts.popitem(last=False)
        return Heartbeat(
            self._own,
            self._seq,
            report.state,
            report.revision,
            report.in_flight,
            report.shares if self._seq % SHARE_ROUNDS == 1 else {},
            report.outage_ms,
            serialize_ids(report.warm),
        )

    def announce(self, report: Report, now: float) -> list[Sending]:
        """Tell the aggregators a changed state between two rounds."""
        return [Sending(self.heartbeat(report), self._to_aggregators(now))]

    def say_goodbye(self, report: Report) -> list[Sending]:
        """Tell the whole region that this entry leaves: it must not be named."""
        to = [m.gossip for m in self._membership.in_own_region()]
        return [Sending(self.heartbeat(report), to)]

    def news(self, revision: int, now: float) -> list[Sending]:
        """Tell of a newer state: those that pass it on, and the own domain."""
        to = self._to_aggregators(now)
        if self._membership.is_aggregator(now):
            live, silent = self._membership.in_own_domain(now)
            to = [m.gossip for m in (*live, *silent)]
            to += [m.gossip for m in self._near_aggregators(now)]
            to += [m.gossip for m in self._far_partners(now)]
        return [Sending(News(revision, self._own.pull), to)]

    def round(self, report: Report, now: float) -> tuple[list[Sending], Heard]:
        """Return what to send this round, and what the sums of others are."""
        self._turn += 1
        sendings = self.announce(report, now)
        if not self._membership.is_aggregator(now):
            return sendings, Heard()
        return sendings + self._digests(report, now), self._sums_of_others(report, now)

    def _to_aggregators(self, now: float) -> list[str]:
        return [m.gossip for m in self._membership.to_tell(self._own.domain, now)]

    def _near_aggregators(self, now: float) -> list[Member]:
        """Return the aggregators of the region's other failure domains."""
        return [
            member
            for domain in self._membership.domains(self._own.region)
            if domain != self._own.domain
            for member in self._membership.to_tell(domain, now)
        ]

    def _far_partners(self, now: float) -> list[Member]:
        """Choose one aggregator of each other region to tell.

        The aggregators of two regions are paired by their places, so that each hears
        from each region once a round; in turn alone, some would go without for a
        second. Every third round goes to another in turn, since two sides that see
        different aggregators would else keep missing each other.
        """
        membership = self._membership
        senders = [
            member.name
            for domain in membership.domains(self._own.region)
            for member in membership.aggregators(domain, now)
        ]
        place = senders.index(self._own.name) if self._own.name in senders else 0
        found = []
        for region in membership.other_regions():
            members = [
                member
                for domain in membership.domains(region)
                for member in membership.to_tell(domain, now)
            ]
            if not members:
                continue
            if self._turn % UNPAIRED_ROUNDS == 0:
                found.append(members[self._turn // UNPAIRED_ROUNDS % len(members)])
                continue
            paired = members[place :: max(len(senders), 1)]
            paired = paired or [members[place % len(members)]]
            found += _in_turn(paired, FAR_PARTNERS, self._turn)
        return found

    def _digests(self, report: Report, now: float) -> list[Sending]:
        """Return an aggregator's digests of a round."""
        domain = self._of_domain(report, now)
        region = _merged([domain, *self._fresh(self._domains, now)])
        total = _merged([region, *self._fresh(self._regions, now)])
        near = self._membership.domains(self._own.region)
        views = [self._view(name, report, now) for name in near]
        without_seqs = [msgspec.structs.replace(v, seqs=b"") for v in views]
        sendings = [
            Sending(
                self._domain_digest(report, domain, without_seqs, now),
                [m.gossip for m in self._near_aggregators(now)],
            ),
            Sending(
                self._digest(
                    report,
                    DigestScope.REGION,
                    without_seqs,
                    self._counts(region, self.lists.regions()),
                ),
                [m.gossip for m in self._far_partners(now)],
            ),
            Sending(
                self._total_digest(report, total, views, now),
                [m.gossip for m in self._audience(now)],
            ),
        ]
        return [s for s in sendings if s.to]

    def _domain_digest(
        self,
        report: Report,
        counts: dict[str, int],
        views: list[DomainView],
        now: float,
    ) -> Digest:
        entries, shares = self._domain_shares(report)
        digest = self._digest(
            report,
            DigestScope.DOMAIN,
            views,
            self._counts(counts, self.lists.regions()),
        )
        return msgspec.structs.replace(
            digest,
            entries=entries,
            shares=shares if self._tells_shares() else {},
            warm=serialize_ids(_recent(self._warm_domain, report.warm, now)),
        )

    def _total_digest(
        self, report: Report, counts: dict[str, int], near: list[DomainView], now: float
    ) -> Digest:
        far = [
            domain
            for region in self._membership.other_regions()
            for domain in self._membership.domains(region)
        ]
        far_views = [
            self._view(domain, report, now)
            for domain in _in_turn(far, FAR_DOMAINS, self._turn)
        ]
        others = [r for r in self.lists.regions() if r != self._own.region]
        regions = [self._own.region, *_in_turn(others, FAR_REGIONS, self._turn)]
        digest = self._digest(
            report, DigestScope.ALL, near + far_views, self._counts(counts, regions)
        )
        entries, shares = self._region_shares(report)
        warm = [*self._warm_domain, *self._warm_region]
        return msgspec.structs.replace(
            digest,
            entries=entries,
            shares=shares if self._tells_shares() else {},
            warm=serialize_ids(_recent(warm, report.warm, now)),
        )

    def _digest(
        self,
        report: Report,
        scope: DigestScope,
        views: list[DomainView],
        loads: list[RegionCounts],
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
        )

    def _audience(self, now: float) -> list[Member]:
        """Choose whom of the own domain this aggregator tells in this round.

        Each of two aggregators tells every other entry, so that all are told about
        once a round; the other aggregator is told always, silent entries seldom.
        """
        merging = self._membership.aggregators(self._own.domain, now)
        place, count = merging.index(self._own), len(merging)
        turn = self._turn if place == 0 else self._second_turn(now)
        live, silent = self._membership.in_own_domain(now)
        ordered = sorted([*live, self._own], key=lambda m: m.name)
        chosen = [
            member
            for i, member in enumerate(ordered)
            if member is not self._own
            and ((i + turn) % count == 0 or member in merging)
        ]
        return chosen + (silent if self._turn % SILENT_ROUNDS == 0 else [])

    def _second_turn(self, now: float) -> int:
        """Return the turn of a second aggregator, so that it fills the first's gaps.

        If the first has just told its half, the other half is told; if it is about
        to tell that one, the same half. No entry then waits longer than one and a
        half rounds; with turns of its own it would wait up to two.
        """
        at, turn = self._fellow_round
        if now - at > 2 * HEARTBEAT_S:
            return self._turn
        rounds, since_s = divmod(now - at, HEARTBEAT_S)
        return turn + int(rounds) + (since_s < HEARTBEAT_S / 2)

    def _view(self, domain: str, report: Report, now: float) -> DomainView:
        sightings = self._membership.sightings(domain)
        seqs = b""
        if domain == self._own.domain:
            row = MemberRow(
                member_id(self._own.name), self._own.incarnation, report.state
            )
            sightings.append(Sighting(row, now))
            seqs = bytes(self._seq_of(s.row) for s in sightings)
        rows = serialize_rows(s.row for s in sightings)
        key = rows_hash(rows)
        ages = serialize_ages(now - s.at for s in sightings)
        sent_rows = rows if self._tells_rows(domain, key, now) else b""
        return DomainView(domain, key, sent_rows, ages, seqs)

    def _seq_of(self, row: MemberRow) -> int:
        name = self._membership.name(row.id)
        if not name:
            return self._seq % 256
        _, heard = self._heartbeats.get(name, (0.0, None))
        return heard.seq % 256 if heard is not None else 0

    def _tells_rows(self, domain: str, key: int, now: float) -> bool:
        """Return whether a view carries its rows: lately changed, or in turn."""
        before = self._row_changes.get(domain)
        if before is None or before[0] != key:
            before = self._row_changes[domain] = (key, now)
        if now - before[1] <= ROWS_REPEAT_S:
            return True
        domains = self._membership.all_domains()
        return domains[self._turn % len(domains)] == domain

    def _counts(
        self, counts: Mapping[str, int], regions: Iterable[str]
    ) -> list[RegionCounts]:
        return [
            self.lists.serialize(region, counts)
            for region in regions
            if region in self.lists.regions()
        ]

    # Sums.

    def _of_domain(self, report: Report, now: float) -> dict[str, int]:
        """Return the requests of all entries of the own failure domain."""
        return _merged([report.in_flight, *self._of_neighbours(now)])

    def _of_neighbours(self, now: float) -> list[dict[str, int]]:
        return [
            heard.in_flight
            for at, heard in self._heartbeats.values()
            if now - at <= HEARTBEAT_TRUST_S and heard.member.domain == self._own.domain
        ]

    def _fresh(self, parts: Mapping[str, _Part], now: float) -> list[dict[str, int]]:
        return [p.counts for p in parts.values() if now - p.at <= PART_TRUST_S]

    def _sums_of_others(self, report: Report, now: float) -> Heard:
        others = _merged(
            [
                *self._of_neighbours(now),
                *self._fresh(self._domains, now),
                *self._fresh(self._regions, now),
            ]
        )
        self._digested = self._region_shares(report)
        return Heard(others=others)

    # Shares of the regions.

    def _tells_shares(self) -> bool:
        return self._turn % SHARE_ROUNDS < 2

    def region_shares(self) -> Shares:
        """Return the mean of the region's entries' shares, as last told."""
        return self._digested[1]

    def _domain_shares(self, report: Report) -> tuple[int, Shares]:
        members = [(1, s) for s in self._member_shares.values()]
        return _mean([(1, report.shares), *members])

    def _region_shares(self, report: Report) -> tuple[int, Shares]:
        domains = [(p.entries, p.shares) for p in self._domains.values()]
        return _mean([self._domain_shares(report), *domains])

    def forget(self, now: float) -> None:
        """Drop what entries that are gone told."""
        kept = {
            name: (at, heard)
            for name, (at, heard) in self._heartbeats.items()
            if now - at <= PART_TRUST_S
        }
        self._heartbeats = kept
        self._member_shares = {
            n: s for n, s in self._member_shares.items() if n in kept
        }
        self._domains = _kept(self._domains, now)
        self._regions = _kept(self._regions, now)


def _kept(parts: dict[str, _Part], now: float) -> dict[str, _Part]:
    return {n: p for n, p in parts.items() if now - p.at <= PART_TRUST_S}


def _merged(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Return the sums of several counts."""
    total: Counter[str] = Counter()
    for one in counts:
        total.update(one)
    return dict(total)


def _recent(
    heard: Iterable[tuple[float, int]], own: Iterable[int], now: float
) -> list[int]:
    """Return the newest news of warm keys, without repeats."""
    found = [digest for at, digest in heard if now - at <= WARM_REPEAT_S]
    return list(dict.fromkeys([*own, *found]))[-MOST_WARM:]


def _in_turn(things: list[T], most: int, turn: int) -> list[T]:
    """Choose some of many, others in each round, all after a few."""
    if len(things) <= most:
        return things
    start = turn * most % len(things)
    return (things[start:] + things[:start])[:most]


def _mean(parts: Iterable[tuple[int, Shares]]) -> tuple[int, Shares]:
    """Return the mean of shares, each counted as often as entries stand behind it."""
    entries = 0
    sums: dict[str, dict[str, float]] = {}
    weights: Counter[str] = Counter()
    for count, shares in parts:
        entries += count
        for service, by_region in shares.items():
            weights[service] += count
            into = sums.setdefault(service, {})
            for region, share in by_region.items():
                into[region] = into.get(region, 0.0) + count * share
    mean = {
        service: {r: round(v / weights[service], 4) for r, v in by_region.items()}
        for service, by_region in sums.items()
    }
    return entries, mean
