# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Entries that keep in step with the store, on a fake clock, under cuts of every shape.

The product's own control plane runs: membership, exchange, elections, fetches, the
client of the platform's store. Emulated are the clock, the ways between entries and to
the store, and the store. No request is played.

State: the ways between entries and what is cut of them, and when each change was in
force at each entry; all of it lasts one run. Relies on `virtual_clock` for the clock
and on `emulated_store` for the store.
"""

import asyncio
import os
from collections.abc import Callable, Iterable, Iterator, Mapping
from random import Random

import msgspec

from emulated_store import EmulatedStore, StoreWay, WayFault
from leverdoor.codec import pack
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.configuration.catalog_manager import CatalogManager
from leverdoor.entry.configuration.confirmation import ANSWER_COUNTER_BITS, Confirmation
from leverdoor.entry.context import EntryContext
from leverdoor.entry.control_plane import ControlPlane
from leverdoor.entry.events import Events
from leverdoor.entry.exchange.exchange_types import EntryStatus, PeerUpdate
from leverdoor.entry.exchange.messages import Message, PermitMessage, PermitResponse
from leverdoor.entry.exchange.peer_network import PeerNetwork
from leverdoor.entry.log_writer import LineWriter
from leverdoor.entry.membership.liveness import HEARTBEAT_INTERVAL_S
from leverdoor.entry.membership.member import (
    SERVING,
    STARTING,
    Member,
    link_sort_key,
    member_id,
)
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.settings import EntrySettings
from leverdoor.entry.wire import StoreContents, Wire
from leverdoor.model.position import Position
from leverdoor.platform.wire_format import wire
from leverdoor.settings import Address
from leverdoor.storage.fetching import READ_TIMEOUT_S
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import KeyValue

__all__ = ["Change", "FollowingEntry", "FollowingSite"]

NEAR_S = 0.001
"""One-way delay within a region, in seconds."""
FAR_S = 0.045
"""One-way delay between regions, in seconds; users have 35 to 55 ms."""
JITTER_S = 0.004
"""Most by which a round comes late, in seconds."""
SWEEP_ROUNDS = 5
"""Rounds between two clean-ups."""
PREFIX = "entry/"
"""Of the entries' registrations."""
SPREAD_MBPS = 8
"""Links of the entries of a region differ by up to so many steps."""


class Change(msgspec.Struct):
    """One change of the store, and when it was in force at each entry."""

    revision: int
    at: float
    """When the store confirmed it."""
    in_force: dict[str, float] = {}
    """By entry, the first time at which its state included it."""


class EmulatedNetwork(PeerNetwork):
    """One entry's way to the others."""

    def __init__(self, site: "FollowingSite", name: str) -> None:
        """Create it for an entry of a site."""
        self._site = site
        self._name = name
        self.take: Callable[[Message], None] | None = None
        self.stuck: set[str] = set()
        """Entries to which the kept connection is silent for good."""

    async def open(self, listen: Address, take: Callable[[Message], None]) -> None:
        """Receive messages from now on."""
        self.take = take

    def send_all(self, message: Message, to: Iterable[str]) -> None:
        """Send one message to several addresses."""
        for address in to:
            self._site.carry(self._name, address.partition(":")[0], message)

    async def fetch(self, address: str, since: Position) -> Delta:
        """Fetch what an entry has beyond a position."""
        to = address.partition(":")[0]
        peer = self._site.entries[to]
        delay_s = self._site.delay_s(self._name, to)
        try:
            await asyncio.sleep(delay_s)
            if to in self.stuck or not self._site.connects(self._name, to):
                await _silence()
            delta = peer.state.delta(since)
            self._site.note_fetch(self._name, to, len(pack(delta)))
            await asyncio.sleep(delay_s)
            if not self._site.connects(self._name, to):
                await _silence()
            return delta
        except (asyncio.CancelledError, TimeoutError):
            self.stuck.discard(to)
            raise


async def _silence() -> None:
    """Wait as the product's fetches do where nothing comes."""
    await asyncio.sleep(READ_TIMEOUT_S)
    raise TimeoutError


class FollowingEntry:
    """One entry's control plane."""

    def __init__(self, site: "FollowingSite", member: Member, rng: Random) -> None:
        """Create it; `start` runs it."""
        self._site = site
        self._rng = rng
        self.member = member
        self.store = StoreWay(site.store, site.store_delay_s(member.region), rng)
        self.network = EmulatedNetwork(site, member.name)
        self.state = State()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Run it, as a new process."""
        loop = asyncio.get_running_loop()
        incarnation = round(loop.time() * 1e6)
        self.member = msgspec.structs.replace(self.member, incarnation=incarnation)
        words = self._site.wire()
        self.state = State(words.describe_record)
        name = self.member.name
        here = Address(name, 1)
        settings = EntrySettings(
            name=name,
            region=self.member.region,
            domain=self.member.domain,
            domains=self._site.domains,
            front=here,
            ready=here,
            directory=here,
            gossip=here,
            pull=here,
            metrics=here,
        )
        events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), name)
        context = EntryContext(
            settings, self.store, self.network, words, events, self._rng, loop.time
        )
        self.membership = Membership(self.member)
        self.state.changes.subscribe(self._take_delta)
        self.catalog_manager = CatalogManager(
            words,
            self.state,
            Confirmation(member_id(name), self._rng.getrandbits(ANSWER_COUNTER_BITS)),
            events,
            2.5,
            self._put_in_force,
        )
        self.control = ControlPlane(
            context,
            self.state,
            self.catalog_manager,
            self.membership,
            self._status,
            self._take_update,
            _no_room,
            lambda renewed_at: None,
        )
        loops = (self.control.join_and_follow, self.control.register, self._rounds)
        self._tasks = [asyncio.ensure_future(run()) for run in loops]

    async def stop(self) -> None:
        """End it without a word."""
        self.network.take = None
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _rounds(self) -> None:
        await self.control.peers.open(Address(self.member.name, 1))
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._rng.random() * HEARTBEAT_INTERVAL_S)
        turn = 0
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S + self._rng.random() * JITTER_S)
            turn += 1
            self.control.peers.round(loop.time())
            if turn % SWEEP_ROUNDS == 0:
                self.membership.forget(loop.time())
                self.control.exchange.forget(loop.time())

    def _take_delta(self, _: Delta) -> None:
        self.catalog_manager.compile()
        self._site.note_in_force(self.member.name, self.state.revision)
        self.control.peers.schedule_announcement()

    def _put_in_force(self, _: Catalog, __: Catalog, configured: StoreContents) -> None:
        now = asyncio.get_running_loop().time()
        self.membership.add_registered(configured.peers, now)

    def _take_update(self, update: PeerUpdate, now: float) -> None:
        self.catalog_manager.outage.record_peer_report(update.outage_age_ms, now)
        self.control.receive_confirmation(update.answer, now)

    def _status(self) -> EntryStatus:
        now = asyncio.get_running_loop().time()
        return EntryStatus(
            SERVING if self.state.revision else STARTING,
            self.state.position,
            {},
            {},
            self.catalog_manager.outage.age_ms(now),
            [],
            answer=self.catalog_manager.confirmation.newest_answer(
                self.state.position, now
            ),
            unserved=self.control.is_unserved(now),
        )


def _translate(items: Mapping[str, KeyValue]) -> StoreContents:
    peers = {k: v.value for k, v in items.items() if k.startswith(PREFIX)}
    return StoreContents("1", [], peers)


def _no_room(_: PermitMessage, __: float) -> PermitResponse | None:
    return None


class FollowingSite:
    """Entries in some regions, and the ways between them and to the store."""

    def __init__(
        self, entries: int, regions: int = 3, seed: int = 1, loss: float = 0.0
    ) -> None:
        """Create it; `start` runs it.

        Args:
          entries: how many, spread evenly over two failure domains a region.
          regions: how many; the store stands in the first one.
          seed: of all chance.
          loss: share of datagrams that are lost.
        """
        self.rng = Random(seed)
        self.loss = loss
        self.store = EmulatedStore()
        self.domains = {f"r{r}-{d}": f"r{r}" for r in range(regions) for d in range(2)}
        self.cuts: set[tuple[str, str]] = set()
        """Pairs of entries; nothing that the first sends reaches the second."""
        self.changes: list[Change] = []
        self.fetched_bytes = 0
        """Of all fetches, before compression."""
        self.crossed_bytes = 0
        """Of those that crossed regions."""
        self._in_force: dict[str, int] = {}
        self.entries: dict[str, FollowingEntry] = {}
        for i in range(entries):
            self._add(i, f"r{i % regions}", i // regions)

    def _add(self, number: int, region: str, place: int) -> None:
        name = f"{region}-n{place}"
        link = 20 + 10 * (place % SPREAD_MBPS)
        here = f"{name}:1"
        member = Member(
            name, region, f"{region}-{place % 2}", here, here, here, 1, link
        )
        rng = Random(self.rng.random() + number)
        self.entries[name] = FollowingEntry(self, member, rng)

    async def start(self, warm_up_s: float = 8.0) -> None:
        """Run all entries until they are in step."""
        self.store.put("op/config", b"first")
        for entry in self.entries.values():
            entry.start()
        await asyncio.sleep(warm_up_s)

    async def stop(self) -> None:
        """End all entries."""
        for entry in self.entries.values():
            await entry.stop()

    def wire(self) -> Wire:
        """Return names and formats for an entry; no configuration is decoded."""
        return msgspec.structs.replace(
            wire(self.domains),
            translate=_translate,
            peer_key=lambda name: PREFIX + name,
        )

    # Ways.

    def store_delay_s(self, region: str) -> float:
        """Return the one-way delay from a region to the store."""
        return NEAR_S if region == "r0" else FAR_S

    def delay_s(self, a: str, b: str) -> float:
        """Return the one-way delay between two entries."""
        same = self.entries[a].member.region == self.entries[b].member.region
        return NEAR_S if same else FAR_S

    def connects(self, a: str, b: str) -> bool:
        """Return whether bytes pass both ways between two entries."""
        return (a, b) not in self.cuts and (b, a) not in self.cuts

    def carry(self, sender: str, to: str, message: Message) -> None:
        """Carry a datagram, or lose it."""
        if (sender, to) in self.cuts or to not in self.entries:
            return
        if self.loss and self.rng.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s(sender, to), self._deliver, to, message)

    def _deliver(self, to: str, message: Message) -> None:
        take = self.entries[to].network.take
        if take is not None:
            take(message)

    def note_fetch(self, a: str, b: str, size: int) -> None:
        """Count the bytes of an entry's fetch from another."""
        self.fetched_bytes += size
        if self.entries[a].member.region != self.entries[b].member.region:
            self.crossed_bytes += size

    def cut(self, senders: Iterable[str], to: Iterable[str]) -> None:
        """Lose what some entries send to others."""
        receivers = list(to)
        self.cuts |= {(a, b) for a in senders for b in receivers if a != b}

    def set_store_fault(self, names: Iterable[str], fault: WayFault) -> None:
        """Set the fault of some entries' ways to the store."""
        for name in names:
            self.entries[name].store.set_fault(fault)

    def first_by_link(self, count: int = 2) -> list[str]:
        """Return the entries of each region with the widest links."""
        return [
            entry.member.name
            for region in sorted({e.member.region for e in self.entries.values()})
            for entry in self.ranked(region)[:count]
        ]

    def ranked(self, region: str) -> list[FollowingEntry]:
        """Return a region's entries, the widest links first."""
        here = [e for e in self.entries.values() if e.member.region == region]
        return sorted(here, key=lambda e: link_sort_key(e.member))

    # Changes.

    def change(self, size: int = 200) -> Change:
        """Let the operator write a change, which the store confirms at once."""
        revision = self.store.put("op/config", bytes(size))
        now = asyncio.get_running_loop().time()
        self.changes.append(Change(revision, now, {}))
        return self.changes[-1]

    def note_in_force(self, name: str, revision: int) -> None:
        """Record that an entry has put a revision in force."""
        now = asyncio.get_running_loop().time()
        before = self._in_force.get(name, 0)
        self._in_force[name] = revision
        for change in self.changes:
            if before < change.revision <= revision:
                change.in_force.setdefault(name, now)

    async def change_for(self, seconds: float, gap_s: float = 0.33) -> None:
        """Change something again and again for a while."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            self.change()
            await asyncio.sleep(gap_s)

    def delays(
        self, judged: Iterable[str], older_than_s: float = 0.0
    ) -> Iterator[float]:
        """Yield for each change how long each judged entry took, in seconds.

        Infinite where a change was not in force yet.

        Args:
          judged: names of entries.
          older_than_s: changes that were confirmed later than that are left out.
        """
        names = list(judged)
        last = asyncio.get_running_loop().time() - older_than_s
        for change in self.changes:
            for name in names if change.at <= last else ():
                at = change.in_force.get(name, float("inf"))
                yield max(at - change.at, 0.0)
