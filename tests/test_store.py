# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Contract of the key-value service, tested in memory and over HTTP."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from aiohttp.test_utils import TestServer

from leverdoor.errors import Code, LeverdoorError, OutcomeUnknown, StoreUnavailable
from leverdoor.model.position import position_without_era
from leverdoor.standins.kv import KvStandin
from leverdoor.storage.etcd import EtcdStore
from leverdoor.storage.store import MAX_LOG_EVENTS, Event, MemoryStore, Store, Write


class Backend:
    """A store under test and the `MemoryStore` that holds its data."""

    def __init__(self, store: Store, memory: MemoryStore) -> None:
        self.store = store
        self.memory = memory


@pytest.fixture(params=["memory", "http"])
async def backend(request: pytest.FixtureRequest) -> AsyncIterator[Backend]:
    if request.param == "memory":
        memory = MemoryStore()
        yield Backend(memory, memory)
        return
    standin = KvStandin()
    server = TestServer(standin.app())
    await server.start_server()
    store = EtcdStore([str(server.make_url(""))], timeout_s=0.5)
    yield Backend(store, standin.store)
    await store.close()
    await server.close()


async def test_write_then_read(backend: Backend) -> None:
    result = await backend.store.commit([Write("/a/1", b"x"), Write("/a/2", b"\xff")])
    listing = await backend.store.read("/a/")
    assert result.committed
    assert [(e.key, e.value) for e in listing.entries] == [
        ("/a/1", b"x"),
        ("/a/2", b"\xff"),
    ]
    assert {e.revision for e in listing.entries} == {result.revision}
    assert listing.revision == result.revision


async def test_read_returns_only_keys_under_the_prefix(backend: Backend) -> None:
    await backend.store.commit([Write("/a/1", b"x"), Write("/b", b"y")])
    assert [e.key for e in (await backend.store.read("/a/")).entries] == ["/a/1"]


@pytest.mark.parametrize(
    ("expect", "taken"), [(None, True), (0, False), (1, False), (2, True), (3, False)]
)
async def test_compare_and_swap(
    backend: Backend, expect: int | None, taken: bool
) -> None:
    await backend.store.commit([Write("/k", b"old")])
    result = await backend.store.commit(
        [Write("/other", b"n"), Write("/k", b"new", expect)]
    )
    assert result.committed is taken
    values = {e.key: e.value for e in (await backend.store.read("/")).entries}
    assert values["/k"] == (b"new" if taken else b"old")
    assert ("/other" in values) is taken


async def test_watch_yields_every_change_after_a_revision(backend: Backend) -> None:
    first = await backend.store.commit([Write("/a", b"1")])
    await backend.store.commit([Write("/a", b"2"), Write("/b", b"1")])
    await backend.store.commit([Write("/a", None)])
    received: list[Event] = []
    async for events in backend.store.watch("/", position_without_era(first.revision)):
        received += events
        if len(received) == 3:
            break
    assert [(e.key, e.value) for e in received] == [
        ("/a", b"2"),
        ("/b", b"1"),
        ("/a", None),
    ]


async def test_watch_of_a_compacted_revision_fails(
    backend: Backend,
) -> None:
    for i in range(MAX_LOG_EVENTS + 2):
        backend.memory._commit([Write("/a", str(i).encode())])
    with pytest.raises(LeverdoorError) as e:
        async for _ in backend.store.watch("/", position_without_era(1)):
            pass
    assert e.value.code is Code.COMPACTED


async def test_large_values_are_compacted_by_their_bytes(backend: Backend) -> None:
    """A log of 20,000 whole values filled the memory of the test machine."""
    values = [bytes([number]) * 1_000_000 for number in range(40)]
    for value in values:
        backend.memory._commit([Write("/a", value)])
    with pytest.raises(LeverdoorError) as e:
        async for _ in backend.store.watch("/", position_without_era(1)):
            pass
    assert e.value.code is Code.COMPACTED
    revision = backend.memory.revision
    watch = backend.store.watch("/", position_without_era(revision - 1))
    events: list[Event] = []
    while not events:
        events = await anext(watch)
    assert [event.value for event in events] == [values[-1]]


async def test_outage_rejects_requests_and_writes_nothing(
    backend: Backend,
) -> None:
    backend.memory.down = True
    with pytest.raises(StoreUnavailable):
        await backend.store.commit([Write("/a", b"1")])
    with pytest.raises(StoreUnavailable):
        await backend.store.read("/")
    backend.memory.down = False
    assert (await backend.store.read("/")).entries == []


async def test_outage_ends_a_watch(backend: Backend) -> None:
    async def follow() -> None:
        async for _ in backend.store.watch("/", position_without_era(1)):
            pass

    task = asyncio.create_task(follow())
    await asyncio.sleep(0.05)
    backend.memory.down = True
    backend.memory.wake_watches()
    with pytest.raises(StoreUnavailable):
        await asyncio.wait_for(task, 5)


async def test_write_with_a_lost_response_may_have_taken_effect(
    backend: Backend,
) -> None:
    backend.memory.lose_answers = 1
    with pytest.raises(OutcomeUnknown):
        await backend.store.commit([Write("/a", b"1")])
    assert [e.value for e in (await backend.store.read("/a")).entries] == [b"1"]


async def test_timeout_of_a_write_is_unknown_and_of_a_read_unavailable() -> None:
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


async def test_refused_connection_is_unavailable() -> None:
    store = EtcdStore(["http://127.0.0.1:9"], timeout_s=0.5)
    with pytest.raises(StoreUnavailable):
        await store.commit([Write("/a", b"1")])
    await store.close()
