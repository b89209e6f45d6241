# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One HTTP/1.1 connection to a target, which tells answers apart by their id.

An HTTP client library gives no hold on what happens here: a surplus answer
that comes late must not be taken for the next request's, a request must never
be repeated unseen, and a connection whose request body was not sent whole must
never be used again. Parsing is httptools'.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import httptools
import msgspec

__all__ = [
    "AnswerLost",
    "NotSent",
    "TargetReply",
    "TargetConnection",
    "open_connection",
]

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Longest answer that is read whole; a fifth of a VM of 300 MB."""
MAX_HEADER_BYTES = 64 * 1024
"""Longest head of an answer in bytes; chosen, eight times common limits."""
UNACKNOWLEDGED_MS = 1_500
"""Time without acknowledgement after which a target passes for dead, in ms.

500 made no difference to worth (0.788 beside 0.789, 12 entries under high load).
"""
PROBE_IDLE_S = 1
"""Idle seconds before keep-alive probes; the least that the kernel takes."""
PROBE_INTERVAL_S = 1
"""Seconds between keep-alive probes; the least that the kernel takes."""
PROBES = 2
"""Unanswered probes after which a connection is dead; one lost packet is no sign."""
BODYLESS = frozenset({204, 304})


class NotSent(Exception):
    """Not one byte of the request was sent."""


class AnswerLost(Exception):
    """The request went out and no whole answer came.

    Attributes:
      unreachable: the target did not even acknowledge what was sent.
    """

    def __init__(self, why: str, unreachable: bool = False) -> None:
        """Create it with its reason."""
        super().__init__(why)
        self.unreachable = unreachable


class TargetReply(msgspec.Struct):
    """A whole answer."""

    status: int
    reason: bytes
    headers: list[tuple[str, str]]
    body: bytes
    early: bool = False
    """It came before the request's body was sent whole."""

    def get(self, name: str) -> str:
        """Return the value of a header, by its name in lower case; "" if none."""
        for key, value in self.headers:
            if key == name:
                return value
        return ""


class _Pending:
    """The request on a connection whose answer is awaited."""

    def __init__(self, request_id: str, id_header: str, bodyless: bool) -> None:
        self.request_id = request_id
        self.id_header = id_header
        self.bodyless = bodyless
        self.answer: asyncio.Future[TargetReply] = asyncio.Future()
        self.began = False


class TargetConnection(asyncio.Protocol):
    """One connection; it carries one request at a time."""

    def __init__(self) -> None:
        """Create it; the loop's `create_connection` opens it."""
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._pending: _Pending | None = None
        self._headers: list[tuple[str, str]] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._reason = b""
        self._delimited = False
        self._in_message = False
        self._writable = asyncio.Event()
        self._writable.set()
        self.usable = True
        self.idle_since = 0.0
        self.idle_limit_s = 0.0

    # The transport's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport and set how soon a dead peer is noticed."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _notice_dead_peer(sock)

    def pause_writing(self) -> None:
        """Hold the request's body back: the target does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Go on with the request's body."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that no request asked for end the connection."""
        if self._pending is None:
            self._fail("bytes that nobody asked for")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError) as e:
            self._fail(f"not an answer: {e!r}")

    def eof_received(self) -> bool:
        """End an answer that has no length; anything else is cut short."""
        pending = self._pending
        if pending is not None and self._in_message and not self._delimited:
            self.usable = False
            self._complete()
        self._fail("closed by the target")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that was on the connection."""
        self._fail(f"connection lost: {exc!r}", isinstance(exc, TimeoutError))

    def _fail(self, why: str, unreachable: bool = False) -> None:
        self.usable = False
        self._writable.set()
        pending = self._pending
        if pending is not None and not pending.answer.done():
            pending.answer.set_exception(AnswerLost(why, unreachable))
        self.close()

    # The parser's side.

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._reason = b""
        self._delimited = False
        self._in_message = False

    def on_status(self, status: bytes) -> None:
        """Take the reason phrase, which may come in parts."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise ValueError("the head is too long")
        key = name.decode("latin-1").lower()
        self._headers.append((key, value.decode("latin-1")))
        if key == "content-length" or (
            key == "transfer-encoding" and b"chunked" in value.lower()
        ):
            self._delimited = True

    def on_headers_complete(self) -> None:
        """Note that a body follows."""
        self._in_message = True
        status = self._parser.get_status_code()
        if status < 200 or status in BODYLESS:
            self._delimited = True
        if self._pending is not None and self._pending.bodyless and status >= 200:
            self._delimited = True
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if len(self._body) + len(body) > MAX_ANSWER_BYTES:
            raise ValueError("the body is too long")
        self._body += body

    def on_message_complete(self) -> None:
        """End an answer."""
        self._complete()

    def _complete(self) -> None:
        if not self._in_message:
            return
        self._in_message = False
        status = self._parser.get_status_code()
        if status < 200:
            return
        pending = self._pending
        if pending is None or pending.answer.done():
            # A second answer to one request: its bytes belong to nobody.
            self.usable = False
            return
        reply = TargetReply(status, self._reason, self._headers, bytes(self._body))
        if reply.get(pending.id_header) not in ("", pending.request_id):
            return
        if not self._delimited or not self._parser.should_keep_alive():
            self.usable = False
        if reply.get("connection").lower() == "close":
            self.usable = False
        pending.answer.set_result(reply)

    # The caller's side.

    @property
    def closed(self) -> bool:
        """Return whether the connection is of no more use."""
        return not self.usable or self._transport is None

    def close(self) -> None:
        """Close at once, which cancels a request that runs."""
        self.usable = False
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    async def exchange(
        self,
        head: bytes,
        body: bytes | AsyncIterator[bytes],
        request_id: str,
        id_header: str,
        bodyless: bool,
    ) -> TargetReply:
        """Send a request and wait for its whole answer.

        Args:
          head: request line and headers, up to the empty line.
          body: all of it, or its parts framed already.
          request_id: the id that the answer must carry, if it carries one.
          id_header: the header, in lower case, that carries it.
          bodyless: whether the answer has no body whatever its head says.
        Raises:
          NotSent: the connection was closed before.
          AnswerLost: the request may have run.
        """
        if self._transport is None or not self.usable:
            raise NotSent("closed before it was used")
        pending = self._pending = _Pending(request_id, id_header, bodyless)
        try:
            if isinstance(body, bytes):
                self._transport.write(head + body)
                return await pending.answer
            return await self._stream(pending, head, body)
        except BaseException:
            self.close()
            raise
        finally:
            self._pending = None
            if bodyless:
                self.usable = False
            if not self.usable:
                self.close()

    async def _stream(
        self, pending: _Pending, head: bytes, body: AsyncIterator[bytes]
    ) -> TargetReply:
        """Send the parts of a body; an answer may come before the last."""
        assert self._transport is not None
        self._transport.write(head)
        sending = asyncio.ensure_future(self._send_parts(body))
        try:
            await asyncio.wait(
                (sending, pending.answer), return_when=asyncio.FIRST_COMPLETED
            )
            if sending.done():
                sending.result()
                return await pending.answer
            reply = await pending.answer
            reply.early = True
            self.usable = False
            return reply
        finally:
            sending.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await sending
            if not pending.answer.done():
                pending.answer.cancel()

    async def _send_parts(self, body: AsyncIterator[bytes]) -> None:
        async for part in body:
            await self._writable.wait()
            if self._transport is None:
                return
            self._transport.write(part)


def _notice_dead_peer(sock: socket.socket) -> None:
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    )
    for level, option, value in options:
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)


async def open_connection(host: str, port: int, timeout_s: float) -> TargetConnection:
    """Open a connection to a target.

    Raises:
      NotSent: it could not be opened in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(TargetConnection, host, port)
    except (OSError, TimeoutError) as e:
        raise NotSent(f"no connection: {e!r}") from None
    return connection
