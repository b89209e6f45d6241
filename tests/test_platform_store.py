# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Contract tests of `PlatformStore` against a stand-in of the store with faults."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from aiohttp.test_utils import TestServer

import leverdoor.platform.store as platform_store
from leverdoor.errors import Code, LeverdoorError, OutcomeUnknown, StoreUnavailable
from leverdoor.model.position import Position
from leverdoor.platform.store import CallTimeoutError, PlatformStore, StoreResponse
from leverdoor.standins.metadata import (
    MAX_HISTORY_BYTES,
    MetadataFaults,
    MetadataStandin,
)
from leverdoor.storage.store import Write


class StoreFixture:
    """A client of the store and the stand-in that it calls."""

    def __init__(self, store: PlatformStore, standin: MetadataStandin) -> None:
        self.store = store
        self.standin = standin


def first_era(revision: int) -> Position:
    """Return a position in the first era of the stand-in."""
    return Position(1, revision)


@pytest.fixture
async def contract(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[StoreFixture]:
    monkeypatch.setattr(platform_store, "CALL_TIMEOUT_S", 0.3)
    monkeypatch.setattr(platform_store, "WATCH_WAIT_MS", 200)
    monkeypatch.setattr(platform_store, "WATCH_MARGIN_S", 0.3)
    monkeypatch.setattr(platform_store, "EVENT_BATCH_DELAY_S", 0.0)
    standin = MetadataStandin()
    server = TestServer(standin.app())
    await server.start_server()
    store = PlatformStore(f"{server.host}:{server.port}")
    yield StoreFixture(store, standin)
    await store.close()
    await server.close()


async def test_reads_all_pages(contract: StoreFixture) -> None:
    contract.standin.faults.page = 2
    for i in range(5):
        contract.standin.put(f"servers/{i}", bytes([i]))
    listing = await contract.store.read("")
    assert {e.key: e.value for e in listing.entries} == {
        f"servers/{i}": bytes([i]) for i in range(5)
    }
    assert contract.standin.calls["kv-range"] == 3


async def test_stale_read_uses_stale_call_and_returns_leases(
    contract: StoreFixture,
) -> None:
    """An ordinary read costs ten times as much as a stale read."""
    lease = await contract.store.put_with_lease("entries/n1", b"1", 5.0)
    listing = await contract.store.read_stale("entries/")
    assert [(e.key, e.value, e.lease) for e in listing.entries] == [
        ("entries/n1", b"1", lease.number)
    ]
    assert contract.standin.calls["kv-range stale"] == 1
    assert "kv-range" not in contract.standin.calls


async def test_listing_has_revision_of_first_page(contract: StoreFixture) -> None:
    """A watch that starts at a later revision misses changes made between pages."""
    contract.standin.faults.page = 1
    contract.standin.put("servers/a", b"1")
    contract.standin.put("servers/b", b"1")
    first = contract.standin.revision
    listing = await contract.store.read("")
    assert listing.revision == first


async def test_watch_returns_changes_and_removals(contract: StoreFixture) -> None:
    at = contract.standin.put("op/config", b"1")
    watch = contract.store.watch("", first_era(at))
    assert await anext(watch) == []
    contract.standin.put("op/config", b"2")
    contract.standin.remove("op/config")
    events = await anext(watch)
    assert [(e.key, e.value) for e in events] == [
        ("op/config", b"2"),
        ("op/config", None),
    ]
    assert [e.revision for e in events] == [at + 1, at + 2]
    await watch.aclose()  # type: ignore[attr-defined]


async def test_watch_reports_compacted_history(contract: StoreFixture) -> None:
    contract.standin.put("op/config", b"1")
    contract.standin.put("op/config", b"2")
    contract.standin.forget_history()
    with pytest.raises(LeverdoorError) as caught:
        await anext(contract.store.watch("", first_era(1)))
    assert caught.value.code is Code.COMPACTED


async def test_a_watch_that_is_far_behind_large_values_lists_again(
    contract: StoreFixture,
) -> None:
    """Its answer has each former value, and filled the memory of a small VM."""
    for number in range(20):
        contract.standin.put("op/config", bytes([number]) * 1_048_576)
    with pytest.raises(LeverdoorError) as e:
        await anext(contract.store.watch("", first_era(1)))
    assert e.value.code is Code.COMPACTED
    listing = await contract.store.read("")
    assert [entry.value for entry in listing.entries] == [bytes([19]) * 1_048_576]


async def test_the_stand_in_forgets_large_values_by_their_bytes(
    contract: StoreFixture,
) -> None:
    """Its history was not bounded."""
    for number in range(60):
        contract.standin.put("op/config", bytes([number]) * 1_048_576)
    assert contract.standin._history_bytes <= MAX_HISTORY_BYTES
    with pytest.raises(LeverdoorError) as e:
        await anext(contract.store.watch("", first_era(1)))
    assert e.value.code is Code.COMPACTED
    newest = contract.standin.revision
    (event,) = await anext(contract.store.watch("", first_era(newest - 1)))
    assert event.value == bytes([59]) * 1_048_576


async def test_first_watch_call_is_repeated_after_timeout(
    contract: StoreFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """TCP retransmits a lost first packet only after a second.

    The first call is dropped before it reaches the stand-in, which therefore counts
    only the repetition.
    """
    monkeypatch.setattr(platform_store, "FIRST_CALL_MARGIN_S", 0.1)
    call = contract.store._call
    to_drop = ["kv-watch"]

    async def drop_first_call(*args: object) -> StoreResponse:
        if to_drop:
            to_drop.pop()
            raise CallTimeoutError("no answer")
        return await call(*args)  # type: ignore[arg-type]

    contract.store._call = drop_first_call  # type: ignore[method-assign]
    at = contract.standin.put("op/config", b"1")
    [event] = await anext(contract.store.watch("", first_era(at - 1)))
    assert event.key == "op/config"
    assert contract.standin.calls["kv-watch"] == 1


async def test_rejected_watch_call_is_not_repeated(contract: StoreFixture) -> None:
    """With status 429 the store requests fewer calls."""
    contract.standin.faults = MetadataFaults(busy=429)
    with pytest.raises(StoreUnavailable):
        await anext(contract.store.watch("", first_era(0)))
    assert contract.standin.calls["kv-watch"] == 1


FAULTS = [
    pytest.param(MetadataFaults(silent=True), id="silent"),
    pytest.param(MetadataFaults(busy=503), id="busy"),
    pytest.param(MetadataFaults(busy=429), id="many"),
    pytest.param(MetadataFaults(reset=True), id="reset"),
    pytest.param(MetadataFaults(delay_s=5.0), id="slow"),
    pytest.param(MetadataFaults(turned_away=["127.0.0.1"]), id="turned away"),
]


@pytest.mark.parametrize("faults", FAULTS)
async def test_read_faults_raise_store_unavailable(
    contract: StoreFixture, faults: MetadataFaults
) -> None:
    contract.standin.faults = faults
    with pytest.raises(StoreUnavailable):
        await contract.store.read("")
    with pytest.raises(StoreUnavailable):
        await anext(contract.store.watch("", first_era(0)))
    contract.standin.faults = MetadataFaults()
    assert (await contract.store.read("")).entries == []


# Each fault, the error, and whether the key is stored when the error is raised. In the
# case "late" the stand-in applies the write 50 ms after the call.
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
async def test_write_faults_distinguish_unavailable_from_unknown(
    contract: StoreFixture,
    faults: MetadataFaults,
    error: type[LeverdoorError],
    written: bool,
) -> None:
    contract.standin.faults = faults
    with pytest.raises(error):
        await contract.store.commit([Write("leverdoor/x", b"1", expected_revision=0)])
    assert ("leverdoor/x" in contract.standin.items) == written


async def test_commit_checks_expected_revisions(contract: StoreFixture) -> None:
    first = await contract.store.commit(
        [Write("leverdoor/x", b"1", expected_revision=0)]
    )
    again = await contract.store.commit(
        [Write("leverdoor/x", b"2", expected_revision=0)]
    )
    assert (first.committed, again.committed) == (True, False)
    removed = await contract.store.commit([Write("leverdoor/x", None, first.revision)])
    assert removed.committed
    assert "leverdoor/x" not in contract.standin.items


async def test_lease_is_renewed_and_ended(contract: StoreFixture) -> None:
    lease = await contract.store.put_with_lease("leverdoor/e", b"me", 10.0)
    assert contract.standin.items["leverdoor/e"].lease == lease.number
    assert await contract.store.renew_lease(lease)
    await contract.store.revoke_lease(lease)
    assert "leverdoor/e" not in contract.standin.items
    assert not await contract.store.renew_lease(lease)


async def test_expired_lease_removes_its_keys() -> None:
    now = [0.0]
    standin = MetadataStandin(lambda: now[0])
    server = TestServer(standin.app())
    await server.start_server()
    store = PlatformStore(f"{server.host}:{server.port}")
    lease = await store.put_with_lease("leverdoor/e", b"me", 10.0)
    now[0] = 9.0
    assert await store.renew_lease(lease)
    now[0] = 18.0
    assert await store.renew_lease(lease)
    now[0] = 29.0
    assert not await store.renew_lease(lease)
    assert "leverdoor/e" not in standin.items
    await store.close()
    await server.close()


async def test_invalid_response_raises_store_unavailable(
    contract: StoreFixture,
) -> None:
    async def invalid_response(*_: object) -> StoreResponse:
        await asyncio.sleep(0)
        return StoreResponse(200, b"<html>", 1)

    contract.store._call = invalid_response  # type: ignore[method-assign]
    with pytest.raises(StoreUnavailable):
        await contract.store.read("")


async def test_store_restored_from_a_copy_names_a_later_era(
    contract: StoreFixture,
) -> None:
    copy = contract.standin.copy()
    at = contract.standin.put("op/config", b"1")
    await contract.store.read("")
    era = contract.store.era
    contract.standin.restore(copy)
    assert (await contract.store.read("")).revision < at
    assert contract.store.era == era + 1


async def test_watch_ends_when_the_store_is_restored_from_a_copy(
    contract: StoreFixture,
) -> None:
    """Revisions given out again may have passed the one that a watch starts from."""
    copy = contract.standin.copy()
    at = contract.standin.put("op/config", b"1")
    contract.standin.restore(copy)
    for _ in range(3):
        contract.standin.put("op/config", b"2")
    with pytest.raises(LeverdoorError) as e:
        await anext(contract.store.watch("", first_era(at)))
    assert e.value.code is Code.COMPACTED


async def test_listing_does_not_mix_pages_of_two_eras(contract: StoreFixture) -> None:
    contract.standin.faults.page = 1
    for name in ("a", "b"):
        contract.standin.put(f"servers/{name}", b"1")
    call = contract.store._call

    async def restore_after_call(*args: object) -> StoreResponse:
        response = await call(*args)  # type: ignore[arg-type]
        contract.standin.restore(contract.standin.copy())
        return response

    contract.store._call = restore_after_call  # type: ignore[method-assign]
    with pytest.raises(StoreUnavailable):
        await contract.store.read("")


async def test_lease_of_an_earlier_era_is_neither_held_nor_revoked(
    contract: StoreFixture,
) -> None:
    """The number was given out again, to another entry."""
    copy = contract.standin.copy()
    lease = await contract.store.put_with_lease("leverdoor/e1", b"1", 10.0)
    contract.standin.restore(copy)
    other = await contract.store.put_with_lease("leverdoor/e2", b"2", 10.0)
    assert other.number == lease.number
    assert not await contract.store.renew_lease(lease)
    await contract.store.revoke_lease(lease)
    assert "leverdoor/e2" in contract.standin.items
    assert await contract.store.renew_lease(other)


@pytest.mark.parametrize("era", ["", "-1", "one", "1.5"])
async def test_response_with_an_invalid_era_is_not_used(
    contract: StoreFixture, monkeypatch: pytest.MonkeyPatch, era: str
) -> None:
    """An era read as unknown would make a listing older than every other."""
    monkeypatch.setattr(contract.standin, "era", era)
    with pytest.raises(StoreUnavailable, match="era"):
        await contract.store.read("")
