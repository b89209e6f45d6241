# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The platform's metadata store over HTTP, behind the product's `LeasingStore`.

Tells calls that were not taken (`StoreUnavailable`) from calls whose outcome is unknown
(`OutcomeUnknown`); retries are up to the callers. Owns the connections to the store.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence
from typing import TypeVar

import aiohttp
import msgspec

from leverdoor.errors import Code, LeverdoorError, OutcomeUnknown, StoreUnavailable
from leverdoor.sessions import new_session
from leverdoor.storage.store import (
    Commit,
    Event,
    KeyValue,
    LeasingStore,
    Listing,
    Wait,
    Write,
    own_wait,
)

__all__ = ["IDLE_S", "NoAnswer", "PlatformStore"]

T = TypeVar("T")

CALL_TIMEOUT_S = 2.0
"""Longest time of a call, in seconds; a slow store takes 60 times its 4 ms."""
WATCH_WAIT_MS = 2_500
"""How long a watch may wait, in ms.

Greater, a silent store is noticed later; smaller, each follower makes more calls.
"""
FIRST_WAIT_MS = 50
"""Wait of a watch's first call in ms: the return of a lost store shows soon."""
FIRST_ANSWER_S = 0.4
"""Time beyond that wait after which the first call is made again, in seconds.

Over another connection: the first packet of one may be lost, which TCP sends again
after a second, or a kept one may have gone silent. Two round trips between regions and
a slow store's answer fit. Shorter, more calls to a slow store; longer, an entry that
asks out of turn is later by as much.
"""
WATCH_SLACK_S = 0.75
"""Time beyond that wait after which the store counts as silent, in seconds.

A slow one takes 60 times its 4 ms, and a new connection two round trips between
regions.
"""
IDLE_S = 1.0
"""How long an idle connection for reads is used again, in seconds.

It may have gone silent without a reset, which costs a call its whole time. A watch
leaves its connection idle for `GATHER_S`. Longer, a call out of turn may be late;
shorter, watches open connections.
"""
GATHER_S = 0.1
"""Pause after a watch's events, in seconds, so that those that follow come together.

Greater, changes are later; smaller, each of several changes costs a call and a
compilation at all entries.
"""


class _Item(msgspec.Struct, rename={"key": "private-key"}):
    """A key with its value, or a change of one."""

    key: str
    """The platform calls it "private-key"; nothing about it is secret."""
    revision: int
    value: bytes = b""
    gone: bool = False
    """The key was removed, or its lease is over."""
    lease: int = 0
    """0 for none."""

    def key_value(self) -> KeyValue:
        """Return it as a key that is there."""
        return KeyValue(self.key, self.value, self.revision, self.lease)

    def event(self) -> Event:
        """Return it as a change."""
        return Event(self.revision, self.key, None if self.gone else self.value)


class _Range(msgspec.Struct):
    """One page of keys."""

    items: list[_Item]
    more: bool
    at: int
    """The store's revision."""


class _Events(msgspec.Struct):
    """What a watch returned."""

    events: list[_Item]
    at: int
    """The store's revision, after which the next watch begins."""


class _Done(msgspec.Struct):
    """A transaction that was done."""

    revision: int


class _Lease(msgspec.Struct):
    """A lease that was given."""

    lease: int


class NoAnswer(OutcomeUnknown):
    """No answer came within the time of a call."""


class PlatformStore(LeasingStore):
    """The store over HTTP; each method is one call, `read` one for each page."""

    def __init__(self, address: str) -> None:
        """Create a client; nothing is opened yet.

        Args:
          address: the store's `ip:port`.
        """
        self._base = f"http://{address}/api/"
        self._reading: aiohttp.ClientSession | None = None
        self._writing: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        for session in (self._reading, self._writing):
            if session is not None:
                await session.close()
        self._reading = self._writing = None

    def _session(self, method: str) -> aiohttp.ClientSession:
        """Return the session for a method; reads have connections of their own."""
        if method == "GET":
            self._reading = self._reading or new_session(idle_s=IDLE_S)
            return self._reading
        self._writing = self._writing or new_session()
        return self._writing

    async def read(self, prefix: str) -> Listing:
        """Read all keys under a prefix; the revision is the first page's."""
        return await self._list({"path-prefix": prefix})

    async def read_stale(self, prefix: str) -> Listing:
        """Read all keys under a prefix from a lagging copy, at a tenth of the price."""
        return await self._list({"path-prefix": prefix, "stale": "1"})

    async def _list(self, query: dict[str, str]) -> Listing:
        revision = 0
        found: dict[str, KeyValue] = {}
        after = ""
        while True:
            page_query = query | ({"after": after} if after else {})
            data = await self._read("kv-range", page_query, [CALL_TIMEOUT_S])
            page = _parse(data, _Range)
            revision = revision or page.at
            found.update((i.key, i.key_value()) for i in page.items)
            if not page.more or not page.items:
                return Listing(revision, list(found.values()))
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after: int, wait_s: Wait = own_wait
    ) -> AsyncIterator[list[Event]]:
        """Yield the changes after a revision; an empty list when there are none."""
        wait_ms = FIRST_WAIT_MS
        patience_s = [FIRST_ANSWER_S, WATCH_SLACK_S]
        while True:
            query = {
                "path-prefix": prefix,
                "after": str(after),
                "wait-ms": str(wait_ms),
            }
            timeouts_s = [wait_ms / 1000 + s for s in patience_s]
            patience_s = [WATCH_SLACK_S]
            found = _parse(await self._read("kv-watch", query, timeouts_s), _Events)
            after = max(after, found.at)
            yield [i.event() for i in found.events]
            if found.events:
                await asyncio.sleep(GATHER_S)
            next_s = wait_s()
            wait_ms = WATCH_WAIT_MS if next_s is None else round(next_s * 1000)

    async def commit(self, writes: Sequence[Write]) -> Commit:
        """Write all changes or none, if every `expect` holds."""
        return await self._transact(writes, 0)

    async def hold(self, key: str, value: bytes, ttl_s: float) -> int:
        """Write a key that is removed when its lease is not kept."""
        body = {"ttl_ms": round(ttl_s * 1000)}
        lease = _parse(await self._write("POST", "kv-lease", body), _Lease).lease
        await self._transact([Write(key, value)], lease)
        return lease

    async def keep(self, lease: int) -> bool:
        """Renew a lease."""
        status, _ = await self._call("POST", f"kv-keep/{lease}", {}, None)
        if status not in (200, 404):
            raise StoreUnavailable(f"kv-keep: HTTP {status}")
        return status == 200

    async def let_go(self, lease: int) -> None:
        """End a lease."""
        try:
            await self._write("DELETE", f"kv-lease-end/{lease}", None)
        except LeverdoorError:
            return

    async def _transact(self, writes: Sequence[Write], lease: int) -> Commit:
        body = {
            "expected-revision": [
                {"private-key": w.key, "revision": w.expect}
                for w in writes
                if w.expect is not None
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
        status, data = await self._call("POST", "kv-txn", {}, body)
        if status == 412:
            return Commit(False, 0)
        _check(status, "kv-txn")
        return Commit(True, _parse(data, _Done).revision)

    async def _read(
        self, call: str, query: dict[str, str], timeouts_s: Sequence[float]
    ) -> bytes:
        """Make a call that changes nothing: a lost answer is as good as no call.

        Args:
          call: its name.
          query: its parameters.
          timeouts_s: longest time of each try, in seconds; only a call that got no
            answer in time is tried again.
        """
        *first, last = timeouts_s
        for timeout_s in first:
            try:
                return await self._read_once(call, query, timeout_s)
            except NoAnswer:
                continue
        try:
            return await self._read_once(call, query, last)
        except NoAnswer as e:
            raise StoreUnavailable(e.detail) from None

    async def _read_once(
        self, call: str, query: dict[str, str], timeout_s: float
    ) -> bytes:
        try:
            status, data = await self._call("GET", call, query, None, timeout_s)
        except NoAnswer:
            raise
        except OutcomeUnknown as e:
            raise StoreUnavailable(e.detail) from None
        if status == 410:
            raise LeverdoorError(Code.COMPACTED)
        _check(status, call)
        return data

    async def _write(self, method: str, call: str, body: object) -> bytes:
        status, data = await self._call(method, call, {}, body)
        _check(status, call)
        return data

    async def _call(
        self,
        method: str,
        call: str,
        query: dict[str, str],
        body: object,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        """Make one call; lost answers differ from calls that were never taken.

        Raises:
          StoreUnavailable: no connection was opened.
          OutcomeUnknown: the answer was lost, or did not come in time.
        """
        self.calls += 1
        headers = {} if body is None else {"Content-Type": "application/json"}
        try:
            async with self._session(method).request(
                method,
                self._base + call,
                params=query,
                data=None if body is None else msgspec.json.encode(body),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                return answer.status, await answer.read()
        except aiohttp.ClientConnectorError as e:
            raise StoreUnavailable(f"{call}: {e}") from None
        except TimeoutError as e:
            raise NoAnswer(f"{call}: {e!r}") from None
        except (aiohttp.ClientError, OSError) as e:
            raise OutcomeUnknown(f"{call}: {e!r}") from None


def _check(status: int, call: str) -> None:
    """Raise unless a call was taken; 429 and 503 say that nothing was done."""
    if status == 200:
        return
    if status in (429, 503, 404):
        raise StoreUnavailable(f"{call}: HTTP {status}")
    raise OutcomeUnknown(f"{call}: HTTP {status}")


def _parse(data: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as e:
        raise StoreUnavailable(f"not an answer of the store: {e}") from None
