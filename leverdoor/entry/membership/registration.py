# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Keeps this entry written in the store, so that others find it."""

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
"""Life of an entry's lease in seconds: longer than usual outages of the store."""
KEEP_S = 5.0
"""Seconds between two renewals: a third of the lease."""
RETRY_S = 0.5
"""Pause after a failed write, in seconds; grows with the number of entries."""
CALLS = 2
"""Writing calls of one registration: its lease and its key."""
RATE_SHARE = 0.25
"""Part of the store's rate of writes that registrations may take together."""


def retry_pause_s(entries: int, writes_per_s: float) -> float:
    """Return the mean pause after a failure, so that all keep the store's rate.

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

    def adopt(self, written: KeyValue | None) -> None:
        """Go on with the key and lease of a former life, if they still fit.

        That saves the two writing calls of each start; whether the lease is over
        shows when it is renewed.
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
        """Write the key, and again whenever its lease is over, until cancelled."""
        while True:
            try:
                if self._lease == 0:
                    self._lease = await self._store.hold(self._key, self._value, TTL_S)
                    self._events.process("registered", lease=self._lease)
                elif not await self._store.keep(self._lease):
                    self._lease = 0
                    self._events.process("registration lost")
                    continue
            except LeverdoorError as e:
                self._events.process("registration failed", error=str(e))
                await asyncio.sleep(self._pause_s() * (0.5 + self._rng.random()))
                continue
            await asyncio.sleep(KEEP_S)

    async def end(self) -> None:
        """Remove the key."""
        lease, self._lease = self._lease, 0
        if lease:
            await self._store.let_go(lease)
