# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the registration of a leaving entry that completes its requests."""

import asyncio
import os
from random import Random

import pytest

from leverdoor.entry.events import Events
from leverdoor.entry.log_writer import LineWriter
from leverdoor.entry.membership import registration
from leverdoor.entry.membership.member import Member
from leverdoor.model.position import Position
from leverdoor.storage.store import Commit, Lease, LeasingStore, Listing

OWN = Member("n1", "a", "a1", "f", "g", "p", 50)
LOOP_ITERATIONS = 20
"""Iterations of the event loop in which an active registration would write."""


class CountingStore(LeasingStore):
    """A store that counts writes of keys and revocations of leases."""

    def __init__(self) -> None:
        self.key_writes = 0
        self.revocations = 0

    async def read(self, prefix: str) -> Listing:
        raise AssertionError(prefix)

    async def commit(self, writes: object) -> Commit:
        raise AssertionError(writes)

    def watch(self, prefix: str, after: Position) -> object:  # type: ignore[override]
        raise AssertionError(prefix)

    async def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> Lease:
        self.key_writes += 1
        return Lease(self.key_writes)

    async def renew_lease(self, lease: Lease) -> bool:
        return True

    async def revoke_lease(self, lease: Lease) -> None:
        self.revocations += 1


async def test_a_leaving_entry_is_not_registered_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The renewal loop continues until the last request has ended.

    It must not write the key again after the lease was revoked.
    """
    monkeypatch.setattr(registration, "RENEW_INTERVAL_S", 0.0)
    events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), "n1")
    store = CountingStore()
    own_registration = registration.Registration(
        store, "entries/n1", OWN, events, Random(1), lambda: 0.01
    )
    task = asyncio.create_task(own_registration.run())
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)
    await own_registration.end()
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)
    task.cancel()
    assert (store.key_writes, store.revocations) == (1, 1)


async def test_a_key_written_while_the_entry_begins_to_leave_is_removed() -> None:
    """The registration ends during the write, when its lease is not known yet."""
    written = asyncio.Event()

    class SlowStore(CountingStore):
        async def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> Lease:
            await written.wait()
            return await super().put_with_lease(key, value, ttl_s)

    events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), "n1")
    store = SlowStore()
    own_registration = registration.Registration(
        store, "entries/n1", OWN, events, Random(1), lambda: 0.01
    )
    task = asyncio.create_task(own_registration.run())
    await asyncio.sleep(0)
    await own_registration.end()
    written.set()
    await task
    assert (store.key_writes, store.revocations) == (1, 1)
