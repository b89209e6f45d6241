# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Connections of an aiohttp server, within the budget and the turns of the process.

aiohttp bounds what each connection buffers, not what all of them do, and parses at once
all that arrives. A guard stands between the transport and aiohttp's protocol: it passes
received bytes on in slices, as the scheduler permits, and closes the connection when
the budget evicts it. A middleware tells it when a request was received and answered.

Owns the bytes of one connection that are not passed on yet; lost with it.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from leverdoor.http.connection_budget import WaitsFor
from leverdoor.http.connection_resources import ConnectionResources
from leverdoor.http.listening import RECEIVE_BUFFER_BYTES, widen_receive_buffer
from leverdoor.http.parse_scheduler import (
    HEAD_END,
    SLICE_WORK,
    RecentWork,
    holds_several,
)

__all__ = ["GuardedConnection", "guard_requests"]

SLICE_BYTES = 8 * 1024
"""Greatest number of bytes that are passed on at once."""
HANDLE_WORK = 1_000
"""Work of a request, in callbacks: aiohttp handles it in about a millisecond.

With a smaller value, requests sent ahead fill long turns.
"""
LINE_WORK = 4
"""Work of a line, in callbacks: a field of a head, or half of what frames a chunk."""
LINE_BYTES = 64
"""Bytes that aiohttp holds for a line besides its text: objects in its queues."""

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class GuardedTransport(asyncio.Transport):
    """The transport as aiohttp sees it; reading is left to the guard."""

    def __init__(
        self, transport: asyncio.Transport, guard: "GuardedConnection"
    ) -> None:
        """Wrap the transport of a connection."""
        super().__init__()
        self._transport = transport
        self.guard = guard

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return what the transport knows of its socket."""
        return self._transport.get_extra_info(name, default)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes."""
        self._transport.write(data)

    def writelines(self, list_of_data: Any) -> None:
        """Send several pieces."""
        self._transport.writelines(list_of_data)

    def get_write_buffer_size(self) -> int:
        """Return the bytes that are not sent yet."""
        return self._transport.get_write_buffer_size()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Set the bytes from which writing pauses and continues."""
        self._transport.set_write_buffer_limits(high, low)

    def can_write_eof(self) -> bool:
        """Return whether the sending side can be closed alone."""
        return self._transport.can_write_eof()

    def write_eof(self) -> None:
        """Close the sending side."""
        self._transport.write_eof()

    def is_closing(self) -> bool:
        """Return whether the connection is closed or about to be."""
        return self._transport.is_closing()

    def is_reading(self) -> bool:
        """Return whether aiohttp wants more bytes."""
        return not self.guard.handler_paused

    def pause_reading(self) -> None:
        """Pass no more bytes on."""
        self.guard.handler_paused = True

    def resume_reading(self) -> None:
        """Pass bytes on again, once aiohttp has returned."""
        self.guard.resume_handler()

    def close(self) -> None:
        """Close the connection once written bytes are sent."""
        self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()


class GuardedConnection(asyncio.BufferedProtocol):
    """The protocol of one connection, before that of aiohttp."""

    def __init__(
        self,
        create_handler: Callable[[], asyncio.Protocol],
        resources: ConnectionResources,
        max_request_bytes: int,
    ) -> None:
        """Create the protocol.

        Args:
          create_handler: creates aiohttp's protocol.
          resources: what all connections of the process share.
          max_request_bytes: bytes of a request that the process may buffer.
        """
        self._handler = create_handler()
        self._resources = resources
        self._max_request_bytes = max_request_bytes
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._unparsed = b""
        self._request_bytes = 0
        """Bytes that were passed on since the last response."""
        self._waits_for_turn = False
        self._read_paused = False
        self._buffer_widened = False
        """Whether the kernel may hold `RECEIVE_BUFFER_BYTES` for the connection."""
        self._waits_for = WaitsFor.REQUEST
        self.handler_paused = False
        """Whether aiohttp wants no more bytes for now."""
        self.held_bytes = 0
        """Bytes that the process may hold for the connection."""
        self.progress_at = self._loop.time()
        """Loop time of its last progress, in seconds."""
        self.recent_work = RecentWork(self.progress_at)
        """The work of parsing what it received lately."""

    @property
    def sends_ahead(self) -> bool:
        """Whether several requests wait to be parsed."""
        return holds_several(self._unparsed)

    @property
    def runs_request(self) -> bool:
        """Whether a request was received completely and runs."""
        return self._waits_for is WaitsFor.RESPONSE

    def evict(self) -> None:
        """Close the connection at once."""
        self._unparsed = b""
        self.held_bytes = 0
        if self._transport is not None:
            self._transport.abort()

    # Methods that the middleware calls.

    def note_received(self) -> None:
        """Note that a request was received completely."""
        self._progress(WaitsFor.RESPONSE)

    def note_answered(self) -> None:
        """Note that a request was answered."""
        self._request_bytes = 0
        self._progress(WaitsFor.REQUEST)

    def resume_handler(self) -> None:
        """Pass bytes on again, in the next turn."""
        if self.handler_paused:
            self.handler_paused = False
            self._request_bytes = 0
            self._loop.call_soon(self._update)

    # Methods that the transport calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place among the connections of the process."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._handler.connection_made(GuardedTransport(transport, self))
        self._resources.budget.add(self, self._loop.time())

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the transport receives next."""
        return self._resources.receive_buffer.view()

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes on as far as the limits permit."""
        data = self._resources.receive_buffer.take(nbytes)
        self._unparsed = self._unparsed + data if self._unparsed else data
        self._update()

    def eof_received(self) -> bool | None:
        """Pass the end on; all bytes before it were passed on, or reading is paused."""
        return self._handler.eof_received()

    def pause_writing(self) -> None:
        """Let aiohttp wait while the client does not read."""
        self._handler.pause_writing()
        self._report()

    def resume_writing(self) -> None:
        """Let aiohttp continue."""
        self._handler.resume_writing()
        self._progress(self._waits_for)

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the connections of the process."""
        self._transport = None
        self._unparsed = b""
        self._resources.budget.discard(self)
        self._handler.connection_lost(exc)

    # Progress.

    def _update(self) -> None:
        """Pass on, wait and read as far as is possible now."""
        if self._transport is None or self._transport.is_closing():
            return
        now = self._loop.time()
        if self._may_parse() and not self._waits_for_turn:
            if self._resources.scheduler.may_parse(self, now):
                self._pass_on(now)
            if self._may_parse():
                self._waits_for_turn = True
                self._resources.scheduler.wait(self, now)
        self._pause_or_read()
        self._report()

    def parse_slice(self) -> None:
        """Pass bytes on in a turn of the scheduler."""
        self._waits_for_turn = False
        if self._transport is None or self._transport.is_closing():
            return
        if self._may_parse():
            self._pass_on(self._loop.time())
        self._update()

    def _may_parse(self) -> bool:
        return bool(self._unparsed) and not self.handler_paused

    def _pass_on(self, now: float) -> None:
        """Pass bytes on for about `SLICE_WORK`."""
        work = 0
        while self._may_parse() and work < SLICE_WORK:
            data = self._take_piece()
            work += 1 + LINE_WORK * data.count(b"\n")
            if self._waits_for is not WaitsFor.TRANSFER and HEAD_END in data:
                work += HANDLE_WORK
            if self._waits_for is WaitsFor.REQUEST:
                self._progress(WaitsFor.TRANSFER)
                self._widen_receive_buffer()
            self._request_bytes += len(data)
            self._handler.data_received(data)
        self._resources.scheduler.count(self, work, now)

    def _take_piece(self) -> bytes:
        """Return the next received bytes, with the end of one head at most."""
        size = SLICE_BYTES
        lines = self._unparsed.count(b"\n", 0, size)
        if lines * LINE_WORK > SLICE_WORK:
            size = SLICE_BYTES // 8
        end = self._unparsed.find(HEAD_END, 0, size)
        if end >= 0:
            size = end + len(HEAD_END)
        piece = self._unparsed[:size]
        self._unparsed = self._unparsed[size:]
        return piece

    def _widen_receive_buffer(self) -> None:
        """Receive a body at the rate of the link; it counts as held from now."""
        if not self._buffer_widened and self._transport is not None:
            self._buffer_widened = True
            widen_receive_buffer(self._transport)

    def _pause_or_read(self) -> None:
        """Read nothing while bytes wait to be passed on."""
        pause = bool(self._unparsed) or self.handler_paused
        if self._transport is None or pause == self._read_paused:
            return
        self._read_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _progress(self, waits_for: WaitsFor) -> None:
        self._waits_for = waits_for
        self.progress_at = self._loop.time()
        self._resources.budget.wait(self, waits_for)

    def _report(self) -> None:
        """Tell the budget what the connection may hold."""
        now = self._loop.time()
        held = len(self._unparsed) + min(self._request_bytes, self._max_request_bytes)
        lines = self.recent_work.at(now) / LINE_WORK
        held += int(lines * LINE_BYTES)
        if self._transport is not None:
            held += self._transport.get_write_buffer_size()
        if self._waits_for is WaitsFor.TRANSFER:
            held += RECEIVE_BUFFER_BYTES
        self.held_bytes = held
        self._resources.budget.hold(self, now)


@web.middleware
async def guard_requests(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Tell the guard of a connection of the progress of its requests."""
    transport = request.transport
    if not isinstance(transport, GuardedTransport):
        return await handler(request)
    guard = transport.guard
    request.content.on_eof(guard.note_received)
    try:
        return await handler(request)
    finally:
        guard.note_answered()
