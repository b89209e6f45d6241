# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Stand-ins of the platform's targets: slots, warm keys, refusals, a log.

State: what runs and waits, the keys seen, all arrivals and runs, in memory. A target
of a plain site, with other headers and probes, is `standins.targets`.
"""

import asyncio
import hashlib
import re
from collections import OrderedDict
from collections.abc import Callable

import msgspec
from aiohttp import web

from leverdoor.codec import serialize_json

__all__ = ["UpstreamArrival", "UpstreamRun", "UpstreamStandin"]

PLAIN_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
"""What counts as seconds of a Retry-After: a decimal number without sign."""
SECOND_ANSWER_S = 0.005
"""How much later a surplus answer follows, in seconds."""


class UpstreamRun(msgspec.Struct):
    """One request that a target began to work on."""

    request_id: str
    method: str
    path: str
    digest: str
    deadline_ms: int
    at: float = 0.0
    """When it began, in seconds of the loop's clock."""
    ended: bool = False
    workspace: str = ""
    """Whose request it was, as the entry said."""
    keyed: bool = False
    """A workspace's key came along, which it must not."""


class UpstreamArrival(msgspec.Struct):
    """One request that reached a target and was meant for it."""

    request_id: str
    at: float
    """When its head had arrived, in seconds of the loop's clock."""
    answered_at: float = 0.0
    """When its answer was made, on the same clock; 0 for none."""
    leaving: bool = False
    """The answer said that the target leaves."""
    rest_s: float = 0.0
    """Rest that the answer asked for, in seconds; 0 for none."""


class UpstreamStandin:
    """One target: it runs so many requests at once, and queues as many again."""

    def __init__(
        self, name: str, service: str, zone: str, slots: int = 4, work_s: float = 0.02
    ) -> None:
        """Create a target.

        Args:
          name: its instance id.
          service: what it serves.
          zone: where it stands.
          slots: requests that it works on at once.
          work_s: how long one takes; a key not seen lately takes three times it.
        """
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.cold_ms = 0
        self.empty = False
        """Answers have no body and no type."""
        self.crash: Callable[[], None] | None = None
        """Ends the target as when its process crashes; set by the site."""
        self.crash_paths: set[str] = set()
        """Paths of requests that end the target as it begins to run them."""
        self.limit = ""
        """What answers name as the requests a second that it takes; "" for nothing."""
        self.leaving = ""
        """What answers say of whether the target leaves; "" for nothing."""
        self.rest = ""
        """Requests are turned away with this as their Retry-After; "" for not at all.
        """
        self.reports_speed = False
        """Whether the load in answers has a fourth figure, by `slow_x`."""
        self.padding_bytes: dict[str, int] = {}
        """By path, bytes by which answers are longer."""
        self.answer_well()
        self.arrivals: list[UpstreamArrival] = []
        self.runs: list[UpstreamRun] = []
        self._sequence = 0
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._warm: OrderedDict[str, None] = OrderedDict()

    def answer_well(self) -> None:
        """End what harms answers."""
        self.slow_x = 1.0
        """How many times as long as usual a request takes."""
        self.lose_every = 0
        """Each so many-th run's connection is reset in place of an answer."""
        self.repeat_every = 0
        """Each so many-th answer is followed by a second one."""

    def entry(self, address: str) -> bytes:
        """Return what the target writes to the store of itself, with a new sequence."""
        self._sequence += 1
        return serialize_json(
            {
                "service": self.service,
                "address": address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold-remaining-ms": self.cold_ms,
                "sequence": self._sequence,
            }
        )

    def app(self) -> web.Application:
        """Return the target's HTTP interface."""
        app = web.Application(client_max_size=256 * 1024 * 1024)
        app.router.add_route("*", "/{tail:.*}", self._serve)
        return app

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        if self.limit:
            headers["Server-Limit"] = self.limit
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return web.Response(
                status=421, headers={**headers, "X-Instance-Id": self.name}
            )
        arrival = UpstreamArrival(headers["X-Request-Id"], _now_s())
        self.arrivals.append(arrival)
        response = await self._answer(request, headers)
        if self.leaving:
            response.headers["Server-Leaving"] = self.leaving
        arrival.answered_at = _now_s()
        arrival.leaving = self.leaving == "1"
        arrival.rest_s = _seconds(response.headers.get("Retry-After", ""))
        return response

    async def _answer(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Return the answer to a request that was meant for this target."""
        digest = await _read_digest(request)
        if self.rest:
            headers = {**headers, "X-Not-Executed": "1", "Retry-After": self.rest}
            return web.Response(status=503, headers=headers)
        if self._waiting >= self.slots:
            return web.Response(status=503, headers={**headers, "X-Not-Executed": "1"})
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._run(request, digest, headers)
        finally:
            self._free.release()

    async def _run(
        self, request: web.Request, digest: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        run = UpstreamRun(
            request.headers["X-Request-Id"],
            request.method,
            request.raw_path,
            digest,
            int(request.headers.get("X-Deadline-Ms", "0")),
            _now_s(),
            workspace=request.headers.get("X-Tenant", ""),
            keyed="X-Credential" in request.headers,
        )
        self.runs.append(run)
        self._running += 1
        try:
            if run.path in self.crash_paths and self.crash is not None:
                self.crash()
                await asyncio.Event().wait()
            await asyncio.sleep(self._work_s(request.headers.get("X-Affinity-Key", "")))
        finally:
            self._running -= 1
        run.ended = True
        if self.lose_every and len(self.runs) % self.lose_every == 0:
            _reset(request)
        headers["X-Server-Stamp"] = f"{self.name}.{len(self.runs)}"
        # As on the platform, the request that is answered still counts as running.
        running = self._running + 1
        load = f"{running},{self._waiting},{self.slots}"
        speed = f",{self.slow_x * 100:.0f}" if self.reports_speed else ""
        headers["X-Server-Load"] = load + speed
        if self.empty:
            return web.Response(headers=headers)
        answer = {"id": run.request_id, "digest": run.digest}
        padding_bytes = self.padding_bytes.get(request.path, 0)
        if padding_bytes:
            answer["padding"] = "x" * padding_bytes
        body = serialize_json(answer)
        if self.repeat_every and len(self.runs) % self.repeat_every == 0:
            _answer_again(request, body, headers)
        return web.Response(body=body, headers=headers)

    def _work_s(self, key: str) -> float:
        warm = key in self._warm
        self._warm[key] = None
        self._warm.move_to_end(key)
        return self.slow_x * (self.work_s if warm else 3 * self.work_s)


async def _read_digest(request: web.Request) -> str:
    """Read the body of a request, of any length, and return its SHA-256 digest."""
    digest = hashlib.sha256()
    async for part in request.content.iter_any():
        digest.update(part)
    return digest.hexdigest()


def _now_s() -> float:
    """Return the loop's time in seconds."""
    return asyncio.get_running_loop().time()


def _seconds(text: str) -> float:
    """Return the seconds that a Retry-After names; 0 for none, or no plain number."""
    return float(text) if PLAIN_NUMBER.fullmatch(text) else 0.0


def _reset(request: web.Request) -> None:
    """Close a connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def _answer_again(request: web.Request, body: bytes, headers: dict[str, str]) -> None:
    """Send a second answer to a request a moment after the first."""
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    transport = request.transport
    if transport is not None:
        asyncio.get_running_loop().call_later(SECOND_ANSWER_S, transport.write, data)
