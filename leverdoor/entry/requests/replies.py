# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Parses the replies that a target sends on a connection.

Owns the partially received reply, which is lost with its connection; the request then
fails. Relies on httptools for parsing HTTP/1.1.
"""

import re
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import httptools
import msgspec

from leverdoor.http.reply_proof import has_second_status_line

__all__ = ["MAX_BODY_BYTES", "ReplyFault", "ReplyParser", "TargetReply"]

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Maximum length of a reply body in bytes; a fifth of the memory of a 300 MB VM.

`ReplyMemory` lowers it on smaller VMs. With a greater value, a few concurrent replies
exhaust the memory of the VM. With a smaller one, long downloads fail.
"""
MAX_HEAD_BYTES = 64 * 1024
"""Maximum length of the head of a reply in bytes, interim replies before it included.

Eight times the usual limit of HTTP servers. With a greater value, a faulty target
exhausts memory. With a smaller one, replies with many cookies fail.
"""
MAX_FIELDS = 1_000
"""Maximum number of headers and trailers of a reply, interim replies included.

Ten times the usual limit of HTTP clients. Each takes about 500 bytes, however short.
"""
MAX_SMALL_PARTS = 32 * 1024
"""Parts of any length in which a body may arrive, such as chunks of one byte.

A body of 32 KiB may come byte by byte. With a greater value, parsing the reply of a
faulty target takes the time of others.
"""
MIN_MEAN_PART_BYTES = 64
"""Mean length in bytes of the parts beyond `MAX_SMALL_PARTS`."""
CHUNK_FRAME_BYTES = 256
"""Length of the size, extension and line ends of a chunk that is allowed, in bytes."""
BODYLESS_STATUSES = frozenset({204, 304})
"""HTTP statuses of replies that have no body regardless of their headers."""
FIRST_FINAL_STATUS = 200
"""First status of final replies; smaller ones are interim (1xx) replies."""
DECIMAL = re.compile(r"[0-9]{1,20}", re.ASCII)
"""A length of at most 20 digits, which the parser accepts."""


class ReplyFault(StrEnum):
    """What is wrong with the bytes that a target sent as a reply."""

    MALFORMED = "malformed"
    """They are no HTTP reply, or their head is ambiguous."""
    LONG_HEAD = "long head"
    LONG_BODY = "long body"
    SMALL_PARTS = "small parts"
    """The body comes in too many parts, or with too many bytes between them."""
    SURPLUS = "surplus"
    """Too many replies to other requests came before its own."""
    UNPROVEN = "unproven"
    """Nothing proves that the reply belongs to the request."""
    CUT = "cut"
    """The connection ended in the middle of the reply."""

    @property
    def is_excess(self) -> bool:
        """Whether the reply exceeded a bound, which no working server does."""
        return self in (
            ReplyFault.LONG_HEAD,
            ReplyFault.LONG_BODY,
            ReplyFault.SMALL_PARTS,
            ReplyFault.SURPLUS,
        )


class TargetReply(msgspec.Struct):
    """A complete reply of a target."""

    status: int
    reason: bytes
    headers: list[tuple[str, str]]
    """Names in lower case and values, in the order of receipt."""
    body: bytes | bytearray
    early: bool = False
    """Whether it arrived before the whole request body was sent."""
    via: str = ""
    """Name of the peer that carried it; "" if the connection was direct."""

    def get(self, name: str) -> str:
        """Return the first value of a header (name in lower case), or "" if absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return ""

    def get_all(self, name: str) -> list[str]:
        """Return all values of a header (name in lower case), in order."""
        return [value for key, value in self.headers if key == name]


class ReplyParser:
    """Parses the successive replies on one connection."""

    def __init__(
        self,
        on_reply: Callable[[TargetReply, bool], None],
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Initialize the parser.

        Args:
          on_reply: called with each complete reply, and with whether the target keeps
            the connection open afterwards.
          max_body_bytes: maximum length of a body.
        """
        self._on_reply = on_reply
        self._max_body_bytes = max_body_bytes
        self._parser: Any = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._reason = b""
        self._self_delimited = False
        """Whether the reply ends before the connection does."""
        self._headers_complete = False
        self.in_message = False
        """Whether a part of a reply was received, and not its end."""
        self.fault = ReplyFault.MALFORMED
        """What is wrong with the reply if `feed` has raised an error."""
        self.reply_has_no_body = False
        """Whether replies have no body regardless of their headers (HEAD requests)."""
        self.work = 0
        """Callbacks of the parser so far, about a microsecond each."""
        self._in_body = False
        """Whether the head of a final reply is complete."""
        self._reset_counts()

    def _reset_counts(self) -> None:
        self._framing_bytes = 0
        """Bytes that belong to no body, since the request or the last final reply."""
        self._body_bytes = 0
        self._fields = 0
        self._parts = 0

    def start(self, reply_has_no_body: bool) -> None:
        """Expect the reply to another request.

        Args:
          reply_has_no_body: whether it has no body regardless of its headers.
        """
        self.reply_has_no_body = reply_has_no_body
        self._reset_counts()

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        What the parser holds of a message exceeds a bound by the length of the data.

        Raises:
          httptools.HttpParserError: the reply is malformed, or a callback failed.
          ValueError: the reply is too long.
        """
        self._framing_bytes += len(data)
        self._parser.feed_data(data)
        if not self._in_body and self._framing_bytes > MAX_HEAD_BYTES:
            raise self._too_long(ReplyFault.LONG_HEAD)
        if self._framing_bytes > MAX_HEAD_BYTES + CHUNK_FRAME_BYTES * self._parts:
            raise self._too_long(ReplyFault.SMALL_PARTS)

    def discard(self) -> None:
        """Free what a reply holds that will not be completed; `feed` must not follow.

        The error that ended it refers to the parser, which would otherwise live on
        until garbage is collected.
        """
        self._parser = None
        self._headers = []
        self._body = bytearray()
        self._reason = b""

    def _too_long(self, fault: ReplyFault) -> ValueError:
        self.fault = fault
        return ValueError(f"reply exceeds its bounds: {fault}")

    def feed_eof(self) -> None:
        """Complete a reply that is delimited by the end of the connection."""
        if self._headers_complete and not self._self_delimited:
            self._complete()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Reset the state for the next reply."""
        self.work += 1
        self.in_message = True
        self._in_body = False
        self._headers = []
        self._body = bytearray()
        self._reason = b""
        self._self_delimited = False
        self._headers_complete = False

    def on_status(self, status: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.work += 1
        self._fields += 1
        if self._fields > MAX_FIELDS:
            raise self._too_long(ReplyFault.LONG_HEAD)
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        if has_second_status_line(text):
            raise ValueError(f"status line in the header {key}")
        self._headers.append((key, text))
        if key == "content-length" or (
            key == "transfer-encoding" and b"chunked" in value.lower()
        ):
            self._self_delimited = True

    def on_headers_complete(self) -> None:
        """Determine whether a body follows and how it is delimited."""
        self._headers_complete = True
        if has_second_status_line(self._reason.decode("latin-1")):
            raise ValueError("status line in the reason phrase")
        status = self._parser.get_status_code()
        self._in_body = status >= FIRST_FINAL_STATUS
        if status < FIRST_FINAL_STATUS or status in BODYLESS_STATUSES:
            self._self_delimited = True
        if self.reply_has_no_body and status >= FIRST_FINAL_STATUS:
            self._self_delimited = True
            self._complete()
        elif self._announced_bytes() > self._max_body_bytes:
            raise self._too_long(ReplyFault.LONG_BODY)

    def _announced_bytes(self) -> int:
        """Return the length that the head announces, 0 if it announces none."""
        for key, value in self._headers:
            if key == "content-length" and DECIMAL.fullmatch(value.strip()):
                return int(value)
        return 0

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.work += 1
        self._parts += 1
        self._body_bytes += len(body)
        self._framing_bytes -= len(body)
        if self._body_bytes > self._max_body_bytes:
            raise self._too_long(ReplyFault.LONG_BODY)
        if self._parts > MAX_SMALL_PARTS + self._body_bytes // MIN_MEAN_PART_BYTES:
            raise self._too_long(ReplyFault.SMALL_PARTS)
        self._body += body

    def on_message_complete(self) -> None:
        """Complete a reply."""
        self.in_message = False
        self._complete()

    def _complete(self) -> None:
        """Pass a final reply to the callback once; ignore interim replies."""
        if not self._headers_complete:
            return
        self._headers_complete = False
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        self._reset_counts()
        reply = TargetReply(status, self._reason, self._headers, self._body)
        self._body = bytearray()
        closing = reply.get("connection").lower() == "close"
        keep_alive = (
            self._self_delimited and self._parser.should_keep_alive() and not closing
        )
        self._on_reply(reply, keep_alive)
