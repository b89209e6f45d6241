# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Parses the requests that a client sends on a connection.

Strict where two readers could take different bytes for the next request: anything but
CRLF, conflicting or repeated lengths, a length beside chunks and codings other than
chunked are malformed. Owns the partially received request; lost with the connection.
Relies on httptools.
"""

import asyncio
from typing import Protocol

import httptools

from leverdoor.http.messages import Headers, Request
from leverdoor.http.parse_scheduler import REQUEST_WORK

__all__ = [
    "DENSE_BYTES",
    "PARSED_BYTES",
    "MalformedRequest",
    "RequestParser",
    "RequestReceiver",
]

HEAD_FIELDS = 4
"""Greatest size of a head, in multiples of the greatest size of a field.

A greater value lets slow clients hold more memory. A smaller one refuses requests
whose fields are each within their limit.
"""
PARSED_BYTES = 16 * 1024
"""Greatest number of bytes that are parsed at once.

A greater value lets many short requests in one packet exceed the connection's bound on
unanswered requests by more. A smaller one costs processor time for each body.
"""
FIELD_BYTES = 512
"""Bytes that the process holds for each field of a head, besides its text.

The received and the forwarded field, both as objects of their own, its place in the
index by name, and its line of the head that is sent to a target.
"""
DENSE_BYTES = 2 * 1024
"""Greatest number of bytes that are parsed at once where each may be costly.

A head of short fields takes a fifth of a callback for a byte.
"""
KNOWN_NAMES = {
    b"accept": "Accept",
    b"accept-encoding": "Accept-Encoding",
    b"connection": "Connection",
    b"content-length": "Content-Length",
    b"content-type": "Content-Type",
    b"host": "Host",
    b"transfer-encoding": "Transfer-Encoding",
    b"user-agent": "User-Agent",
}
"""Frequent header names; requests share one text for each, in this spelling."""


class MalformedRequest(Exception):
    """The received bytes are no acceptable request.

    Attributes:
      status: HTTP status of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Initialize the error with its status and reason."""
        super().__init__(reason)
        self.status = status


class RequestReceiver(Protocol):
    """Takes the parts of requests, in the order of receipt."""

    def start_request(self, request: Request, keep_alive: bool) -> None:
        """Take a request whose head is complete."""

    def receive_body(self, data: bytes) -> None:
        """Take a part of the body of the newest request."""

    def end_request(self) -> None:
        """Note that the newest request is complete."""


class RequestParser:
    """Parses the successive requests on one connection."""

    __slots__ = (
        "_field_bytes",
        "_headers",
        "_keep_alive",
        "_max_bytes",
        "_parser",
        "_receiver",
        "_request",
        "_status",
        "_stopping",
        "_target",
        "_body",
        "_unframed_bytes",
        "ended",
        "head_bytes",
        "in_head",
        "work",
    )

    def __init__(self, receiver: RequestReceiver, header_bytes: int) -> None:
        """Initialize the parser.

        Args:
          receiver: takes the parts of requests.
          header_bytes: greatest length of the request target and of each field.
        """
        self._receiver = receiver
        self._max_bytes = header_bytes
        # Each refers to the other; `release` separates them.
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._field_bytes = 0
        """Received bytes of the head, or of trailers and chunk extensions."""
        self._request: Request | None = None
        self._keep_alive = True
        self._status = 400
        self._stopping = False
        self._unframed_bytes = 0
        """Bytes of a body that are still to come past the library."""
        self.ended = False
        """Whether no further request is accepted; received bytes are ignored."""
        self.in_head = False
        """Whether the head of a request is partially received."""
        self.head_bytes = 0
        """Bytes that the process holds for the partially received head."""
        self.work = 0
        """Callbacks of the library since the connection was opened."""
        self._body = bytearray()
        """The part of a body in the bytes that are parsed now."""

    @property
    def in_body(self) -> bool:
        """Return whether the body of a request is partially received."""
        return self._request is not None

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
          MalformedRequest: they are no acceptable request; none is parsed after them.
        """
        if self._unframed_bytes:
            data = self._take_unframed(data)
        if self.ended or not data:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as e:
            self.feed(data[e.args[0] :])
            return
        except httptools.HttpParserError as e:
            if self.ended:
                return
            self._pass_body()
            self.ended = True
            raise MalformedRequest(self._status, repr(e)) from None
        self._pass_body()
        if self.in_head or self.in_body:
            self._count_fields(len(data))

    def _count_fields(self, size: int) -> None:
        """Limit the bytes that come before the body, or between its parts."""
        self._field_bytes += size
        if self._field_bytes > HEAD_FIELDS * self._max_bytes + PARSED_BYTES:
            self.ended = True
            raise MalformedRequest(431, "fields too long")

    def stop(self) -> None:
        """Accept no request whose head is not complete yet."""
        self._stopping = True
        self.ended = self.ended or not self.in_body

    def release(self) -> None:
        """Accept nothing more, and free what is held for the connection."""
        self.ended = True
        self._request = None
        self._headers = []
        self._target = b""
        self.head_bytes = 0
        del self._parser, self._receiver

    def _take_unframed(self, data: bytes) -> bytes:
        """Pass on the body of a request that asks for another protocol.

        The library ends such a request before its body. Returns the bytes behind it.
        """
        body = data[: self._unframed_bytes]
        self._unframed_bytes -= len(body)
        self.on_body(body)
        self._pass_body()
        if not self._unframed_bytes:
            self.on_message_complete()
        return data[len(body) :]

    def _reject(self, status: int, reason: str) -> None:
        self._status = status
        raise ValueError(reason)

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Reset the state for the next request."""
        self.in_head = not self.ended
        self._target = b""
        self._headers = []
        self._field_bytes = 0
        self.head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.work += 1
        self._target += url
        self.head_bytes += len(url)
        if len(self._target) > self._max_bytes:
            self._reject(431, "request target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers of a chunked body are ignored."""
        self.work += 1
        if self._request is not None or self.ended:
            return
        if len(name) + len(value) > self._max_bytes:
            self._reject(431, "header too long")
        text = KNOWN_NAMES.get(name.lower()) or name.decode("latin-1")
        self._headers.append((text, value.decode("latin-1")))
        self.head_bytes += FIELD_BYTES + len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Pass on a request whose head is complete."""
        if self.ended:
            return
        version = self._parser.get_http_version()
        headers = Headers(self._headers)
        self._check_framing(version, headers)
        method = self._parser.get_method()
        if method == b"CONNECT":
            self._reject(400, "tunnels are not supported")
        request = Request(
            method.decode("latin-1"),
            self._target.decode("latin-1"),
            headers,
            version,
            asyncio.get_running_loop().time(),
            self.head_bytes,
        )
        self.in_head = False
        self._headers = []
        self.head_bytes = 0
        self._request = request if request.has_body else None
        if self._parser.should_upgrade():
            self._unframed_bytes = request.content_length or 0
        self._keep_alive = self._parser.should_keep_alive()
        self.work += REQUEST_WORK
        self._receiver.start_request(request, self._keep_alive)

    def _check_framing(self, version: str, headers: Headers) -> None:
        """Reject what others may read differently: version, host, transfer coding."""
        if version not in ("1.0", "1.1"):
            self._reject(400, f"version {version}")
        hosts = headers.get_all("Host")
        if len(hosts) > 1 or (not hosts and version == "1.1"):
            self._reject(400, f"{len(hosts)} headers Host")
        codings = headers.get_all("Transfer-Encoding")
        if not codings:
            return
        chunked = [coding.strip().lower() for coding in codings] == ["chunked"]
        if version == "1.0" or not chunked or self._parser.should_upgrade():
            self._reject(400, f"transfer coding {codings}")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body, which may be a single byte."""
        self.work += 1
        self._body += body

    def _pass_body(self) -> None:
        """Pass on the parts of a body that were parsed at once."""
        if not self._body:
            return
        body = bytes(self._body)
        self._body.clear()
        self._field_bytes = 0
        if not self.ended:
            self._receiver.receive_body(body)

    def on_message_complete(self) -> None:
        """Pass on the end of a request."""
        self._pass_body()
        if self.ended or self._unframed_bytes:
            return
        self._request = None
        self.ended = self._stopping or not self._keep_alive
        self._receiver.end_request()
