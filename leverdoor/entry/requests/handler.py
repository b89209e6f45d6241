# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What an entry says to clients: requests and their answers."""

import asyncio
from collections.abc import AsyncIterator, Callable

from aiohttp import web
from loguru import logger
from multidict import CIMultiDict

from leverdoor.codec import serialize_json
from leverdoor.entry.configuration.catalog import Catalog, entry_host
from leverdoor.entry.events import Events
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.requests.connection import TargetReply
from leverdoor.entry.requests.forwarding import EntryRequest, Forwarder
from leverdoor.entry.wire import Wire
from leverdoor.errors import Code, Refusal, Run, code_info
from leverdoor.headers import bounded_int, passing
from leverdoor.model.resources import Route, Workspace
from leverdoor.workspaces.quota import Quotas

__all__ = ["EntryHandler"]

BUFFERED_BODY = 512 * 1024
"""Longest body read whole, in bytes, so that it can be sent again; chosen."""
DEFAULT_DEADLINE_MS = 30_000
"""Time of a request that names none, in ms; chosen."""
LEAVE_EARLY_S = 0.02
"""Taken off the deadline for the way back to the client; chosen."""
UNCONFIRMED_MS = 500
"""When to come back where keys can't be confirmed, to another entry; in ms, chosen."""
REPLY_HEADERS_DROPPED = frozenset({"content-length", "date", "server"})


class EntryHandler:
    """The handler of client requests of one entry."""

    def __init__(
        self,
        wire: Wire,
        placement: PlacementPolicy,
        forwarder: Forwarder,
        events: Events,
        metrics: EntryMetrics,
        catalog: Callable[[], Catalog],
        quotas: Quotas,
        confirmed: Callable[[float], bool],
    ) -> None:
        """Create it from the entry's parts.

        Args:
          confirmed: returns whether keys can be known to hold at a time.
        """
        self._wire = wire
        self._placement = placement
        self._forwarder = forwarder
        self._events = events
        self._metrics = metrics
        self._catalog = catalog
        self._quotas = quotas
        self._confirmed = confirmed
        self.busy: set[object] = set()
        """The connections on which a request is being served."""
        self.leaving = False

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
            await response.prepare(request)
            await response.write_eof()
            return response
        finally:
            self.busy.discard(connection)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Get the answer to one request, which may be a refusal."""
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        request_id = request.headers.get(self._wire.headers.request_id, "")
        service = ""
        outcome = "left"
        workspace: Workspace | None = None
        counted = False
        try:
            incoming = self._incoming(request, request_id, arrived)
            service = incoming.request.service
            workspace = incoming.request.workspace
            if workspace is not None:
                self._quotas.admit(workspace, arrived)
                counted = True
            if request.body_exists:
                await self._take_body(request, incoming)
            reply = await self._forwarder.serve(incoming)
            outcome = str(reply.status)
            return await self._answer(request, reply)
        except Refusal as e:
            outcome = e.code.name
            if workspace is not None and counted and e.run is Run.NO:
                self._quotas.refund(workspace, arrived)
            took_s = loop.time() - arrived
            self._note_refusal(request_id, service, workspace, e, took_s)
            return self._refuse(request, e)
        except asyncio.CancelledError:
            self._events.left(request_id, service, loop.time() - arrived)
            raise
        except (ConnectionError, web.RequestPayloadError):
            self._events.left(request_id, service, loop.time() - arrived)
            raise
        except Exception as e:
            # A fault of ours must not pass for word that nothing was run.
            logger.exception("request failed", request_id=request_id)
            outcome = "fault"
            return self._refuse(request, Refusal(Code.ANSWER_LOST, repr(e)))
        finally:
            self._metrics.request(service, outcome, loop.time() - arrived)

    def _note_refusal(
        self,
        request_id: str,
        service: str,
        workspace: Workspace | None,
        error: Refusal,
        took_s: float,
    ) -> None:
        """Log a refusal, and count it for its workspace if that is its cause."""
        name = workspace.name if workspace is not None else ""
        version = self._catalog().version
        self._events.refused(request_id, service, name, error, version, took_s)
        if error.code is Code.QUOTA_EXCEEDED:
            self._metrics.quota_refusal(name)

    # In.

    def _incoming(
        self, request: web.BaseRequest, request_id: str, arrived: float
    ) -> EntryRequest:
        """Route a request, and find out whose it is.

        Raises:
          Refusal: it can't be routed, or is not acceptable.
        """
        catalog = self._catalog()
        if not catalog.configured:
            raise Refusal(Code.NO_CONFIGURATION, retry_after_ms=500)
        path = request.raw_path
        if not path.startswith("/") or not request_id:
            raise Refusal(Code.BAD_REQUEST, "no request id or no path")
        host = entry_host(request.headers.get("Host", ""))
        route = catalog.route(host, path.partition("?")[0])
        if route is None:
            raise Refusal(Code.NO_ROUTE, f"{host} {path[:100]}")
        key = request.headers.get(self._wire.headers.workspace_key, "")
        workspace = catalog.workspaces.identify(key, anonymous=route.anonymous)
        if workspace is not None and not self._confirmed(arrived):
            raise Refusal(Code.WORKSPACE_KEY_UNCONFIRMED, retry_after_ms=UNCONFIRMED_MS)
        until = arrived + self._patience_s(request, route)
        wanted = PlacementRequest(
            request_id=request_id,
            route=route,
            service=self._placement.pick_service(route),
            key=request.headers.get(self._wire.headers.affinity, request_id),
            version=catalog.version,
            arrived=arrived,
            until=until,
            workspace=workspace,
        )
        return EntryRequest(
            request=wanted,
            method=request.method,
            path=path,
            headers=self._passing(request, workspace),
            body=b"",
        )

    def _patience_s(self, request: web.BaseRequest, route: Route) -> float:
        """Return how long a request may take here, in seconds."""
        name = self._wire.headers.deadline_ms
        deadline_ms = bounded_int(request.headers, name, DEFAULT_DEADLINE_MS)
        if route.timeout_ms:
            deadline_ms = min(deadline_ms, route.timeout_ms)
        return max(deadline_ms / 1000 - LEAVE_EARLY_S, 0.001)

    def _passing(
        self, request: web.BaseRequest, workspace: Workspace | None
    ) -> list[tuple[str, str]]:
        """Return the headers for the target, Host included.

        The workspace's key stays here, and its name is ours to say: a target takes
        it for who asks, whatever the client sent.
        """
        names = self._wire.headers
        own = (
            names.deadline_ms,
            names.instance,
            names.workspace_key,
            names.workspace,
            "content-length",
        )
        connection = request.headers.get("Connection", "")
        found = [("Host", request.headers.get("Host", ""))]
        found += [
            (name, value)
            for name, value in passing(request.headers.items(), connection)
            if name.lower() not in own
        ]
        if workspace is not None:
            found.append((names.workspace, workspace.name))
        return found

    async def _take_body(
        self, request: web.BaseRequest, incoming: EntryRequest
    ) -> None:
        """Read a body whole if it is small, and else prepare to stream it."""
        most = self._catalog().limits.body_bytes
        length = request.content_length
        if length is not None and length > most:
            raise Refusal(Code.BODY_TOO_LARGE)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0
        read = bytearray()
        try:
            async with asyncio.timeout_at(incoming.request.until):
                while len(read) <= BUFFERED_BODY:
                    chunk = await request.content.readany()
                    if not chunk:
                        incoming.body = bytes(read)
                        return
                    read += chunk
        except TimeoutError:
            raise Refusal(Code.BODY_TOO_SLOW, f"{len(read)} bytes came") from None
        except web.RequestPayloadError as e:
            raise Refusal(Code.BAD_REQUEST, repr(e)) from None
        if length is not None:
            incoming.headers.append(("Content-Length", str(length)))
        incoming.chunked = length is None
        incoming.body = self._stream(request, incoming, bytes(read), most)

    @staticmethod
    async def _stream(
        request: web.BaseRequest, incoming: EntryRequest, first: bytes, most: int
    ) -> AsyncIterator[bytes]:
        """Yield the parts of a long body as they come, framed if need be."""
        incoming.started = True
        size = 0
        chunk = first
        while chunk:
            size += len(chunk)
            if size > most:
                raise Refusal(Code.BODY_TOO_LARGE)
            if incoming.chunked:
                yield b"%x\r\n%b\r\n" % (len(chunk), chunk)
            else:
                yield chunk
            chunk = await request.content.readany()
        if incoming.chunked:
            yield b"0\r\n\r\n"

    # Out.

    async def _answer(
        self, request: web.BaseRequest, reply: TargetReply
    ) -> web.StreamResponse:
        """Pass a target's whole answer on."""
        connection = reply.get("connection")
        headers: CIMultiDict[str] = CIMultiDict()
        for name, value in passing(reply.headers, connection):
            if name not in REPLY_HEADERS_DROPPED:
                headers.add(name, value)
        response = web.Response(
            status=reply.status,
            reason=reply.reason.decode("latin-1") or None,
            body=reply.body,
            headers=headers,
        )
        if "content-type" not in headers:
            response.headers.popall("Content-Type", None)
        self._finish(response)
        return response

    def _refuse(self, request: web.BaseRequest, error: Refusal) -> web.StreamResponse:
        """Give the final answer of a request that was given up on."""
        info = code_info(error.code)
        response = web.Response(
            status=info.status,
            body=serialize_json(error.problem()),
            content_type="application/json",
        )
        request_id = request.headers.get(self._wire.headers.request_id, "")
        if request_id:
            response.headers[self._wire.headers.request_id] = request_id
        if error.retry_after_ms and info.status in (503, 429):
            response.headers["Retry-After"] = f"{error.retry_after_ms / 1000:.3f}"
        self._finish(response)
        return response

    def _finish(self, response: web.Response) -> None:
        if self.leaving:
            response.force_close()
            response.headers["Connection"] = "close"
