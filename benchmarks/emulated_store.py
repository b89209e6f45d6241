# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The platform's store in memory, and the product's client over ways that are cut.

State: keys, history and calls of one store, and the fault of each entry's way to it.
Relies on the loop's clock, which may be a fake one.
"""

import asyncio
import base64
from bisect import bisect_right
from collections import Counter
from collections.abc import Coroutine, Mapping
from enum import StrEnum
from random import Random
from typing import Any, NamedTuple

from leverdoor.codec import serialize_json
from leverdoor.errors import OutcomeUnknown
from leverdoor.platform.store import (
    READ_IDLE_S,
    CallTimeoutError,
    PlatformStore,
    StoreResponse,
)
from leverdoor.storage.store import KeyValue

__all__ = ["EmulatedStore", "StoreCopy", "StoreWay", "WayFault"]

SENT_AGAIN_S = 1.0
"""Time after which TCP sends the first packet of a connection again, in seconds."""


class WayFault(StrEnum):
    """What happens to the calls of one entry to the store."""

    NONE = "none"
    SILENT = "silent"
    """Calls do not arrive, and nothing says so."""
    ANSWERS_LOST = "answers-lost"
    """Calls arrive and are done; answers do not come back."""
    RESET = "reset"
    BUSY = "503"
    TURNED_AWAY = "429"


class StoreCopy(NamedTuple):
    """All that the store held at one moment."""

    revision: int
    items: dict[str, KeyValue]
    history: list[tuple[int, dict[str, object]]]
    kept_after: int
    leases: int


class EmulatedStore:
    """The platform's store: keys, history, and calls counted."""

    def __init__(self) -> None:
        """Create an empty store at revision 1."""
        self.revision = 1
        self.era = 1
        """Raised by one each time the store comes back from a copy."""
        self.down = False
        """Nobody is answered."""
        self.calls: Counter[str] = Counter()
        self.call_times: list[float] = []
        """When each watch and each listing that is not stale was begun, also those
        that did not arrive."""
        self._items: dict[str, KeyValue] = {}
        self._history: list[tuple[int, dict[str, object]]] = []
        self._kept_after = 1
        self._leases = 0
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key; returns the revision."""
        self.revision += 1
        self._items[key] = KeyValue(key, value, self.revision, lease)
        self._history.append((self.revision, _shown(self._items[key])))
        self._wake()
        return self.revision

    def remove(self, key: str) -> int:
        """Remove one key, if it is there; returns the revision."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            gone = {"private-key": key, "revision": self.revision, "gone": True}
            self._history.append((self.revision, gone))
            self._wake()
        return self.revision

    def value(self, key: str) -> bytes | None:
        """Return the value of one key, None if it is not there."""
        item = self._items.get(key)
        return None if item is None else item.value

    def copy(self) -> StoreCopy:
        """Return a copy of all that the store holds now."""
        return StoreCopy(
            self.revision,
            dict(self._items),
            list(self._history),
            self._kept_after,
            self._leases,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back as a copy; what was written since is lost, and the era rises."""
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._kept_after = copy.kept_after
        self._leases = copy.leases
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def forget_history(self) -> None:
        """Drop what watches could have continued from."""
        self._history.clear()
        self._kept_after = self.revision
        self._wake()

    async def answer(
        self, call: str, query: Mapping[str, str], body: Any
    ) -> tuple[int, bytes]:
        """Do a call."""
        kind = call.partition("/")[0]
        self.calls[kind + (" stale" if query.get("stale") else "")] += 1
        if kind == "kv-watch":
            return await self._watch(int(query["after"]), int(query["wait-ms"]))
        if kind == "kv-range":
            return 200, self._range(query["path-prefix"])
        if kind == "kv-lease":
            self._leases += 1
            return 200, serialize_json({"lease": self._leases})
        if kind == "kv-txn":
            for put in body["put"]:
                self.put(put["private-key"], put["value"], put["lease"])
            return 200, serialize_json({"revision": self.revision})
        return 200, b"{}"

    def _range(self, prefix: str) -> bytes:
        found = [_shown(v) for k, v in self._items.items() if k.startswith(prefix)]
        return serialize_json({"items": found, "more": False, "at": self.revision})

    async def _watch(self, after: int, wait_ms: int) -> tuple[int, bytes]:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_ms / 1000
        while True:
            if after < self._kept_after or after > self.revision:
                return 410, b""
            changed = self._changed
            first = bisect_right(self._history, after, key=lambda e: e[0])
            found = [event for _, event in self._history[first:]]
            left = until - loop.time()
            if found or left <= 0:
                body = {"events": found, "at": self.revision}
                return 200, serialize_json(body)
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue


def _shown(item: KeyValue) -> dict[str, object]:
    return {
        "private-key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "lease": item.lease,
    }


class StoreWay(PlatformStore):
    """The product's client of the store, over an emulated way."""

    def __init__(self, store: EmulatedStore, delay_s: float, rng: Random) -> None:
        """Create it.

        Args:
          store: what it reaches.
          delay_s: one-way delay in seconds.
          rng: draws which first packets are lost.
        """
        super().__init__("emulated:1")
        self._emulated = store
        self._delay_s = delay_s
        self._rng = rng
        self._connected = False
        self._used_at = 0.0
        self._reset = asyncio.Event()
        self.fault = WayFault.NONE
        self.stuck = False
        """The kept connection is silent for good; a new one works."""
        self.first_packet_loss = 0.0
        """Chance that a connection's first packet is lost and sent again after 1 s."""

    def set_fault(self, fault: WayFault) -> None:
        """Set what happens to calls from now on, and to those under way."""
        self.fault = fault
        if fault is WayFault.RESET:
            self._connected = False
            self._reset.set()
            self._reset = asyncio.Event()

    async def _call(
        self,
        method: str,
        call: str,
        query: dict[str, str],
        body: object,
        timeout_s: float = 2.0,
    ) -> StoreResponse:
        self.calls += 1
        if call in ("kv-watch", "kv-range") and not query.get("stale"):
            self._emulated.call_times.append(asyncio.get_running_loop().time())
        try:
            async with asyncio.timeout(timeout_s):
                return await self._unless_reset(self._exchange(call, query, body))
        except TimeoutError as e:
            self._forget_connection()
            raise CallTimeoutError(f"{call}: {e!r}") from None
        except ConnectionResetError as e:
            self._forget_connection()
            raise OutcomeUnknown(f"{call}: {e!r}") from None
        except asyncio.CancelledError:
            self._forget_connection()
            raise

    def _forget_connection(self) -> None:
        """A call that is given up closes its connection."""
        self._connected = False
        self.stuck = False

    async def _unless_reset(
        self, exchange: Coroutine[Any, Any, StoreResponse]
    ) -> StoreResponse:
        task = asyncio.ensure_future(exchange)
        reset = asyncio.ensure_future(self._reset.wait())
        try:
            await asyncio.wait([task, reset], return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                raise ConnectionResetError
            return task.result()
        finally:
            task.cancel()
            reset.cancel()

    async def _exchange(
        self, call: str, query: dict[str, str], body: object
    ) -> StoreResponse:
        if self.fault is WayFault.RESET:
            raise ConnectionResetError
        now = asyncio.get_running_loop().time()
        if now - self._used_at > READ_IDLE_S:
            self._forget_connection()
        if not self._connected and self._rng.random() < self.first_packet_loss:
            await asyncio.sleep(SENT_AGAIN_S)
        trips = 1 if self._connected else 3
        await asyncio.sleep(self._delay_s * trips)
        if self.fault is WayFault.SILENT or self.stuck or self._emulated.down:
            await asyncio.Event().wait()
        self._connected = True
        if self.fault is WayFault.BUSY:
            return StoreResponse(503, b"", self._emulated.era)
        if self.fault is WayFault.TURNED_AWAY:
            return StoreResponse(429, b"", self._emulated.era)
        status, data = await self._emulated.answer(call, query, body)
        era = self._emulated.era
        await asyncio.sleep(self._delay_s)
        self._used_at = asyncio.get_running_loop().time()
        lost = self.fault in (WayFault.SILENT, WayFault.ANSWERS_LOST)
        if lost or self.stuck or self._emulated.down:
            await asyncio.Event().wait()
        self.era = era
        return StoreResponse(status, data, era)
