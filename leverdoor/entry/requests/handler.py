# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Handles client requests: the steps of one request, its log events and its metrics.

A request is routed (`routing`), charged to the quota of its workspace, read (`bodies`),
refused if it is quarantined because it is known to crash targets (`quarantine`),
forwarded (`forwarding`) and answered (`responses`). Every refusal of these steps is
logged here.

Owns the number of requests in flight; lost with the process.
"""

import asyncio
from collections.abc import Callable

import msgspec
from loguru import logger

from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.events import Events
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.requests.bodies import BodyPrefix, read_body
from leverdoor.entry.requests.entry_request import EntryRequest
from leverdoor.entry.requests.forwarding import Forwarder
from leverdoor.entry.requests.responses import refusal_response, relay_response
from leverdoor.entry.requests.retry_after import NOT_RUN_RETRY_MS
from leverdoor.entry.requests.routing import RequestRouter
from leverdoor.entry.wire import Wire
from leverdoor.errors import Code, Refusal, Run, release_frames
from leverdoor.http.messages import BodyError, Request, Response
from leverdoor.model.resources import Workspace
from leverdoor.quarantine.fingerprint import request_fingerprint
from leverdoor.quarantine.quarantine import Quarantine
from leverdoor.quarantine.refusal import quarantine_refusal
from leverdoor.workspaces.quota import Quotas

__all__ = ["EntryHandler"]


class _Progress(msgspec.Struct):
    """The progress of a request, for its log event and its metric."""

    request_id: str
    arrived: float
    """Loop time at which the request headers arrived, in seconds."""
    started: float
    """Loop time at which processing began, in seconds; later than `arrived` if the
    request waited for an earlier one of its connection. Quotas count from it."""
    service: str = ""
    """The service of the request; "" until it is routed."""
    workspace: Workspace | None = None
    fingerprint: int = 0
    """Fingerprint of the request; 0 until its body is read."""
    admitted: bool = False
    """Whether the request is charged to the quota of its workspace."""
    outcome: str = "left"
    """HTTP status of the reply, or name of the error code; "left" if the client
    disconnected, "fault" after an internal error."""


class EntryHandler:
    """Handles the client requests of an entry."""

    def __init__(
        self,
        wire: Wire,
        router: RequestRouter,
        forwarder: Forwarder,
        quotas: Quotas,
        quarantine: Quarantine,
        runs_trial: Callable[[int], bool],
        events: Events,
        metrics: EntryMetrics,
        catalog: Callable[[], Catalog],
    ) -> None:
        """Initialize the handler.

        Args:
          wire: the header names.
          router: determines route, workspace and deadline of requests.
          forwarder: forwards requests to targets.
          quotas: the quotas of workspaces.
          quarantine: the fingerprints of quarantined requests.
          runs_trial: returns whether this entry is the one that may run trials of
            quarantined requests with a fingerprint.
          events: the event log.
          metrics: the metrics of the entry.
          catalog: returns the active catalogue.
        """
        self._request_id_header = wire.headers.request_id
        self._router = router
        self._forwarder = forwarder
        self._quotas = quotas
        self._quarantine = quarantine
        self._runs_trial = runs_trial
        self._events = events
        self._metrics = metrics
        self._catalog = catalog
        self.active_count = 0
        """Number of requests in flight."""

    async def handle(self, request: Request) -> Response:
        """Return the response to a request."""
        self.active_count += 1
        try:
            return await self._respond(request)
        finally:
            self.active_count -= 1

    async def _respond(self, request: Request) -> Response:
        """Return the response to a request, which may be a refusal."""
        loop = asyncio.get_running_loop()
        request_id = request.headers.get(self._request_id_header, "")
        progress = _Progress(request_id, request.arrived_at, loop.time())
        try:
            return await self._route_and_forward(request, progress)
        except Refusal as e:
            # Its frames refer to each other, and to what was read of the body.
            release_frames(e)
            return self._handle_refusal(progress, e, loop.time() - progress.arrived)
        except (asyncio.CancelledError, ConnectionError, BodyError):
            took_s = loop.time() - progress.arrived
            self._events.client_left(request_id, progress.service, took_s)
            raise
        except Exception as e:
            # The request may have run before this internal error.
            logger.exception("request failed", request_id=request_id)
            progress.outcome = "fault"
            fault = Refusal(Code.ANSWER_LOST, repr(e))
            return refusal_response(fault, request_id, self._request_id_header)
        finally:
            took_s = loop.time() - progress.arrived
            self._metrics.request(progress.service, progress.outcome, took_s)

    async def _route_and_forward(
        self, request: Request, progress: _Progress
    ) -> Response:
        """Route, admit, read and forward a request, and relay the reply.

        Raises:
          Refusal: one of the steps refused the request.
        """
        entry_request = self._router.create_entry_request(
            request, progress.request_id, progress.arrived
        )
        progress.service = entry_request.placement_request.service
        progress.workspace = entry_request.placement_request.workspace
        self._admit(progress)
        progress.fingerprint = await self._read(request, entry_request)
        entry_request.placement_request.fingerprint = progress.fingerprint
        self._check_quarantine(progress)
        try:
            reply = await self._forwarder.forward(entry_request)
        finally:
            # A streamed body refers to its request.
            entry_request.body = b""
        progress.outcome = str(reply.status)
        return relay_response(reply)

    async def _read(self, request: Request, entry_request: EntryRequest) -> int:
        """Read the body, or its start if it is long; return the request's fingerprint.

        Raises:
          Refusal: the body is too long, arrives too slowly or is malformed.
        """
        body_prefix = BodyPrefix()
        if request.has_body:
            max_bytes = self._catalog().limits.body_bytes
            body_prefix = await read_body(request, entry_request, max_bytes)
        return _fingerprint(request, entry_request, body_prefix)

    def refuse_body(self, request: Request) -> Response:
        """Return the response to a request whose body is not received any more."""
        refusal = Refusal(Code.MEMORY_FULL, retry_after_ms=NOT_RUN_RETRY_MS)
        request_id = request.headers.get(self._request_id_header, "")
        return refusal_response(refusal, request_id, self._request_id_header)

    def _check_quarantine(self, progress: _Progress) -> None:
        """Check that a request is not quarantined, or may run as a trial.

        Raises:
          Refusal: the request is quarantined.
        """
        now = asyncio.get_running_loop().time()
        hold = self._quarantine.active_hold(progress.fingerprint, now)
        if hold is None:
            return
        if self._runs_trial(hold.fingerprint) and self._quarantine.start_trial(
            hold, now
        ):
            self._events.quarantine_try(hold)
            return
        raise quarantine_refusal(hold, now)

    def _admit(self, progress: _Progress) -> None:
        """Charge a request to the quota of its workspace, if it has one.

        Raises:
          Refusal: the quota is exhausted.
        """
        if progress.workspace is not None:
            self._quotas.admit(progress.workspace, progress.started)
            progress.admitted = True

    def _handle_refusal(
        self, progress: _Progress, error: Refusal, took_s: float
    ) -> Response:
        """Log a refusal, refund the quota if nothing ran, and return the response."""
        progress.outcome = error.code.name
        workspace = progress.workspace
        if workspace is not None and progress.admitted and error.run is Run.NO:
            self._quotas.refund(workspace, progress.started)
        name = workspace.name if workspace is not None else ""
        version = self._catalog().version
        self._events.refused(
            progress.request_id,
            progress.service,
            name,
            progress.fingerprint,
            error,
            version,
            took_s,
        )
        if error.code is Code.QUOTA_EXCEEDED:
            self._metrics.count_quota_refusal(name)
        if error.code is Code.QUARANTINED:
            self._metrics.quarantine_refusals.labels(progress.service).inc()
        return refusal_response(error, progress.request_id, self._request_id_header)


def _fingerprint(
    request: Request, entry_request: EntryRequest, body_prefix: BodyPrefix
) -> int:
    """Return the fingerprint of a request from its headers and its body prefix."""
    workspace = entry_request.placement_request.workspace
    return request_fingerprint(
        entry_request.method,
        request.headers.get("Host", ""),
        entry_request.path,
        workspace.name if workspace is not None else "",
        body_prefix.data,
        body_prefix.body_length,
    )
