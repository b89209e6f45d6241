# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`LeasingStore` over the HTTP API of the platform's metadata store.

Distinguishes writes that the store did not execute (`StoreUnavailable`) from writes
whose outcome is unknown (`OutcomeUnknown`). Reads whose response is lost also raise
`StoreUnavailable`, because repeating them is safe. So does every call whose response
cannot be decoded, even a write that the store executed. Callers decide whether to
retry. Owns the connections to the store, which are closed by `close` or with the
process.
"""

import asyncio
import re
from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple, TypeVar

import msgspec

from leverdoor.codec import decode_json
from leverdoor.errors import Code, LeverdoorError, OutcomeUnknown, StoreUnavailable
from leverdoor.http.client import HttpClient
from leverdoor.http.client_connection import (
    CallTimedOut,
    ConnectFailed,
    ResponseLost,
    ResponseTooLong,
)
from leverdoor.model.position import UNKNOWN_ERA, Position
from leverdoor.storage.store import (
    Commit,
    Event,
    KeyValue,
    Lease,
    LeasingStore,
    Listing,
    Wait,
    Write,
    client_default_wait,
)

__all__ = ["READ_IDLE_S", "CallTimeoutError", "PlatformStore", "StoreResponse"]

T = TypeVar("T")

CALL_TIMEOUT_S = 2.0
"""Timeout of a call, in seconds; a slow store responds in 60 times the normal 4 ms."""
WATCH_WAIT_MS = 2_500
"""Maximum time for which the store may hold a watch call open, in ms.

With a greater value a silent store is detected later; with a smaller value each watcher
makes more calls.
"""
FIRST_WAIT_MS = 50
"""Maximum time for which the store may hold a watch's first call open, in ms.

It is short so that the recovery of an unavailable store is detected soon.
"""
FIRST_CALL_MARGIN_S = 0.4
"""Margin of the first call's timeout over `FIRST_WAIT_MS`, in seconds.

After the timeout the call is repeated over another connection, because TCP retransmits
a lost first packet only after a second, and a kept connection may have gone silent. The
margin covers two round trips between regions and the response of a slow store. With a
smaller value a slow store receives more calls; with a greater value an entry that makes
an unscheduled call waits longer for the repetition.
"""
WATCH_MARGIN_S = 0.75
"""Margin of a watch call's timeout over its wait, in seconds.

After the timeout the store counts as unavailable. A slow store responds in 60 times the
normal 4 ms, and opening a connection takes two round trips between regions.
"""
READ_IDLE_S = 1.0
"""Idle time after which a read connection is no longer reused, in seconds.

The peer of an idle connection may have become unreachable without a reset; a call over
it then takes its whole timeout. A watch leaves its connection idle for
`EVENT_BATCH_DELAY_S`. With a greater value an unscheduled call may be late; with a
smaller value watches open new connections.
"""
CALL_PATH = "/api/"
"""Path of all calls, before their names."""
JSON_HEADERS = {"Content-Type": "application/json"}
"""Headers of calls with a body."""
ERA_HEADER = "store-era"
"""Header of all responses, in lower case, with the era of the store's history.

A decimal number that rises by one each time the store comes back from a copy, without
its latest changes.
"""
ERA = re.compile(r"[0-9]{1,18}", re.ASCII)
"""An era: a decimal number that fits 64 bits."""
MAX_SHOWN = 40
"""Greatest number of characters of an invalid value in an error."""
EVENT_BATCH_DELAY_S = 0.1
"""Delay after a watch call that returned events, in seconds; it batches later events.

With a greater value changes arrive later; with a smaller value each of several changes
causes a call and a compilation of the catalog at every entry.
"""


class _KeyRecord(msgspec.Struct, rename={"key": "private-key"}):
    """A key with its value, or a change of a key."""

    key: str
    """Encoded as "private-key" by the platform, although it is not secret."""
    revision: int
    value: bytes = b""
    gone: bool = False
    """The key was removed or its lease expired."""
    lease: int = 0
    """Lease of the key; 0 for none."""

    def key_value(self, era: int) -> KeyValue:
        """Convert the record, read in this era, to an existing key."""
        return KeyValue(self.key, self.value, self.revision, self.lease, era)

    def event(self) -> Event:
        """Convert the record to a change event."""
        return Event(self.revision, self.key, None if self.gone else self.value)


class _RangeResponse(msgspec.Struct):
    """One page of a range of keys."""

    items: list[_KeyRecord]
    more: bool
    at: int
    """Revision of the store when it returned the page."""


class _WatchResponse(msgspec.Struct):
    """The response to a watch call."""

    events: list[_KeyRecord]
    at: int
    """Revision of the store; the next watch call starts after it."""


class _TransactionResponse(msgspec.Struct):
    """The response to a committed transaction."""

    revision: int


class _LeaseResponse(msgspec.Struct):
    """The response to a request for a lease."""

    lease: int


class StoreResponse(NamedTuple):
    """Any response of the store."""

    status: int
    data: bytes
    era: int
    """Era of the store's history; `UNKNOWN_ERA` if the response names none."""


class CallTimeoutError(OutcomeUnknown):
    """The store did not respond within the timeout of a call."""


class ResponseTooLongError(StoreUnavailable):
    """The store responded with more than the client receives."""


class PlatformStore(LeasingStore):
    """Client of the store; reads make one call per page."""

    def __init__(self, address: str) -> None:
        """Create a client without opening a connection.

        Args:
          address: the store's `ip:port`.
        """
        self._address = address
        # Reads have connections of their own, with a shorter idle time.
        self._read_client = HttpClient(idle_s=READ_IDLE_S)
        self._write_client = HttpClient()

    async def close(self) -> None:
        """Close all connections."""
        self._read_client.close()
        self._write_client.close()

    async def read(self, prefix: str) -> Listing:
        """Read all keys under a prefix.

        The listing has the revision of the first page, so that a watch from it also
        returns changes made between pages.
        """
        return await self._read_pages({"path-prefix": prefix})

    async def read_stale(self, prefix: str) -> Listing:
        """Read all keys under a prefix from a lagging copy.

        It costs a tenth of a call of `read`.
        """
        return await self._read_pages({"path-prefix": prefix, "stale": "1"})

    async def _read_pages(self, query: dict[str, str]) -> Listing:
        first: Position | None = None
        found: dict[str, KeyValue] = {}
        after = ""
        while True:
            page_query = query | ({"after": after} if after else {})
            response = await self._get_with_retry(
                "kv-range", page_query, [CALL_TIMEOUT_S]
            )
            page = _parse_response(response.data, _RangeResponse)
            first = first or Position(response.era, page.at)
            if response.era != first.era:
                raise StoreUnavailable("the era rose between the pages of a listing")
            found.update((i.key, i.key_value(response.era)) for i in page.items)
            if not page.more or not page.items:
                return Listing(first.revision, list(found.values()), first.era)
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after: Position, wait_s: Wait = client_default_wait
    ) -> AsyncIterator[list[Event]]:
        """Yield the changes after a position; an empty list if a call returns none.

        Args:
          prefix: prefix of the watched keys.
          after: the position.
          wait_s: returns how long the store may hold the next call open, in seconds;
            None for `WATCH_WAIT_MS`.
        """
        revision = after.revision
        wait_ms = FIRST_WAIT_MS
        margins_s = [FIRST_CALL_MARGIN_S, WATCH_MARGIN_S]
        while True:
            query = {
                "path-prefix": prefix,
                "after": str(revision),
                "wait-ms": str(wait_ms),
            }
            timeouts_s = [wait_ms / 1000 + s for s in margins_s]
            margins_s = [WATCH_MARGIN_S]
            try:
                response = await self._get_with_retry("kv-watch", query, timeouts_s)
            except ResponseTooLongError:
                # A listing has the newest values only, a page at a time.
                raise LeverdoorError(Code.COMPACTED) from None
            if response.era != after.era:
                raise LeverdoorError(Code.COMPACTED)
            found = _parse_response(response.data, _WatchResponse)
            revision = max(revision, found.at)
            yield [i.event() for i in found.events]
            if found.events:
                await asyncio.sleep(EVENT_BATCH_DELAY_S)
            next_s = wait_s()
            wait_ms = WATCH_WAIT_MS if next_s is None else round(next_s * 1000)

    async def commit(self, writes: Sequence[Write]) -> Commit:
        """Apply all writes atomically if every expected revision matches."""
        return await self._transact(writes, 0)

    async def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> Lease:
        """Write a key under a new lease; the store removes it when the lease expires.

        Args:
          key: the key.
          value: its value.
          ttl_s: time to live of the lease, in seconds.
        Returns: the lease.
        """
        body = {"ttl_ms": round(ttl_s * 1000)}
        response = await self._write("POST", "kv-lease", body)
        number = _parse_response(response.data, _LeaseResponse).lease
        await self._transact([Write(key, value)], number)
        return Lease(number, response.era)

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease.

        Returns: False if the lease does not exist, or the store's era is another one.
        """
        response = await self._call("POST", f"kv-keep/{lease.number}", {}, None)
        if response.status not in (200, 404):
            raise StoreUnavailable(f"kv-keep: HTTP {response.status}")
        return response.status == 200 and response.era == lease.era

    async def revoke_lease(self, lease: Lease) -> None:
        """End a lease; errors are ignored because the lease expires anyway."""
        if lease.era != self.era:
            return
        try:
            await self._write("DELETE", f"kv-lease-end/{lease.number}", None)
        except LeverdoorError:
            return

    async def _transact(self, writes: Sequence[Write], lease: int) -> Commit:
        body = {
            "expected-revision": [
                {"private-key": w.key, "revision": w.expected_revision}
                for w in writes
                if w.expected_revision is not None
            ],
            "put": [
                {
                    "private-key": w.key,
                    "value": w.value,
                    "lease": lease,
                }
                for w in writes
                if w.value is not None
            ],
            "removals": [w.key for w in writes if w.value is None],
        }
        response = await self._call("POST", "kv-txn", {}, body)
        if response.status == 412:  # An expected revision did not match.
            return Commit(False, 0)
        _raise_for_status(response.status, "kv-txn")
        committed = _parse_response(response.data, _TransactionResponse)
        return Commit(True, committed.revision)

    async def _get_with_retry(
        self, call: str, query: dict[str, str], timeouts_s: Sequence[float]
    ) -> StoreResponse:
        """Make a read call and report a lost response as an unavailable store.

        Args:
          call: the name of the call.
          query: its query parameters.
          timeouts_s: timeout of each attempt, in seconds; only a call that timed out is
            attempted again.
        Returns: the response.
        Raises:
          StoreUnavailable: the store could not be reached or rejected the call, or the
            response was lost.
          OutcomeUnknown: the store responded with an unexpected status.
          LeverdoorError: with `COMPACTED`, the requested history was compacted.
        """
        *first, last = timeouts_s
        for timeout_s in first:
            try:
                return await self._get_once(call, query, timeout_s)
            except CallTimeoutError:
                continue
        try:
            return await self._get_once(call, query, last)
        except CallTimeoutError as e:
            raise StoreUnavailable(e.detail) from None

    async def _get_once(
        self, call: str, query: dict[str, str], timeout_s: float
    ) -> StoreResponse:
        try:
            response = await self._call("GET", call, query, None, timeout_s)
        except CallTimeoutError:
            raise
        except OutcomeUnknown as e:
            raise StoreUnavailable(e.detail) from None
        if response.status == 410:
            raise LeverdoorError(Code.COMPACTED)
        _raise_for_status(response.status, call)
        return response

    async def _write(self, method: str, call: str, body: object) -> StoreResponse:
        response = await self._call(method, call, {}, body)
        _raise_for_status(response.status, call)
        return response

    async def _call(
        self,
        method: str,
        call: str,
        query: dict[str, str],
        body: object,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> StoreResponse:
        """Make one call and return its response.

        Raises:
          StoreUnavailable: no connection was opened, so the call was not sent.
          ResponseTooLongError: a read has a response that is too long.
          CallTimeoutError: the store did not respond in time.
          OutcomeUnknown: the response was lost.
        """
        self.calls += 1  # Counter of the base class.
        client = self._read_client if method == "GET" else self._write_client
        try:
            response = await client.call(
                method,
                self._address,
                CALL_PATH + call,
                query,
                headers=None if body is None else JSON_HEADERS,
                body=None if body is None else msgspec.json.encode(body),
                timeout_s=timeout_s,
            )
        except ConnectFailed as e:
            raise StoreUnavailable(f"{call}: {e}") from None
        except CallTimedOut as e:
            raise CallTimeoutError(f"{call}: {e!r}") from None
        except ResponseTooLong as e:
            raise ResponseTooLongError(f"{call}: {e!r}") from None
        except ResponseLost as e:
            raise OutcomeUnknown(f"{call}: {e!r}") from None
        self.era = _parse_era(response.headers.get(ERA_HEADER))
        return StoreResponse(response.status, response.body, self.era)


def _raise_for_status(status: int, call: str) -> None:
    """Raise an error unless the call succeeded.

    With 404, 429 and 503 the store did not execute the call.
    """
    if status == 200:
        return
    if status in (429, 503, 404):
        raise StoreUnavailable(f"{call}: HTTP {status}")
    raise OutcomeUnknown(f"{call}: HTTP {status}")


def _parse_era(text: str | None) -> int:
    """Return the era that a response names; `UNKNOWN_ERA` if it names none.

    Raises:
      StoreUnavailable: the header is not a decimal number.
    """
    if text is None:
        return UNKNOWN_ERA
    if not ERA.fullmatch(text):
        raise StoreUnavailable(f"invalid era of the store: {text[:MAX_SHOWN]!r}")
    return int(text)


def _parse_response(data: bytes, kind: type[T]) -> T:
    try:
        return decode_json(data, kind)
    except msgspec.MsgspecError as e:
        raise StoreUnavailable(f"invalid response from the store: {e}") from None
