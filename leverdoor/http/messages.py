# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP messages: headers, requests with a body that is read as it arrives, responses.

A request owns the received part of its body until it is read; the connection that
receives it pauses when that part exceeds `BODY_BUFFER_BYTES`. All of it is lost with
the connection. Texts are decoded as latin-1, so that each byte is passed on as
received.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from urllib.parse import parse_qsl

__all__ = [
    "BODY_BUFFER_BYTES",
    "BodyError",
    "Headers",
    "Request",
    "Response",
    "decode_value",
]

BODY_BUFFER_BYTES = 64 * 1024
"""Received bytes of a body above which its connection stops reading.

A greater value costs memory for each upload to a slow target. A smaller one costs more
changes between reading and pausing.
"""


class BodyError(Exception):
    """The body of a request is malformed or ended before its end was received."""


def decode_value(value: str) -> str:
    """Return the text of a header value that was sent as UTF-8."""
    return value.encode("latin-1").decode("utf-8", "surrogateescape")


class Headers:
    """An ordered list of header names and values; names match in any case."""

    __slots__ = ("_first", "_items")

    def __init__(self, items: Iterable[tuple[str, str]] = ()) -> None:
        """Initialize the list with names and values, in order."""
        self._items = list(items)
        self._first: dict[str, str] | None = None
        """First value by name in lower case; None until one is looked up."""

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a header, or the default."""
        return self._index().get(name.lower(), default)

    def get_all(self, name: str) -> list[str]:
        """Return all values of a header, in order."""
        wanted = name.lower()
        if wanted not in self._index():
            return []
        return [value for key, value in self._items if key.lower() == wanted]

    def add(self, name: str, value: str) -> None:
        """Append a header; equal names stay."""
        self._items.append((name, value))
        self._first = None

    def remove(self, name: str) -> None:
        """Remove all values of a header."""
        wanted = name.lower()
        self._items = [item for item in self._items if item[0].lower() != wanted]
        self._first = None

    def items(self) -> Iterable[tuple[str, str]]:
        """Return names and values, in order."""
        return self._items

    def __contains__(self, name: object) -> bool:
        """Return whether there is a header of that name."""
        return str(name).lower() in self._index()

    def _index(self) -> dict[str, str]:
        """Return the first values by name, so that each look-up is not a search."""
        if self._first is None:
            self._first = {}
            for key, value in self._items:
                self._first.setdefault(key.lower(), value)
        return self._first


class Request:
    """A received request; its body may still be arriving."""

    __slots__ = (
        "_buffer",
        "_error",
        "_on_read",
        "_send_continue",
        "_waiter",
        "arrived_at",
        "body_complete",
        "content_length",
        "has_body",
        "head_bytes",
        "headers",
        "kept_bytes",
        "method",
        "passed_on",
        "target",
        "version",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        version: str = "1.1",
        arrived_at: float = 0.0,
        head_bytes: int = 0,
    ) -> None:
        """Initialize the request from its head.

        Args:
          method: the method, in upper case.
          target: the request target as sent.
          headers: its headers.
          version: "1.0" or "1.1".
          arrived_at: loop time at which its head was complete, in seconds.
          head_bytes: bytes that the process holds for its head.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.version = version
        self.arrived_at = arrived_at
        self.head_bytes = head_bytes
        length = headers.get("Content-Length")
        self.content_length = int(length) if length else None
        """Length of the body in bytes; None if it is not declared."""
        self.has_body = bool(self.content_length) or "Transfer-Encoding" in headers
        self.body_complete = not self.has_body
        """Whether the whole body was received."""
        self.kept_bytes = 0
        """Read bytes of the body that the handler keeps."""
        self.passed_on = False
        """Whether a part of the request may have left this process."""
        self._buffer = bytearray()
        """The received part of the body that is not read yet."""
        self._error: BodyError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._on_read: Callable[[], None] | None = None
        self._send_continue: Callable[[], None] | None = None

    @property
    def path(self) -> str:
        """Return the path of the target as sent, without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> Mapping[str, str]:
        """Return the decoded parameters of the query; the first of each name."""
        query = self.target.partition("?")[2]
        return dict(reversed(parse_qsl(query, keep_blank_values=True)))

    @property
    def expects_continue(self) -> bool:
        """Return whether the client awaits the interim response 100."""
        return self.headers.get("Expect").lower() == "100-continue"

    @property
    def buffered(self) -> int:
        """Return the number of received bytes of the body that are not read yet."""
        return len(self._buffer)

    def send_continue(self) -> None:
        """Send the interim response 100, once."""
        if self._send_continue is not None:
            self._send_continue()
            self._send_continue = None

    @property
    def awaits_continue(self) -> bool:
        """Return whether the client may still wait for the interim response."""
        if self.body_complete or self._buffer or self._send_continue is None:
            return False
        return self.expects_continue

    async def read_chunk(self, keep: bool = False) -> bytes:
        """Return the received part of the body, waiting for it; b"" at its end.

        Args:
          keep: whether the handler keeps the part, which counts as held then.
        Raises:
          BodyError: the body is malformed, or the connection ended before it did.
        """
        while not self._buffer:
            if self._error is not None:
                raise self._error
            if self.body_complete:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = bytes(self._buffer)
        self._buffer.clear()
        if keep:
            self.kept_bytes += len(data)
        if self._on_read is not None:
            self._on_read()
        return data

    # Called by the connection.

    def attach(
        self, on_read: Callable[[], None], send_continue: Callable[[], None]
    ) -> None:
        """Connect the request with the connection that receives it.

        Args:
          on_read: called when buffered bytes of the body were read.
          send_continue: sends the interim response 100.
        """
        self._on_read = on_read
        self._send_continue = send_continue

    def detach(self) -> None:
        """Disconnect the request from a connection that has dropped it."""
        self._on_read = None
        self._send_continue = None
        self._buffer.clear()

    def feed(self, data: bytes) -> None:
        """Add a received part of the body."""
        self._buffer += data
        self._wake()

    def end_body(self) -> None:
        """Mark the body as completely received."""
        self.body_complete = True
        self._wake()

    def fail_body(self, error: BodyError) -> None:
        """Let reading fail after the received part; ignored once it is complete."""
        if not self.body_complete:
            self._error = error
            self._wake()

    def discard(self) -> None:
        """Drop the received part of the body, which nobody will read."""
        self._buffer.clear()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class Response:
    """A complete response."""

    __slots__ = ("body", "close", "headers", "reason", "status")

    def __init__(
        self,
        status: int,
        reason: str = "",
        headers: Headers | None = None,
        body: bytes | bytearray = b"",
        close: bool = False,
    ) -> None:
        """Initialize the response.

        Args:
          status: the HTTP status.
          reason: the reason phrase; "" means the standard one.
          headers: headers without framing and Date, which the connection adds.
          body: the whole body.
          close: whether the connection closes after it.
        """
        self.status = status
        self.reason = reason
        self.headers = headers if headers is not None else Headers()
        self.body = body
        self.close = close
