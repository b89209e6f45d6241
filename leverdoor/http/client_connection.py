# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An HTTP/1.1 client connection that carries one call at a time, without TLS.

Distinguishes calls that were not sent (`ConnectFailed`) from those that may have been
executed (`CallTimedOut`, `ResponseLost`). A call is never sent again. Owns the call in
progress; it fails when the connection is lost. Relies on httptools to parse responses.
"""

import asyncio
import re
from typing import Any, NamedTuple

import httptools

__all__ = [
    "MAX_RESPONSE_BYTES",
    "CallTimedOut",
    "ClientConnection",
    "ConnectFailed",
    "HttpCallError",
    "HttpResponse",
    "ResponseLost",
    "ResponseTooLong",
    "open_connection",
]

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Maximum length of the headers and body of a response, in bytes.

More than twice the state at the planned size of the system. A response is held up to
three times while it is read and parsed: with a greater value, one response exhausts the
memory of a small VM.
"""
MAX_HEAD_BYTES = 64 * 1024
"""Maximum length of the head of a response, interim responses before it included."""
CHUNK_FRAME_BYTES = 256
"""Length of the size, extension and line ends of a chunk that is allowed, in bytes."""
MAX_RECEIVED_BYTES = 2 * MAX_RESPONSE_BYTES
"""Maximum length of a response as received, with the framing of its chunks."""
FIRST_FINAL_STATUS = 200
"""First status of final responses; smaller ones are interim (1xx) responses."""
DECIMAL = re.compile(r"[0-9]{1,20}", re.ASCII)
"""A length of at most 20 digits, which the parser accepts."""
BODYLESS_STATUSES = frozenset({204, 304})
"""HTTP statuses of responses that have no body regardless of their headers."""


class HttpCallError(Exception):
    """A call has no complete response."""


class ConnectFailed(HttpCallError):
    """No connection was opened, so the call was not sent."""


class CallTimedOut(HttpCallError, TimeoutError):
    """The connection or the complete response did not arrive in time.

    The call may have been executed.
    """


class ResponseLost(HttpCallError):
    """The call was sent, and no complete response will arrive.

    The call may have been executed.
    """


class ResponseTooLong(ResponseLost):
    """The response exceeds `MAX_RESPONSE_BYTES`; it was not received whole."""


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    headers: dict[str, str]
    """The last value of each header, by its name in lower case."""
    body: bytes


class ClientConnection(asyncio.Protocol):
    """A connection that carries one call at a time.

    It does not support HEAD, whose responses announce bodies that do not follow.
    """

    def __init__(self) -> None:
        """Initialize the protocol; `open_connection` connects it."""
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[HttpResponse] | None = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._reset_message()
        self._received_bytes = 0
        """Bytes received since the call was sent."""
        self._parts = 0
        """Parts of bodies received since the call was sent."""
        self._received_at = 0.0
        """Loop time of the last received byte, in seconds."""
        self.reusable = True
        """Whether another call may be sent after the current one."""

    # Methods that the transport calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no call is in progress."""
        if self._response is None:
            self._fail("received bytes without a call")
            return
        self._received_at = asyncio.get_running_loop().time()
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            if self._length > MAX_RESPONSE_BYTES:
                self._fail_with(ResponseTooLong(f"over {MAX_RESPONSE_BYTES} bytes"))
            else:
                self._fail(f"malformed response: {e!r}")
            return
        if self._response.done():
            return
        framing_bytes = self._received_bytes - len(self._body)
        if framing_bytes > MAX_HEAD_BYTES + CHUNK_FRAME_BYTES * self._parts:
            self._fail_with(ResponseTooLong("head, chunk or trailers without end"))
        elif self._received_bytes > MAX_RECEIVED_BYTES:
            self._fail_with(ResponseTooLong(f"over {MAX_RECEIVED_BYTES} bytes"))

    def eof_received(self) -> bool:
        """Complete a response without length, or fail the call if it is incomplete."""
        if self._headers_complete and not self._self_delimited:
            self._complete()
        self._fail("closed by the peer")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in progress."""
        self._fail(f"connection lost: {exc!r}")

    def _fail(self, reason: str) -> None:
        """Close the connection and fail its call, if any."""
        self._fail_with(ResponseLost(reason))

    def _fail_with(self, error: ResponseLost) -> None:
        response = self._response
        if response is not None and not response.done():
            response.set_exception(error)
        self.close()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Reset the state; a second response to one call ends the connection's use."""
        self._reset_message()
        if self._response is None or self._response.done():
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._add_length(len(name) + len(value))
        key = name.decode("latin-1").lower()
        self._headers[key] = value.decode("latin-1")
        if key in ("content-length", "transfer-encoding"):
            self._self_delimited = True

    def on_headers_complete(self) -> None:
        """Record whether the response ends without the end of the connection."""
        self._headers_complete = True
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS or status in BODYLESS_STATUSES:
            self._self_delimited = True
        elif self._announced_bytes() > MAX_RESPONSE_BYTES:
            self._add_length(self._announced_bytes())

    def _announced_bytes(self) -> int:
        """Return the length that the head announces, 0 if it announces none."""
        text = self._headers.get("content-length", "")
        return int(text) if DECIMAL.fullmatch(text.strip()) else 0

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._add_length(len(body))
        self._parts += 1
        self._body += body

    def on_message_complete(self) -> None:
        """Complete a final response; ignore an interim one."""
        if self._parser.get_status_code() >= FIRST_FINAL_STATUS:
            self._complete()

    def _reset_message(self) -> None:
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._length = 0
        self._headers_complete = False
        self._self_delimited = False

    def _discard(self) -> None:
        """Free what was received; errors of the parser refer to it otherwise."""
        self._parser = None
        self._reset_message()

    def _add_length(self, count: int) -> None:
        self._length += count
        if self._length > MAX_RESPONSE_BYTES:
            raise ValueError(f"response exceeds {MAX_RESPONSE_BYTES} bytes")

    def _complete(self) -> None:
        """Pass the response to the call."""
        response = self._response
        if response is None or response.done():
            return
        if not self._self_delimited or not self._parser.should_keep_alive():
            self.reusable = False
        status = self._parser.get_status_code()
        response.set_result(HttpResponse(status, self._headers, bytes(self._body)))
        self._reset_message()

    # Methods that the client calls.

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or must not be used again."""
        return self._transport is None or not self.reusable

    def close(self) -> None:
        """Abort the connection."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    async def exchange(
        self, request: bytes, deadline: float | None, silence_s: float | None
    ) -> HttpResponse:
        """Send a call and wait for its complete response.

        The connection is closed if the call fails or is cancelled.

        Args:
          request: head and body of the call.
          deadline: loop time in seconds by which the response must be complete; None
            for no limit.
          silence_s: longest time without a received byte, in seconds; None for no
            limit.
        Raises:
          ConnectFailed: the connection was already closed.
          CallTimedOut: the response was not complete in time.
          ResponseLost: the connection ended, or the response is invalid.
        """
        if self._transport is None or not self.reusable:
            raise ConnectFailed("connection closed before use")
        loop = asyncio.get_running_loop()
        self._received_at = loop.time()
        self._received_bytes = 0
        self._parts = 0
        response: asyncio.Future[HttpResponse] = loop.create_future()
        self._response = response
        try:
            self._transport.write(request)
            await self._wait(response, deadline, silence_s)
            return response.result()
        except BaseException:
            self.close()
            raise
        finally:
            self._response = None
            if not self.reusable:
                self.close()
                self._discard()

    async def _wait(
        self,
        response: asyncio.Future[HttpResponse],
        deadline: float | None,
        silence_s: float | None,
    ) -> None:
        """Wait until the response is complete or failed.

        Raises:
          CallTimedOut: one of the limits of `exchange` has passed.
        """
        loop = asyncio.get_running_loop()
        while not response.done():
            limits = [] if deadline is None else [deadline]
            if silence_s is not None:
                limits.append(self._received_at + silence_s)
            remaining_s = min(limits) - loop.time() if limits else None
            if remaining_s is not None and remaining_s <= 0:
                raise CallTimedOut("no complete response in time")
            await asyncio.wait((response,), timeout=remaining_s)


async def open_connection(
    host: str, port: int, timeout_s: float | None
) -> ClientConnection:
    """Open a connection.

    Args:
      host: IP address of the peer.
      port: its TCP port.
      timeout_s: connect timeout in seconds; None for no limit.
    Raises:
      ConnectFailed: the connection was refused or its peer is unreachable.
      CallTimedOut: the connection was not opened in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(ClientConnection, host, port)
    except TimeoutError as e:
        raise CallTimedOut(f"no connection in time: {e!r}") from None
    except OSError as e:
        raise ConnectFailed(f"no connection: {e!r}") from None
    return connection
