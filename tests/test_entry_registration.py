# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An entry's key in the store, written again after failures within the rate."""

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
    CALLS,
    RETRY_S,
    Registration,
    retry_pause_s,
)
from leverdoor.storage.store import Commit, KeyValue, LeasingStore, Listing


@pytest.mark.parametrize(
    ("entries", "writes_per_s"),
    [(12, 400.0), (85, 1_200.0), (2_500, 1_200.0)],
)
def test_all_entries_together_keep_the_stores_rate(
    entries: int, writes_per_s: float
) -> None:
    """Pauses lie between half and one and a half times their mean."""
    shortest_s = 0.5 * retry_pause_s(entries, writes_per_s)
    assert entries * CALLS / shortest_s <= writes_per_s


def test_a_small_site_does_not_wait() -> None:
    assert retry_pause_s(12, 400.0) == RETRY_S


class Store(LeasingStore):
    """A store that counts calls; leases in `over` are gone."""

    def __init__(self, over: set[int]) -> None:
        self.over = over
        self.held: list[str] = []
        self.kept: list[int] = []

    async def read(self, prefix: str) -> Listing:
        raise AssertionError(prefix)

    async def commit(self, writes: object) -> Commit:
        raise AssertionError(writes)

    def watch(self, prefix: str, after: int) -> object:  # type: ignore[override]
        raise AssertionError(prefix)

    async def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> int:
        self.held.append(key)
        return 99

    async def renew_lease(self, lease: int) -> bool:
        self.kept.append(lease)
        return lease not in self.over

    async def revoke_lease(self, lease: int) -> None:
        raise AssertionError(lease)


OWN = Member("n1", "a", "a1", "f", "g", "p", 50)


def registration(store: Store) -> Registration:
    events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), "n1")
    return Registration(store, "entries/n1", OWN, events, Random(1), lambda: 0.01)


async def play(store: Store, written: KeyValue | None) -> None:
    one = registration(store)
    one.adopt(written)
    task = asyncio.create_task(one.run())
    await asyncio.sleep(0.02)
    task.cancel()


def former(lease: int, **changed: object) -> KeyValue:
    before = msgspec.structs.replace(OWN, incarnation=7, **changed)
    return KeyValue("entries/n1", pack(before), 3, lease)


async def test_the_lease_of_a_former_life_is_kept() -> None:
    store = Store(set())
    await play(store, former(12))
    assert (store.kept, store.held) == ([12], [])


async def test_a_lease_that_is_over_is_replaced() -> None:
    store = Store({12})
    await play(store, former(12))
    assert (store.kept, store.held) == ([12], ["entries/n1"])


@pytest.mark.parametrize(
    "written",
    [
        None,
        former(0),
        former(12, gossip="other"),
        KeyValue("entries/n1", b"\xff", 3, 12),
    ],
)
async def test_what_does_not_fit_is_written_anew(written: KeyValue | None) -> None:
    store = Store(set())
    await play(store, written)
    assert (store.kept, store.held) == ([], ["entries/n1"])
