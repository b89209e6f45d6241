# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Targets of a plain site as a process: slots, service times, faults, and a log.

State: the faults ordered last, requests in flight and the log of arrivals, in memory.
A target of the platform is `standins.upstreams`.
"""

import asyncio
import hashlib
from random import Random

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from leverdoor import headers as h
from leverdoor.agent.probing import PROBE_PATH, TargetReport
from leverdoor.codec import serialize_json
from leverdoor.responses import json_response
from leverdoor.settings import Address

__all__ = ["Arrival", "TargetFaults", "TargetLog", "TargetStandin"]

CHUNK = 64 * 1024
"""Bytes sent at once."""


class TargetFaults(msgspec.Struct):
    """How a target behaves from now on; ordered at `/.standin/faults`."""

    mean_ms: float = 20.0
    fixed: bool = False
    shed: bool = False
    lie_idle: bool = False
    reports: bool = True
    leaving: bool = False
    cut_answers: int = 0
    drop_answers: int = 0
    cold_factor: float = 1.0
    cold_requests: int = 0


class Arrival(msgspec.Struct):
    """One request as the target saw it."""

    at: float
    request_id: str
    home: str
    key: str
    bytes: int = 0
    whole: bool = False
    ran: bool = False
    digest: str = ""


class TargetLog(msgspec.Struct):
    """All that a target saw."""

    address: str
    most_in_flight: int
    slots: int
    arrivals: list[Arrival]


class TargetStandin:
    """One target with a number of slots.

    It answers every request with a body that names the request and the
    digest of what was uploaded. Time is logged on the machine's monotonic
    clock, which all processes on one machine share.
    """

    def __init__(
        self, address: Address, slots: int, rng: Random, delay_s: float = 0.0
    ) -> None:
        """Create a target.

        Args:
          address: where it listens.
          slots: how many requests it can run at once.
          rng: draws service times.
          delay_s: one-way delay of its link, in seconds.
        """
        self.address = address
        self.faults = TargetFaults()
        self.log = TargetLog(str(address), 0, slots, [])
        self._rng = rng
        self._delay_s = delay_s
        self._in_flight = 0

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=0)
        app.router.add_get(PROBE_PATH, self._report)
        app.router.add_post("/.standin/faults", self._order)
        app.router.add_get("/.standin/log", self._show)
        app.router.add_route("*", "/{tail:.*}", self._serve)
        return app

    async def _report(self, request: web.Request) -> web.StreamResponse:
        if not self.faults.reports:
            return web.Response(status=500)
        in_flight = 0 if self.faults.lie_idle else self._in_flight
        return json_response(TargetReport(in_flight, self.faults.leaving))

    async def _order(self, request: web.Request) -> web.StreamResponse:
        self.faults = msgspec.json.decode(await request.read(), type=TargetFaults)
        return json_response({})

    async def _show(self, request: web.Request) -> web.StreamResponse:
        return json_response(self.log)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        faults = self.faults
        if self._delay_s:
            await asyncio.sleep(self._delay_s)
        if faults.shed:
            return web.Response(status=503, headers={h.NOT_RUN: "1"})
        arrival = Arrival(
            asyncio.get_running_loop().time(),
            request.headers.get(h.REQUEST_ID, ""),
            request.headers.get(h.HOME, ""),
            request.headers.get(h.KEY, ""),
        )
        self.log.arrivals.append(arrival)
        self._in_flight += 1
        self.log.most_in_flight = max(self.log.most_in_flight, self._in_flight)
        try:
            return await self._run(request, arrival, faults)
        finally:
            self._in_flight -= 1

    async def _run(
        self, request: web.Request, arrival: Arrival, faults: TargetFaults
    ) -> web.StreamResponse:
        digest = hashlib.sha256()
        async for chunk in request.content.iter_chunked(CHUNK):
            digest.update(chunk)
            arrival.bytes += len(chunk)
        arrival.whole = True
        arrival.digest = digest.hexdigest()
        arrival.ran = True
        await asyncio.sleep(self._service_s(faults))
        if self._delay_s:
            await asyncio.sleep(self._delay_s)
        if faults.drop_answers > 0:
            faults.drop_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        body = self._body(request, arrival)
        head = CIMultiDict({"Content-Type": "application/json"})
        if faults.leaving:
            head[h.LEAVING] = "1"
        if faults.cut_answers > 0:
            faults.cut_answers -= 1
            return await self._cut(request, body)
        return web.Response(body=body, headers=head)

    async def _cut(self, request: web.Request, body: bytes) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        if request.transport is not None:
            request.transport.abort()
        return response

    def _service_s(self, faults: TargetFaults) -> float:
        mean_s = faults.mean_ms / 1000
        if len(self.log.arrivals) <= faults.cold_requests:
            mean_s *= faults.cold_factor
        return mean_s if faults.fixed else self._rng.expovariate(1 / mean_s)

    def _body(self, request: web.Request, arrival: Arrival) -> bytes:
        size = int(request.query.get("size", "0"))
        answer = {
            "request_id": arrival.request_id,
            "target": str(self.address),
            "bytes": arrival.bytes,
            "digest": arrival.digest,
            "pad": "x" * size,
        }
        return serialize_json(answer)
