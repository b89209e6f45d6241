# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Keeps this entry registered in the store, so that entries that start find it.

Owns the lease of this entry's key. After a crash the key stays for `TTL_S` at most, and
the next process of the same entry takes it over (`adopt`). Relies on the store; while
it is away, entries know each other by heartbeats, and only starts are affected.
"""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec

from leverdoor.codec import pack, unpack
from leverdoor.entry.events import Events
from leverdoor.entry.membership.member import Member
from leverdoor.errors import LeverdoorError
from leverdoor.storage.store import KeyValue, LeasingStore

__all__ = ["Registration", "retry_pause_s"]

TTL_S = 15.0
"""Duration of an entry's lease, in seconds.

Longer than usual outages of the store, after which all would register again. Longer,
keys of VMs that are gone are read by entries that start.
"""
KEEP_S = 5.0
"""Seconds between two renewals: a third of the lease, so two may fail."""
RETRY_S = 0.5
"""Least mean pause after a failed call, in seconds; see `retry_pause_s`.

Bounds the calls of a few entries to an unavailable store. Longer, they are found later
after an outage.
"""
CALLS = 2
"""Writing calls of one registration: one for its lease, one for its key."""
RATE_SHARE = 0.25
"""Part of the store's rate of writes that registrations may take together.

The rest is for operators and targets. Greater, their writes wait after an outage;
smaller, entries are found later.
"""
MIN_FRACTION_OF_MEAN = 0.5
"""Shortest pause as a part of the mean; the longest is as much above it.

Pauses spread over the length of the mean, so that entries that lost the store together
do not call together.
"""


def retry_pause_s(entries: int, writes_per_s: float) -> float:
    """Return the mean pause after a failed call, in seconds.

    All entries together then keep to `RATE_SHARE` of the store's writes.

    Args:
      entries: how many may register again at the same time.
      writes_per_s: writing calls that the store takes in a second.
    """
    return max(RETRY_S, entries * CALLS / (RATE_SHARE * writes_per_s))


class Registration:
    """One entry's key in the store, under a lease."""

    def __init__(
        self,
        store: LeasingStore,
        key: str,
        member: Member,
        events: Events,
        rng: Random,
        pause_s: Callable[[], float],
    ) -> None:
        """Create it; `run` writes.

        Args:
          store: the platform's service.
          key: the entry's own key.
          member: what to write.
          events: the entry's log.
          rng: spreads the calls after an outage.
          pause_s: returns the mean pause after a failure, in seconds.
        """
        self._store = store
        self._key = key
        self._member = member
        self._value = pack(member)
        self._events = events
        self._rng = rng
        self._pause_s = pause_s
        self._lease = 0
        self._ended = False
        """The entry leaves: its key must not be written again while it finishes."""

    def adopt(self, written: KeyValue | None) -> None:
        """Take over the key and lease of a former incarnation, if they still fit.

        That saves the two writing calls of each start; whether the lease
        has expired shows when it is renewed.
        """
        if written is None or not written.lease:
            return
        try:
            before = unpack(written.value, Member)
        except msgspec.MsgspecError as e:
            self._events.process("registration not readable", error=str(e))
            return
        same = msgspec.structs.replace(before, incarnation=self._member.incarnation)
        if same == self._member:
            self._lease = written.lease
            self._events.process("registration adopted", lease=self._lease)

    async def run(self) -> None:
        """Write the key, and again whenever its lease expired, until it is ended."""
        while not self._ended:
            try:
                if self._lease == 0:
                    await self._register()
                elif not await self._store.renew_lease(self._lease):
                    self._lease = 0
                    self._events.process("registration lost")
                    continue
            except LeverdoorError as e:
                self._events.process("registration failed", error=str(e))
                await asyncio.sleep(
                    self._pause_s() * (MIN_FRACTION_OF_MEAN + self._rng.random())
                )
                continue
            await asyncio.sleep(KEEP_S)

    async def _register(self) -> None:
        """Write the key; one that was written as the entry began to leave is removed.

        Raises:
          LeverdoorError: the store did not take it, or it may have been written.
        """
        self._lease = await self._store.put_with_lease(self._key, self._value, TTL_S)
        self._events.process("registered", lease=self._lease)
        if self._ended:
            await self.end()

    async def end(self) -> None:
        """Give the lease up, which deletes the key, and don't write it again."""
        self._ended = True
        lease, self._lease = self._lease, 0
        if lease:
            await self._store.revoke_lease(lease)
