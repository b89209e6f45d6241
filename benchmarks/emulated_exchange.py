# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How old what entries know of each other is, and what it costs, on a fake clock.

Only the entries' exchange of heartbeats and digests is played, without requests:
a steady stretch, then the deaths of an aggregator and of an ordinary entry, then
a region that is cut off and comes back.

State: the nodes, their datagrams under way and the bytes sent, of one run. Relies on
the product's own `Exchange` and `Membership`.
"""

import heapq
import zlib
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any, Protocol, TypeAlias

import msgspec

from leverdoor.codec import pack
from leverdoor.entry.exchange.exchange import Exchange
from leverdoor.entry.exchange.exchange_types import EntryStatus
from leverdoor.entry.exchange.messages import ExchangeMessage
from leverdoor.entry.membership.entry_selection import EntrySelector
from leverdoor.entry.membership.liveness import HEARTBEAT_INTERVAL_S
from leverdoor.entry.membership.member import SERVING, Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.roles import Roles
from leverdoor.model.position import position_without_era

__all__ = ["Figures", "KnowledgeSite", "MakeNode", "Node", "Outgoing", "measure"]

HEADERS = 28
"""Bytes of IP and UDP around a datagram."""
NEAR_S = 0.0007
"""Delay of a datagram within a region, in seconds."""
FAR_S = 0.036
"""Delay of a datagram between regions, in seconds; the brief has 35 ms."""
JITTER_S = 0.004
"""Most by which a round comes late, in seconds.

Chosen: a busy loop; without it all entries would send in step for ever.
"""
WARM_UP_S = 4.0
"""Time before anything is measured, in seconds."""
STEADY_S = 12.0
"""Time in which nothing fails and ages are measured, in seconds."""
WATCHED_S = 6.0
"""Time after deaths in which it is measured who is still named, in seconds."""
CUT_S = 5.0
"""How long a region is cut off, in seconds."""
HEAL_S = 10.0
"""Longest wait until all are live to all again, in seconds."""
STEP_S = 0.05
"""Time between two looks at what is known, in seconds."""
PROBES = 15
"""Entries whose knowledge is measured."""
TARGETS_PER_ENTRY = 2.8
"""Targets for each entry: 541 for 195."""
BUSY_TARGETS = 8
"""Targets at which an entry has requests: there some 1,000 a second run for 1.5 s."""
WIDE_PER_REGION = 9
"""Entries of a region with wide links, of 65."""


class Figures(msgspec.Struct):
    """What one run shows; ages as the entries themselves compute them."""

    near_p99_s: float = 0.0
    """Age of what is known of an entry of the own region."""
    far_p99_s: float = 0.0
    """Age of what is known of an entry of another region."""
    dead_named_near_s: float = 0.0
    """How long a dead entry is named in its region, at most."""
    dead_named_far_s: float = 0.0
    """How long a dead entry is named elsewhere, at most."""
    false_silences_per_entry_hour: float = 0.0
    """Running entries taken for silent while nothing failed but datagrams."""
    heard_again_s: float = 0.0
    """Time from the end of a cut until all running entries are live to all."""
    kb_per_s: float = 0.0
    """Bytes sent by an entry, on average, with the headers of IP and UDP."""
    busiest_kb_per_s: float = 0.0
    """The same for the entry that sends most."""

    def line(self) -> str:
        """Return the figures by name on one line."""
        names = self.__struct_fields__
        return " ".join(f"{name}={getattr(self, name):.2f}" for name in names)


Outgoing: TypeAlias = tuple[object, list[str]]
"""A message, and the addresses that get it."""


class Node(Protocol):
    """One entry as far as its exchange goes."""

    membership: Membership

    def round(self, now: float) -> list[Outgoing]:
        """Return what it sends in a round."""

    def take(self, message: Any, now: float) -> None:
        """Take a message of the node's own design."""


MakeNode: TypeAlias = Callable[[Member, dict[str, list[str]], Random], Node]
"""From an entry, the names of targets by region, and chance: the entry's node."""


class DigestNode:
    """The product's own exchange."""

    def __init__(self, own: Member, targets: dict[str, list[str]], rng: Random) -> None:
        """Create it.

        Args:
          own: the entry.
          targets: names of targets, by region.
          rng: where its requests come from.
        """
        self.membership = Membership(own)
        roles = Roles(self.membership, rng)
        self._exchange = Exchange(self.membership, roles)
        self._exchange.target_count_codec.renew(targets)
        self._rng = rng
        self._targets = targets[own.region]
        self._shares = {s: dict.fromkeys(targets, 0.3) for s in ("x", "y", "z")}

    def round(self, now: float) -> list[Outgoing]:
        """Return what it sends in a round, with requests at a few targets."""
        counts = Counter(self._rng.choices(self._targets, k=BUSY_TARGETS))
        report = EntryStatus(
            SERVING, position_without_era(1), dict(counts), self._shares, -1, []
        )
        sendings, _ = self._exchange.round(report, now)
        return [(s.message, s.destinations) for s in sendings]

    def take(self, message: ExchangeMessage, now: float) -> None:
        """Take a message."""
        self._exchange.take(message, position_without_era(1), now)


class KnowledgeSite:
    """Entries, and datagrams under way among them."""

    def __init__(
        self,
        entries: int,
        regions: int,
        loss: float,
        make: MakeNode = DigestNode,
        seed: int = 1,
    ) -> None:
        """Create it.

        Args:
          entries: how many.
          regions: in how many regions; three failure domains each.
          loss: share of the datagrams that are lost.
          make: creates the nodes.
          seed: where all chance comes from.
        """
        self.now = 0.0
        self.sent: Counter[str] = Counter()
        """Bytes by entry."""
        self.dead: set[str] = set()
        self.cut = ""
        """The region that is cut off, if any."""
        self.isolated: set[str] = set()
        """Entries that are cut off from all others."""
        self._loss = loss
        self._rng = Random(seed)
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        members = [_member(i, regions) for i in range(entries)]
        targets = _targets(members, regions)
        self.nodes = {m.name: make(m, targets, Random(m.name)) for m in members}
        self._by_address = {m.gossip: m for m in members}
        for node in self.nodes.values():
            for member in members:
                node.membership.update_member(member, 0.0)
            first = self._rng.random() * HEARTBEAT_INTERVAL_S
            self._at(first, lambda n=node: self._round(n))  # type: ignore[misc]

    def _at(self, time: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), call))

    def run(self, until: float) -> None:
        """Play until a time, in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def restart(self, name: str, node: Node) -> None:
        """Start an entry's next incarnation, in place of the one that was killed."""
        self.nodes[name] = node
        first = self._rng.random() * HEARTBEAT_INTERVAL_S
        self._at(self.now + first, lambda: self._round(node))

    def _round(self, node: Node) -> None:
        own = node.membership.own
        if own.name in self.dead or self.nodes[own.name] is not node:
            return
        for message, to in node.round(self.now):
            size = len(zlib.compress(pack(message), 1)) + HEADERS
            self.sent[own.name] += size * len(to)
            for address in to:
                self._send(own, message, self._by_address[address])
        late_s = self._rng.uniform(0.0, JITTER_S)
        self._at(self.now + HEARTBEAT_INTERVAL_S + late_s, lambda: self._round(node))

    def _send(self, own: Member, message: object, to: Member) -> None:
        if self._rng.random() < self._loss:
            return
        near = own.region == to.region
        if not near and self.cut in (own.region, to.region):
            return
        if not self.isolated.isdisjoint((own.name, to.name)):
            return
        self._at(
            self.now + (NEAR_S if near else FAR_S), lambda: self._arrive(message, to)
        )

    def _arrive(self, message: object, to: Member) -> None:
        if to.name not in self.dead:
            self.nodes[to.name].take(message, self.now)

    def probes(self) -> list[Node]:
        """Return some of the running nodes, the same ones each time."""
        running = [n for name, n in self.nodes.items() if name not in self.dead]
        return Random(2).sample(running, min(PROBES, len(running)))


def measure(site: KnowledgeSite) -> Figures:
    """Play a site from its start, and return its figures."""
    figures = Figures()
    _steady(site, figures)
    _deaths(site, figures)
    _cut(site, figures)
    return figures


def _member(number: int, regions: int) -> Member:
    region = f"r{number % regions}"
    domain = f"{region}d{number // regions % 3}"
    address = f"10.{number // 65025}.{number // 255 % 255}.{number % 255}:7200"
    link_mbps = 200 if number < regions * WIDE_PER_REGION else 20
    return Member(f"e{number}", region, domain, address, address, address, 1, link_mbps)


def _targets(members: list[Member], regions: int) -> dict[str, list[str]]:
    """Return names of targets, by region."""
    targets: dict[str, list[str]] = {m.region: [] for m in members}
    for i in range(round(len(members) * TARGETS_PER_ENTRY)):
        targets[f"r{i % regions}"].append(f"i-{i:08x}")
    return targets


def _percentile(values: list[float], part: float) -> float:
    return sorted(values)[int(part * (len(values) - 1))] if values else 0.0


def _steady(site: KnowledgeSite, figures: Figures) -> None:
    """Measure ages, false silences and bytes while nothing fails."""
    site.run(WARM_UP_S)
    for node in site.probes():
        node.membership.changes(site.now)
    site.sent.clear()
    near: list[float] = []
    far: list[float] = []
    silences = 0
    while site.now < WARM_UP_S + STEADY_S:
        site.run(site.now + 3 * STEP_S)
        for node in site.probes():
            _note_ages(node, site.now, near, far)
            changes = node.membership.changes(site.now)
            silences += sum(change == "silent" for _, change, _ in changes)
    hours = len(site.probes()) * STEADY_S / 3600
    sent = [site.sent[name] / STEADY_S / 1000 for name in site.nodes]
    figures.near_p99_s = _percentile(near, 0.99)
    figures.far_p99_s = _percentile(far, 0.99)
    figures.false_silences_per_entry_hour = silences / hours
    figures.kb_per_s = sum(sent) / len(sent)
    figures.busiest_kb_per_s = max(sent)


def _note_ages(node: Node, now: float, near: list[float], far: list[float]) -> None:
    membership = node.membership
    near_domains = set(membership.domains(membership.own.region))
    for domain in membership.all_domains():
        into = near if domain in near_domains else far
        into += [now - s.at for s in membership.newest_heartbeats(domain)]


def _deaths(site: KnowledgeSite, figures: Figures) -> None:
    """Kill an entry with a wide link and one with a narrow one at the same time."""
    names = list(site.nodes)
    victims = [site.nodes[n].membership.own for n in (names[0], names[-1])]
    site.dead.update(v.name for v in victims)
    selectors = [EntrySelector(node.membership) for node in site.probes()]
    began = site.now
    while site.now < began + WATCHED_S:
        site.run(site.now + STEP_S)
        for victim in victims:
            _note_named(site, selectors, victim, began, figures)


def _note_named(
    site: KnowledgeSite,
    selectors: list[EntrySelector],
    victim: Member,
    began: float,
    figures: Figures,
) -> None:
    since_s = site.now - began
    for node, selector in zip(site.probes(), selectors, strict=True):
        named = selector.select_addresses(
            victim.region, victim.domain, SERVING, site.now
        )
        if victim.front not in named:
            continue
        if node.membership.own.region == victim.region:
            figures.dead_named_near_s = max(figures.dead_named_near_s, since_s)
        else:
            figures.dead_named_far_s = max(figures.dead_named_far_s, since_s)


def _cut(site: KnowledgeSite, figures: Figures) -> None:
    """Cut a region off, and wait until all entries that run are live to all again."""
    site.cut = "r1"
    site.run(site.now + CUT_S)
    site.cut = ""
    healed = site.now
    others = len(site.nodes) - len(site.dead) - 1
    while site.now < healed + HEAL_S:
        site.run(site.now + STEP_S)
        if all(len(n.membership.live(site.now)) == others for n in site.probes()):
            break
    figures.heard_again_s = site.now - healed
