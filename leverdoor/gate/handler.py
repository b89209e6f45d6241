# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What a gate says to callers: look-ups, requests and their answers."""

import asyncio
import secrets

import aiohttp
import msgspec
from aiohttp import web
from loguru import logger

from leverdoor import headers as h
from leverdoor.answers import json_answer, problem_answer
from leverdoor.errors import Code, Refusal, Run
from leverdoor.gate.keyed import KeyedServer
from leverdoor.gate.keys import KeyRing, Outcome
from leverdoor.gate.queueing import QueuedRequest
from leverdoor.gate.refusals import LEAVING_RETRY_MS, NOT_READY_RETRY_MS
from leverdoor.gate.relay import Body
from leverdoor.gate.scheduler import Scheduler
from leverdoor.gate.serving import GateRequest, Served, Server, finishing
from leverdoor.membership.peers import GateState
from leverdoor.metrics import GateMetrics
from leverdoor.model.burn import BurnMeter
from leverdoor.model.resources import Service, Tier, WorkClass

__all__ = ["GateHandler", "LookupAnswer", "LookupEntry"]

BUFFERED_BODY = 64 * 1024
"""Longest body kept for a repeat, in bytes; uploads are streamed."""
MAX_HEADER_BYTES = 8_190
"""Longest head of a request; the HTTP library's own limit."""
MAX_ENTRIES = 4
"""Entries named by a look-up; one answer and three to fail over to."""


class LookupEntry(msgspec.Struct, frozen=True):
    """One entry VM that a caller may use."""

    address: str
    region: str
    weight: int


class LookupAnswer(msgspec.Struct, frozen=True):
    """Which entry VMs to use for a service, and for how long."""

    service: str
    home: str
    entries: list[LookupEntry]
    ttl_ms: int
    key: str = ""


class GateHandler:
    """Request handlers of one gate."""

    def __init__(
        self,
        region: str,
        lookup_ttl_ms: int,
        scheduler: Scheduler,
        server: Server,
        keyed: KeyedServer,
        ring: KeyRing,
        burn: BurnMeter,
        metrics: GateMetrics,
    ) -> None:
        """Create it from the gate's parts."""
        self.state = GateState.STARTING
        self.address = ""
        self.active = 0
        self.closed = False
        self._region = region
        self._lookup_ttl_ms = lookup_ttl_ms
        self._scheduler = scheduler
        self._server = server
        self._keyed = keyed
        self._ring = ring
        self._burn = burn
        self._metrics = metrics

    def caller_app(self) -> web.Application:
        """Return the application that callers talk to."""
        app = web.Application(client_max_size=0)
        app.router.add_get("/v1/lookup/{service}", self._lookup)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/metrics", self._metrics.handler)
        app.router.add_route(
            "*", "/s/{service}/{tail:.*}", self._from_caller, expect_handler=_no_expect
        )
        return app

    def relay_app(self) -> web.Application:
        """Return the application that other gates and agents talk to."""
        app = web.Application(client_max_size=0)
        app.router.add_get("/v1/burn", self._burn_series)
        app.router.add_route(
            "*", "/s/{service}/{tail:.*}", self._from_gate, expect_handler=_no_expect
        )
        return app

    # Look-ups.

    async def _lookup(self, request: web.Request) -> web.StreamResponse:
        """Say which entry VMs to use."""
        if self.state is GateState.STARTING:
            return problem_answer(
                Refusal(Code.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS)
            )
        service = self._scheduler.view.services.get(request.match_info["service"])
        if service is None:
            return problem_answer(Refusal(Code.UNKNOWN_SERVICE))
        client = request.query.get("client", request.remote or "")
        home = self._scheduler.view.blocks.region(client) or self._region
        now = asyncio.get_running_loop().time()
        key = ""
        if service.work is not WorkClass.LOOKUP and self.state is GateState.SERVING:
            key = self._ring.issue(secrets.token_bytes(8), now)
        answer = LookupAnswer(
            service.name,
            home,
            self._entries(service, home, now),
            self._lookup_ttl_ms,
            key,
        )
        return json_answer(answer)

    def _entries(self, service: Service, home: str, now: float) -> list[LookupEntry]:
        """Choose entries by what they hold, the caller's region first."""
        found = []
        own = self._scheduler.loads(now).get(service.name)
        if self.state is GateState.SERVING and not self._scheduler.vm_leaving(
            self._scheduler.vm
        ):
            held = own.held if own else 0
            found.append(LookupEntry(self.address, self._region, held + 1))
        for heartbeat in self._scheduler.usable_gates(now):
            load = heartbeat.loads.get(service.name)
            held = load.held if load else 0
            found.append(LookupEntry(heartbeat.gate, heartbeat.region, held + 1))
        view = self._scheduler.view
        found.sort(key=lambda e: (view.distance_ms(home, e.region), -e.weight))
        return found[:MAX_ENTRIES]

    # Requests.

    async def _from_caller(self, request: web.Request) -> web.StreamResponse:
        caller = request.headers.get(h.CALLER, "")
        tier = self._scheduler.view.tier(caller)
        home = self._scheduler.view.blocks.region(request.remote or "")
        hop = request.headers.get(h.REQUEST_ID, "") or secrets.token_hex(8)
        return await self._handle(request, hop, caller, tier, home or self._region)

    async def _from_gate(self, request: web.Request) -> web.StreamResponse:
        view = self._scheduler.view
        tier = view.tiers.get(request.headers.get(h.TIER, ""), view.default_tier)
        caller = request.headers.get(h.CALLER, "")
        home = request.headers.get(h.HOME, "") or self._region
        request_id = request.headers.get(h.REQUEST_ID, "")
        hop = request.headers.get(h.HOP, "")
        if hop:
            return await self._handle(request, request_id, caller, tier, home, True)
        return await self._handle(request, request_id, caller, tier, home)

    async def _handle(
        self,
        request: web.Request,
        request_id: str,
        caller: str,
        tier: Tier,
        home: str,
        forwarded: bool = False,
    ) -> web.StreamResponse:
        """Serve one request and account for it."""
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        service_name = request.match_info["service"]
        answered = False
        self.active += 1
        try:
            inbound = await self._inbound(
                request, request_id, caller, tier, home, forwarded, arrived
            )
            response = await self._answer(request, inbound, forwarded)
            answered = response.status < 500
            logger.debug(
                "answered",
                request_id=request_id,
                service=service_name,
                status=response.status,
                forwarded=forwarded,
                served_by=response.headers.get(h.SERVED_BY, ""),
            )
            return response
        except Refusal as e:
            log = logger.info if e.run is Run.NO else logger.warning
            log(
                "refused",
                request_id=request_id,
                service=service_name,
                code=int(e.code),
                detail=e.detail,
            )
            self._metrics.refused(e.code)
            return problem_answer(e, request_id)
        finally:
            self.active -= 1
            if not forwarded and service_name in self._scheduler.view.services:
                self._account(service_name, tier, arrived, answered)

    def _account(self, service: str, tier: Tier, arrived: float, ok: bool) -> None:
        now = asyncio.get_running_loop().time()
        took_ms = (now - arrived) * 1000
        levels = [
            v
            for v in self._scheduler.view.levels.values()
            if (v.service, v.tier) == (service, tier.name)
        ]
        self._burn.record(service, tier.name, took_ms, ok, levels, now)
        self._metrics.served(service, tier.name, took_ms / 1000, ok)

    async def _inbound(
        self,
        request: web.Request,
        request_id: str,
        caller: str,
        tier: Tier,
        home: str,
        forwarded: bool,
        arrived: float,
    ) -> GateRequest:
        """Read what a request says of itself."""
        if self.state is GateState.STARTING:
            raise Refusal(Code.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS)
        if self.closed:
            raise Refusal(Code.LEAVING, retry_after_ms=LEAVING_RETRY_MS)
        service = self._scheduler.view.services.get(request.match_info["service"])
        if service is None:
            raise Refusal(Code.UNKNOWN_SERVICE)
        path = request.match_info["tail"]
        bulk = service.work is WorkClass.BULK or any(
            path.startswith(p.lstrip("/")) for p in service.bulk_prefixes
        )
        limit_ms = service.deadline_ms
        asked_ms = h.bounded_int(request.headers, h.DEADLINE, limit_ms)
        queued = QueuedRequest(
            service=service.name,
            tier=tier,
            home=home,
            arrived=arrived,
            deadline=arrived + min(asked_ms, limit_ms) / 1000,
            bulk=bulk,
            forwarded=forwarded,
        )
        key = "" if forwarded else request.headers.get(h.KEY, "")
        if service.work is WorkClass.ONCE and not bulk and not key and not forwarded:
            raise Refusal(Code.KEY_REQUIRED)
        connection = request.headers.get("Connection", "")
        return GateRequest(
            request_id=request_id,
            service=service,
            method=request.method,
            tail=request.raw_path.split("/", 3)[3],
            headers=h.passing(request.headers.items(), connection),
            body=await self._body(request, service),
            queued=queued,
            caller=caller,
            key=key,
            arrived=arrived,
        )

    async def _body(self, request: web.Request, service: Service) -> Body:
        """Take a small body whole, before it can hold a slot; stream others."""
        stall_s = service.deadline_ms / 1000
        if not request.body_exists:
            return Body(b"", None, 0, stall_s)
        length = request.content_length
        if length is None or length > BUFFERED_BODY:
            body = Body(None, request.content, length, stall_s)
            body.on_start = lambda: _continue(request)
            return body
        await _continue(request)
        try:
            async with asyncio.timeout(stall_s):
                data = await request.content.read(-1)
        except TimeoutError:
            raise Refusal(Code.BODY_TOO_SLOW) from None
        except (aiohttp.ClientError, OSError) as e:
            raise Refusal(Code.BAD_REQUEST, f"the body was cut: {e!r}") from None
        if len(data) != length:
            raise Refusal(Code.BAD_REQUEST, "the body was cut short")
        return Body(data, None, length, stall_s)

    async def _answer(
        self, request: web.Request, inbound: GateRequest, forwarded: bool
    ) -> web.StreamResponse:
        if inbound.key:
            outcome = await self._keyed.serve(inbound)
            return _outcome_response(outcome, inbound)
        served = await self._server.serve(inbound)
        async with finishing(served):
            return await _stream(request, inbound, served)

    # Others.

    async def _burn_series(self, request: web.Request) -> web.StreamResponse:
        series = self._burn.series(asyncio.get_running_loop().time())
        return json_answer(series)

    async def _healthz(self, request: web.Request) -> web.StreamResponse:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.StreamResponse:
        """Return whether this gate serves; not while it has no configuration."""
        if self.state is GateState.SERVING:
            return web.Response(text="ready\n")
        code = Code.LEAVING if self.state is GateState.LEAVING else Code.NOT_READY
        return problem_answer(Refusal(code, retry_after_ms=NOT_READY_RETRY_MS))


async def _no_expect(request: web.Request) -> None:
    """Leave the answer to `Expect: 100-continue` until the request is placed."""


async def _continue(request: web.Request) -> None:
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0


async def _stream(
    request: web.Request, inbound: GateRequest, served: Served
) -> web.StreamResponse:
    """Pass an answer on; one that is cut short is never ended as if whole."""
    response = web.StreamResponse(status=served.status)
    for name, value in served.headers:
        response.headers.add(name, value)
    _mark(response, inbound.request_id, served.served_by)
    try:
        chunks = served.chunks()
        first = await anext(chunks, None)
        await response.prepare(request)
        if first is not None:
            await response.write(first)
        async for chunk in chunks:
            await response.write(chunk)
        await response.write_eof()
    except (Refusal, OSError) as e:
        if not response.prepared:
            raise
        logger.warning("answer cut short", request_id=inbound.request_id, error=str(e))
        if request.transport is not None:
            request.transport.abort()
    return response


def _outcome_response(outcome: Outcome, inbound: GateRequest) -> web.Response:
    response = web.Response(status=outcome.status, body=outcome.body)
    for name, value in outcome.headers:
        if name.lower() not in ("content-length", "transfer-encoding"):
            response.headers.add(name, value)
    served_by = response.headers.popall(h.SERVED_BY, [""])[0]
    _mark(response, inbound.request_id, served_by)
    if outcome.code is not Code.OK:
        response.headers[h.CODE] = str(int(outcome.code))
    return response


def _mark(response: web.StreamResponse, request_id: str, served_by: str) -> None:
    response.headers[h.REQUEST_ID] = request_id
    response.headers[h.CODE] = "0"
    response.headers[h.RUN] = Run.YES.value
    response.headers[h.SERVED_BY] = served_by
