# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of how a starting entry discovers its peers and fetches the state."""

import asyncio
import os
from random import Random

from leverdoor.codec import pack
from leverdoor.entry.events import Events
from leverdoor.entry.log_writer import LineWriter
from leverdoor.entry.membership.joining import (
    FOLLOW_DELAY_S,
    MAX_LONE_DELAY_S,
    JoinProcedure,
)
from leverdoor.entry.membership.member import Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.roles import Roles
from leverdoor.errors import StoreUnavailable
from leverdoor.storage.fetching import PeerFetcher
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import Commit, Event, KeyValue, LeasingStore, Listing

PREFIX = "entries/"


class FakeStore(LeasingStore):
    """A store with some registered entries, or an unavailable one."""

    def __init__(self, entries: list[KeyValue], unavailable: bool = False) -> None:
        self.entries = entries
        self.unavailable = unavailable
        self.stale_reads = 0

    async def read(self, prefix: str) -> Listing:
        raise AssertionError("the whole store was listed")

    async def read_stale(self, prefix: str) -> Listing:
        assert prefix == PREFIX
        self.stale_reads += 1
        if self.unavailable:
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
        raise AssertionError("the lease was revoked")


class FakePeerFollower(PeerFetcher):
    """Fetches from peers, of which only some have the state."""

    def __init__(self, state: State, peers_with_state: set[str]) -> None:
        super().__init__(state)
        self._copy = state
        self.peers_with_state = peers_with_state
        self.requested: list[list[str]] = []

    async def fetch_first_newer(self, apis: list[str], timeout_s: float) -> bool:
        self.requested.append(apis)
        if self.peers_with_state.isdisjoint(apis):
            return False
        return self._copy.apply(Delta(0, 5, True, [Event(5, "k", b"v")]))


def member(name: str, link_mbps: int = 20) -> Member:
    domain = name.split("-")[0]
    return Member(
        name, "a", domain, f"f/{name}", f"g/{name}", f"p/{name}", 1, link_mbps
    )


def registered(*members: Member) -> list[KeyValue]:
    return [KeyValue(PREFIX + m.name, pack(m), 1, 7) for m in members]


class StartingEntry:
    """An entry that joins, with its store and its peers."""

    def __init__(
        self, own: Member, store: FakeStore, peers_with_state: set[str]
    ) -> None:
        self.membership = Membership(own)
        self.state = State()
        self.puller = FakePeerFollower(self.state, peers_with_state)
        events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), own.name)
        self.joining = JoinProcedure(
            store,
            PREFIX,
            self.membership,
            Roles(self.membership, Random(1)),
            self.state,
            self.puller,
            events,
            Random(1),
        )


async def test_the_state_is_fetched_from_a_peer_of_the_own_domain() -> None:
    others = [member(f"a1-{i}", 200) for i in range(4)] + [member("a2-0", 200)]
    store = FakeStore(registered(*others))
    starting = StartingEntry(member("a1-9"), store, {f"p/a1-{i}" for i in range(4)})
    found = await starting.joining.discover_peers()
    assert found.keys() == {PREFIX + m.name for m in others}
    await starting.joining.fetch_state(follower_count=2)
    assert starting.state.revision == 5
    assert all(
        api.startswith("p/a1-") for apis in starting.puller.requested for api in apis
    )
    loop = asyncio.get_running_loop()
    assert starting.joining.may_follow_store_from > loop.time(), (
        "it must not follow the store yet"
    )
    assert starting.joining.may_follow_store_from <= loop.time() + FOLLOW_DELAY_S


async def test_an_entry_with_a_wide_link_queries_peers_once_and_lists_the_store() -> (
    None
):
    store = FakeStore(registered(*[member(f"a1-{i}") for i in range(4)]))
    starting = StartingEntry(member("a1-9", 200), store, set())
    await starting.joining.discover_peers()

    async def wait(delay_s: float) -> None:
        raise AssertionError("it must not wait for a peer's state")

    starting.joining._wait_for_state = wait  # type: ignore[method-assign]
    await starting.joining.fetch_state(follower_count=2)
    assert len(starting.puller.requested) == 1
    assert starting.state.revision == 0
    assert starting.joining.may_follow_store_from == 0.0, (
        "it may follow the store immediately"
    )


async def test_an_entry_with_a_wide_link_takes_what_peers_know_beyond_the_store() -> (
    None
):
    """It listed a store that was back as a copy, and served an older configuration."""
    others = [member(f"a1-{i}") for i in range(4)]
    store = FakeStore(registered(*others))
    starting = StartingEntry(member("a1-9", 200), store, {m.pull for m in others})
    await starting.joining.discover_peers()
    await starting.joining.fetch_state(follower_count=2)
    assert starting.state.revision == 5
    assert starting.joining.may_follow_store_from == 0.0


async def test_entries_with_narrow_links_wait_for_the_state_of_a_peer() -> None:
    others = [member(f"a1-{i}", 200) for i in range(4)]
    starting = StartingEntry(member("a1-9"), FakeStore(registered(*others)), set())
    await starting.joining.discover_peers()
    loop = asyncio.get_running_loop()
    loop.call_later(
        0.01, lambda: starting.state.apply(Delta(0, 3, True, [Event(3, "k", b"v")]))
    )
    await starting.joining.fetch_state(follower_count=2)
    assert starting.state.revision == 3
    assert starting.joining.may_follow_store_from > 0.0


async def test_an_entry_that_finds_no_peer_with_the_state_lists_the_store() -> None:
    others = [member(f"a1-{i}", 200) for i in range(4)]
    starting = StartingEntry(member("a1-9"), FakeStore(registered(*others)), set())
    await starting.joining.discover_peers()
    await starting.joining.fetch_state(follower_count=2)
    assert starting.state.revision == 0
    assert starting.joining.may_follow_store_from == 0.0


async def test_an_unavailable_store_does_not_block_the_start() -> None:
    starting = StartingEntry(member("a1-9"), FakeStore([], unavailable=True), set())
    assert await starting.joining.discover_peers() == {}
    assert 0.0 <= starting.joining._list_delay_s(2) <= MAX_LONE_DELAY_S


def test_list_delays_increase_with_the_rank_and_are_bounded() -> None:
    starting = StartingEntry(member("a1-9", 1), FakeStore([]), set())
    for i in range(3):
        starting.membership.update_member(member(f"a1-{i}", 200), 0.0)
    assert 0.0 < starting.joining._list_delay_s(2) < 0.2
    for i in range(60):
        starting.membership.update_member(member(f"a2-{i}", 200), 0.0)
    assert starting.joining._list_delay_s(2) < 1.0
