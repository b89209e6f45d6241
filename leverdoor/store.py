# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The platform's key-value service: interface, in-memory and real client.

The real client speaks the JSON form of the etcd v3 API (range, txn, watch).
"""

import asyncio
import base64
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncIterator, Sequence
from typing import TypeVar

import aiohttp
import msgspec

from leverdoor.errors import Code, LeverdoorError, StoreUnavailable, StoreUnknown

__all__ = [
    "Commit",
    "Entry",
    "EtcdStore",
    "Event",
    "Listing",
    "MemoryStore",
    "Store",
    "Write",
]

T = TypeVar("T")

CALL_TIMEOUT_S = 2.0
WATCH_SILENCE_S = 6.0
EVENT_LOG = 20_000
MAX_VALUE_BYTES = 1_000_000


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One key as it stands."""

    key: str
    value: bytes
    revision: int


class Event(msgspec.Struct, frozen=True, array_like=True):
    """One change of one key; no value means that it was deleted."""

    revision: int
    key: str
    value: bytes | None


class Listing(msgspec.Struct, frozen=True):
    """All entries under a prefix at one revision."""

    revision: int
    entries: list[Entry]


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

    @abstractmethod
    async def commit(self, writes: Sequence[Write]) -> Commit:
        """Write all changes or none, if every `expect` holds.

        Raises:
          StoreUnavailable: nothing was sent, or the service refused the call.
          StoreUnknown: the writes were sent and no answer came.
        """

    @abstractmethod
    def watch(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
        """Yield the changes after a revision, whole transactions at a time.

        An empty list says that the service is still there.

        Raises:
          StoreUnavailable: the watch ended.
          LeverdoorError: COMPACTED, list again.
        """

    async def close(self) -> None:  # noqa: B027
        """Give back connections; there may be none."""


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
        self._entries: dict[str, Entry] = {}
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
            raise StoreUnknown("the answer was lost")
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
                self._entries[w.key] = Entry(w.key, w.value, self.revision)
            if len(self._log) == EVENT_LOG:
                self._compacted = self._log[0].revision
            self._log.append(Event(self.revision, w.key, w.value))
        self.wake()
        return Commit(True, self.revision)

    def wake(self) -> None:
        """Let waiting watches look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def watch(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
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


class EtcdStore(Store):
    """Client for the JSON form of the etcd v3 API."""

    def __init__(self, urls: Sequence[str], timeout_s: float = CALL_TIMEOUT_S) -> None:
        """Create a client.

        Args:
          urls: base URLs of the service's members, tried in turn.
          timeout_s: longest time for one call, in seconds.
        """
        self._urls = [u.rstrip("/") for u in urls]
        self._at = 0
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, prefix: str) -> Listing:
        """Read all entries under a prefix."""
        body = {"key": _b64(prefix.encode()), "range_end": _range_end(prefix)}
        try:
            answer = await self._call("/v3/kv/range", body, _RangeAnswer)
        except StoreUnknown as e:
            raise StoreUnavailable(e.detail) from None
        return Listing(answer.header.revision, [kv.entry() for kv in answer.kvs])

    async def commit(self, writes: Sequence[Write]) -> Commit:
        """Write all changes or none, if every `expect` holds."""
        body = {
            "compare": [_compare(w) for w in writes if w.expect is not None],
            "success": [_operation(w) for w in writes],
        }
        answer = await self._call("/v3/kv/txn", body, _TxnAnswer)
        return Commit(answer.succeeded, answer.header.revision)

    async def watch(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
        """Yield the changes after a revision."""
        create = {
            "key": _b64(prefix.encode()),
            "range_end": _range_end(prefix),
            "start_revision": str(after + 1),
            "progress_notify": True,
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._timeout_s, sock_read=WATCH_SILENCE_S
        )
        self.calls += 1
        try:
            async with self._client().post(
                self._urls[self._at] + "/v3/watch",
                json={"create_request": create},
                timeout=timeout,
                read_bufsize=4 * MAX_VALUE_BYTES,
            ) as answer:
                if answer.status != 200:
                    raise StoreUnavailable(f"watch: HTTP {answer.status}")
                async for message in _lines(answer.content):
                    yield _events(message)
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            self._next()
            raise StoreUnavailable(f"watch: {e!r}") from None
        raise StoreUnavailable("watch: ended")

    async def _call(self, path: str, body: object, kind: type[T]) -> T:
        """Make one call, telling lost answers from calls never taken."""
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._client().post(
                self._urls[self._at] + path,
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as answer:
                data = await answer.read()
        except aiohttp.ClientConnectorError as e:
            self._next()
            raise StoreUnavailable(f"{path}: {e}") from None
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            self._next()
            raise StoreUnknown(f"{path}: {e!r}") from None
        if answer.status == 503:
            raise StoreUnavailable(f"{path}: HTTP 503")
        if answer.status != 200:
            raise StoreUnknown(f"{path}: HTTP {answer.status}")
        return msgspec.json.decode(data, type=kind, strict=False)

    def _next(self) -> None:
        self._at = (self._at + 1) % len(self._urls)


class _Header(msgspec.Struct):
    revision: int = 0


class _Kv(msgspec.Struct):
    key: str
    value: str = ""
    mod_revision: int = 0

    def entry(self) -> Entry:
        return Entry(_unb64(self.key).decode(), _unb64(self.value), self.mod_revision)


class _RangeAnswer(msgspec.Struct):
    header: _Header
    kvs: list[_Kv] = []


class _TxnAnswer(msgspec.Struct):
    header: _Header
    succeeded: bool = False


class _WatchEvent(msgspec.Struct):
    kv: _Kv
    type: str = "PUT"


class _WatchResult(msgspec.Struct):
    header: _Header = msgspec.field(default_factory=_Header)
    events: list[_WatchEvent] = []
    canceled: bool = False
    compact_revision: int = 0


class _WatchMessage(msgspec.Struct):
    result: _WatchResult


async def _lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield whole lines of any length."""
    rest = b""
    async for chunk in content.iter_any():
        *whole, rest = (rest + chunk).split(b"\n")
        for line in whole:
            if line:
                yield line


def _events(line: bytes) -> list[Event]:
    result = msgspec.json.decode(line, type=_WatchMessage, strict=False).result
    if result.canceled:
        raise LeverdoorError(Code.COMPACTED, revision=result.compact_revision)
    found = []
    for e in result.events:
        entry = e.kv.entry()
        value = None if e.type == "DELETE" else entry.value
        found.append(Event(entry.revision, entry.key, value))
    return found


def _compare(w: Write) -> dict[str, str]:
    return {
        "key": _b64(w.key.encode()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(w.expect),
    }


def _operation(w: Write) -> dict[str, dict[str, str]]:
    key = _b64(w.key.encode())
    if w.value is None:
        return {"request_delete_range": {"key": key}}
    return {"request_put": {"key": key, "value": _b64(w.value)}}


def _b64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _unb64(text: str) -> bytes:
    return base64.b64decode(text)


def _range_end(prefix: str) -> str:
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return _b64(bytes(raw))
