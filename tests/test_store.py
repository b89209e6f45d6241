# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Contract of the key-value service: in memory and through HTTP alike."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from aiohttp.test_utils import TestServer

from leverdoor.errors import Code, LeverdoorError, OutcomeUnknown, StoreUnavailable
from leverdoor.standins.kv import KvStandin
from leverdoor.storage.etcd import EtcdStore
from leverdoor.storage.store import EVENT_LOG, Event, MemoryStore, Store, Write


class Pair:
    """A store and the memory behind it."""

    def __init__(self, store: Store, memory: MemoryStore) -> None:
        self.store = store
        self.memory = memory


@pytest.fixture(params=["memory", "http"])
async def pair(request: pytest.FixtureRequest) -> AsyncIterator[Pair]:
    if request.param == "memory":
        memory = MemoryStore()
        yield Pair(memory, memory)
        return
    standin = KvStandin()
    server = TestServer(standin.app())
    await server.start_server()
    store = EtcdStore([str(server.make_url(""))], timeout_s=0.5)
    yield Pair(store, standin.store)
    await store.close()
    await server.close()


async def test_write_then_read(pair: Pair) -> None:
    done = await pair.store.commit([Write("/a/1", b"x"), Write("/a/2", b"\xff")])
    listing = await pair.store.read("/a/")
    assert done.taken
    assert [(e.key, e.value) for e in listing.entries] == [
        ("/a/1", b"x"),
        ("/a/2", b"\xff"),
    ]
    assert {e.revision for e in listing.entries} == {done.revision}
    assert listing.revision == done.revision


async def test_prefix_leaves_out_neighbours(pair: Pair) -> None:
    await pair.store.commit([Write("/a/1", b"x"), Write("/b", b"y")])
    assert [e.key for e in (await pair.store.read("/a/")).entries] == ["/a/1"]


@pytest.mark.parametrize(
    ("expect", "taken"), [(None, True), (0, False), (1, False), (2, True), (3, False)]
)
async def test_compare_and_swap(pair: Pair, expect: int | None, taken: bool) -> None:
    await pair.store.commit([Write("/k", b"old")])
    done = await pair.store.commit([Write("/other", b"n"), Write("/k", b"new", expect)])
    assert done.taken is taken
    values = {e.key: e.value for e in (await pair.store.read("/")).entries}
    assert values["/k"] == (b"new" if taken else b"old")
    assert ("/other" in values) is taken


async def test_watch_gives_every_change_after_a_revision(pair: Pair) -> None:
    first = await pair.store.commit([Write("/a", b"1")])
    await pair.store.commit([Write("/a", b"2"), Write("/b", b"1")])
    await pair.store.commit([Write("/a", None)])
    found: list[Event] = []
    async for events in pair.store.watch("/", first.revision):
        found += events
        if len(found) == 3:
            break
    assert [(e.key, e.value) for e in found] == [
        ("/a", b"2"),
        ("/b", b"1"),
        ("/a", None),
    ]


async def test_watch_of_a_forgotten_revision_says_so(pair: Pair) -> None:
    for i in range(EVENT_LOG + 2):
        pair.memory._commit([Write("/a", str(i).encode())])
    with pytest.raises(LeverdoorError) as e:
        async for _ in pair.store.watch("/", 1):
            pass
    assert e.value.code is Code.COMPACTED


async def test_down_refuses_and_writes_nothing(pair: Pair) -> None:
    pair.memory.down = True
    with pytest.raises(StoreUnavailable):
        await pair.store.commit([Write("/a", b"1")])
    with pytest.raises(StoreUnavailable):
        await pair.store.read("/")
    pair.memory.down = False
    assert (await pair.store.read("/")).entries == []


async def test_down_ends_a_watch(pair: Pair) -> None:
    async def follow() -> None:
        async for _ in pair.store.watch("/", 1):
            pass

    task = asyncio.create_task(follow())
    await asyncio.sleep(0.05)
    pair.memory.down = True
    pair.memory.wake()
    with pytest.raises(StoreUnavailable):
        await asyncio.wait_for(task, 5)


async def test_a_lost_answer_may_have_taken_effect(pair: Pair) -> None:
    pair.memory.lose_answers = 1
    with pytest.raises(OutcomeUnknown):
        await pair.store.commit([Write("/a", b"1")])
    assert [e.value for e in (await pair.store.read("/a")).entries] == [b"1"]


async def test_a_hanging_service_is_unknown_for_writes() -> None:
    standin = KvStandin()
    server = TestServer(standin.app())
    await server.start_server()
    store = EtcdStore([str(server.make_url(""))], timeout_s=0.1)
    standin.store.hang = True
    with pytest.raises(OutcomeUnknown):
        await store.commit([Write("/a", b"1")])
    with pytest.raises(StoreUnavailable):
        await store.read("/")
    standin.store.hang = False
    await store.close()
    await server.close()


async def test_nobody_there_is_unavailable() -> None:
    store = EtcdStore(["http://127.0.0.1:9"], timeout_s=0.5)
    with pytest.raises(StoreUnavailable):
        await store.commit([Write("/a", b"1")])
    await store.close()
