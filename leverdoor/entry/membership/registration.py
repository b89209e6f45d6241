# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Keeps this entry registered in the store, so that starting entries can discover it.

Owns the lease of this entry's key. After a crash the key remains for at most
`LEASE_TTL_S`, and the next process of the same entry takes it over (`adopt`). Relies on
the store. While the store is unavailable, entries know each other by heartbeats, and
only starting entries are affected.
"""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec

from leverdoor.codec import pack, unpack
from leverdoor.entry.events import Events
from leverdoor.entry.membership.member import Member
from leverdoor.errors import LeverdoorError
from leverdoor.storage.store import KeyValue, Lease, LeasingStore

__all__ = ["Registration", "mean_retry_pause_s"]

LEASE_TTL_S = 15.0
"""Time to live of an entry's lease, in seconds.

It exceeds the usual outages of the store. An outage longer than the lease makes all
entries register again. With a longer lease, starting entries read more keys of VMs that
no longer exist.
"""
RENEW_INTERVAL_S = 5.0
"""Interval between renewals in seconds: a third of the lease, so that two may fail."""
MIN_MEAN_PAUSE_S = 0.5
"""Minimum of the mean pause after a failed call, in seconds.

It applies at sites with few entries and bounds their calls to an unavailable store; see
`mean_retry_pause_s`. With a longer pause, entries are discovered later after an outage.
"""
WRITES_PER_REGISTRATION = 2
"""Write calls per registration: one for the lease, one for the key."""
WRITE_RATE_SHARE = 0.25
"""Share of the store's write rate that all registrations together may use.

The rest is for operators and targets. With a larger share, their writes are delayed
after an outage; with a smaller one, entries are discovered later.
"""
MIN_PAUSE_FACTOR = 0.5
"""Shortest pause as a fraction of the mean pause.

Pauses are uniformly distributed between 0.5 and 1.5 of the mean, so that entries whose
calls failed at the same time do not retry at the same time.
"""


def mean_retry_pause_s(entries: int, writes_per_s: float) -> float:
    """Return the mean pause after a failed call, in seconds.

    It keeps all entries together within `WRITE_RATE_SHARE` of the store's write rate.

    Args:
      entries: number of entries that may register again at the same time.
      writes_per_s: write calls per second that the store accepts.
    """
    return max(
        MIN_MEAN_PAUSE_S,
        entries * WRITES_PER_REGISTRATION / (WRITE_RATE_SHARE * writes_per_s),
    )


class Registration:
    """The key of one entry in the store, attached to a lease."""

    def __init__(
        self,
        store: LeasingStore,
        key: str,
        member: Member,
        events: Events,
        rng: Random,
        mean_pause_s: Callable[[], float],
        on_renewed: Callable[[float], None] = lambda called_at: None,
    ) -> None:
        """Create the registration; `run` writes it to the store.

        Args:
          store: client of the platform's store.
          key: key of this entry.
          member: description of this entry, the value of the key.
          events: the event log of this entry.
          rng: spreads the calls after an outage.
          mean_pause_s: returns the mean pause after a failed call, in seconds.
          on_renewed: called with the loop time in seconds from which the lease lasts.
        """
        self._on_renewed = on_renewed
        self._store = store
        self._key = key
        self._member = member
        self._value = pack(member)
        self._events = events
        self._rng = rng
        self._mean_pause_s = mean_pause_s
        self._lease: Lease | None = None
        self._ended = False
        """Whether `end` was called, so that the key must not be written again."""

    def adopt(self, registered_key: KeyValue | None) -> None:
        """Take over the key and lease of a former incarnation, if it matches.

        The descriptions must be equal except for the incarnation, which stays outdated
        in the key. This saves the two write calls at each start. If the lease has
        expired, the next renewal fails and the key is written again.

        Args:
          registered_key: the key of this entry in the store, or None if there is none.
        """
        if registered_key is None or not registered_key.lease:
            return
        try:
            former = unpack(registered_key.value, Member)
        except msgspec.MsgspecError as e:
            self._events.process("registration not readable", error=str(e))
            return
        same = msgspec.structs.replace(former, incarnation=self._member.incarnation)
        if same == self._member:
            self._lease = Lease(registered_key.lease, registered_key.era)
            self._events.process("registration adopted", lease=self._lease.number)

    async def run(self) -> None:
        """Write the key and renew its lease; write it again after the lease expired.

        Return once the registration is ended.
        """
        loop = asyncio.get_running_loop()
        while not self._ended:
            called_at = loop.time()
            try:
                if self._lease is None:
                    await self._register()
                elif not await self._store.renew_lease(self._lease):
                    self._lease = None
                    self._events.process("registration lost")
                    await self._pause()
                    continue
            except LeverdoorError as e:
                self._events.process("registration failed", error=str(e))
                await self._pause()
                continue
            self._on_renewed(called_at)
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def _pause(self) -> None:
        """Wait so long that all entries together stay within the write rate."""
        factor = MIN_PAUSE_FACTOR + self._rng.random()
        await asyncio.sleep(self._mean_pause_s() * factor)

    async def _register(self) -> None:
        """Write the key under a new lease; remove it if the entry began to leave.

        Raises:
          LeverdoorError: the store rejected the write, or its result is unknown.
        """
        self._lease = await self._store.put_with_lease(
            self._key, self._value, LEASE_TTL_S
        )
        self._events.process("registered", lease=self._lease.number)
        if self._ended:
            await self.end()

    async def end(self) -> None:
        """Revoke the lease, which deletes the key, and stop registering."""
        self._ended = True
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.revoke_lease(lease)
