# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP handlers of a gate for look-ups, requests and internal messages.

Owns the lifecycle state, the flag `closed` and the number of requests in flight, all of
which are lost with the process. The daemon sets `closed` after cached look-ups have
expired; the gate then refuses new requests, and the daemon stops when none is in
flight. Relies on `request_reader.py` to read requests, on `serving.py` and
`keyed_server.py` to serve them, and on `lookups.py` to select gates.
"""

import asyncio
import secrets

from aiohttp import web
from loguru import logger

from leverdoor import headers as h
from leverdoor.errors import Code, Refusal, Run
from leverdoor.gate.gate_quarantine import NOTICES_PATH, GateQuarantine
from leverdoor.gate.idempotency_keys import KeyRegistry, Outcome
from leverdoor.gate.keyed_server import KeyedServer
from leverdoor.gate.lookups import LookupAnswer, select_entries
from leverdoor.gate.request_reader import (
    caller_origin,
    defer_continue,
    gate_origin,
    read_request,
)
from leverdoor.gate.requests import GateRequest, Origin
from leverdoor.gate.retry_after import LEAVING_RETRY_MS, NOT_READY_RETRY_MS
from leverdoor.gate.scheduler import Scheduler
from leverdoor.gate.serving import ServedResponse, Server, ensure_finished
from leverdoor.guarded_connection import guard_requests
from leverdoor.membership.peers import GateState
from leverdoor.metrics import GateMetrics
from leverdoor.model.burn import BurnRateMeter
from leverdoor.model.resources import Service, Tier, WorkClass
from leverdoor.responses import json_response, problem_response

__all__ = ["MAX_HEADER_BYTES", "GateHandler"]

MAX_HEADER_BYTES = 8_190
"""Maximum length of a request line or header, in bytes: the HTTP library's default."""


class GateHandler:
    """Handles the HTTP requests of one gate."""

    def __init__(
        self,
        region: str,
        lookup_ttl_ms: int,
        scheduler: Scheduler,
        server: Server,
        keyed: KeyedServer,
        key_registry: KeyRegistry,
        quarantine: GateQuarantine,
        burn: BurnRateMeter,
        metrics: GateMetrics,
    ) -> None:
        """Create the handlers from the gate's components."""
        self.state = GateState.STARTING
        # The daemon sets the address before the gate listens.
        self.address = ""
        self.active = 0
        self.closed = False
        self._region = region
        self._lookup_ttl_ms = lookup_ttl_ms
        self._scheduler = scheduler
        self._server = server
        self._keyed = keyed
        self._key_registry = key_registry
        self._quarantine = quarantine
        self._burn = burn
        self._metrics = metrics

    def caller_app(self) -> web.Application:
        """Return the application that serves callers."""
        app = web.Application(client_max_size=0, middlewares=[guard_requests])
        app.router.add_get("/v1/lookup/{service}", self._lookup)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/metrics", self._metrics.handle_scrape)
        app.router.add_route(
            "*",
            "/s/{service}/{tail:.*}",
            self._handle_caller,
            expect_handler=defer_continue,
        )
        return app

    def relay_app(self) -> web.Application:
        """Return the application that serves other gates and agents."""
        app = web.Application(client_max_size=0, middlewares=[guard_requests])
        app.router.add_get("/v1/burn", self._burn_series)
        app.router.add_post(NOTICES_PATH, self._receive_notices)
        app.router.add_route(
            "*",
            "/s/{service}/{tail:.*}",
            self._handle_gate,
            expect_handler=defer_continue,
        )
        return app

    # Look-ups.

    async def _lookup(self, request: web.Request) -> web.StreamResponse:
        """Return the gates to use and, where the service needs one, a key."""
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
            select_entries(self._scheduler, service.name, home, address, now),
            self._lookup_ttl_ms,
            self._issue_key(service, now),
        )
        return json_response(answer)

    def _issue_key(self, service: Service, now: float) -> str:
        """Return a key for one request.

        It is "" if the service is of class LOOKUP or the gate is not serving.
        """
        if service.work is WorkClass.LOOKUP or self.state is not GateState.SERVING:
            return ""
        return self._key_registry.issue(secrets.token_bytes(8), now)

    # Notices from other gates.

    async def _receive_notices(self, request: web.Request) -> web.StreamResponse:
        self._quarantine.receive(await request.read())
        return web.Response()

    # Requests.

    async def _handle_caller(self, request: web.Request) -> web.StreamResponse:
        origin = caller_origin(request, self._scheduler.view, self._region)
        return await self._handle(request, origin)

    async def _handle_gate(self, request: web.Request) -> web.StreamResponse:
        origin = gate_origin(request, self._scheduler.view, self._region)
        return await self._handle(request, origin)

    async def _handle(self, request: web.Request, origin: Origin) -> web.StreamResponse:
        """Serve one request and record its result."""
        arrived = asyncio.get_running_loop().time()
        service = request.match_info["service"]
        succeeded = False
        self.active += 1
        try:
            response = await self._serve(request, origin, arrived)
            succeeded = response.status < 500
            return response
        except Refusal as e:
            return self._refusal_response(e, service, origin)
        finally:
            self.active -= 1
            if not origin.forwarded and service in self._scheduler.view.services:
                self._record_request(service, origin.tier, arrived, succeeded)

    async def _serve(
        self, request: web.Request, origin: Origin, arrived: float
    ) -> web.StreamResponse:
        service = self._requested_service(request)
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

    def _requested_service(self, request: web.Request) -> Service:
        """Return the requested service if this gate accepts requests."""
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
        async with ensure_finished(served):
            return await _stream_response(request, inbound, served)

    def _refusal_response(
        self, e: Refusal, service: str, origin: Origin
    ) -> web.Response:
        """Count and log a refusal and return its response.

        The log level is warning if the request may have run.
        """
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

    def _record_request(
        self, service: str, tier: Tier, arrived: float, ok: bool
    ) -> None:
        """Record a caller's request in the service levels and the metrics."""
        now = asyncio.get_running_loop().time()
        took_ms = (now - arrived) * 1000
        levels = [
            v
            for v in self._scheduler.view.levels.values()
            if (v.service, v.tier) == (service, tier.name)
        ]
        self._burn.record(service, tier.name, took_ms, ok, levels, now)
        self._metrics.observe_request(service, tier.name, took_ms / 1000, ok)

    # Health and internal endpoints.

    async def _burn_series(self, request: web.Request) -> web.StreamResponse:
        series = self._burn.series(asyncio.get_running_loop().time())
        return json_response(series)

    async def _healthz(self, request: web.Request) -> web.StreamResponse:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.StreamResponse:
        """Report readiness: the gate has a configuration and is not leaving."""
        if self.state is GateState.SERVING:
            return web.Response(text="ready\n")
        code = Code.LEAVING if self.state is GateState.LEAVING else Code.NOT_READY
        return problem_response(Refusal(code, retry_after_ms=NOT_READY_RETRY_MS))


def _not_ready(code: Code) -> web.Response:
    return problem_response(Refusal(code, retry_after_ms=NOT_READY_RETRY_MS))


async def _stream_response(
    request: web.Request, inbound: GateRequest, served: ServedResponse
) -> web.StreamResponse:
    """Stream a response to the caller.

    Aborts the connection if the response is truncated, so that the caller cannot
    take it for a complete one.
    """
    response = web.StreamResponse(status=served.status)
    for name, value in served.headers:
        response.headers.add(name, value)
    _set_gate_headers(response, inbound.request_id, served.served_by)
    try:
        chunks = served.chunks()
        # An error before the first chunk can still be sent as a refusal.
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
    _set_gate_headers(response, inbound.request_id, served_by)
    if outcome.code is not Code.OK:
        response.headers[h.CODE] = str(int(outcome.code))
    return response


def _set_gate_headers(
    response: web.StreamResponse, request_id: str, served_by: str
) -> None:
    response.headers[h.REQUEST_ID] = request_id
    response.headers[h.CODE] = "0"
    response.headers[h.RUN] = Run.YES.value
    response.headers[h.SERVED_BY] = served_by
