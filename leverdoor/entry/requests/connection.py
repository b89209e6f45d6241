# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An HTTP/1.1 client connection to a target whose replies have to prove themselves.

HTTP client libraries do not guarantee the following properties, which this module
provides:

- Bytes that a target sends behind a reply are not taken for the reply to the next
  request, nor for its beginning.
- A request is never resent automatically.
- A connection is not reused if its last request body was not sent completely.

Owns the pending request of the connection; it fails when the connection is lost.
Relies on `replies` for parsing, and on `http.reply_proof` for what proves a reply.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterable, AsyncIterator, Callable

import httptools
from loguru import logger

from leverdoor.entry.links.tcp_keepalive import set_keepalive_options
from leverdoor.entry.requests.replies import ReplyFault, ReplyParser, TargetReply
from leverdoor.entry.requests.reply_resources import ReplyResources
from leverdoor.http.listening import bound_receive_buffer
from leverdoor.http.parse_scheduler import SLICE_WORK, RecentWork
from leverdoor.http.reply_proof import Proof, ReplyNames, prove_reply

__all__ = [
    "ReplyLost",
    "RequestNotSent",
    "TargetConnection",
    "TargetWithdrawn",
    "open_connection",
]

PARSER_ERRORS = (
    httptools.HttpParserError,
    httptools.HttpParserUpgrade,
    ValueError,
)
"""Errors with which a parser rejects bytes; an upgrade is no error to the library."""
PIECE_BYTES = 4 * 1024
"""Length of the pieces that are parsed at once, in bytes.

One piece has up to a thousand fields or chunks; with a greater length, a turn of the
event loop takes longer than its share of work.
"""
RECEIVE_BUFFER_BYTES = 128 * 1024
"""What the kernel may hold of a reply that is not read, in bytes, at first.

It would let the buffer grow for each of many targets that send without end.
"""
LONG_REPLY_BYTES = 512 * 1024
"""Received bytes from which a reply is long."""
LONG_REPLY_BUFFER_BYTES = 1024 * 1024
"""The buffer of a long reply, as far as the system allows; a round trip between regions
brings as much."""
MAX_SURPLUS_REPLIES = 8
"""Replies to other requests that are dropped while a request waits for its own.

A server repeats a reply once or twice. With a greater value, one that sends nothing
else keeps its request until the deadline.
"""


class RequestNotSent(Exception):
    """No byte of the request was sent.

    Attributes:
      connection_refused: whether the target's VM refused the connection because no
        process listens at the address.
      link_lost: whether this entry's link to the target is lost, so that the target
        itself may run.
    """

    def __init__(
        self, reason: str, connection_refused: bool = False, link_lost: bool = False
    ) -> None:
        """Initialize the error with its reason."""
        super().__init__(reason)
        self.connection_refused = connection_refused
        self.link_lost = link_lost


class TargetWithdrawn(Exception):
    """The target stopped accepting requests before this one was sent."""


class ReplyLost(Exception):
    """The request was sent and no complete reply was received.

    Attributes:
      unreachable: whether TCP acknowledgements of the sent data timed out.
      closed: whether the target or the kernel of its VM closed the connection.
      link_lost: whether the connection, or the peer that carried it, may be the cause
        rather than the target.
      via: name of the peer that carried the connection; "" if it was direct.
      fault: what was wrong with the received bytes; None if there were none.
    """

    def __init__(
        self,
        reason: str,
        unreachable: bool = False,
        closed: bool = False,
        fault: ReplyFault | None = None,
    ) -> None:
        """Initialize the error with its reason."""
        super().__init__(reason)
        self.unreachable = unreachable
        self.closed = closed
        self.fault = fault
        self.link_lost = False
        self.via = ""


class _PendingRequest:
    """The request on a connection that awaits its reply."""

    def __init__(self, request_id: str, names: ReplyNames) -> None:
        self.request_id = request_id
        self.names = names
        self.reply: asyncio.Future[TargetReply] = asyncio.Future()


class TargetConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(
        self,
        on_reply: Callable[[TargetReply], None],
        via: str = "",
        via_region: str = "",
        resources: ReplyResources | None = None,
    ) -> None:
        """Initialize the protocol; the loop's `create_connection` opens it.

        Args:
          on_reply: called with each complete reply to a request.
          via: name of the peer that carries the connection; "" if it is direct.
          via_region: region of that peer.
          resources: what the connections to all targets share; by default, its own.
        """
        resources = resources or ReplyResources()
        self._memory = resources.memory
        self._scheduler = resources.scheduler
        self._on_reply = on_reply
        self.via = via
        self.via_region = via_region
        self._transport: asyncio.Transport | None = None
        self._parser = ReplyParser(self._match_reply, self._memory.max_reply_bytes)
        self._pending: _PendingRequest | None = None
        self._unparsed = memoryview(b"")
        """Received bytes that are not parsed yet; nothing is received meanwhile."""
        self._memory_is_full = False
        self._received_bytes = 0
        """Bytes received since the request was sent, up to `LONG_REPLY_BYTES`."""
        self._surplus_replies = 0
        """Replies to other requests since the current one was sent."""
        self.recent_work = RecentWork(0.0)
        self._writable = asyncio.Event()
        self._writable.set()
        self.reusable = True
        """Whether another request may be sent after the current one."""
        self.idle_since = 0.0
        """Loop time at which the last request ended, in seconds."""
        self.idle_timeout_s = 0.0
        """Longest idle time before the connection is closed, in seconds."""

    # Methods that the transport calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keep-alive."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_keepalive_options(sock)
        bound_receive_buffer(transport, RECEIVE_BUFFER_BYTES)

    def pause_writing(self) -> None:
        """Pause the request body while the transport's buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume sending the request body."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is pending."""
        if self._pending is None:
            self._fail("received bytes without a pending request")
            return
        self._memory.add(self, len(data))
        self._widen_buffer(len(data))
        if self._unparsed:
            # A transport may have had more when it was paused.
            self._unparsed = memoryview(bytes(self._unparsed) + data)
            return
        self._unparsed = memoryview(data)
        now = asyncio.get_running_loop().time()
        if self._scheduler.may_parse(self, now):
            self._parse(SLICE_WORK, now)
        self._wait_for_turn(now)

    def _widen_buffer(self, count: int) -> None:
        """Let a target send more at once when its reply proves to be long."""
        if self._received_bytes >= LONG_REPLY_BYTES or self._transport is None:
            return
        self._received_bytes += count
        if self._received_bytes >= LONG_REPLY_BYTES and not self._memory_is_full:
            bound_receive_buffer(self._transport, LONG_REPLY_BUFFER_BYTES)

    @property
    def sends_ahead(self) -> bool:
        """Return False: a target sends one reply at a time."""
        return False

    def parse_slice(self) -> None:
        """Parse a slice in a turn of the scheduler, and continue from there."""
        now = asyncio.get_running_loop().time()
        self._parse(SLICE_WORK, now)
        self._wait_for_turn(now)

    def _wait_for_turn(self, now: float) -> None:
        """Wait for another turn if bytes are left; receive more otherwise."""
        if self._unparsed:
            if self._transport is not None:
                self._transport.pause_reading()
            self._scheduler.wait(self, now)
        else:
            self._receive_if_possible()

    def _parse(self, max_work: int, now: float) -> None:
        """Parse received bytes for about a number of callbacks."""
        before = self._parser.work
        while self._unparsed and self._parser.work - before < max_work:
            piece = self._unparsed[:PIECE_BYTES]
            self._unparsed = self._unparsed[PIECE_BYTES:]
            self._feed(piece)
        self._scheduler.count(self, self._parser.work - before, now)

    def _feed(self, piece: memoryview) -> None:
        """Parse a piece; fail the request if it is malformed or exceeds a bound."""
        try:
            self._parser.feed(piece)
        except PARSER_ERRORS as e:
            self._fail(f"malformed reply: {e!r}", fault=self._parser.fault)

    def eof_received(self) -> bool:
        """Complete a reply without length, or fail the request if it is incomplete.

        The end of a stream through a peer does not tell whether the reply is complete.
        """
        while self._unparsed:
            self._parse(SLICE_WORK, asyncio.get_running_loop().time())
        if self._pending is not None and not self.via:
            self._parser.feed_eof()
        self._fail("closed by the target", closed=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        # All errors but a timeout mean that the peer closed or reset the connection.
        unreachable = isinstance(exc, TimeoutError)
        self._fail(f"connection lost: {exc!r}", unreachable, closed=not unreachable)

    def _fail(
        self,
        reason: str,
        unreachable: bool = False,
        closed: bool = False,
        fault: ReplyFault | None = None,
    ) -> None:
        """Close the connection and fail its pending request, if any."""
        self.reusable = False
        if fault is None and self._parser.in_message:
            fault = ReplyFault.CUT
        self._writable.set()
        pending = self._pending
        if pending is not None and not pending.reply.done():
            error = ReplyLost(reason, unreachable, closed, fault)
            error.via = self.via
            pending.reply.set_exception(error)
        self.close()

    def _match_reply(self, reply: TargetReply, keep_alive: bool) -> None:
        """Match a complete reply to the pending request.

        Args:
          reply: the reply. A surplus one is dropped, and the pending request continues
            to wait; a doubtful one fails it.
          keep_alive: whether the target keeps the connection open afterwards.
        """
        pending = self._pending
        if pending is None or pending.reply.done():
            # After a surplus reply, later replies may be matched wrongly.
            self.reusable = False
            return
        proof = prove_reply(pending.names, pending.request_id, reply.status, reply.get)
        if proof is Proof.SURPLUS:
            self.reusable = False
            logger.warning("surplus reply dropped", status=reply.status)
            self._surplus_replies += 1
            if self._surplus_replies > MAX_SURPLUS_REPLIES:
                self._fail("too many surplus replies", fault=ReplyFault.SURPLUS)
            return
        if proof is Proof.DOUBTFUL:
            logger.warning("reply without proof", status=reply.status)
            self._fail(
                f"status {reply.status} without proof", fault=ReplyFault.UNPROVEN
            )
            return
        reply.via = self.via
        try:
            self._on_reply(reply)
        except Exception:
            # What the target says of itself must not lose a whole reply.
            logger.exception("report of a target not processed")
        if not keep_alive:
            self.reusable = False
        pending.reply.set_result(reply)

    # Methods that the connection pool calls.

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or must not be reused."""
        return not self.reusable or self._transport is None

    def close(self) -> None:
        """Abort the connection, which cancels a request in flight."""
        self.reusable = False
        self._unparsed = memoryview(b"")
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def pause_reading(self) -> None:
        """Receive nothing while earlier replies hold too much memory."""
        self._memory_is_full = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Receive the reply further."""
        self._memory_is_full = False
        self._receive_if_possible()

    def _receive_if_possible(self) -> None:
        """Receive further if there is memory, and what was received is parsed."""
        if self._memory_is_full or self._unparsed or self._transport is None:
            return
        if not self._transport.is_closing():
            self._transport.resume_reading()

    async def exchange(
        self,
        head: bytes,
        body: bytes | AsyncIterable[bytes],
        request_id: str,
        names: ReplyNames,
        reply_has_no_body: bool,
    ) -> TargetReply:
        """Send a request and wait for its complete reply.

        Args:
          head: request line and headers, including the empty line.
          body: the whole body, or its parts with their framing.
          request_id: the expected id; "" if the request has none.
          names: the headers by which replies prove themselves.
          bodyless: whether the reply has no body regardless of its headers.
        Raises:
          RequestNotSent: the connection was already closed.
          ReplyLost: the request may have been executed.
        """
        if self._transport is None or not self.reusable:
            raise RequestNotSent("connection closed before use")
        pending = self._pending = _PendingRequest(request_id, names)
        self._surplus_replies = 0
        self._received_bytes = 0
        self._parser.start(reply_has_no_body)
        try:
            if isinstance(body, bytes):
                self._transport.write(head + body)
                return await pending.reply
            return await self._stream(pending, head, body)
        except BaseException:
            self.close()
            raise
        finally:
            self._pending = None
            if reply_has_no_body or self._parser.in_message or self._unparsed:
                self.reusable = False
            if not self.reusable:
                self.close()
                self._parser.discard()
            self._memory.release(self)

    async def _stream(
        self, pending: _PendingRequest, head: bytes, body: AsyncIterable[bytes]
    ) -> TargetReply:
        """Send a streamed body; the reply may arrive before all of it is sent."""
        assert self._transport is not None
        parts = aiter(body)
        self._transport.write(head)
        send_task = asyncio.ensure_future(self._send_body(parts))
        try:
            await asyncio.wait(
                (send_task, pending.reply), return_when=asyncio.FIRST_COMPLETED
            )
            if send_task.done():
                send_task.result()
                return await pending.reply
            reply = await pending.reply
            reply.early = True
            self.reusable = False
            return reply
        finally:
            send_task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await send_task
            if not pending.reply.done():
                pending.reply.cancel()

    async def _send_body(self, body: AsyncIterator[bytes]) -> None:
        """Send the parts of a body with flow control."""
        async for part in body:
            await self._writable.wait()
            if self._transport is None:
                return
            self._transport.write(part)


async def open_connection(
    host: str,
    port: int,
    timeout_s: float,
    on_reply: Callable[[TargetReply], None],
    resources: ReplyResources | None = None,
) -> TargetConnection:
    """Open a direct connection to a target.

    Args:
      host: host part of the target's address.
      port: TCP port of the target.
      timeout_s: connect timeout in seconds.
      on_reply: called with each complete reply to a request.
      resources: what the connections to all targets share.
    Raises:
      RequestNotSent: the connection could not be opened within the timeout.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: TargetConnection(on_reply, resources=resources), host, port
            )
    except (OSError, TimeoutError) as e:
        connection_refused = isinstance(e, ConnectionRefusedError)
        raise RequestNotSent(f"no connection: {e!r}", connection_refused) from None
    return connection
