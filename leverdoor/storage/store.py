# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Interface of the platform's key-value service, and an in-memory implementation.

The contract is an atomic compare-and-swap over several keys, monotonically increasing
revisions, and watches that start at a revision. The production clients are
storage/etcd.py (plain sites) and platform/store.py; the tests run the same contract
against every implementation. `MemoryStore` owns its entries, which are lost with the
process.
"""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncIterator, Callable, Sequence
from typing import NamedTuple, TypeAlias

import msgspec

from leverdoor.errors import Code, LeverdoorError, OutcomeUnknown, StoreUnavailable
from leverdoor.model.position import UNKNOWN_ERA, Position

__all__ = [
    "Commit",
    "KeyValue",
    "Event",
    "Lease",
    "LeasingStore",
    "Listing",
    "MemoryCopy",
    "MemoryStore",
    "Store",
    "Wait",
    "Write",
    "client_default_wait",
]

WATCH_SILENCE_S = 6.0
"""Silence of a watch after which the store counts as unreachable, in seconds.

Several keep-alive messages may be lost within this time. Operators notice an outage of
this length at once.
"""
MAX_LOG_EVENTS = 20_000
"""Number of events that `MemoryStore` keeps before it compacts its log.

A watch that starts at an older revision fails with COMPACTED, as with the real service.
"""
MAX_LOG_BYTES = 32 * 1024 * 1024
"""Bytes of the values of these events; more than a watch of an ordinary site is behind.

With a greater value, a series of large values exhausts the memory of a test machine.
"""


Wait: TypeAlias = Callable[[], float | None]
"""Returns how long the service may hold a watch request open, in seconds; None selects
the client's default."""


def client_default_wait() -> None:
    """Return None, which selects the client's default wait for a watch."""


class KeyValue(msgspec.Struct, frozen=True, array_like=True):
    """The current value of one key."""

    key: str
    value: bytes
    revision: int
    lease: int = 0
    """Id of the lease of the key, if the listing reports it; 0 otherwise."""
    era: int = UNKNOWN_ERA
    """Era of the store in which the value was read."""

    @property
    def position(self) -> Position:
        """Position of the value; equal only for the same value of a key."""
        return Position(self.era, self.revision)


class Event(msgspec.Struct, frozen=True, array_like=True):
    """A change of one key; `value` is None if the key was deleted."""

    revision: int
    key: str
    value: bytes | None


class Listing(msgspec.Struct, frozen=True):
    """All entries under a prefix at one revision."""

    revision: int
    entries: list[KeyValue]
    era: int = UNKNOWN_ERA

    @property
    def position(self) -> Position:
        """Position that the listing shows."""
        return Position(self.era, self.revision)


class Lease(NamedTuple):
    """A lease and the era in which the service granted it.

    In another era the service may have granted the same number to another holder.
    """

    number: int
    era: int = UNKNOWN_ERA


class Write(msgspec.Struct, frozen=True):
    """One change in a transaction; deletes the key if `value` is None.

    `expected_revision` is the revision the key must have; 0 requires an absent key.
    """

    key: str
    value: bytes | None
    expected_revision: int | None = None


class Commit(msgspec.Struct, frozen=True):
    """Outcome of a transaction, which is applied as a whole or not at all.

    `revision` is that of the transaction, or the store's current one if it was
    rejected.
    """

    committed: bool
    revision: int


class Store(ABC):
    """Interface of the platform's key-value service."""

    calls = 0
    """Number of requests sent to the service; `MemoryStore` does not count them."""
    era = UNKNOWN_ERA
    """Era of the service's history in its newest response."""

    @abstractmethod
    async def read(self, prefix: str) -> Listing:
        """Read all entries under a prefix.

        Raises:
          StoreUnavailable: the service did not respond.
        """

    async def read_stale(self, prefix: str) -> Listing:
        """Read all entries under a prefix; cheaper, but possibly seconds out of date.

        Raises:
          StoreUnavailable: the service did not respond.
        """
        return await self.read(prefix)

    @abstractmethod
    async def commit(self, writes: Sequence[Write]) -> Commit:
        """Apply all writes atomically if every `expected_revision` matches.

        Raises:
          StoreUnavailable: the request was not sent, or the service did not execute it.
          OutcomeUnknown: the request was sent and may have been executed.
        """

    @abstractmethod
    def watch(
        self, prefix: str, after: Position, wait_s: Wait = client_default_wait
    ) -> AsyncIterator[list[Event]]:
        """Yield the changes after a position, all of the same era.

        All changes of a transaction are in one list. An empty list is a keep-alive.

        Args:
          prefix: prefix of the watched keys.
          after: the position after which changes are reported.
          wait_s: called before each request; returns how long the service may hold
            the request open without a change, in seconds. Clients that watch with
            one long-lived request do not call it.
        Raises:
          StoreUnavailable: the watch ended.
          LeverdoorError: COMPACTED, the service does not have the changes after this
            position, or is in another era; the caller has to read the prefix again.
        """

    async def close(self) -> None:  # noqa: B027
        """Close the connections, if the store has any."""


class LeasingStore(Store):
    """A store whose keys can be attached to a lease and expire with it."""

    @abstractmethod
    async def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> Lease:
        """Write a key under a new lease; the key expires with the lease.

        Returns: the lease.
        Raises:
          StoreUnavailable: nothing was written.
          OutcomeUnknown: the key may have been written.
        """

    @abstractmethod
    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; return False if it is not held any longer.

        It has expired and its keys are deleted, or the service is in another era.

        Raises:
          StoreUnavailable: the service did not respond.
        """

    @abstractmethod
    async def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease of the present era, which deletes its keys.

        Errors are ignored: a lease that is not renewed expires by itself.
        """


class MemoryCopy(NamedTuple):
    """All that a `MemoryStore` held at one moment."""

    revision: int
    entries: dict[str, KeyValue]
    log: list[Event]
    compacted_revision: int


class MemoryStore(Store):
    """The key-value service in memory, with fault injection."""

    def __init__(self) -> None:
        """Create an empty store at revision 1."""
        self.revision = 1
        self.down = False
        """Whether requests and watches fail with StoreUnavailable."""
        self.hang = False
        """Whether requests and watches wait until this is False again."""
        self.delay_s = 0.0
        """Delay of requests and watches, in seconds."""
        self.lose_answers = 0
        """Number of commits to come that are applied but raise OutcomeUnknown."""
        self.reads = 0
        self.writes = 0
        self.waiting = 0
        """Number of open watches."""
        self._entries: dict[str, KeyValue] = {}
        self._log: deque[Event] = deque()
        self._log_bytes = 0
        self._compacted_revision = 0
        self._change_event = asyncio.Event()

    async def read(self, prefix: str) -> Listing:
        """Read all entries under a prefix."""
        self.reads += 1
        await self._inject_faults()
        matching = [e for k, e in self._entries.items() if k.startswith(prefix)]
        matching.sort(key=lambda e: e.key)
        return Listing(self.revision, matching)

    async def commit(self, writes: Sequence[Write]) -> Commit:
        """Apply all writes atomically if every `expected_revision` matches."""
        self.writes += 1
        await self._inject_faults()
        result = self._commit(writes)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise OutcomeUnknown("the response was lost")
        return result

    def _commit(self, writes: Sequence[Write]) -> Commit:
        for w in writes:
            entry = self._entries.get(w.key)
            revision = entry.revision if entry else 0
            if w.expected_revision is not None and w.expected_revision != revision:
                return Commit(False, self.revision)
        self.revision += 1
        for w in writes:
            if w.value is None:
                self._entries.pop(w.key, None)
            else:
                self._entries[w.key] = KeyValue(w.key, w.value, self.revision)
            self._log.append(Event(self.revision, w.key, w.value))
            self._log_bytes += len(w.value or b"")
        self._compact()
        self.wake_watches()
        return Commit(True, self.revision)

    def _compact(self) -> None:
        while len(self._log) > MAX_LOG_EVENTS or self._log_bytes > MAX_LOG_BYTES:
            oldest = self._log.popleft()
            self._log_bytes -= len(oldest.value or b"")
            self._compacted_revision = oldest.revision

    def copy(self) -> MemoryCopy:
        """Return a copy of all that the store holds now."""
        return MemoryCopy(
            self.revision,
            dict(self._entries),
            list(self._log),
            self._compacted_revision,
        )

    def restore(self, copy: MemoryCopy) -> None:
        """Come back as a copy; revisions are given out again, and no era names it."""
        self.revision = copy.revision
        self._entries = dict(copy.entries)
        self._log = deque(copy.log)
        self._log_bytes = sum(len(e.value or b"") for e in copy.log)
        self._compacted_revision = copy.compacted_revision
        self.wake_watches()

    def wake_watches(self) -> None:
        """Wake the waiting watches so that they check for changes and faults."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def watch(
        self, prefix: str, after: Position, wait_s: Wait = client_default_wait
    ) -> AsyncIterator[list[Event]]:
        """Yield the changes after a position."""
        self.waiting += 1
        revision = after.revision
        try:
            while True:
                await self._inject_faults()
                if revision < self._compacted_revision:
                    raise LeverdoorError(Code.COMPACTED, revision=self.revision)
                change_event = self._change_event
                matching = [
                    e
                    for e in self._log
                    if e.revision > revision and e.key.startswith(prefix)
                ]
                if matching:
                    revision = matching[-1].revision
                    yield matching
                    continue
                try:
                    async with asyncio.timeout(WATCH_SILENCE_S / 3):
                        await change_event.wait()
                except TimeoutError:
                    yield []
        finally:
            self.waiting -= 1

    async def _inject_faults(self) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while self.hang:
            await asyncio.sleep(0.05)
        if self.down:
            raise StoreUnavailable("the store is down")
