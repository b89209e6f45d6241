# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Bounds of the replies of targets: what is legal passes, what never ends does not."""

import httptools
import pytest

from leverdoor.entry.requests.replies import ReplyFault, ReplyParser, TargetReply
from leverdoor.standins.broken_targets import ENDLESS_REPLIES

MAX_BODY_BYTES = 1024 * 1024
PIECE_BYTES = 4 * 1024
HARMLESS = ("after-a-reply", "replies-to-others", "zeros", "status-line")
"""Kinds that are malformed, or whose every reply is whole."""


def parse(data: bytes, piece_bytes: int = PIECE_BYTES) -> list[TargetReply]:
    replies: list[TargetReply] = []
    parser = ReplyParser(lambda reply, _: replies.append(reply), MAX_BODY_BYTES)
    for start in range(0, len(data), piece_bytes):
        parser.feed(data[start : start + piece_bytes])
    return replies


def chunked(body: bytes, chunk_bytes: int = 1, extension: bytes = b"") -> bytes:
    chunks = [body[i : i + chunk_bytes] for i in range(0, len(body), chunk_bytes)]
    return b"".join(b"%x%s\r\n%s\r\n" % (len(c), extension, c) for c in chunks)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\n"
        + b"".join(b"f%d: %s\r\n" % (i, b"v" * 50) for i in range(990))
        + b"Content-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nCookie: "
        + b"c" * 60_000
        + b"\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" * 300
        + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunked(b"o" * 30_000)
        + b"0\r\nT: v\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunked(b"o" * 200_000, 100, b";signature=" + b"s" * 80)
        + b"0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        + b"o" * MAX_BODY_BYTES,
    ],
    ids=["fields", "long field", "interim", "chunks of one", "signed chunks", "long"],
)
def test_a_legal_reply_at_the_bounds_is_parsed(data: bytes) -> None:
    assert [reply.status for reply in parse(data)] == [200]


def test_a_legal_reply_that_arrives_byte_by_byte_is_parsed() -> None:
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n" + b"o" * 30_000
    assert len(parse(data, 1)[0].body) == 30_000


@pytest.mark.parametrize("kind", [k for k in ENDLESS_REPLIES if k not in HARMLESS])
def test_a_reply_without_end_is_ended_within_the_bounds(kind: str) -> None:
    reply = ENDLESS_REPLIES[kind]
    parser = ReplyParser(lambda *_: None, MAX_BODY_BYTES)
    with pytest.raises((httptools.HttpParserError, ValueError)):
        parser.feed(reply.start)
        for _ in range(2 * MAX_BODY_BYTES // PIECE_BYTES):
            for start in range(0, len(reply.endless), PIECE_BYTES):
                parser.feed(reply.endless[start : start + PIECE_BYTES])
    assert parser.fault is not ReplyFault.MALFORMED


def test_a_length_beyond_the_bound_is_refused_before_the_body_arrives() -> None:
    parser = ReplyParser(lambda *_: None, MAX_BODY_BYTES)
    with pytest.raises(httptools.HttpParserCallbackError):
        parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n")
    assert parser.fault is ReplyFault.LONG_BODY
