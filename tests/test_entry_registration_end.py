# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of an entry's registration while the entry finishes its last requests."""

import asyncio
import os
from random import Random

import pytest

from leverdoor.entry.events import Events
from leverdoor.entry.log_writer import LineWriter
from leverdoor.entry.membership import registration
from leverdoor.entry.membership.member import Member
from leverdoor.storage.store import Commit, LeasingStore, Listing

OWN = Member("n1", "a", "a1", "f", "g", "p", 50)
ROUNDS = 20
"""Turns of the loop in which a registration that goes on would write."""


class CountingStore(LeasingStore):
    """A store that counts the writes and the ends of leases."""

    def __init__(self) -> None:
        self.held = 0
        self.ended = 0

    async def read(self, prefix: str) -> Listing:
        raise AssertionError(prefix)

    async def commit(self, writes: object) -> Commit:
        raise AssertionError(writes)

    def watch(self, prefix: str, after: int) -> object:  # type: ignore[override]
        raise AssertionError(prefix)

    async def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> int:
        self.held += 1
        return self.held

    async def renew_lease(self, lease: int) -> bool:
        return True

    async def revoke_lease(self, lease: int) -> None:
        self.ended += 1


async def test_an_entry_that_leaves_is_not_registered_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The loop that keeps the lease runs on until the last request has ended."""
    monkeypatch.setattr(registration, "KEEP_S", 0.0)
    events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), "n1")
    store = CountingStore()
    kept = registration.Registration(
        store, "entries/n1", OWN, events, Random(1), lambda: 0.01
    )
    task = asyncio.create_task(kept.run())
    for _ in range(ROUNDS):
        await asyncio.sleep(0)
    await kept.end()
    for _ in range(ROUNDS):
        await asyncio.sleep(0)
    task.cancel()
    assert (store.held, store.ended) == (1, 1)


async def test_a_key_written_as_the_entry_begins_to_leave_is_removed() -> None:
    """The write was under way when the lease, not known yet, was given up."""
    written = asyncio.Event()

    class SlowStore(CountingStore):
        async def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> int:
            await written.wait()
            return await super().put_with_lease(key, value, ttl_s)

    events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), "n1")
    store = SlowStore()
    kept = registration.Registration(
        store, "entries/n1", OWN, events, Random(1), lambda: 0.01
    )
    task = asyncio.create_task(kept.run())
    await asyncio.sleep(0)
    await kept.end()
    written.set()
    await task
    assert (store.held, store.ended) == (1, 1)
