# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Client of the key-value service for the JSON gateway of the etcd v3 API.

Owns one session and the index of the member in use, both lost with the process. After
a request without a response, the client switches to the next member. It distinguishes
requests that were not executed (`StoreUnavailable`) from those that may have been
executed (`OutcomeUnknown`).
"""

import base64
from collections.abc import AsyncIterator, Sequence
from typing import TypeVar

import aiohttp
import msgspec

from leverdoor.codec import decode_json
from leverdoor.errors import Code, LeverdoorError, OutcomeUnknown, StoreUnavailable
from leverdoor.model.position import Position
from leverdoor.sessions import MAX_LISTING_BYTES, BodyTooLong, new_session, read_body
from leverdoor.storage.store import (
    WATCH_SILENCE_S,
    Commit,
    Event,
    KeyValue,
    Listing,
    Store,
    Wait,
    Write,
    client_default_wait,
)

__all__ = ["EtcdStore", "from_base64", "decode_key", "to_base64"]

T = TypeVar("T")

CALL_TIMEOUT_S = 2.0
"""Timeout of a request, in seconds.

The service responds within milliseconds. The timeout is well below `WATCH_SILENCE_S`
(6 s), so that a follower tries another member before that time.
"""
READ_BUFFER = 4_000_000
"""Read buffer of a watch, in bytes; larger than the largest batch of events."""


class EtcdStore(Store):
    """Client for the JSON gateway of the etcd v3 API."""

    def __init__(self, urls: Sequence[str], timeout_s: float = CALL_TIMEOUT_S) -> None:
        """Create a client.

        Args:
          urls: base URLs of the service's members, used in rotation.
          timeout_s: timeout of one request, in seconds.
        """
        self._urls = [u.rstrip("/") for u in urls]
        self._member = 0
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = new_session()
        return self._session

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, prefix: str) -> Listing:
        """Read all entries under a prefix."""
        body = {"key": to_base64(prefix.encode()), "range_end": _range_end(prefix)}
        try:
            response = await self._call("/v3/kv/range", body, _RangeResponse)
        except OutcomeUnknown as e:
            raise StoreUnavailable(e.detail) from None
        return Listing(response.header.revision, [kv.entry() for kv in response.kvs])

    async def commit(self, writes: Sequence[Write]) -> Commit:
        """Apply all writes atomically if every `expected_revision` matches."""
        body = {
            "compare": [_compare(w) for w in writes if w.expected_revision is not None],
            "success": [_operation(w) for w in writes],
        }
        response = await self._call("/v3/kv/txn", body, _TxnResponse)
        return Commit(response.succeeded, response.header.revision)

    async def watch(
        self, prefix: str, after: Position, wait_s: Wait = client_default_wait
    ) -> AsyncIterator[list[Event]]:
        """Yield the changes after a position."""
        create = {
            "key": to_base64(prefix.encode()),
            "range_end": _range_end(prefix),
            "start_revision": str(after.revision + 1),
            "progress_notify": True,
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._timeout_s, sock_read=WATCH_SILENCE_S
        )
        self.calls += 1
        try:
            async with self._open_session().post(
                self._urls[self._member] + "/v3/watch",
                json={"create_request": create},
                timeout=timeout,
                read_bufsize=READ_BUFFER,
            ) as response:
                if response.status != 200:
                    raise StoreUnavailable(f"watch: HTTP {response.status}")
                async for message in _lines(response.content):
                    yield _events(message)
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            self._switch_member()
            raise StoreUnavailable(f"watch: {e!r}") from None
        raise StoreUnavailable("watch: the service ended the stream")

    async def _call(self, path: str, body: object, response_type: type[T]) -> T:
        """Send one request and decode the response.

        Raises:
          StoreUnavailable: the request was not executed.
          OutcomeUnknown: the request may have been executed.
        """
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._open_session().post(
                self._urls[self._member] + path,
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as response:
                data = await read_body(response, MAX_LISTING_BYTES)
        except aiohttp.ClientConnectorError as e:
            self._switch_member()
            raise StoreUnavailable(f"{path}: {e}") from None
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            self._switch_member()
            raise OutcomeUnknown(f"{path}: {e!r}") from None
        # The service responds with 503 to a request that it did not execute.
        if response.status == 503:
            raise StoreUnavailable(f"{path}: HTTP 503")
        if response.status != 200:
            raise OutcomeUnknown(f"{path}: HTTP {response.status}")
        try:
            return decode_json(data, response_type, strict=False)
        except msgspec.MsgspecError as e:
            raise OutcomeUnknown(f"{path}: unreadable response: {e}") from None

    def _switch_member(self) -> None:
        self._member = (self._member + 1) % len(self._urls)


class _Header(msgspec.Struct):
    revision: int = 0


class _Kv(msgspec.Struct):
    key: str
    value: str = ""
    mod_revision: int = 0

    def entry(self) -> KeyValue:
        return KeyValue(
            decode_key(self.key), from_base64(self.value), self.mod_revision
        )


class _RangeResponse(msgspec.Struct):
    header: _Header
    kvs: list[_Kv] = []


class _TxnResponse(msgspec.Struct):
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
    """Yield complete lines.

    Raises:
      BodyTooLong: a line exceeds `MAX_LISTING_BYTES`.
    """
    partial = b""
    async for chunk in content.iter_any():
        *complete, partial = (partial + chunk).split(b"\n")
        if len(partial) > MAX_LISTING_BYTES:
            raise BodyTooLong(f"a line of over {MAX_LISTING_BYTES} bytes")
        for line in complete:
            if line:
                yield line


def _events(line: bytes) -> list[Event]:
    try:
        result = decode_json(line, _WatchMessage, strict=False).result
    except msgspec.MsgspecError as error:
        raise StoreUnavailable(f"unreadable message: {error}") from None
    # The service cancels a watch if its start revision is compacted.
    if result.canceled:
        raise LeverdoorError(Code.COMPACTED, revision=result.compact_revision)
    events = []
    for e in result.events:
        entry = e.kv.entry()
        value = None if e.type == "DELETE" else entry.value
        events.append(Event(entry.revision, entry.key, value))
    return events


def _compare(w: Write) -> dict[str, str]:
    return {
        "key": to_base64(w.key.encode()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(w.expected_revision),
    }


def _operation(w: Write) -> dict[str, dict[str, str]]:
    key = to_base64(w.key.encode())
    if w.value is None:
        return {"request_delete_range": {"key": key}}
    return {"request_put": {"key": key, "value": to_base64(w.value)}}


def to_base64(data: bytes) -> str:
    """Encode a key or value for the JSON API."""
    return base64.b64encode(data).decode()


def from_base64(text: str) -> bytes:
    """Decode a key or value of the JSON API.

    Raises:
      StoreUnavailable: the text is not base64.
    """
    try:
        return base64.b64decode(text)
    except ValueError as e:
        raise StoreUnavailable(f"no base64 in a response: {e}") from None


def decode_key(text: str) -> str:
    """Decode a key of the JSON API.

    Other writers may use keys that are not UTF-8; these stay distinct.
    """
    return from_base64(text).decode(errors="backslashreplace")


def _range_end(prefix: str) -> str:
    """Return the first key after all keys with a prefix, in base64."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return to_base64(bytes(raw))
