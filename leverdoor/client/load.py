# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An open-loop load generator that checks every answer.

Owns the requests under way and the counts of each stream, for one run.
"""

import asyncio
from collections.abc import Sequence
from random import Random

import msgspec
from hdrh.histogram import HdrHistogram

from leverdoor.client.caller import Caller
from leverdoor.codec import decode_json
from leverdoor.errors import Code, Refusal, Run

__all__ = ["Load", "LoadPlan", "LoadResult", "Stream", "StreamResult"]

MAX_MS = 600_000
"""Largest latency that the histogram holds, in ms: ten minutes."""
DIGITS = 3
"""Significant digits of the histogram; errors stay below 0.1%."""
DRAIN_S = 10.0
"""How long answers are awaited after the last request, in s: five deadlines."""
MAX_SECONDS = 600.0
"""Longest run, in seconds: so that a mistyped option ends."""
MAX_REQUESTS = 1_000_000
"""Most requests of a run. Bounds memory: each is kept in `told`."""


class Stream(msgspec.Struct, frozen=True):
    """One kind of request in the mix."""

    service: str
    caller: str
    rate: float
    method: str = "GET"
    path: str = "x"
    body: int = 0
    deadline_ms: int = 2_000
    attempts: int = 1
    entries: tuple[str, ...] = ()


class LoadPlan(msgspec.Struct, frozen=True):
    """What to send, for how long, from which seed."""

    streams: tuple[Stream, ...]
    seconds: float
    seed: int = 1


class StreamResult(msgspec.Struct):
    """What became of one stream; latency counts from the intended start."""

    service: str
    caller: str
    sent: int = 0
    good: int = 0
    wrong: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    p999_ms: float = 0.0
    codes: dict[str, int] = {}
    hint_ms: float = 0.0
    served_by: dict[str, int] = {}


class LoadResult(msgspec.Struct):
    """What became of a whole load."""

    seconds: float
    streams: list[StreamResult]
    told: dict[str, str] = {}
    """For each request id, whether its caller learned that it ran (`errors.Run`)."""


class _Running:
    def __init__(self, stream: Stream, caller: Caller) -> None:
        self.stream = stream
        self.caller = caller
        self.result = StreamResult(
            stream.service, stream.caller, codes={}, served_by={}
        )
        self.histogram = HdrHistogram(1, MAX_MS * 10, DIGITS)
        self.hints: list[int] = []


class Load:
    """Sends requests when they are due, however many are still open.

    A slow answer delays no later request, and its latency counts from when it
    should have been sent, so that a stall cannot hide.
    """

    def __init__(self, entries: Sequence[str], plan: LoadPlan) -> None:
        """Create a load; must be called on the loop.

        Args:
          entries: addresses of some gates, for the first look-up.
          plan: what to send.
        """
        expected = plan.seconds * sum(s.rate for s in plan.streams)
        if plan.seconds > MAX_SECONDS or expected > MAX_REQUESTS:
            raise Refusal(Code.BAD_REQUEST, "the load is beyond its bounds")
        self._plan = plan
        self._rng = Random(plan.seed)
        self._running = [
            _Running(s, Caller(s.entries or entries, s.caller, Random(plan.seed + i)))
            for i, s in enumerate(plan.streams)
        ]
        self._told: dict[str, str] = {}

    async def run(self) -> LoadResult:
        """Send everything and wait for the last answers."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        tasks: set[asyncio.Task[None]] = set()
        for number, (at, running) in enumerate(self._schedule()):
            delay = began + at - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            due = began + at
            task = asyncio.create_task(self._one(running, due, f"load{number}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=DRAIN_S)
        for running in self._running:
            await running.caller.close()
        results = [_finish(r) for r in self._running]
        return LoadResult(loop.time() - began, results, self._told)

    def _schedule(self) -> list[tuple[float, _Running]]:
        """Draw when each request is due."""
        found = []
        for running in self._running:
            at = self._rng.expovariate(running.stream.rate)
            while at < self._plan.seconds:
                found.append((at, running))
                at += self._rng.expovariate(running.stream.rate)
        return sorted(found, key=lambda f: f[0])

    async def _one(self, running: _Running, due: float, request_id: str) -> None:
        loop = asyncio.get_running_loop()
        s, result = running.stream, running.result
        result.sent += 1
        try:
            reply = await running.caller.request(
                s.service,
                s.path,
                s.method,
                b"x" * s.body if s.body else None,
                s.deadline_ms,
                s.attempts,
                request_id,
            )
        except Refusal as e:
            name = e.code.name
            result.codes[name] = result.codes.get(name, 0) + 1
            if e.retry_after_ms:
                running.hints.append(e.retry_after_ms)
            self._told[request_id] = e.run.value
            return
        took_ms = (loop.time() - due) * 1000
        running.histogram.record_value(max(1, int(took_ms * 10)))
        self._told[request_id] = Run.YES.value
        if reply.status == 200 and _own(reply.body, request_id):
            result.good += 1
        else:
            result.wrong += 1
        place = reply.served_by.split("/")[0]
        result.served_by[place] = result.served_by.get(place, 0) + 1


class _OwnReply(msgspec.Struct):
    """The part of a stand-in's reply that names its request."""

    request_id: str


def _own(body: bytes, request_id: str) -> bool:
    """Check that an answer of a target stand-in is this request's and whole."""
    try:
        return decode_json(body, _OwnReply).request_id == request_id
    except msgspec.DecodeError:
        return False


def _finish(running: _Running) -> StreamResult:
    r, h = running.result, running.histogram
    r.p50_ms = h.get_value_at_percentile(50) / 10
    r.p99_ms = h.get_value_at_percentile(99) / 10
    r.p999_ms = h.get_value_at_percentile(99.9) / 10
    if running.hints:
        r.hint_ms = sum(running.hints) / len(running.hints)
    return r
