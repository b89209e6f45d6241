# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A stand-in of the platform's metadata store, by its published protocol.

State: items, leases and the history that watches continue from, in memory; the faults
set last. Runs in the process that sets them; it relies on a monotonic clock only.
"""

import asyncio
import base64
from collections import deque
from collections.abc import Callable

import msgspec
from aiohttp import web

from leverdoor.codec import serialize_json

__all__ = ["MetadataCopy", "MetadataFaults", "MetadataStandin"]

ERA_HEADER = "Store-Era"
"""Header of all answers: the era of the history."""

MOST_WAIT_MS = 30_000
"""Longest wait of a watch, in ms, by the published protocol."""
MOST_ENTRIES = 32
"""Entries of one transaction, by the published protocol."""
MOST_KEY_BYTES = 200
"""Longest key in bytes, by the published protocol."""
FOREIGN_PREFIXES = ("op/", "servers/")
MAX_HISTORY_BYTES = 64 * 1024 * 1024
"""Bytes of the values in the history, encoded; the oldest are forgotten.

Twenty seconds of the greatest values, two a second. With a greater value, a series of
large values exhausts the memory of a test machine.
"""


class MetadataFaults(msgspec.Struct):
    """How the store behaves from now on."""

    silent: bool = False
    """Calls are taken and never answered."""
    busy: int = 0
    """Status that every call gets, 503 or 429; 0 for none."""
    reset: bool = False
    """Connections are closed without an answer."""
    delay_s: float = 0.0
    lose_writes: int = 0
    """So many writes are done and not answered."""
    late_s: float = 0.0
    """So much later is a lost write done, if its condition still holds."""
    turned_away: list[str] = []
    """Hosts whose calls get 503 while others are served."""
    page: int = 500
    """Items of one answer to a range."""


class _Item(msgspec.Struct):
    key: str
    value: bytes
    revision: int
    made: int
    lease: int

    def shown(self) -> dict[str, object]:
        return {
            "private-key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "made": self.made,
            "lease": self.lease,
        }


class _Lease(msgspec.Struct):
    ttl_s: float
    until: float


class MetadataCopy(msgspec.Struct):
    """All that the store held at one moment."""

    revision: int
    items: dict[str, _Item]
    history: list[tuple[int, dict[str, object]]]
    kept_after: int
    leases: dict[int, _Lease]
    next_lease: int


class _Condition(msgspec.Struct, rename={"key": "private-key"}):
    key: str
    revision: int


class _Put(msgspec.Struct, rename={"key": "private-key"}):
    key: str
    value: bytes
    lease: int = 0


class _Txn(msgspec.Struct, rename={"expected": "expected-revision"}):
    expected: list[_Condition] = []
    put: list[_Put] = []
    removals: list[str] = []


class MetadataStandin:
    """The store in memory, and its HTTP interface."""

    def __init__(self, now: Callable[[], float] | None = None) -> None:
        """Create an empty store at revision 1.

        Args:
          now: a monotonic clock in seconds; the loop's by default.
        """
        self._now = now or (lambda: asyncio.get_running_loop().time())
        self.revision = 1
        self.era = 1
        """Era of the history, which each restoration from a copy raises by one."""
        self.items: dict[str, _Item] = {}
        self.faults = MetadataFaults()
        self.calls: dict[str, int] = {}
        self._history: deque[tuple[int, dict[str, object]]] = deque()
        self._history_bytes = 0
        self._kept_after = 1
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 77_120
        self._changed = asyncio.Event()

    # The store itself.

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key, as the operator and targets do.

        Returns: the revision.
        """
        self.revision += 1
        self._put(key, value, lease)
        self._wake()
        return self.revision

    def remove(self, key: str) -> int:
        """Remove one key.

        Returns: the revision.
        """
        self.revision += 1
        self._remove(key)
        self._wake()
        return self.revision

    def forget_history(self) -> None:
        """Drop what watches could have continued from."""
        self._history.clear()
        self._history_bytes = 0
        self._kept_after = self.revision
        self._wake()

    def changed_since(self, key: str, revision: int) -> bool:
        """Return whether a key was written or removed after a revision."""
        return any(
            at > revision and event["private-key"] == key for at, event in self._history
        )

    def copy(self) -> MetadataCopy:
        """Return a copy of all that the store holds now."""
        return MetadataCopy(
            self.revision,
            dict(self.items),
            list(self._history),
            self._kept_after,
            {n: msgspec.structs.replace(v) for n, v in self._leases.items()},
            self._next_lease,
        )

    def restore(self, copy: MetadataCopy) -> None:
        """Come back as a copy: what was written since is lost, and the era rises.

        Revisions and leases are given out again from those of the copy. Its leases run
        from now.
        """
        self.era += 1
        self.revision = copy.revision
        self.items = dict(copy.items)
        self._history = deque(copy.history)
        self._history_bytes = sum(_encoded_bytes(event) for _, event in copy.history)
        self._kept_after = copy.kept_after
        self._leases = {
            n: _Lease(v.ttl_s, self._now() + v.ttl_s) for n, v in copy.leases.items()
        }
        self._next_lease = copy.next_lease
        self._wake()

    def _put(self, key: str, value: bytes, lease: int) -> None:
        before = self.items.get(key)
        made = before.made if before else self.revision
        item = _Item(key, value, self.revision, made, lease)
        self.items[key] = item
        self._remember(item.shown())

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            gone = {"private-key": key, "revision": self.revision, "gone": True}
            self._remember(gone)

    def _remember(self, event: dict[str, object]) -> None:
        self._history.append((self.revision, event))
        self._history_bytes += _encoded_bytes(event)
        while self._history_bytes > MAX_HISTORY_BYTES:
            self._kept_after, oldest = self._history.popleft()
            self._history_bytes -= _encoded_bytes(oldest)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def expire(self) -> None:
        """End the leases whose time is over, with their keys."""
        over = [n for n, v in self._leases.items() if v.until <= self._now()]
        for number in over:
            self.end_lease(number)

    def end_lease(self, number: int) -> None:
        """End one lease with its keys."""
        self._leases.pop(number, None)
        for item in [i for i in self.items.values() if i.lease == number]:
            self.remove(item.key)

    def apply(self, txn: _Txn) -> tuple[int, object]:
        """Do all of a transaction or nothing.

        Returns: the status, and the body.
        """
        keys = [p.key for p in txn.put] + txn.removals
        if any(k.startswith(FOREIGN_PREFIXES) for k in keys):
            return 403, {}
        if len(keys) + len(txn.expected) > MOST_ENTRIES or any(
            len(k.encode()) > MOST_KEY_BYTES for k in keys
        ):
            return 400, {}
        if any(p.lease and p.lease not in self._leases for p in txn.put):
            return 404, {}
        for condition in txn.expected:
            item = self.items.get(condition.key)
            if condition.revision != (item.revision if item else 0):
                named = [self.items.get(c.key) for c in txn.expected]
                return 412, {"items": [i.shown() for i in named if i]}
        self.revision += 1
        for put in txn.put:
            self._put(put.key, put.value, put.lease)
        for key in txn.removals:
            self._remove(key)
        self._wake()
        return 200, {"revision": self.revision}

    # Its interface.

    def app(self) -> web.Application:
        """Return the store's HTTP interface."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/api/kv-key", self._key)
        app.router.add_get("/api/kv-range", self._range)
        app.router.add_get("/api/kv-watch", self._watch)
        app.router.add_post("/api/kv-txn", self._txn)
        app.router.add_post("/api/kv-lease", self._lease)
        app.router.add_post("/api/kv-keep/{lease}", self._keep)
        app.router.add_delete("/api/kv-lease-end/{lease}", self._end)
        return app

    async def _add_era(self, _: web.Request, response: web.StreamResponse) -> None:
        response.headers[ERA_HEADER] = str(self.era)

    async def _fail(self, request: web.Request) -> web.StreamResponse | None:
        """Count a call; return the answer of the faults set now, if they answer it."""
        name = request.path.split("/")[2]
        if request.query.get("stale") == "1":
            name += " stale"
        self.calls[name] = self.calls.get(name, 0) + 1
        self.expire()
        faults = self.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.reset and request.transport is not None:
            request.transport.abort()
            raise asyncio.CancelledError
        while self.faults.silent:
            await asyncio.sleep(0.05)
        if faults.busy:
            return web.Response(status=faults.busy)
        if request.remote in faults.turned_away:
            return web.Response(status=503)
        return None

    async def _key(self, request: web.Request) -> web.StreamResponse:
        failed = await self._fail(request)
        if failed is not None:
            return failed
        item = self.items.get(request.query["private-key"])
        if item is None:
            return web.Response(status=404)
        return _json({**item.shown(), "at": self.revision})

    async def _range(self, request: web.Request) -> web.StreamResponse:
        failed = await self._fail(request)
        if failed is not None:
            return failed
        prefix = request.query.get("path-prefix", "")
        after = request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[: self.faults.page]
        return _json(
            {
                "items": [self.items[k].shown() for k in page],
                "more": len(keys) > len(page),
                "at": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        failed = await self._fail(request)
        if failed is not None:
            return failed
        prefix = request.query.get("path-prefix", "")
        after = int(request.query["after"])
        wait_ms = min(int(request.query["wait-ms"]), MOST_WAIT_MS)
        until = self._now() + wait_ms / 1000
        while True:
            if after < self._kept_after or after > self.revision:
                return web.Response(status=410)
            changed = self._changed
            found = [
                e
                for revision, e in self._history
                if revision > after and str(e["private-key"]).startswith(prefix)
            ]
            left = until - self._now()
            if found or left <= 0:
                return _json({"events": found, "at": self.revision})
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _txn(self, request: web.Request) -> web.StreamResponse:
        failed = await self._fail(request)
        if failed is not None:
            return failed
        txn = msgspec.json.decode(await request.read(), type=_Txn)
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            await self._lose(request, txn)
        status, body = self.apply(txn)
        return _json(body, status)

    async def _lose(self, request: web.Request, txn: _Txn) -> None:
        """Do a write, now or later, and never answer it."""
        if self.faults.late_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_s, self.apply, txn)
        else:
            self.apply(txn)
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError

    async def _lease(self, request: web.Request) -> web.StreamResponse:
        failed = await self._fail(request)
        if failed is not None:
            return failed
        ttl_ms = msgspec.json.decode(await request.read())["ttl_ms"]
        number = self._next_lease
        self._next_lease += 1
        self._leases[number] = _Lease(ttl_ms / 1000, self._now() + ttl_ms / 1000)
        return _json({"lease": number, "ttl_ms": ttl_ms})

    async def _keep(self, request: web.Request) -> web.StreamResponse:
        failed = await self._fail(request)
        if failed is not None:
            return failed
        lease = self._leases.get(int(request.match_info["lease"]))
        if lease is None:
            return web.Response(status=404)
        lease.until = self._now() + lease.ttl_s
        return _json({"ttl_ms": round(lease.ttl_s * 1000)})

    async def _end(self, request: web.Request) -> web.StreamResponse:
        failed = await self._fail(request)
        if failed is not None:
            return failed
        self.end_lease(int(request.match_info["lease"]))
        return _json({})


def _encoded_bytes(event: dict[str, object]) -> int:
    """Return the length of the value of a change, as it is sent."""
    return len(str(event.get("value", "")))


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        body=serialize_json(value), status=status, content_type="application/json"
    )
