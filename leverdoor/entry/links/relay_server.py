# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Carries byte streams between other entries and targets.

An entry that has lost its links asks this one for a stream to a target. Streams are
accepted from known entries only, to registered targets only, and over direct
connections only, so that no stream passes through two peers. Bytes are passed on as
they arrive and are not parsed.

Owns the streams; lost with the process, which ends them. Relies on `LinkTable` for this
entry's own links.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger

from leverdoor.entry.links.link_table import LinkTable
from leverdoor.entry.links.relay_protocol import (
    HEAD_END,
    MAX_HEAD_BYTES,
    RelayProtocolError,
    RelayRequest,
    RelayStatus,
    parse_relay_request,
    serialize_relay_reply,
)
from leverdoor.entry.links.tcp_keepalive import set_keepalive_options
from leverdoor.entry.links.verifying import LinkVerifier, open_target
from leverdoor.http.listening import widen_receive_buffer
from leverdoor.model.resources import Target

__all__ = ["RelayServer", "max_streams"]

DEFAULT_DESCRIPTORS = 4_096
"""Number of file descriptors assumed if the settings name none."""
DESCRIPTORS_PER_STREAM = 8
"""File descriptors of the process for each stream, which uses two.

The others are for own clients and targets. With a greater number, one entry cannot
carry the requests of eleven others.
"""
URGENT_SHARE = 0.25
"""Share of the streams that only the most urgent requests may take."""
URGENT_PRIORITY = 0
"""Priority of the most urgent requests."""
BUFFER_BYTES = 64 * 1024
"""Bytes buffered in each direction of a stream before its sender is paused."""
HEAD_TIMEOUT_S = 1.0
"""Maximum time for the request of a new connection, in seconds."""
CONNECT_TIMEOUT_S = 0.4
"""Connect timeout to targets, in seconds, as of `connector`."""
MAX_LAG_S = 0.1
"""Lateness of the event loop above which streams are refused, in seconds.

The callers of this entry come first. A greater value delays them while peers use the
processor; a smaller one refuses streams in any burst.
"""
LAG_TTL_S = 1.0
"""Time for which a late event loop refuses streams, in seconds."""
ACTIVE_S = 0.5
"""Time after the last bytes of an answer until a stream counts as idle, in seconds."""


def max_streams(descriptors: int) -> int:
    """Return the maximum number of streams of a process.

    Args:
      descriptors: number of file descriptors that it may open; 0 if unknown.
    """
    return (descriptors or DEFAULT_DESCRIPTORS) // DESCRIPTORS_PER_STREAM


class RelayServer:
    """The streams that this entry carries for others."""

    def __init__(
        self,
        links: LinkTable,
        is_entry: Callable[[str], bool],
        targets: Callable[[], Mapping[str, Target]],
        verifier: LinkVerifier,
        on_result: Callable[[str], None],
        max_streams: int,
    ) -> None:
        """Create the server without a listener.

        Args:
          links: this entry's links to targets.
          is_entry: returns whether a host is that of a known entry.
          targets: returns the registered targets by name.
          verifier: tells a failed target from a lost link.
          on_result: called with the name of the status of each reply.
          max_streams: maximum number of streams.
        """
        self._max_streams = max_streams
        self._links = links
        self._is_entry = is_entry
        self._targets = targets
        self._on_result = on_result
        self._verifier = verifier
        self.streams: set[_EntrySide] = set()
        """Streams and handshakes in progress."""
        self.leaving = False
        """Whether this entry accepts no more streams."""
        self.bytes = 0
        """Bytes passed on, in both directions."""
        self._late_until = 0.0
        self._attempts: dict[asyncio.Task[Any], Target] = {}
        """Direct attempts in progress, and their targets."""
        links.on_lost.append(self._cancel_lost_attempts)

    def create_connection(self) -> "_EntrySide":
        """Return the protocol of a new connection of an entry."""
        return _EntrySide(self)

    def record_lag(self, lag_s: float, now: float) -> None:
        """Record the lateness of the event loop in seconds."""
        if lag_s > MAX_LAG_S:
            self._late_until = now + LAG_TTL_S

    def is_active(self, now: float) -> bool:
        """Return whether any stream may carry a request in progress."""
        return any(stream.is_active(now) for stream in self.streams)

    def close(self) -> None:
        """End all streams."""
        for stream in list(self.streams):
            stream.abort()

    def accepts(self, host: str) -> bool:
        """Return whether a connection from a host may ask for a stream."""
        return self._is_entry(host)

    async def connect(
        self, request: RelayRequest, entry_side: "_EntrySide"
    ) -> tuple[RelayStatus, "_TargetSide | None"]:
        """Open the direct connection of a requested stream.

        Returns: the status of the reply, and the connection if it was opened.
        """
        status, side = await self._connect(request, entry_side)
        self._on_result(status.name.lower())
        return status, side

    async def _connect(
        self, request: RelayRequest, entry_side: "_EntrySide"
    ) -> tuple[RelayStatus, "_TargetSide | None"]:
        targets = self._targets()
        target = next(
            (t for t in targets.values() if t.address == request.address), None
        )
        if target is None:
            return RelayStatus.FORBIDDEN, None
        loop = asyncio.get_running_loop()
        if not self._has_room(request, loop.time()) or self._links.must_relay(target):
            return RelayStatus.UNAVAILABLE, None
        started_at = loop.time()
        attempt = asyncio.ensure_future(
            open_target(target, lambda: _TargetSide(entry_side), CONNECT_TIMEOUT_S)
        )
        self._attempts[attempt] = target
        try:
            await asyncio.wait([attempt])
        finally:
            del self._attempts[attempt]
            if not attempt.done():
                attempt.cancel()
        if attempt.cancelled():
            return RelayStatus.UNAVAILABLE, None
        error = attempt.exception()
        if error is not None:
            return await self._judge(target, error, started_at), None
        self._links.record_alive(target, loop.time(), opened=True)
        _, side = attempt.result()
        return RelayStatus.CONNECTED, side

    def _cancel_lost_attempts(self) -> None:
        """Let nobody wait for a connection over a link that is known to be lost."""
        for attempt, target in list(self._attempts.items()):
            if self._links.must_relay(target):
                attempt.cancel()

    async def _judge(
        self, target: Target, error: BaseException, since: float
    ) -> RelayStatus:
        """Return whether a target failed, or whether this entry's link may be lost."""
        refused = isinstance(error, ConnectionRefusedError)
        if not await self._verifier.reaches_others(
            target, refused=refused, since=since
        ):
            now = asyncio.get_running_loop().time()
            self._links.record_lost(target, not refused, now)
            return RelayStatus.UNAVAILABLE
        return RelayStatus.REFUSED if refused else RelayStatus.SILENT

    def _has_room(self, request: RelayRequest, now: float) -> bool:
        if self.leaving or now < self._late_until:
            return False
        urgent = request.priority <= URGENT_PRIORITY
        share = 1.0 if urgent else 1.0 - URGENT_SHARE
        # The connection that asks is counted already.
        return len(self.streams) <= share * self._max_streams


class _Side(asyncio.Protocol):
    """One of the two connections of a stream."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _Side | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and bound its buffer."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=BUFFER_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_keepalive_options(sock)

    def pause_writing(self) -> None:
        """Pause the sender on the other side while the buffer is full."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Let the other side send again."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Send bytes that the other side received."""
        if self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        """End the connection without sending what is buffered."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """End the connection once what is buffered has been sent."""
        if self.transport is not None:
            self.transport.close()


class _EntrySide(_Side):
    """The connection of the entry that asked for a stream."""

    def __init__(self, server: RelayServer) -> None:
        super().__init__()
        self._server = server
        self._head = bytearray()
        self._opening: asyncio.Task[None] | None = None
        self._head_timeout: asyncio.TimerHandle | None = None
        self.awaits_answer = False
        """Whether the last bytes were sent to the target."""
        self.answered_at = 0.0
        """Loop time of the last bytes from the target, in seconds."""

    @property
    def server_streams(self) -> "set[_EntrySide]":
        """The streams of the server, of which this is one until it ends."""
        return self._server.streams

    def is_active(self, now: float) -> bool:
        """Return whether the stream may carry a request in progress."""
        return self.awaits_answer or now - self.answered_at < ACTIVE_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection if it is from an entry."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        if peer is None or not self._server.accepts(peer[0]):
            logger.warning("stream refused: not an entry", sender=str(peer))
            self._reply(RelayStatus.FORBIDDEN)
            self.close()
            return
        # A stream carries bodies of any length.
        widen_receive_buffer(transport)
        self._server.streams.add(self)
        loop = asyncio.get_running_loop()
        self._head_timeout = loop.call_later(HEAD_TIMEOUT_S, self.abort)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on, or read the request first."""
        if self.other is not None:
            self.awaits_answer = True
            self._server.bytes += len(data)
            self.other.write(data)
            return
        self._head += data
        if self._opening is not None or len(self._head) > MAX_HEAD_BYTES:
            # Bytes before the reply belong to no request.
            self.abort()
        elif self._head.endswith(HEAD_END):
            self._opening = asyncio.ensure_future(self._open())

    async def _open(self) -> None:
        if self._head_timeout is not None:
            self._head_timeout.cancel()
        try:
            request = parse_relay_request(bytes(self._head))
        except RelayProtocolError as e:
            logger.warning("stream refused", error=str(e))
            self.abort()
            return
        status, side = await self._server.connect(request, self)
        self._reply(status)
        if side is None:
            self.close()
            return
        self.answered_at = asyncio.get_running_loop().time()
        self.other = side

    def _reply(self, status: RelayStatus) -> None:
        self.write(serialize_relay_reply(status))

    def relay_answer(self, data: bytes) -> None:
        """Send bytes of the target to the entry."""
        self.awaits_answer = False
        self.answered_at = asyncio.get_running_loop().time()
        self._server.bytes += len(data)
        self.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the target's connection, which cancels a request in progress there."""
        self._server.streams.discard(self)
        if self._head_timeout is not None:
            self._head_timeout.cancel()
        if self._opening is not None and self.other is None:
            self._opening.cancel()
        if self.other is not None:
            self.other.abort()


class _TargetSide(_Side):
    """The direct connection to the target."""

    def __init__(self, entry_side: _EntrySide) -> None:
        super().__init__()
        self._entry_side = entry_side
        self.other = entry_side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """End the connection at once if the entry has left meanwhile."""
        super().connection_made(transport)
        if self._entry_side not in self._entry_side.server_streams:
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the entry."""
        self._entry_side.relay_answer(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the entry's connection after the bytes that were received."""
        self._entry_side.close()
