# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How an entry that starts finds the others and gets the state."""

import asyncio
import os
from random import Random

from leverdoor.codec import pack
from leverdoor.entry.events import Events
from leverdoor.entry.log_writer import LineWriter
from leverdoor.entry.membership.joining import ALONE_S, SETTLE_S, Joining
from leverdoor.entry.membership.member import Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.roles import Roles
from leverdoor.errors import StoreUnavailable
from leverdoor.storage.fetching import PeerFetcher
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import Commit, Event, KeyValue, LeasingStore, Listing

PREFIX = "entries/"


class Store(LeasingStore):
    """A store that knows some entries, or is away."""

    def __init__(self, entries: list[KeyValue], away: bool = False) -> None:
        self.entries = entries
        self.away = away
        self.stale_reads = 0

    async def read(self, prefix: str) -> Listing:
        raise AssertionError("everything was listed")

    async def read_stale(self, prefix: str) -> Listing:
        assert prefix == PREFIX
        self.stale_reads += 1
        if self.away:
            raise StoreUnavailable("away")
        return Listing(1, self.entries)

    async def commit(self, writes: object) -> Commit:
        raise AssertionError(writes)

    def watch(self, prefix: str, after: int) -> object:  # type: ignore[override]
        raise AssertionError("watched")

    async def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> int:
        raise AssertionError("registered")

    async def renew_lease(self, lease: int) -> bool:
        return True

    async def revoke_lease(self, lease: int) -> None:
        raise AssertionError("let go")


class Puller(PeerFetcher):
    """Peers of which some have the state."""

    def __init__(self, state: State, having: set[str]) -> None:
        super().__init__(state)
        self._copy = state
        self.having = having
        self.asked: list[list[str]] = []

    async def fetch_first_newer(self, apis: list[str], timeout_s: float) -> bool:
        self.asked.append(apis)
        if self.having.isdisjoint(apis):
            return False
        return self._copy.apply(Delta(0, 5, True, [Event(5, "k", b"v")]))


def member(name: str, link_mbps: int = 20) -> Member:
    domain = name.split("-")[0]
    return Member(
        name, "a", domain, f"f/{name}", f"g/{name}", f"p/{name}", 1, link_mbps
    )


def written(*members: Member) -> list[KeyValue]:
    return [KeyValue(PREFIX + m.name, pack(m), 1, 7) for m in members]


class Start:
    """One entry's start."""

    def __init__(self, own: Member, store: Store, having: set[str]) -> None:
        self.membership = Membership(own)
        self.state = State()
        self.puller = Puller(self.state, having)
        events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), own.name)
        self.joining = Joining(
            store,
            PREFIX,
            self.membership,
            Roles(self.membership, Random(1)),
            self.state,
            self.puller,
            events,
            Random(1),
        )


async def test_the_state_comes_from_a_peer_of_the_own_domain() -> None:
    others = [member(f"a1-{i}", 200) for i in range(4)] + [member("a2-0", 200)]
    store = Store(written(*others))
    start = Start(member("a1-9"), store, {f"p/a1-{i}" for i in range(4)})
    found = await start.joining.find()
    assert found.keys() == {PREFIX + m.name for m in others}
    await start.joining.fetch(followers=2)
    assert start.state.revision == 5
    assert all(api.startswith("p/a1-") for apis in start.puller.asked for api in apis)
    loop = asyncio.get_running_loop()
    assert start.joining.settled_at > loop.time(), "others follow the store"
    assert start.joining.settled_at <= loop.time() + SETTLE_S


async def test_an_entry_with_a_wide_link_lists_at_once() -> None:
    store = Store(written(*[member(f"a1-{i}") for i in range(4)]))
    start = Start(member("a1-9", 200), store, set())
    await start.joining.find()
    await start.joining.fetch(followers=2)
    assert start.puller.asked == []
    assert start.joining.settled_at == 0.0, "it may follow the store at once"


async def test_others_wait_for_news_of_those_that_list() -> None:
    others = [member(f"a1-{i}", 200) for i in range(4)]
    start = Start(member("a1-9"), Store(written(*others)), set())
    await start.joining.find()
    loop = asyncio.get_running_loop()
    loop.call_later(
        0.01, lambda: start.state.apply(Delta(0, 3, True, [Event(3, "k", b"v")]))
    )
    await start.joining.fetch(followers=2)
    assert start.state.revision == 3
    assert start.joining.settled_at > 0.0


async def test_who_finds_nobody_with_the_state_lists_in_the_end() -> None:
    others = [member(f"a1-{i}", 200) for i in range(4)]
    start = Start(member("a1-9"), Store(written(*others)), set())
    await start.joining.find()
    await start.joining.fetch(followers=2)
    assert start.state.revision == 0
    assert start.joining.settled_at == 0.0


async def test_a_store_that_is_away_does_not_hold_up_the_start() -> None:
    start = Start(member("a1-9"), Store([], away=True), set())
    assert await start.joining.find() == {}
    assert 0.0 <= start.joining._patience_s(2) <= ALONE_S


def test_waits_follow_the_rank_and_are_bounded() -> None:
    start = Start(member("a1-9", 1), Store([]), set())
    for i in range(3):
        start.membership.introduce(member(f"a1-{i}", 200), 0.0)
    assert 0.0 < start.joining._patience_s(2) < 0.2
    for i in range(60):
        start.membership.introduce(member(f"a2-{i}", 200), 0.0)
    assert start.joining._patience_s(2) < 1.0
