# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The platform's key-value service: interface, and a store in memory.

The contract is atomic compare-and-swap of several keys, revisions that only rise, and
watches from a revision. The real clients are storage/etcd.py (plain sites) and
platform/store.py; tests hold all to the same contract. `MemoryStore` owns its entries.
"""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncIterator, Callable, Sequence
from typing import TypeAlias

import msgspec

from leverdoor.errors import Code, LeverdoorError, OutcomeUnknown, StoreUnavailable

__all__ = [
    "Commit",
    "KeyValue",
    "Event",
    "LeasingStore",
    "Listing",
    "MemoryStore",
    "Store",
    "Wait",
    "Write",
    "own_wait",
]

WATCH_SILENCE_S = 6.0
"""Silence of a watch after which the store counts as lost, in seconds: several missed
signs that the service is there, and a fault that operators notice at once."""
EVENT_LOG = 20_000
"""Events that the store in memory keeps before it compacts. A watch from further back
gets COMPACTED, as from the real service."""


Wait: TypeAlias = Callable[[], float | None]
"""Returns how long a watch may wait at the service, in seconds; None for the client's
own time."""


def own_wait() -> None:
    """Leave the wait of a watch to the client."""


class KeyValue(msgspec.Struct, frozen=True, array_like=True):
    """One key as it stands."""

    key: str
    value: bytes
    revision: int
    lease: int = 0
    """The lease that it expires with, where a listing says so; 0 for none."""


class Event(msgspec.Struct, frozen=True, array_like=True):
    """One change of one key; no value means that it was deleted."""

    revision: int
    key: str
    value: bytes | None


class Listing(msgspec.Struct, frozen=True):
    """All entries under a prefix at one revision."""

    revision: int
    entries: list[KeyValue]


class Write(msgspec.Struct, frozen=True):
    """One change of a transaction; `expect` is the key's revision, 0 for absent."""

    key: str
    value: bytes | None
    expect: int | None = None


class Commit(msgspec.Struct, frozen=True):
    """What became of a transaction: taken or refused as a whole."""

    taken: bool
    revision: int


class Store(ABC):
    """What leverdoor needs of the platform's key-value service."""

    calls = 0

    @abstractmethod
    async def read(self, prefix: str) -> Listing:
        """Read all entries under a prefix.

        Raises:
          StoreUnavailable: the service did not answer.
        """

    async def read_stale(self, prefix: str) -> Listing:
        """Read all entries under a prefix as they were some seconds ago, cheaply.

        Raises:
          StoreUnavailable: the service did not answer.
        """
        return await self.read(prefix)

    @abstractmethod
    async def commit(self, writes: Sequence[Write]) -> Commit:
        """Write all changes or none, if every `expect` holds.

        Raises:
          StoreUnavailable: nothing was sent, or the service refused the call.
          OutcomeUnknown: the writes were sent and no answer came.
        """

    @abstractmethod
    def watch(
        self, prefix: str, after: int, wait_s: Wait = own_wait
    ) -> AsyncIterator[list[Event]]:
        """Yield the changes after a revision, whole transactions at a time.

        An empty list says that the service is still there.

        Args:
          prefix: of the keys.
          after: the revision.
          wait_s: asked before each call how long the service may wait before it says
            that there is nothing; not by clients whose watch is one long call.
        Raises:
          StoreUnavailable: the watch ended.
          LeverdoorError: COMPACTED, list again.
        """

    async def close(self) -> None:  # noqa: B027
        """Give back connections; there may be none."""


class LeasingStore(Store):
    """A store whose keys can expire with the lease of their writer."""

    @abstractmethod
    async def hold(self, key: str, value: bytes, ttl_s: float) -> int:
        """Write a key that expires when its lease is not renewed.

        Returns: the lease.
        Raises:
          StoreUnavailable: nothing was written.
          OutcomeUnknown: the key may have been written.
        """

    @abstractmethod
    async def keep(self, lease: int) -> bool:
        """Renew a lease; False when it has expired and its keys are deleted.

        Raises:
          StoreUnavailable: the service did not answer.
        """

    @abstractmethod
    async def let_go(self, lease: int) -> None:
        """End a lease, which deletes its keys.

        Faults are ignored: a lease that nobody renews expires by itself.
        """


class MemoryStore(Store):
    """The key-value service in memory, with faults to order."""

    def __init__(self) -> None:
        """Create an empty store at revision 1."""
        self.revision = 1
        self.down = False
        self.hang = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0
        self.waiting = 0
        self._entries: dict[str, KeyValue] = {}
        self._log: deque[Event] = deque(maxlen=EVENT_LOG)
        self._compacted = 0
        self._changed = asyncio.Event()

    async def read(self, prefix: str) -> Listing:
        """Read all entries under a prefix."""
        self.reads += 1
        await self._fault()
        found = [e for k, e in self._entries.items() if k.startswith(prefix)]
        found.sort(key=lambda e: e.key)
        return Listing(self.revision, found)

    async def commit(self, writes: Sequence[Write]) -> Commit:
        """Write all changes or none, if every `expect` holds."""
        self.writes += 1
        await self._fault()
        done = self._commit(writes)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise OutcomeUnknown("the answer was lost")
        return done

    def _commit(self, writes: Sequence[Write]) -> Commit:
        for w in writes:
            entry = self._entries.get(w.key)
            have = entry.revision if entry else 0
            if w.expect is not None and w.expect != have:
                return Commit(False, self.revision)
        self.revision += 1
        for w in writes:
            if w.value is None:
                self._entries.pop(w.key, None)
            else:
                self._entries[w.key] = KeyValue(w.key, w.value, self.revision)
            if len(self._log) == EVENT_LOG:
                self._compacted = self._log[0].revision
            self._log.append(Event(self.revision, w.key, w.value))
        self.wake()
        return Commit(True, self.revision)

    def wake(self) -> None:
        """Let waiting watches look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def watch(
        self, prefix: str, after: int, wait_s: Wait = own_wait
    ) -> AsyncIterator[list[Event]]:
        """Yield the changes after a revision."""
        self.waiting += 1
        try:
            while True:
                await self._fault()
                if after < self._compacted:
                    raise LeverdoorError(Code.COMPACTED, revision=self.revision)
                changed = self._changed
                found = [
                    e
                    for e in self._log
                    if e.revision > after and e.key.startswith(prefix)
                ]
                if found:
                    after = found[-1].revision
                    yield found
                    continue
                try:
                    async with asyncio.timeout(WATCH_SILENCE_S / 3):
                        await changed.wait()
                except TimeoutError:
                    yield []
        finally:
            self.waiting -= 1

    async def _fault(self) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while self.hang:
            await asyncio.sleep(0.05)
        if self.down:
            raise StoreUnavailable("the store is down")
