# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Membership among entries: who is there, who can be named to clients."""

import math
from collections import Counter
from collections.abc import Mapping
from random import Random

import msgspec
import xxhash

from leverdoor.codec import unpack

__all__ = ["Heartbeat", "EntryState", "Member", "Membership", "SERVING"]

SILENCE_S = 1.6
"""Silence after which an entry of the region is not named: eight heartbeats."""
FAR_SILENCE_S = 4.0
"""Entries of other regions send one heartbeat in turn to each, so less often."""
FAR_PARTNERS = 2
"""Entries of other regions that get each heartbeat; chosen, for the bytes."""
NEWS_NEAR = 5
"""Entries of the region that get news at once: five reach 100 in three steps.
"""
NEWS_FAR = 1
"""The same in other regions."""
MOST_SILENCE_S = 6.0
"""Longest patience with a silent entry, whatever the number, in seconds."""
MISSED_HEARTBEATS = 4
"""Heartbeats that may be lost before silence counts; chosen."""
HEARTBEAT_S = 0.2
"""Time between two rounds of heartbeats."""
FORGET_S = 60.0
"""Silence after which an entry is forgotten, in seconds; chosen."""
OLD_LIFE_S = 1.2
"""How late a heartbeat of an entry's former life may come."""
NEAR_PARTNERS = 4
"""Entries of the region that get each heartbeat: all of a region of five."""
MAX_NAMED = 64
"""Entries named to a client at most; keeps the answer below 2 kB."""
LEAST_NAMED = 2
"""Entries of a failure domain below which its region is named; one may be gone."""
NAMED_S = 0.1
"""How long a choice of entries to name is used again."""
MOST_PLACES = 256
"""Choices kept at once; more than the failure domains of the aim."""

STARTING = 0
"""State of an entry that has no configuration yet."""
SERVING = 1
"""State of an entry that may be named to clients."""
LEAVING = 2
"""State of an entry that finishes what it has."""

EntryState = int


class Member(msgspec.Struct, frozen=True, array_like=True):
    """What an entry writes of itself in the store."""

    name: str
    region: str
    domain: str
    front: str
    """Where clients reach it, as `ip:port`."""
    gossip: str
    """Where heartbeats reach it, by UDP."""
    pull: str
    """Where other entries fetch the state, by HTTP."""
    incarnation: int
    link_mbps: int = 0
    """Bandwidth of its machine's link; 0 if it is not known."""


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """One heartbeat of an entry."""

    member: Member
    seq: int
    state: EntryState
    revision: int
    in_flight: dict[str, int] = {}
    """Requests at each target, by its name."""
    shares: dict[str, dict[str, float]] = {}
    """For each service, the regions' shares of the keys asked for here."""
    outage_ms: int = -1
    """How long ago the store was known to be away; -1 if not in recent times."""
    warm: list[int] = []
    """Digests of keys lately answered by other targets than their first."""

    def newer(self, other: "Heartbeat") -> bool:
        """Return whether this heartbeat supersedes another of the same entry."""
        mine = (self.member.incarnation, self.seq)
        return mine > (other.member.incarnation, other.seq)


class _Known(msgspec.Struct):
    member: Member
    heartbeat: Heartbeat | None
    heard_at: float
    seen_at: float


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
        self._known: dict[str, _Known] = {}
        self._told: set[str] = set()
        self._turn = 0
        self._regions: Counter[str] = Counter([own.region])
        self._domains: Counter[str] = Counter([own.domain])
        self._named: dict[tuple[str, str, EntryState], tuple[float, list[str]]] = {}

    def found(self, written: Mapping[str, bytes], now: float) -> None:
        """Take what entries wrote of themselves in the store."""
        for data in written.values():
            try:
                member = unpack(data, Member)
            except msgspec.MsgspecError:
                continue
            known = self._known.get(member.name)
            if known is None or now - known.heard_at > OLD_LIFE_S:
                self._find(member, now)

    def _find(self, member: Member, now: float) -> None:
        if member.name == self.own.name:
            return
        known = self._known.get(member.name)
        if known is None:
            self._known[member.name] = _Known(member, None, -1e9, now)
            self._regions[member.region] += 1
            self._domains[member.domain] += 1
            return
        known.seen_at = now
        if member.incarnation > known.member.incarnation:
            known.member = member
            known.heartbeat = None

    def hear(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat.

        Returns: whether it was news.
        """
        if heartbeat.member.name == self.own.name:
            return False
        self._find(heartbeat.member, now)
        known = self._known[heartbeat.member.name]
        if heartbeat.member.incarnation < known.member.incarnation:
            if now - known.heard_at <= OLD_LIFE_S:
                return False
            # No heartbeat of the later one for so long: its clock was ahead, or that
            # of the one that speaks now is behind.
            known.member = heartbeat.member
            known.heartbeat = None
        if known.heartbeat is not None and not heartbeat.newer(known.heartbeat):
            return False
        if known.heartbeat is None or known.heartbeat.state != heartbeat.state:
            self._named.clear()
        known.heartbeat = heartbeat
        known.heard_at = now
        known.seen_at = now
        return True

    def forget(self, now: float) -> None:
        """Drop entries not seen for a long time."""
        old = [n for n, k in self._known.items() if now - k.seen_at > FORGET_S]
        for name in old:
            member = self._known.pop(name).member
            self._regions[member.region] -= 1
            self._domains[member.domain] -= 1

    def changes(self, now: float) -> list[tuple[str, str, float]]:
        """Return who was found or lost since the last call.

        Returns: name, "heard" or "silent", and seconds since it was heard.
        """
        live = {b.member.name for b in self.live(now)}
        found = [(name, "heard", 0.0) for name in sorted(live - self._told)]
        for name in sorted(self._told - live):
            known = self._known.get(name)
            silent_s = now - known.heard_at if known else FORGET_S
            found.append((name, "silent", silent_s))
        self._told = live
        return found

    # Questions.

    def live(self, now: float) -> list[Heartbeat]:
        """Return the latest heartbeats of the entries heard from lately."""
        return [
            k.heartbeat
            for k in self._known.values()
            if k.heartbeat is not None and now - k.heard_at <= self._patience_s(k)
        ]

    def _patience_s(self, known: _Known) -> float:
        """Return how long a silence means nothing yet: some heartbeats missed."""
        region = known.member.region
        if region == self.own.region:
            turns = math.ceil(self.in_region(region) / NEAR_PARTNERS)
            return max(SILENCE_S, MISSED_HEARTBEATS * turns * HEARTBEAT_S)
        turns = math.ceil(len(self._known) / FAR_PARTNERS)
        return min(
            max(FAR_SILENCE_S, MISSED_HEARTBEATS * turns * HEARTBEAT_S), MOST_SILENCE_S
        )

    def near(self, now: float) -> list[Heartbeat]:
        """Return the live ones of this entry's region."""
        return [b for b in self.live(now) if b.member.region == self.own.region]

    def in_domain(self, domain: str) -> int:
        """Count the entries of a domain known within the last minute."""
        return self._domains[domain]

    def in_region(self, region: str) -> int:
        """Count the entries of a region known within the last minute."""
        return self._regions[region]

    def partners(self) -> list[str]:
        """Choose who gets a heartbeat: the region's in turn, a few elsewhere."""
        near = sorted(
            (m for m in self._members() if m.region == self.own.region),
            key=lambda m: m.name,
        )
        far = [m for m in self._members() if m.region != self.own.region]
        if len(near) > NEAR_PARTNERS:
            self._turn += NEAR_PARTNERS
            start = self._turn % len(near)
            near = (near[start:] + near[:start])[:NEAR_PARTNERS]
        picked = self._rng.sample(far, min(FAR_PARTNERS, len(far)))
        return [m.gossip for m in (*near, *picked)]

    def round_s(self) -> float:
        """Return how long a round of heartbeats in the region takes, in seconds."""
        turns = math.ceil(self.in_region(self.own.region) / NEAR_PARTNERS)
        return turns * HEARTBEAT_S

    def some(self) -> list[str]:
        """Choose some entries that get news at once; they pass them on in turn."""
        members = self._members()
        near = [m for m in members if m.region == self.own.region]
        far = [m for m in members if m.region != self.own.region]
        picked = self._rng.sample(near, min(NEWS_NEAR, len(near)))
        picked += self._rng.sample(far, min(NEWS_FAR, len(far)))
        return [m.gossip for m in picked]

    def everyone(self) -> list[str]:
        """Return the heartbeat addresses of all entries."""
        return [m.gossip for m in self._members()]

    def _members(self) -> list[Member]:
        return [k.member for k in self._known.values()]

    def source(self, heartbeat: Heartbeat, now: float) -> Member:
        """Choose an entry to fetch a newer state from.

        Those with the widest links of the region have it soon, and can give it
        to many at once; the one that announced it may have a narrow one.

        Args:
          heartbeat: the heartbeat that announced it.
          now: monotonic time in seconds.
        """
        ahead = [b.member for b in self.near(now) if b.revision >= heartbeat.revision]
        widest = max((m.link_mbps for m in ahead), default=0)
        if heartbeat.member.link_mbps >= widest:
            return heartbeat.member
        return self._rng.choice([m for m in ahead if m.link_mbps == widest])

    def elected(self, watchers: int, now: float) -> bool:
        """Return whether this entry is one of its region's followers of the store.

        They pass all news on, so those with the widest links come first.
        """
        members = [b.member for b in self.near(now) if b.state != LEAVING]
        ranked = sorted([*members, self.own], key=_rank)
        return ranked.index(self.own) < watchers

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
        usable = [b.member for b in self.live(now) if b.state == SERVING]
        if own_state == SERVING:
            usable.append(self.own)
        usable.sort(key=lambda m: m.name)
        same = [m for m in usable if m.domain == domain]
        if len(same) < LEAST_NAMED:
            wide = [m for m in usable if m.region == region]
            same = wide or usable
        if not same and own_state != STARTING:
            same = [self.own]
        return [m.front for m in same[:MAX_NAMED]]


def _rank(member: Member) -> tuple[int, int]:
    """Order entries alike everywhere: the widest links first, then by hash."""
    return -member.link_mbps, xxhash.xxh3_64_intdigest(member.name.encode())
