# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A connection of the server: runs its requests and answers them in their order.

A client may send further requests before the first answer. Those that may be repeated
run side by side, up to `MAX_PIPELINED`; any other waits until all before it are
answered, since a client sends again whatever stands behind an answer that closes the
connection. If an answer closes it, the requests behind are dropped and their runs
cancelled.

Owns the unanswered requests of the connection and what is received of the next ones;
lost with the connection, whose runs are cancelled. An idle connection has a timer and
no task. Relies on `request_parser` for framing.
"""

import asyncio
import socket
from collections import deque
from enum import Enum
from functools import partial

from loguru import logger

from leverdoor.http.connection_budget import WaitsFor
from leverdoor.http.exchange import Exchange
from leverdoor.http.listening import (
    RECEIVE_BUFFER_BYTES,
    WAITING_BUFFER_BYTES,
    widen_receive_buffer,
)
from leverdoor.http.messages import BODY_BUFFER_BYTES, BodyError, Request, Response
from leverdoor.http.parse_scheduler import SLICE_WORK, RecentWork, holds_several
from leverdoor.http.request_parser import (
    DENSE_BYTES,
    PARSED_BYTES,
    MalformedRequest,
    RequestParser,
)
from leverdoor.http.response_bytes import CONTINUE, serialize_response
from leverdoor.http.server_hooks import ConnectionLimits, ServerHooks

__all__ = ["MAX_PIPELINED", "ServerConnection"]

MAX_PIPELINED = 8
"""Requests of a connection that are parsed and not answered yet.

A page or a list of a client needs six to eight requests at once. A greater value lets
one client hold more runs and answers in memory. With a smaller one, requests of such a
client wait for each other.
"""
MAX_HELD_BYTES = 256 * 1024
"""Bytes of ready answers behind an unready one above which no further request starts.

It holds `MAX_PIPELINED` answers of 32 kB. With a greater value, a few hundred clients
whose first request is slow exhaust the memory of a small VM.
"""
JOINED_BYTES = 64 * 1024
"""Length of a body up to which it is sent in one piece with its head."""
DISCARD_S = 10.0
"""Longest time in which the rest of a body is received that nobody reads, in seconds.

With a smaller value, a client over a slow link that still sends loses its answer.
"""
CLOSE_S = 1.0
"""Time for a client to close a connection after the last answer, in seconds.

A connection that closes while received bytes are unread is reset, and the client may
lose the answer. A greater value keeps connections for longer.
"""
CLOSED_CHECK_S = 0.2
"""Interval in which a connection that is not read is checked for its end, in seconds.

The runs of a client that left are to be cancelled within half a second.
"""
PROGRESS_BYTES = 1024
"""Received bytes of a body that count as progress.

With a greater value, an upload over a slow link counts as stalled. With a smaller one,
a client that sends a byte now and then counts as progressing.
"""
NOTHING = memoryview(b"")
"""No part of an answer."""
TCP_STATES_ENDED = (7, 8)
"""TCP_CLOSE and TCP_CLOSE_WAIT of Linux: the peer has closed the connection."""


class _Wait(Enum):
    """What the timer of a connection limits."""

    NOTHING = 0
    HEAD = 1
    IDLE = 2
    DISCARD = 3
    UNREAD = 4
    CLOSE = 5


class ServerConnection(asyncio.BufferedProtocol):
    """The protocol of one connection."""

    __slots__ = (
        "_buffer_widened",
        "_closed_check",
        "_closes_after_body",
        "_closing",
        "_exchanges",
        "_head_waited_s",
        "_limits",
        "_loop",
        "_parser",
        "_pause_counted",
        "_read_paused",
        "_receiving",
        "_resources",
        "_server",
        "_timer",
        "_transport",
        "_transport_writable",
        "_unnoted_bytes",
        "_unparsed",
        "_unsent_at_wait",
        "_unwritten",
        "_wait",
        "_wait_began",
        "_waits_for",
        "_waits_for_turn",
        "held_bytes",
        "progress_at",
        "recent_work",
    )

    def __init__(self, server: ServerHooks, limits: ConnectionLimits) -> None:
        """Initialize the protocol; the listener connects it to a transport.

        Args:
          server: provides the handler; lists the connection while it is open.
          limits: the limits that apply until the connection closes.
        """
        self._server = server
        self._resources = server.resources
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._parser = RequestParser(self, limits.header_bytes)
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[Exchange] = deque()
        """The unanswered requests, in the order of receipt."""
        self._receiving: Exchange | None = None
        """The request whose body is partially received."""
        self._unnoted_bytes = 0
        """Received bytes of a body since the last progress."""
        self._unparsed = b""
        self._read_paused = False
        self._buffer_widened = False
        """Whether the kernel may hold `RECEIVE_BUFFER_BYTES` for the connection."""
        self._transport_writable = True
        self._unwritten = NOTHING
        """The part of an answer that the transport does not have yet."""
        self._closes_after_body = False
        self._pause_counted = False
        """Whether the present pause of writing was counted; a long body has many."""
        self._closing = False
        self._waits_for_turn = False
        """Whether received bytes wait in the queue of the scheduler."""
        self._unsent_at_wait = 0
        self._head_waited_s = 0.0
        """For how long the rest of the present head was awaited before, in seconds."""
        self._wait_began = 0.0
        self._wait = _Wait.NOTHING
        self._timer: asyncio.TimerHandle | None = None
        self._closed_check: asyncio.TimerHandle | None = None
        self.held_bytes = 0
        """Bytes that the process holds for the connection, as of its last event."""
        self.progress_at = self._loop.time()
        """Loop time of its last progress, in seconds: a request that was received, a
        part of a body, or an answer that was sent."""
        self._waits_for = WaitsFor.REQUEST
        self.recent_work = RecentWork(self.progress_at)
        """The work of parsing what it received lately."""

    @property
    def sends_ahead(self) -> bool:
        """Whether several requests wait to be parsed."""
        return self._receiving is None and holds_several(self._unparsed)

    @property
    def runs_request(self) -> bool:
        """Whether the first request was received completely and runs."""
        if not self._exchanges or self._exchanges[0] is self._receiving:
            return False
        return self._exchanges[0].task is not None

    @property
    def busy(self) -> bool:
        """Whether a request is unanswered, or an answer is not sent completely."""
        return bool(self._exchanges) or self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the client has not taken yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size() + len(self._unwritten)

    @property
    def _writable(self) -> bool:
        """Whether the next answer may be sent."""
        return self._transport_writable and not self._unwritten

    def force_close(self) -> None:
        """Cancel all runs and close the connection once written bytes are sent."""
        self._drop(self._exchanges)
        if self._transport is not None:
            self._set_wait(_Wait.UNREAD)
            self._transport.close()

    def abort(self) -> None:
        """Cancel all runs and close the connection at once."""
        self._drop(self._exchanges)
        self._parser.ended = True
        self._receiving = None
        self._unparsed = b""
        self._unwritten = NOTHING
        self.held_bytes = 0
        if self._transport is not None:
            self._transport.abort()

    def evict(self) -> None:
        """Close the connection at once, with a refusal where that is true.

        It is true for a request whose body is incomplete, if no part of it was passed
        on. Whatever else was received has no answer.
        """
        first = self._exchanges[0] if self._exchanges else None
        if first is not None and first is self._receiving and self._transport:
            request = first.request
            if request is not None and not request.passed_on and not first.response:
                response = self._server.refuse(request)
                head, body = serialize_response(response, request, close=True)
                self._transport.write(head + body)
        self.abort()

    # Methods that the transport calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout within which the first byte must arrive."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._resources.budget.add(self, self._loop.time())
        self._update()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel all runs: the client has left."""
        self._transport = None
        self._server.connections.discard(self)
        self._resources.budget.discard(self)
        self._drop(self._exchanges)
        self._parser.release()
        self._unwritten = NOTHING
        self._receiving = None
        self._unparsed = b""
        self._set_wait(_Wait.NOTHING)
        self._stop_closed_check()

    def eof_received(self) -> bool:
        """Treat a client that stopped sending as one that left."""
        if self._unwritten and self._transport is not None:
            # The transport closes once it has sent what it was given.
            self._transport.write(self._unwritten)
            self._unwritten = NOTHING
        self._drop(self._exchanges)
        self._set_wait(_Wait.UNREAD)
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the transport receives next."""
        return self._resources.receive_buffer.view()

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes as far as the limits permit."""
        data = self._resources.receive_buffer.take(nbytes)
        if self._parser.ended:
            return
        self._unparsed = self._unparsed + data if self._unparsed else data
        self._update()

    def pause_writing(self) -> None:
        """Start and read nothing while the client does not read its answers."""
        self._transport_writable = False
        if not self._pause_counted:
            self._pause_counted = True
            self._server.on_unread()
        self._update()

    def resume_writing(self) -> None:
        """Continue to answer, start and read requests."""
        self._transport_writable = True
        self._note_progress()
        if self._unwritten:
            self._write_body()
        self._pause_counted = not self._writable
        self._update()

    # Methods that the parser calls.

    def start_request(self, request: Request, keep_alive: bool) -> None:
        """Append a request whose head is complete."""
        request.attach(self._update, self._send_continue)
        self._set_wait(_Wait.NOTHING)
        self._head_waited_s = 0.0
        self._note_progress()
        exchange = Exchange(request, keep_alive)
        self._exchanges.append(exchange)
        if request.has_body:
            self._receiving = exchange
            self._widen_receive_buffer(request)

    def _widen_receive_buffer(self, request: Request) -> None:
        """Receive a long body at the rate of the link; it counts as held from now."""
        length = request.content_length
        is_long = length is None or length > WAITING_BUFFER_BYTES
        if is_long and not self._buffer_widened and self._transport is not None:
            self._buffer_widened = True
            widen_receive_buffer(self._transport)

    def receive_body(self, data: bytes) -> None:
        """Add a part of a body, unless its request is answered already."""
        if self._receiving in self._exchanges:
            assert self._receiving is not None and self._receiving.request is not None
            self._receiving.request.feed(data)
        self._unnoted_bytes += len(data)
        if self._unnoted_bytes >= PROGRESS_BYTES:
            self._note_progress()

    def end_request(self) -> None:
        """Complete a body."""
        if self._receiving is not None and self._receiving.request is not None:
            self._receiving.request.end_body()
            self._note_progress()
        self._receiving = None

    def _note_progress(self) -> None:
        self.progress_at = self._loop.time()
        self._unnoted_bytes = 0
        self._resources.budget.wait(self, self._waits_for)

    # Progress: every event of the connection ends in `_update`.

    def _update(self) -> None:
        """Send, parse, start and wait for what is possible now."""
        if self._transport is None or self._transport.is_closing():
            return
        self._send_ready()
        self._parse()
        self._start()
        self._pause_or_read()
        self._set_wait(self._next_wait())
        self._report()

    def _report(self) -> None:
        """Tell the budget what the connection waits for and holds now."""
        budget = self._resources.budget
        waits_for = self._next_waits_for()
        if waits_for is not self._waits_for:
            self._waits_for = waits_for
            budget.wait(self, waits_for)
        self.held_bytes = self._count_held()
        budget.hold(self, self._loop.time())

    def _next_waits_for(self) -> WaitsFor:
        if self._receiving is not None or not self._writable:
            return WaitsFor.TRANSFER
        return WaitsFor.RESPONSE if self._exchanges else WaitsFor.REQUEST

    def _count_held(self) -> int:
        """Return the bytes that the process holds for the connection."""
        held = len(self._unparsed) + self._parser.head_bytes + self.unsent_bytes
        for exchange in self._exchanges:
            held += exchange.held_bytes
        return held + self._kernel_bytes()

    def _kernel_bytes(self) -> int:
        """Return the bytes that the kernel may hold for the connection."""
        most = RECEIVE_BUFFER_BYTES if self._buffer_widened else WAITING_BUFFER_BYTES
        if self._receiving is not None and self._receiving.request is not None:
            length = self._receiving.request.content_length
            return most if length is None else min(length, most)
        # A wait for a turn is short.
        paused = self._read_paused and not self._waits_for_turn
        return most if paused else 0

    def _may_parse(self) -> bool:
        """Return whether the memory of the connection permits to parse more."""
        if self._parser.ended or not self._writable:
            return False
        if self._receiving is None:
            return len(self._exchanges) < MAX_PIPELINED
        request = self._receiving.request
        return request is not None and request.buffered < BODY_BUFFER_BYTES

    def _parse(self) -> None:
        """Parse a slice of the received bytes, or wait for the turn to do so."""
        if not self._unparsed or self._waits_for_turn or not self._may_parse():
            return
        now = self._loop.time()
        if self._resources.scheduler.may_parse(self, now):
            self._parse_slice(now)
        if self._unparsed and self._may_parse():
            self._waits_for_turn = True
            self._resources.scheduler.wait(self, now)

    def parse_slice(self) -> None:
        """Parse a slice in a turn of the scheduler, and continue from there."""
        self._waits_for_turn = False
        if self._transport is None or self._transport.is_closing():
            return
        now = self._loop.time()
        if self._unparsed and self._may_parse():
            self._parse_slice(now)
        self._update()

    def _parse_slice(self, now: float) -> None:
        """Parse received bytes for about `SLICE_WORK`."""
        before = self._parser.work
        parsed = 0
        unparsed = self._unparsed
        size = DENSE_BYTES
        while parsed < len(unparsed) and self._parser.work - before < SLICE_WORK:
            if not self._may_parse():
                break
            work = self._parser.work
            data = unparsed[parsed : parsed + size]
            parsed += len(data)
            try:
                self._parser.feed(data)
            except MalformedRequest as e:
                self._reject(e)
            # A plain body costs a callback for a piece of any size.
            size = PARSED_BYTES if self._parser.work - work <= 1 else DENSE_BYTES
        self._unparsed = b"" if self._parser.ended else unparsed[parsed:]
        self._resources.scheduler.count(self, self._parser.work - before, now)

    def _reject(self, error: MalformedRequest) -> None:
        """Answer bytes that are no request, and end the connection after that."""
        receiving, self._receiving = self._receiving, None
        if receiving is None or receiving.request is None:
            self._append_last(error.status)
        elif receiving in self._exchanges:
            receiving.request.fail_body(BodyError(str(error)))
            receiving.keep_alive = False
        else:
            self._close()

    def _append_last(self, status: int) -> None:
        """Append a response that is sent after those to all received requests."""
        self._parser.ended = True
        exchange = Exchange(None, keep_alive=False)
        exchange.response = Response(status, close=True)
        self._exchanges.append(exchange)
        self._send_ready()

    def _start(self) -> None:
        """Start the requests that may run now."""
        if not self._exchanges or not self._writable:
            return
        first = self._exchanges[0]
        self._start_exchange(first)
        if len(self._exchanges) == 1 or not self._may_overlap(first):
            return
        for index, exchange in enumerate(self._exchanges):
            if index == MAX_PIPELINED or not self._may_overlap(exchange):
                return
            if exchange.started:
                continue
            if self._held_bytes() > MAX_HELD_BYTES:
                return
            self._server.on_overlap()
            self._start_exchange(exchange)

    def _may_overlap(self, exchange: Exchange) -> bool:
        """Return whether a request may run beside others of the connection."""
        request = exchange.request
        if request is None or request.has_body:
            return False
        return self._server.may_repeat(request)

    def _held_bytes(self) -> int:
        """Return the size of the answers that wait for an earlier one, in bytes."""
        return sum(len(e.response.body) for e in self._exchanges if e.response)

    def _start_exchange(self, exchange: Exchange) -> None:
        """Start to handle a request unless it is started."""
        if exchange.started or exchange.request is None:
            return
        handling = self._server.handle(exchange.request)
        exchange.task = asyncio.ensure_future(handling)
        exchange.task.add_done_callback(partial(self._end_exchange, exchange))

    def _end_exchange(
        self, exchange: Exchange, task: "asyncio.Future[Response]"
    ) -> None:
        """Take the response of a handler, or close the connection without one."""
        error = None if task.cancelled() else task.exception()
        if exchange not in self._exchanges:
            return
        exchange.task = None
        if task.cancelled() or isinstance(error, BodyError | ConnectionError):
            self.abort()
            return
        if error is not None:
            logger.opt(exception=error).error("request handler failed")
            exchange.response = Response(500, close=True)
        else:
            exchange.response = task.result()
        if exchange.response.close:
            self._drop_behind(exchange)
        self._update()

    # Answers.

    def _send_ready(self) -> None:
        """Send the answers that are ready, in the order of their requests."""
        while self._writable and self._exchanges:
            exchange = self._exchanges[0]
            if exchange.response is None or self._transport is None:
                return
            if self._server.leaving:
                self._parser.stop()
            self._send(exchange, exchange.response)

    def _send(self, exchange: Exchange, response: Response) -> None:
        """Send the first answer; the connection closes after it if it must."""
        assert self._transport is not None
        close = response.close or not exchange.keep_alive or self._must_end(exchange)
        self._exchanges.popleft()
        self._note_progress()
        head, body = serialize_response(response, exchange.request, close)
        if self._receiving is exchange and exchange.request is not None:
            exchange.request.discard()
        self._closes_after_body = close
        if len(body) <= JOINED_BYTES:
            self._transport.write(head + body)
            self._end_body()
        else:
            self._transport.write(head)
            self._unwritten = memoryview(body)
            self._write_body()

    def _write_body(self) -> None:
        """Write a long body as fast as the client takes it, without a copy."""
        assert self._transport is not None
        while self._unwritten and self._transport_writable:
            piece = self._unwritten[:JOINED_BYTES]
            self._unwritten = self._unwritten[JOINED_BYTES:]
            self._transport.write(piece)
        if not self._unwritten:
            self._end_body()

    def _end_body(self) -> None:
        """Close after the last answer."""
        self._unwritten = NOTHING
        if self._closes_after_body:
            self._closes_after_body = False
            self._close()

    def _must_end(self, exchange: Exchange) -> bool:
        """Return whether no further request can be received after this one."""
        request = exchange.request
        if request is not None and request.awaits_continue:
            # The client may send the body or the next request.
            return True
        last = len(self._exchanges) == 1
        return last and (self._parser.ended or self._server.leaving)

    def _send_continue(self) -> None:
        """Send the interim response to a request that has a body.

        Such a request only runs once all before it are answered.
        """
        if self._transport is not None:
            self._transport.write(CONTINUE)

    def _close(self) -> None:
        """Stop sending after the last answer; drop what stands behind it."""
        assert self._transport is not None
        self._parser.ended = True
        self._closing = True
        self._unparsed = b""
        self._receiving = None
        self._drop(self._exchanges)
        try:
            self._transport.write_eof()
        except OSError as e:
            logger.debug("client has closed the connection", error=repr(e))
            self.abort()

    def _drop_behind(self, last: Exchange) -> None:
        """Drop the requests behind one whose answer closes the connection."""
        self._parser.ended = True
        kept = list(self._exchanges)
        position = kept.index(last) + 1
        behind = kept[position:]
        self._exchanges = deque(kept[:position])
        self._drop(deque(behind))

    def _drop(self, exchanges: "deque[Exchange]") -> None:
        """Cancel runs, and forget their requests."""
        dropped = list(exchanges)
        exchanges.clear()
        for exchange in dropped:
            if exchange.request is not None:
                exchange.request.detach()
            if exchange.task is not None:
                # The task keeps what it read until it is collected; a reference from
                # here would postpone that.
                exchange.task.cancel()
                exchange.task = None

    # Reading and timeouts.

    def _pause_or_read(self) -> None:
        """Stop reading while received bytes wait to be parsed."""
        if self._transport is None:
            return
        pause = bool(self._unparsed) or (not self._writable and not self._closing)
        if pause == self._read_paused:
            return
        self._read_paused = pause
        if pause:
            self._transport.pause_reading()
            self._check_closed()
        else:
            self._transport.resume_reading()
            self._stop_closed_check()

    def _check_closed(self) -> None:
        """Abort a connection that is not read if its client has left."""
        self._closed_check = None
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        if state in TCP_STATES_ENDED:
            self.abort()
            return
        self._closed_check = self._loop.call_later(CLOSED_CHECK_S, self._check_closed)

    def _stop_closed_check(self) -> None:
        if self._closed_check is not None:
            self._closed_check.cancel()
            self._closed_check = None

    def _next_wait(self) -> _Wait:
        """Return what the connection waits for on the side of its client."""
        if self._closing:
            return _Wait.UNREAD if self._wait is _Wait.UNREAD else _Wait.CLOSE
        if not self._writable:
            return _Wait.UNREAD
        if self._parser.in_head and not self._parser.ended and not self._unparsed:
            return _Wait.HEAD
        if self._exchanges:
            return _Wait.NOTHING
        return _Wait.IDLE if self._receiving is None else _Wait.DISCARD

    def _set_wait(self, wait: _Wait) -> None:
        """Start the timer of a wait unless it runs already."""
        if wait is self._wait and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._loop.time()
        if self._wait is _Wait.HEAD:
            self._head_waited_s += now - self._wait_began
        self._wait = wait
        self._wait_began = now
        if wait is _Wait.NOTHING or self._transport is None:
            return
        self._unsent_at_wait = self.unsent_bytes
        self._timer = self._loop.call_later(self._timeout_s(wait), self._expire)

    def _timeout_s(self, wait: _Wait) -> float:
        if wait is _Wait.HEAD:
            return self._limits.header_timeout_ms / 1000 - self._head_waited_s
        if wait is _Wait.DISCARD:
            return DISCARD_S
        if wait is _Wait.CLOSE:
            return CLOSE_S
        return self._limits.idle_timeout_ms / 1000

    def _expire(self) -> None:
        """Close the connection, unless the client still reads an answer."""
        self._timer = None
        if self._transport is None:
            return
        if self._wait is _Wait.HEAD:
            self._append_last(408)
            self._update()
            return
        unsent = self.unsent_bytes
        reads = 0 < unsent < self._unsent_at_wait
        if reads or (unsent and self._wait is _Wait.CLOSE):
            self._set_wait(_Wait.UNREAD)
            return
        self.abort()
