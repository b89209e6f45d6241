# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The HTTP handlers of a gate: look-ups, requests and their answers.

Owns the gate's state (starting, serving, leaving, closed) and the count of requests in
flight, which the daemon waits for at a stop. Relies on `intake.py` to read a request,
on `serving.py` and `keyed.py` to serve it, and on `lookups.py` for whom to name.
"""

import asyncio
import secrets

from aiohttp import web
from loguru import logger

from leverdoor import headers as h
from leverdoor.errors import Code, Refusal, Run
from leverdoor.gate.intake import (
    caller_origin,
    gate_origin,
    leave_expect,
    read_request,
)
from leverdoor.gate.keyed import KeyedServer
from leverdoor.gate.keys import KeyRing, Outcome
from leverdoor.gate.lookups import LookupAnswer, named_entries
from leverdoor.gate.quarantining import NOTICES_PATH, GateQuarantine
from leverdoor.gate.refusals import LEAVING_RETRY_MS, NOT_READY_RETRY_MS
from leverdoor.gate.requests import GateRequest, Origin
from leverdoor.gate.scheduler import Scheduler
from leverdoor.gate.serving import Served, Server, finishing
from leverdoor.membership.peers import GateState
from leverdoor.metrics import GateMetrics
from leverdoor.model.burn import BurnMeter
from leverdoor.model.resources import Service, Tier, WorkClass
from leverdoor.responses import json_response, problem_response

__all__ = ["MAX_HEADER_BYTES", "GateHandler"]

MAX_HEADER_BYTES = 8_190
"""Longest line and field of a request's head, in bytes; the HTTP library's default."""


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
        quarantine: GateQuarantine,
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
        self._quarantine = quarantine
        self._burn = burn
        self._metrics = metrics

    def caller_app(self) -> web.Application:
        """Return the application that callers talk to."""
        app = web.Application(client_max_size=0)
        app.router.add_get("/v1/lookup/{service}", self._lookup)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/metrics", self._metrics.handle_scrape)
        app.router.add_route(
            "*",
            "/s/{service}/{tail:.*}",
            self._from_caller,
            expect_handler=leave_expect,
        )
        return app

    def relay_app(self) -> web.Application:
        """Return the application that other gates and agents talk to."""
        app = web.Application(client_max_size=0)
        app.router.add_get("/v1/burn", self._burn_series)
        app.router.add_post(NOTICES_PATH, self._take_notices)
        app.router.add_route(
            "*", "/s/{service}/{tail:.*}", self._from_gate, expect_handler=leave_expect
        )
        return app

    # Look-ups.

    async def _lookup(self, request: web.Request) -> web.StreamResponse:
        """Name the gates to use, with a key where the service needs one."""
        if self.state is GateState.STARTING:
            return _not_ready(Code.NOT_READY)
        view = self._scheduler.view
        service = view.services.get(request.match_info["service"])
        if service is None:
            return problem_response(Refusal(Code.UNKNOWN_SERVICE))
        client = request.query.get("client", request.remote or "")
        home = view.blocks.region(client) or self._region
        now = asyncio.get_running_loop().time()
        address = self.address if self.state is GateState.SERVING else ""
        answer = LookupAnswer(
            service.name,
            home,
            named_entries(self._scheduler, service.name, home, address, now),
            self._lookup_ttl_ms,
            self._issue_key(service, now),
        )
        return json_response(answer)

    def _issue_key(self, service: Service, now: float) -> str:
        """Return a key for one request; none while this gate may end soon."""
        if service.work is WorkClass.LOOKUP or self.state is not GateState.SERVING:
            return ""
        return self._ring.issue(secrets.token_bytes(8), now)

    # What other gates tell.

    async def _take_notices(self, request: web.Request) -> web.StreamResponse:
        self._quarantine.receive(await request.read())
        return web.Response()

    # Requests.

    async def _from_caller(self, request: web.Request) -> web.StreamResponse:
        origin = caller_origin(request, self._scheduler.view, self._region)
        return await self._handle(request, origin)

    async def _from_gate(self, request: web.Request) -> web.StreamResponse:
        origin = gate_origin(request, self._scheduler.view, self._region)
        return await self._handle(request, origin)

    async def _handle(self, request: web.Request, origin: Origin) -> web.StreamResponse:
        """Serve one request and account for it."""
        arrived = asyncio.get_running_loop().time()
        service = request.match_info["service"]
        answered = False
        self.active += 1
        try:
            response = await self._serve(request, origin, arrived)
            answered = response.status < 500
            return response
        except Refusal as e:
            return self._refused(e, service, origin)
        finally:
            self.active -= 1
            if not origin.forwarded and service in self._scheduler.view.services:
                self._account(service, origin.tier, arrived, answered)

    async def _serve(
        self, request: web.Request, origin: Origin, arrived: float
    ) -> web.StreamResponse:
        service = self._open_service(request)
        inbound = await read_request(request, service, origin, arrived)
        response = await self._answer(request, inbound)
        logger.debug(
            "answered",
            request_id=origin.request_id,
            service=service.name,
            status=response.status,
            forwarded=origin.forwarded,
            served_by=response.headers.get(h.SERVED_BY, ""),
        )
        return response

    def _open_service(self, request: web.Request) -> Service:
        """Return the service called, if this gate takes requests now."""
        if self.state is GateState.STARTING:
            raise Refusal(Code.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS)
        if self.closed:
            raise Refusal(Code.LEAVING, retry_after_ms=LEAVING_RETRY_MS)
        service = self._scheduler.view.services.get(request.match_info["service"])
        if service is None:
            raise Refusal(Code.UNKNOWN_SERVICE)
        return service

    async def _answer(
        self, request: web.Request, inbound: GateRequest
    ) -> web.StreamResponse:
        if inbound.key:
            outcome = await self._keyed.serve(inbound)
            return _outcome_response(outcome, inbound)
        served = await self._server.serve(inbound)
        async with finishing(served):
            return await _stream(request, inbound, served)

    def _refused(self, e: Refusal, service: str, origin: Origin) -> web.Response:
        """Log and count a refusal; one that may have run is a warning."""
        log = logger.info if e.run is Run.NO else logger.warning
        log(
            "refused",
            request_id=origin.request_id,
            service=service,
            code=int(e.code),
            detail=e.detail,
        )
        self._metrics.count_refusal(e.code)
        return problem_response(e, origin.request_id)

    def _account(self, service: str, tier: Tier, arrived: float, ok: bool) -> None:
        """Count a request of a caller for the service levels and the metrics."""
        now = asyncio.get_running_loop().time()
        took_ms = (now - arrived) * 1000
        levels = [
            v
            for v in self._scheduler.view.levels.values()
            if (v.service, v.tier) == (service, tier.name)
        ]
        self._burn.record(service, tier.name, took_ms, ok, levels, now)
        self._metrics.observe_request(service, tier.name, took_ms / 1000, ok)

    # Others.

    async def _burn_series(self, request: web.Request) -> web.StreamResponse:
        series = self._burn.series(asyncio.get_running_loop().time())
        return json_response(series)

    async def _healthz(self, request: web.Request) -> web.StreamResponse:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.StreamResponse:
        """Return whether this gate serves; not while it has no configuration."""
        if self.state is GateState.SERVING:
            return web.Response(text="ready\n")
        code = Code.LEAVING if self.state is GateState.LEAVING else Code.NOT_READY
        return problem_response(Refusal(code, retry_after_ms=NOT_READY_RETRY_MS))


def _not_ready(code: Code) -> web.Response:
    return problem_response(Refusal(code, retry_after_ms=NOT_READY_RETRY_MS))


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
