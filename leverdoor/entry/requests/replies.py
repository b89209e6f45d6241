# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Parses what a target sends on one connection into whole answers.

Parsing of HTTP/1.1 is httptools'. Owns the answer that is arriving; lost with its
connection, which then fails the request.
"""

from collections.abc import Callable

import httptools
import msgspec

__all__ = ["ReplyParser", "TargetReply"]

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Longest answer that is read whole, in bytes; a fifth of a VM of 300 MB.

Greater, few answers at once fill the VM's memory; smaller, long downloads are lost.
"""
MAX_HEADER_BYTES = 64 * 1024
"""Longest head of an answer in bytes.

Eight times the common limits of servers. Greater, a faulty target fills memory;
smaller, answers with many cookies are lost.
"""
BODYLESS_STATUSES = frozenset({204, 304})
"""HTTP statuses whose answers have no body, whatever their head says."""
FIRST_FINAL_STATUS = 200
"""HTTP statuses below are interim answers: another one follows."""


class TargetReply(msgspec.Struct):
    """A whole answer."""

    status: int
    reason: bytes
    headers: list[tuple[str, str]]
    """Names in lower case, in the order in which they came."""
    body: bytes
    early: bool = False
    """It came before the request's body was sent whole."""

    def get(self, name: str) -> str:
        """Return the value of a header, by its name in lower case; "" if none."""
        for key, value in self.headers:
            if key == name:
                return value
        return ""

    def all(self, name: str) -> list[str]:
        """Return the values of all headers of a name in lower case, in order."""
        return [value for key, value in self.headers if key == name]


class ReplyParser:
    """The answers on one connection, one after the other."""

    def __init__(self, take: Callable[[TargetReply, bool], None]) -> None:
        """Create it.

        Args:
          take: called with each whole answer, and whether the target keeps the
            connection open after it.
        """
        self._take = take
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._reason = b""
        self._delimited = False
        """The end of the answer shows without the end of the connection."""
        self._in_message = False
        self.bodyless = False
        """Answers have no body whatever their head says: the request was a HEAD."""

    def feed(self, data: bytes) -> None:
        """Parse what came.

        Raises:
          httptools.HttpParserError: it is not an answer, or a part is too long.
          ValueError: the same.
        """
        self._parser.feed_data(data)

    def end(self) -> None:
        """End an answer that only the end of the connection ends."""
        if self._in_message and not self._delimited:
            self._complete()

    # Called by httptools.

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
        """Note that a body follows, if one does."""
        self._in_message = True
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS or status in BODYLESS_STATUSES:
            self._delimited = True
        if self.bodyless and status >= FIRST_FINAL_STATUS:
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
        """Hand an answer over, once; interim ones are passed over."""
        if not self._in_message:
            return
        self._in_message = False
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        reply = TargetReply(status, self._reason, self._headers, bytes(self._body))
        closing = reply.get("connection").lower() == "close"
        keeps = self._delimited and self._parser.should_keep_alive() and not closing
        self._take(reply, keeps)
