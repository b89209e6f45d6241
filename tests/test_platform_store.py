# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Contract of the platform's store: the adapter against the stand-in, with faults."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from aiohttp.test_utils import TestServer

import leverdoor.platform.store as platform_store
from leverdoor.errors import Code, LeverdoorError, OutcomeUnknown, StoreUnavailable
from leverdoor.platform.store import NoAnswer, PlatformStore
from leverdoor.standins.metadata import MetadataFaults, MetadataStandin
from leverdoor.storage.store import Write


class Pair:
    """The adapter and the stand-in behind it."""

    def __init__(self, store: PlatformStore, standin: MetadataStandin) -> None:
        self.store = store
        self.standin = standin


@pytest.fixture
async def pair(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Pair]:
    monkeypatch.setattr(platform_store, "CALL_TIMEOUT_S", 0.3)
    monkeypatch.setattr(platform_store, "WATCH_WAIT_MS", 200)
    monkeypatch.setattr(platform_store, "WATCH_SLACK_S", 0.3)
    monkeypatch.setattr(platform_store, "GATHER_S", 0.0)
    standin = MetadataStandin()
    server = TestServer(standin.app())
    await server.start_server()
    store = PlatformStore(f"{server.host}:{server.port}")
    yield Pair(store, standin)
    await store.close()
    await server.close()


async def test_reads_all_pages(pair: Pair) -> None:
    pair.standin.faults.page = 2
    for i in range(5):
        pair.standin.put(f"servers/{i}", bytes([i]))
    listing = await pair.store.read("")
    assert {e.key: e.value for e in listing.entries} == {
        f"servers/{i}": bytes([i]) for i in range(5)
    }
    assert pair.standin.calls["kv-range"] == 3


async def test_a_stale_read_says_so_and_tells_leases(pair: Pair) -> None:
    """It costs a tenth of another read."""
    lease = await pair.store.hold("entries/n1", b"1", 5.0)
    listing = await pair.store.read_stale("entries/")
    assert [(e.key, e.value, e.lease) for e in listing.entries] == [
        ("entries/n1", b"1", lease)
    ]
    assert pair.standin.calls["kv-range stale"] == 1
    assert "kv-range" not in pair.standin.calls


async def test_pages_are_dated_by_the_first(pair: Pair) -> None:
    """What changes between pages must still be heard from the watch."""
    pair.standin.faults.page = 1
    pair.standin.put("servers/a", b"1")
    pair.standin.put("servers/b", b"1")
    first = pair.standin.revision
    listing = await pair.store.read("")
    assert listing.revision == first


async def test_watch_tells_changes_and_removals(pair: Pair) -> None:
    at = pair.standin.put("op/config", b"1")
    watch = pair.store.watch("", at)
    assert await anext(watch) == []
    pair.standin.put("op/config", b"2")
    pair.standin.remove("op/config")
    events = await anext(watch)
    assert [(e.key, e.value) for e in events] == [
        ("op/config", b"2"),
        ("op/config", None),
    ]
    assert [e.revision for e in events] == [at + 1, at + 2]
    await watch.aclose()  # type: ignore[attr-defined]


async def test_lost_history_is_told(pair: Pair) -> None:
    pair.standin.put("op/config", b"1")
    pair.standin.put("op/config", b"2")
    pair.standin.forget_history()
    with pytest.raises(LeverdoorError) as caught:
        await anext(pair.store.watch("", 1))
    assert caught.value.code is Code.COMPACTED


async def test_a_watch_whose_first_packet_is_lost_calls_again(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """TCP sends it again after a second, when the answer would be late."""
    monkeypatch.setattr(platform_store, "FIRST_ANSWER_S", 0.1)
    call = pair.store._call
    lost = ["kv-watch"]

    async def first_is_lost(*args: object) -> tuple[int, bytes]:
        if lost:
            lost.pop()
            raise NoAnswer("no answer")
        return await call(*args)  # type: ignore[arg-type]

    pair.store._call = first_is_lost  # type: ignore[method-assign]
    at = pair.standin.put("op/config", b"1")
    [event] = await anext(pair.store.watch("", at - 1))
    assert event.key == "op/config"
    assert pair.standin.calls["kv-watch"] == 1


async def test_a_refused_watch_does_not_call_again(pair: Pair) -> None:
    """The store was reached, and asked for fewer calls."""
    pair.standin.faults = MetadataFaults(busy=429)
    with pytest.raises(StoreUnavailable):
        await anext(pair.store.watch("", 0))
    assert pair.standin.calls["kv-watch"] == 1


FAULTS = [
    pytest.param(MetadataFaults(silent=True), id="silent"),
    pytest.param(MetadataFaults(busy=503), id="busy"),
    pytest.param(MetadataFaults(busy=429), id="many"),
    pytest.param(MetadataFaults(reset=True), id="reset"),
    pytest.param(MetadataFaults(delay_s=5.0), id="slow"),
    pytest.param(MetadataFaults(turned_away=["127.0.0.1"]), id="turned away"),
]


@pytest.mark.parametrize("faults", FAULTS)
async def test_faults_of_reads_are_unavailable(
    pair: Pair, faults: MetadataFaults
) -> None:
    pair.standin.faults = faults
    with pytest.raises(StoreUnavailable):
        await pair.store.read("")
    with pytest.raises(StoreUnavailable):
        await anext(pair.store.watch("", 0))
    pair.standin.faults = MetadataFaults()
    assert (await pair.store.read("")).entries == []


WRITE_FAULTS = [
    pytest.param(MetadataFaults(busy=503), StoreUnavailable, False, id="busy"),
    pytest.param(MetadataFaults(busy=429), StoreUnavailable, False, id="many"),
    pytest.param(MetadataFaults(reset=True), OutcomeUnknown, False, id="reset"),
    pytest.param(MetadataFaults(lose_writes=1), OutcomeUnknown, True, id="lost"),
    pytest.param(
        MetadataFaults(lose_writes=1, late_s=0.05), OutcomeUnknown, False, id="late"
    ),
]


@pytest.mark.parametrize(("faults", "error", "written"), WRITE_FAULTS)
async def test_faults_of_writes_say_what_is_known(
    pair: Pair,
    faults: MetadataFaults,
    error: type[LeverdoorError],
    written: bool,
) -> None:
    pair.standin.faults = faults
    with pytest.raises(error):
        await pair.store.commit([Write("leverdoor/x", b"1", expect=0)])
    assert ("leverdoor/x" in pair.standin.items) == written


async def test_conditions_hold(pair: Pair) -> None:
    first = await pair.store.commit([Write("leverdoor/x", b"1", expect=0)])
    again = await pair.store.commit([Write("leverdoor/x", b"2", expect=0)])
    assert (first.taken, again.taken) == (True, False)
    removed = await pair.store.commit([Write("leverdoor/x", None, first.revision)])
    assert removed.taken
    assert "leverdoor/x" not in pair.standin.items


async def test_leases_are_kept_and_let_go(pair: Pair) -> None:
    lease = await pair.store.hold("leverdoor/e", b"me", 10.0)
    assert pair.standin.items["leverdoor/e"].lease == lease
    assert await pair.store.keep(lease)
    await pair.store.let_go(lease)
    assert "leverdoor/e" not in pair.standin.items
    assert not await pair.store.keep(lease)


async def test_a_lease_that_runs_out_takes_its_keys() -> None:
    now = [0.0]
    standin = MetadataStandin(lambda: now[0])
    server = TestServer(standin.app())
    await server.start_server()
    store = PlatformStore(f"{server.host}:{server.port}")
    lease = await store.hold("leverdoor/e", b"me", 10.0)
    now[0] = 9.0
    assert await store.keep(lease)
    now[0] = 18.0
    assert await store.keep(lease)
    now[0] = 29.0
    assert not await store.keep(lease)
    assert "leverdoor/e" not in standin.items
    await store.close()
    await server.close()


async def test_what_is_no_answer_of_the_store_is_unavailable(pair: Pair) -> None:
    async def rubbish(*_: object) -> tuple[int, bytes]:
        await asyncio.sleep(0)
        return 200, b"<html>"

    pair.store._call = rubbish  # type: ignore[method-assign]
    with pytest.raises(StoreUnavailable):
        await pair.store.read("")
