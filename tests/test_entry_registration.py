# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the registration of an entry: adoption, renewal and retry rate."""

import asyncio
import os
from random import Random

import msgspec
import pytest

from leverdoor.codec import pack
from leverdoor.entry.events import Events
from leverdoor.entry.log_writer import LineWriter
from leverdoor.entry.membership.member import Member
from leverdoor.entry.membership.registration import (
    MIN_MEAN_PAUSE_S,
    WRITES_PER_REGISTRATION,
    Registration,
    mean_retry_pause_s,
)
from leverdoor.model.position import Position
from leverdoor.storage.store import Commit, KeyValue, Lease, LeasingStore, Listing


@pytest.mark.parametrize(
    ("entries", "writes_per_s"),
    [(12, 400.0), (85, 1_200.0), (2_500, 1_200.0)],
)
def test_retries_of_all_entries_stay_within_the_stores_write_rate(
    entries: int, writes_per_s: float
) -> None:
    """The shortest pause is half of the mean pause."""
    shortest_s = 0.5 * mean_retry_pause_s(entries, writes_per_s)
    assert entries * WRITES_PER_REGISTRATION / shortest_s <= writes_per_s


def test_a_small_site_uses_the_minimum_pause() -> None:
    assert mean_retry_pause_s(12, 400.0) == MIN_MEAN_PAUSE_S


class FakeStore(LeasingStore):
    """A store that records calls and rejects renewals of the leases in `expired`."""

    def __init__(self, expired: set[int]) -> None:
        self.expired = expired
        self.written: list[str] = []
        self.renewed: list[Lease] = []

    async def read(self, prefix: str) -> Listing:
        raise AssertionError(prefix)

    async def commit(self, writes: object) -> Commit:
        raise AssertionError(writes)

    def watch(self, prefix: str, after: Position) -> object:  # type: ignore[override]
        raise AssertionError(prefix)

    async def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> Lease:
        self.written.append(key)
        return Lease(99)

    async def renew_lease(self, lease: Lease) -> bool:
        self.renewed.append(lease)
        return lease.number not in self.expired

    async def revoke_lease(self, lease: Lease) -> None:
        raise AssertionError(lease)


OWN = Member("n1", "a", "a1", "f", "g", "p", 50)


def registration(store: FakeStore) -> Registration:
    events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), "n1")
    return Registration(store, "entries/n1", OWN, events, Random(1), lambda: 0.01)


async def run_registration(store: FakeStore, registered: KeyValue | None) -> None:
    own_registration = registration(store)
    own_registration.adopt(registered)
    task = asyncio.create_task(own_registration.run())
    await asyncio.sleep(0.02)
    task.cancel()


def former_registration(lease: int, **changed: object) -> KeyValue:
    before = msgspec.structs.replace(OWN, incarnation=7, **changed)
    return KeyValue("entries/n1", pack(before), 3, lease)


async def test_the_lease_of_a_former_incarnation_is_renewed() -> None:
    store = FakeStore(set())
    await run_registration(store, former_registration(12))
    assert (store.renewed, store.written) == ([Lease(12)], [])


async def test_each_renewal_is_told_with_the_time_of_its_call() -> None:
    """Quotas stop to rely on the registration before its lease may expire."""
    told: list[float] = []
    events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), "n1")
    store = FakeStore(set())
    own_registration = Registration(
        store, "entries/n1", OWN, events, Random(1), lambda: 0.01, told.append
    )
    before = asyncio.get_running_loop().time()
    task = asyncio.create_task(own_registration.run())
    await asyncio.sleep(0.02)
    task.cancel()
    assert len(told) == 1
    assert before <= told[0] <= asyncio.get_running_loop().time()


async def test_an_expired_lease_is_replaced() -> None:
    store = FakeStore({12})
    await run_registration(store, former_registration(12))
    assert (store.renewed, store.written) == ([Lease(12)], ["entries/n1"])


@pytest.mark.parametrize(
    "registered",
    [
        None,
        former_registration(0),
        former_registration(12, gossip="other"),
        KeyValue("entries/n1", b"\xff", 3, 12),
    ],
)
async def test_a_registration_that_does_not_match_is_written_again(
    registered: KeyValue | None,
) -> None:
    store = FakeStore(set())
    await run_registration(store, registered)
    assert (store.renewed, store.written) == ([], ["entries/n1"])
