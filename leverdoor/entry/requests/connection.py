# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One HTTP/1.1 connection to a target, which matches answers to requests by their id.

An HTTP client library gives no control over this: a surplus answer that comes late must
not be taken for the next request's, a request must never be sent again unseen, and a
connection whose request body was not sent whole must never be used again.

Owns the request on the connection. Relies on `replies` for parsing.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import httptools

from leverdoor.entry.requests.replies import ReplyParser, TargetReply
from leverdoor.entry.requests.tcp_keepalive import notice_dead_peer

__all__ = ["AnswerLost", "NotSent", "TargetConnection", "Withdrawn", "open_connection"]


class NotSent(Exception):
    """Not one byte of the request was sent.

    Attributes:
      refused: the target's VM answered that nothing listens there.
    """

    def __init__(self, why: str, refused: bool = False) -> None:
        """Create it with its reason."""
        super().__init__(why)
        self.refused = refused


class Withdrawn(Exception):
    """The target stopped taking requests before anything of this one was sent."""


class AnswerLost(Exception):
    """The request went out and no whole answer came.

    Attributes:
      unreachable: the target did not even acknowledge what was sent.
      closed: the target, or the kernel of its VM, ended the connection.
    """

    def __init__(
        self, why: str, unreachable: bool = False, closed: bool = False
    ) -> None:
        """Create it with its reason."""
        super().__init__(why)
        self.unreachable = unreachable
        self.closed = closed


class _Pending:
    """The request on a connection whose answer is awaited."""

    def __init__(self, request_id: str, id_header: str) -> None:
        self.request_id = request_id
        self.id_header = id_header
        self.answer: asyncio.Future[TargetReply] = asyncio.Future()


class TargetConnection(asyncio.Protocol):
    """One connection; it carries one request at a time."""

    def __init__(self, take_report: Callable[[TargetReply], None]) -> None:
        """Create it; the loop's `create_connection` opens it.

        Args:
          take_report: called with each whole answer to a request.
        """
        self._take_report = take_report
        self._transport: asyncio.Transport | None = None
        self._parser = ReplyParser(self._take_reply)
        self._pending: _Pending | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self.usable = True
        """Another request may be sent once the present one has ended."""
        self.idle_since = 0.0
        """Loop time at which its last request ended, in seconds."""
        self.idle_limit_s = 0.0
        """How long it may then be idle before it is closed, in seconds."""

    # The transport's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport and set how soon a dead VM is noticed."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            notice_dead_peer(sock)

    def pause_writing(self) -> None:
        """Hold the request's body back: the target does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Go on with the request's body."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that belong to no request end the connection."""
        if self._pending is None:
            self._fail("bytes that belong to no request")
            return
        try:
            self._parser.feed(data)
        except (httptools.HttpParserError, ValueError) as e:
            self._fail(f"not an answer: {e!r}")

    def eof_received(self) -> bool:
        """End an answer that has no length; anything else is cut short."""
        if self._pending is not None:
            self._parser.end()
        self._fail("closed by the target", closed=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that was on the connection."""
        unreachable = isinstance(exc, TimeoutError)
        self._fail(f"connection lost: {exc!r}", unreachable, closed=not unreachable)

    def _fail(self, why: str, unreachable: bool = False, closed: bool = False) -> None:
        """Close the connection; its request, if there is one, has lost its answer."""
        self.usable = False
        self._writable.set()
        pending = self._pending
        if pending is not None and not pending.answer.done():
            pending.answer.set_exception(AnswerLost(why, unreachable, closed))
        self.close()

    def _take_reply(self, reply: TargetReply, keeps: bool) -> None:
        """Match a whole answer to the request on the connection.

        Args:
          reply: the answer; one with the id of another request is dropped.
          keeps: whether the target keeps the connection open after it.
        """
        pending = self._pending
        if pending is None or pending.answer.done():
            # A second answer to one request: its bytes belong to nobody.
            self.usable = False
            return
        if reply.get(pending.id_header) not in ("", pending.request_id):
            return
        self._take_report(reply)
        if not keeps:
            self.usable = False
        pending.answer.set_result(reply)

    # The caller's side.

    @property
    def closed(self) -> bool:
        """Whether no more requests can be sent on it."""
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
        pending = self._pending = _Pending(request_id, id_header)
        self._parser.bodyless = bodyless
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
        """Send the parts of a body as fast as the target reads."""
        async for part in body:
            await self._writable.wait()
            if self._transport is None:
                return
            self._transport.write(part)


async def open_connection(
    host: str,
    port: int,
    timeout_s: float,
    take_report: Callable[[TargetReply], None],
) -> TargetConnection:
    """Open a connection to a target.

    Args:
      host: of the target.
      port: of the target.
      timeout_s: longest time to connect.
      take_report: called with each whole answer to a request on it.
    Raises:
      NotSent: it could not be opened in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: TargetConnection(take_report), host, port
            )
    except (OSError, TimeoutError) as e:
        refused = isinstance(e, ConnectionRefusedError)
        raise NotSent(f"no connection: {e!r}", refused) from None
    return connection
