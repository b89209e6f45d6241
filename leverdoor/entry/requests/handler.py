# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The path of one request at an entry, step by step, and its log line and metric.

A request is taken in (`intake`: route, workspace, deadline), admitted (its workspace's
quota), read (`bodies`), refused if targets are known to end under it (`quarantine`),
forwarded (`forwarding`: placed, sent, retried) and answered (`responses`). Every
refusal of these steps is logged here.

Owns which connections have a request in flight; lost with the process.
"""

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import web
from loguru import logger

from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.events import Events
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.requests.bodies import BodyStart, take_body
from leverdoor.entry.requests.entry_request import EntryRequest
from leverdoor.entry.requests.forwarding import Forwarder
from leverdoor.entry.requests.intake import Intake
from leverdoor.entry.requests.responses import close_after, refusal_response, relayed
from leverdoor.entry.wire import Wire
from leverdoor.errors import Code, Refusal, Run
from leverdoor.model.resources import Workspace
from leverdoor.quarantine.fingerprint import request_fingerprint
from leverdoor.quarantine.quarantine import Quarantine
from leverdoor.quarantine.refusal import held_refusal
from leverdoor.workspaces.quota import Quotas

__all__ = ["EntryHandler"]


class _Progress(msgspec.Struct):
    """How far a request came, for its log line and its metric."""

    request_id: str
    arrived: float
    """Loop time at which its head arrived, in seconds."""
    service: str = ""
    """The service it was routed to; "" before that."""
    workspace: Workspace | None = None
    fingerprint: int = 0
    """0 until its body was read."""
    admitted: bool = False
    """It is counted in its workspace's quota."""
    outcome: str = "left"
    """Status of the target, or name of the code; "left" if the client left."""


class EntryHandler:
    """The handler of client requests of one entry."""

    def __init__(
        self,
        wire: Wire,
        intake: Intake,
        forwarder: Forwarder,
        quotas: Quotas,
        quarantine: Quarantine,
        tries: Callable[[int], bool],
        events: Events,
        metrics: EntryMetrics,
        catalog: Callable[[], Catalog],
    ) -> None:
        """Create it from the entry's parts.

        Args:
          wire: the names of headers.
          intake: takes requests in.
          forwarder: gets their answers.
          quotas: the use of workspaces.
          quarantine: what is held back.
          tries: returns whether this entry tries a request, by its fingerprint, for
            all entries.
          events: the log.
          metrics: counts requests.
          catalog: returns the catalogue in force.
        """
        self._request_id_header = wire.headers.request_id
        self._intake = intake
        self._forwarder = forwarder
        self._quotas = quotas
        self._quarantine = quarantine
        self._tries = tries
        self._events = events
        self._metrics = metrics
        self._catalog = catalog
        self.busy: set[object] = set()
        """The connections on which a request is being served."""
        self.leaving = False
        """The entry stops: each response ends its connection."""

    @property
    def active(self) -> int:
        """How many requests are being served."""
        return len(self.busy)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request and send its answer."""
        connection = request.protocol
        if request.transport is None:
            raise asyncio.CancelledError("closed before the request was begun")
        self.busy.add(connection)
        try:
            response = await self._serve(request)
            if self.leaving:
                close_after(response)
            await response.prepare(request)
            await response.write_eof()
            return response
        finally:
            self.busy.discard(connection)

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        """Return the response to one request, which may be a refusal."""
        loop = asyncio.get_running_loop()
        request_id = request.headers.get(self._request_id_header, "")
        progress = _Progress(request_id, loop.time())
        try:
            return await self._answer(request, progress)
        except Refusal as e:
            return self._refuse(progress, e, loop.time() - progress.arrived)
        except (asyncio.CancelledError, ConnectionError, web.RequestPayloadError):
            took_s = loop.time() - progress.arrived
            self._events.client_left(request_id, progress.service, took_s)
            raise
        except Exception as e:
            # A fault of ours must not claim that nothing was run.
            logger.exception("request failed", request_id=request_id)
            progress.outcome = "fault"
            fault = Refusal(Code.ANSWER_LOST, repr(e))
            return refusal_response(fault, request_id, self._request_id_header)
        finally:
            took_s = loop.time() - progress.arrived
            self._metrics.request(progress.service, progress.outcome, took_s)

    async def _answer(
        self, request: web.BaseRequest, progress: _Progress
    ) -> web.Response:
        """Take a request in, admit it, forward it, and pass the answer on.

        Raises:
          Refusal: one of the steps gave it up.
        """
        taken = self._intake.take(request, progress.request_id, progress.arrived)
        progress.service = taken.placement_request.service
        progress.workspace = taken.placement_request.workspace
        self._admit(progress)
        start = BodyStart()
        if request.body_exists:
            most_bytes = self._catalog().limits.body_bytes
            start = await take_body(request, taken, most_bytes)
        progress.fingerprint = _fingerprint(request, taken, start)
        taken.placement_request.fingerprint = progress.fingerprint
        self._check_held(progress)
        reply = await self._forwarder.serve(taken)
        progress.outcome = str(reply.status)
        return relayed(reply)

    def _check_held(self, progress: _Progress) -> None:
        """Check that no target is known to end under a request.

        Raises:
          Refusal: it is held back.
        """
        now = asyncio.get_running_loop().time()
        hold = self._quarantine.hold(progress.fingerprint, now)
        if hold is None:
            return
        if self._tries(hold.fingerprint) and self._quarantine.try_once_more(hold, now):
            self._events.quarantine_try(hold)
            return
        raise held_refusal(hold, now)

    def _admit(self, progress: _Progress) -> None:
        """Count a request in the quota of its workspace, if it has one.

        Raises:
          Refusal: the quota is used up.
        """
        if progress.workspace is not None:
            self._quotas.admit(progress.workspace, progress.arrived)
            progress.admitted = True

    def _refuse(
        self, progress: _Progress, error: Refusal, took_s: float
    ) -> web.Response:
        """Return the response to a request given up on; log it, give quota back."""
        progress.outcome = error.code.name
        workspace = progress.workspace
        if workspace is not None and progress.admitted and error.run is Run.NO:
            self._quotas.refund(workspace, progress.arrived)
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
    request: web.BaseRequest, taken: EntryRequest, start: BodyStart
) -> int:
    """Return the fingerprint of a request whose body was read, or begun."""
    workspace = taken.placement_request.workspace
    return request_fingerprint(
        taken.method,
        request.headers.get("Host", ""),
        taken.path,
        workspace.name if workspace is not None else "",
        start.data,
        start.length,
    )
