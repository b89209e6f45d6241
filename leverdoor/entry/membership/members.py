# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Membership among entries: who is there, who can be named to clients.

For every entry the time is kept at which its newest heartbeat was sent, as far as
anyone told: by the heartbeat itself, or by a digest that says how old it is. The
greatest of what is heard holds, so order and repeats of messages do not matter.
"""

from collections.abc import Iterable, Mapping
from itertools import islice
from random import Random

import msgspec

from leverdoor.codec import unpack
from leverdoor.entry.membership.member import (
    LEAVING,
    SERVING,
    STARTING,
    EntryState,
    Member,
    link_rank,
    member_id,
)
from leverdoor.entry.membership.sightings import NEVER, Known, MemberRow, Sighting

__all__ = ["HEARTBEAT_S", "Membership"]

HEARTBEAT_S = 0.2
"""Time between two rounds of heartbeats and of digests, in seconds."""
SILENCE_S = 1.6
"""Age of the newest heartbeat from which on an entry of the region is not named.

Heartbeats are up to 0.6 s old when a digest tells of them (p99, at 195 entries
and 5% of datagrams lost, benchmarks/knowledge.py); five more may be missed.
"""
FAR_SILENCE_S = 3.2
"""The same for entries of other regions, whose ages come once a second or so."""
FORGET_S = 60.0
"""Silence after which an entry is forgotten, in seconds; chosen."""
OLD_LIFE_S = 1.2
"""How much older than a later life's a heartbeat of a former life may be."""
AGGREGATORS = 2
"""Entries of a failure domain that merge what the others tell; one may be gone."""
AGGREGATOR_SILENCE_S = 0.8
"""Time without a digest from an aggregator after which the next takes its place.

A digest is due every 0.4 s; a replacement that was not needed costs some bytes.
"""
AGGREGATOR_RETRY_S = 5.0
"""Time after which an aggregator that never spoke is tried again; chosen."""
MAX_NAMED = 64
"""Entries named to a client at most; keeps the answer below 2 kB."""
LEAST_NAMED = 2
"""Entries of a failure domain below which its region is named; one may be gone."""
NAMED_S = 0.1
"""How long a choice of entries to name is used again."""
MOST_PLACES = 256
"""Choices kept at once; more than the failure domains of the aim."""


class Membership:
    """All entries that this one knows of, itself left out."""

    def __init__(self, own: Member, rng: Random) -> None:
        """Create it.

        Args:
          own: this entry.
          rng: where all chance comes from.
        """
        self.own = own
        self._rng = rng
        self._self = Known(own, link_rank(own))
        self._known: dict[str, Known] = {}
        self._names: dict[int, str] = {}
        self._domains: dict[str, dict[str, Known]] = {own.domain: {}}
        self._regions: dict[str, set[str]] = {own.region: {own.domain}}
        """The failure domains of each region."""
        self._logged: set[str] = set()
        self._named: dict[tuple[str, str, EntryState], tuple[float, list[str]]] = {}

    # What is heard.

    def found(self, written: Mapping[str, bytes], now: float) -> None:
        """Take what entries wrote of themselves in the store."""
        for data in written.values():
            try:
                member = unpack(data, Member)
            except msgspec.MsgspecError:
                continue
            known = self._known.get(member.name)
            if known is None or now - known.heard_at > OLD_LIFE_S:
                self.introduce(member, now)

    def introduce(self, member: Member, now: float) -> None:
        """Take an entry's description; a later life replaces an earlier one."""
        if member.name == self.own.name:
            return
        known = self._known.get(member.name)
        if known is None:
            self._add(Known(member, link_rank(member), seen_at=now))
            return
        known.seen_at = max(known.seen_at, now)
        if member.incarnation > known.member.incarnation:
            self._replace(known, member)

    def _add(self, known: Known) -> None:
        member = known.member
        self._known[member.name] = known
        self._names[member_id(member.name)] = member.name
        self._domains.setdefault(member.domain, {})[member.name] = known
        self._regions.setdefault(member.region, set()).add(member.domain)

    def _replace(self, known: Known, member: Member) -> None:
        """Let a member's other life begin, not heard from yet."""
        known.member = member
        known.state = STARTING
        known.heard_at = NEVER
        self._named.clear()

    def sight(self, sighting: Sighting, now: float) -> bool:
        """Take when a life of an entry was last heard by anyone.

        Returns: whether it was news.
        """
        row = sighting.row
        known = self._known.get(self._names.get(row.id, ""))
        if known is None or not self._is_current(known, sighting):
            return False
        if row.state > known.state:
            known.state = row.state
            self._named.clear()
        if sighting.at <= known.heard_at:
            return False
        known.heard_at = sighting.at
        known.seen_at = max(known.seen_at, now)
        return True

    def _is_current(self, known: Known, sighting: Sighting) -> bool:
        """Return whether a sighting is of the present life, or begins a newer one.

        A life with a lower incarnation follows one with a higher where a clock was
        set back; it counts once the other has been silent for long enough.
        """
        incarnation = sighting.row.incarnation
        present = known.member.incarnation
        if incarnation == present:
            return True
        if incarnation < present and sighting.at - known.heard_at <= OLD_LIFE_S:
            return False
        if incarnation > present and known.heard_at - sighting.at > OLD_LIFE_S:
            return False
        changed = msgspec.structs.replace(known.member, incarnation=incarnation)
        self._replace(known, changed)
        return True

    def digest_came(self, name: str, now: float) -> None:
        """Note that an entry itself sent a digest."""
        known = self._known.get(name)
        if known is not None:
            known.digest_at = now

    def forget(self, now: float) -> None:
        """Drop entries not seen for a long time."""
        old = [n for n, k in self._known.items() if now - k.seen_at > FORGET_S]
        for name in old:
            member = self._known.pop(name).member
            self._names.pop(member_id(name), None)
            domain = self._domains[member.domain]
            del domain[name]
            if not domain and member.domain != self.own.domain:
                del self._domains[member.domain]
                self._regions[member.region].discard(member.domain)

    def changes(self, now: float) -> list[tuple[str, str, float]]:
        """Return who was found or lost since the last call.

        Returns: name, "heard" or "silent", and seconds since it was heard.
        """
        live = {m.name for m in self.live(now)}
        found = [(name, "heard", 0.0) for name in sorted(live - self._logged)]
        for name in sorted(self._logged - live):
            known = self._known.get(name)
            silent_s = now - known.heard_at if known else FORGET_S
            found.append((name, "silent", silent_s))
        self._logged = live
        return found

    # Questions.

    def live(self, now: float) -> list[Member]:
        """Return the entries heard from lately."""
        return [k.member for k in self._known.values() if self._is_live(k, now)]

    def _is_live(self, known: Known, now: float) -> bool:
        near = known.member.region == self.own.region
        return now - known.heard_at <= (SILENCE_S if near else FAR_SILENCE_S)

    def near(self, now: float) -> list[Member]:
        """Return the live ones of this entry's region, but those that leave."""
        return [
            known.member
            for domain in self._regions[self.own.region]
            for known in self._domains[domain].values()
            if known.state != LEAVING and self._is_live(known, now)
        ]

    def member(self, name: str) -> Member | None:
        """Return what is known of an entry, if anything."""
        known = self._known.get(name)
        return known.member if known is not None else None

    def name(self, identity: int) -> str:
        """Return the name behind an identity of digests; empty if not known."""
        return self._names.get(identity, "")

    def all_domains(self) -> list[str]:
        """Return all failure domains from which entries are known, by name."""
        return sorted(self._domains)

    def sightings(self, domain: str) -> list[Sighting]:
        """Return what was heard of the entries of a failure domain, by name."""
        known = self._domains.get(domain, {})
        return [
            Sighting(
                MemberRow(member_id(name), k.member.incarnation, k.state), k.heard_at
            )
            for name, k in sorted(known.items())
            if k.heard_at > NEVER
        ]

    def domains(self, region: str) -> list[str]:
        """Return the failure domains of a region from which entries are known."""
        return sorted(self._regions.get(region, ()))

    def other_regions(self) -> list[str]:
        """Return the regions other than this entry's, by name."""
        return sorted(r for r in self._regions if r != self.own.region)

    def in_domain(self, domain: str) -> int:
        """Count the entries of a domain known within the last minute."""
        return len(self._domains.get(domain, ())) + (domain == self.own.domain)

    def in_region(self, region: str) -> int:
        """Count the entries of a region known within the last minute."""
        return sum(self.in_domain(d) for d in self.domains(region))

    @property
    def count(self) -> int:
        """How many entries are known, this one included."""
        return len(self._known) + 1

    def everyone(self) -> list[str]:
        """Return the heartbeat addresses of all entries."""
        return [k.member.gossip for k in self._known.values()]

    def in_own_region(self) -> list[Member]:
        """Return all known entries of this entry's region, silent ones included."""
        return [
            known.member
            for domain in self.domains(self.own.region)
            for known in self._domains[domain].values()
        ]

    def in_own_domain(self, now: float) -> tuple[list[Member], list[Member]]:
        """Return the known entries of the own domain: live ones, and silent ones.

        One that was never heard, as in its first moments, counts as live.
        """
        live: list[Member] = []
        silent: list[Member] = []
        for _, known in sorted(self._domains[self.own.domain].items()):
            unheard = known.heard_at == NEVER
            into = live if unheard or self._is_live(known, now) else silent
            into.append(known.member)
        return live, silent

    # Roles.

    def aggregators(self, domain: str, now: float) -> list[Member]:
        """Return the entries that merge what a failure domain's entries tell.

        Every entry ranks the live ones alike. Two that see different entries may
        both take the role; that costs bytes, no more. One from which no digest
        comes is passed over, long before it counts as silent.
        """
        speaking = (k for k in self._candidates(domain, now) if self._speaks(k, now))
        return [k.member for k in islice(speaking, AGGREGATORS)]

    def to_tell(self, domain: str, now: float) -> list[Member]:
        """Return whom to send what a failure domain's aggregators should know.

        Those that are passed over get it too while they count as live: two that
        passed each other over would otherwise never hear each other again.
        """
        candidates = self._candidates(domain, now)
        if not candidates:
            return self._tried(domain)
        first = [k.member for k in candidates[:AGGREGATORS]]
        chosen = self.aggregators(domain, now)
        told = first + [m for m in chosen if m not in first]
        return [m for m in told if m.name != self.own.name]

    def _candidates(self, domain: str, now: float) -> list[Known]:
        """Return the live entries of a failure domain, the widest links first."""
        found = [
            k
            for k in self._domains.get(domain, {}).values()
            if k.state != LEAVING and self._is_live(k, now)
        ]
        if domain == self.own.domain:
            found.append(self._self)
        return sorted(found, key=lambda k: k.rank)

    def _tried(self, domain: str) -> list[Member]:
        """Return whom to try in a failure domain from which nothing is heard.

        The widest links, of those heard last before it was cut off and of all, and
        one by chance: both sides hear each other soon after the cut is healed.
        """
        known = sorted(self._domains.get(domain, {}).values(), key=lambda k: k.rank)
        newest = max((k.heard_at for k in known), default=NEVER)
        lately = [k for k in known if k.heard_at >= newest - SILENCE_S]
        chance = self._rng.sample(known, min(1, len(known)))
        tried = [*known[:AGGREGATORS], *lately[:AGGREGATORS], *chance]
        return list({k.member.name: k.member for k in tried}.values())

    def _speaks(self, known: Known, now: float) -> bool:
        """Return whether digests come from an entry, or may still come.

        Those of other regions come from each aggregator in turn, too seldom to tell.
        """
        if known is self._self or known.member.region != self.own.region:
            return True
        if now - known.chosen_at > AGGREGATOR_RETRY_S:
            known.chosen_at = now
        return now - max(known.digest_at, known.chosen_at) <= AGGREGATOR_SILENCE_S

    def is_aggregator(self, now: float) -> bool:
        """Return whether this entry merges for its failure domain."""
        return self.own in self.aggregators(self.own.domain, now)

    def elected(self, watchers: int, now: float) -> bool:
        """Return whether this entry is one of its region's followers of the store.

        They pass all news on, so those with the widest links come first.
        """
        ranked = sorted([*self.near(now), self.own], key=link_rank)
        return ranked.index(self.own) < watchers

    def rank(self) -> int | None:
        """Return this entry's place among all known of its region by their links.

        None if no other is known.
        """
        known = self.in_own_region()
        if not known:
            return None
        return sorted([*known, self.own], key=link_rank).index(self.own)

    # Naming.

    def addresses(
        self, region: str, domain: str, own_state: EntryState, now: float
    ) -> list[str]:
        """Choose the entries to name to a client, the nearest ones.

        Args:
          region: the client's region.
          domain: the client's failure domain.
          own_state: the state of this entry.
          now: monotonic time in seconds.
        Returns: addresses of the client's domain; of its region as well when
          they are few; of all regions when its own has none.
        """
        place = (region, domain, own_state)
        at, named = self._named.get(place, (-1.0, []))
        if not at <= now < at + NAMED_S:
            named = self._choose(region, domain, own_state, now)
            if len(self._named) >= MOST_PLACES:
                self._named.clear()
            self._named[place] = (now, named)
        return named

    def _choose(
        self, region: str, domain: str, own_state: EntryState, now: float
    ) -> list[str]:
        same = self._usable([domain], own_state, now)
        if len(same) < LEAST_NAMED:
            same = self._usable(self.domains(region), own_state, now)
        if not same:
            same = self._usable(self._domains, own_state, now)
        if not same and own_state != STARTING:
            same = [self.own]
        named = sorted(same, key=lambda m: m.name)
        return [m.front for m in named[:MAX_NAMED]]

    def _usable(
        self, domains: Iterable[str], own_state: EntryState, now: float
    ) -> list[Member]:
        """Return the entries of some failure domains that may be named."""
        found = [
            known.member
            for domain in domains
            for known in self._domains.get(domain, {}).values()
            if known.state == SERVING and self._is_live(known, now)
        ]
        if own_state == SERVING and self.own.domain in domains:
            found.append(self.own)
        return found
