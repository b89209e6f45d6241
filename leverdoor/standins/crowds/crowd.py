# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What the clients of a crowd send, and at which pace.

Owns no state.
"""

import msgspec

__all__ = ["CROWDS", "Crowd", "Endpoint", "request_head"]

HOUR_MS = 3_600_000
"""Deadline of clients that keep their requests for as long as they can, in ms."""
CHUNK_OF_ONE = b"1\r\nx\r\n"
"""A chunk of one byte: six bytes for each byte of the body."""
KB = 1_000
"""Bytes of a kilobyte, as descriptions of crowds count."""
READ_BYTES = 64 * KB
"""Bytes of an answer that clients read at once unless their crowd says otherwise."""


class Endpoint(msgspec.Struct, frozen=True):
    """Where requests of a crowd go."""

    address: str
    """Address as ip:port."""
    path: str
    host: str = "records.example"
    method: str = "POST"


class Crowd(msgspec.Struct, frozen=True):
    """Clients that all do the same; a closed connection is opened again."""

    name: str
    connections: int
    framing: str = ""
    """Header that frames the body, such as `Content-Length: 5`; "" for no body."""
    fields: int = 0
    """Number of short fields in each head."""
    requests: int = 1
    """Requests that each client sends ahead; 0 to send nothing at all."""
    body_bytes: int = 0
    """Bytes of the body that are sent at once."""
    start: bytes = b""
    """What is sent once after the requests."""
    repeated: bytes = b""
    """What is sent afterwards, again and again."""
    interval_s: float = 0.0
    """Time between two of these, in seconds; 0 for as fast as the server reads."""
    ends_head: bool = True
    """Whether the head is complete."""
    read_bytes: int = READ_BYTES
    """Bytes of answers that are read at once; 0 to read none."""
    read_interval_s: float = 0.0
    """Time between two reads, in seconds; 0 for as fast as the server sends."""
    reset_s: float = 0.0
    """Time after which a connection is reset, in seconds; 0 to keep it."""
    addresses: int = 1
    """Number of loopback addresses from which the clients come."""
    deadline_ms: int = 5_000
    """Deadline that the requests name, in ms."""


_CROWDS = (
    Crowd("body-but-one", 900, "Content-Length: 520000", body_bytes=519_999),
    Crowd("large-body", 300, "Content-Length: 8000000", body_bytes=8_000_000),
    Crowd(
        "stalled-upload",
        600,
        "Content-Length: 2000000",
        body_bytes=700 * KB,
        deadline_ms=HOUR_MS,
    ),
    Crowd("short-fields", 300, fields=12_500),
    Crowd("short-fields-ahead", 120, fields=12_500, requests=8),
    Crowd(
        "chunks-of-one",
        250,
        "Transfer-Encoding: chunked",
        repeated=CHUNK_OF_ONE * 10_000,
    ),
    Crowd("silent", 4_600, requests=0),
    Crowd(
        "one-byte",
        4_600,
        "Content-Length: 1000",
        body_bytes=1,
        deadline_ms=HOUR_MS,
    ),
    Crowd("slow-head", 4_600, ends_head=False, repeated=b"a: b\r\n", interval_s=1.0),
    Crowd(
        "endless-chunks",
        100,
        "Transfer-Encoding: chunked",
        repeated=b"%x\r\n" % (256 * KB) + bytes(256 * KB) + b"\r\n",
    ),
    Crowd("unread-answers", 300, requests=6_000, read_bytes=0),
    Crowd("unread-eight", 200, requests=8, read_bytes=0),
    Crowd(
        "far-over-limit",
        150,
        "Content-Length: 4000000000",
        repeated=bytes(256 * KB),
    ),
    Crowd(
        "slow-body",
        400,
        "Content-Length: 100000",
        repeated=b"xx",
        interval_s=0.01,
        deadline_ms=HOUR_MS,
    ),
    Crowd("whole-bodies", 300, "Content-Length: 500000", body_bytes=500 * KB),
    Crowd("body-in-pieces", 300, "Content-Length: 500000", repeated=bytes(1 * KB)),
    Crowd(
        "endless-trailers",
        250,
        "Transfer-Encoding: chunked",
        start=b"1\r\nx\r\n0\r\n",
        repeated=b"a:b\r\n" * 4_000,
    ),
    Crowd(
        "endless-extension",
        250,
        "Transfer-Encoding: chunked",
        start=b"1;",
        repeated=b"x" * (16 * KB),
    ),
    Crowd("requests-ahead", 2_000, requests=200, read_bytes=0),
    Crowd("slow-readers", 1_000, requests=2, read_bytes=2 * KB, read_interval_s=0.1),
    Crowd(
        "resets",
        900,
        "Content-Length: 520000",
        body_bytes=200 * KB,
        reset_s=0.3,
    ),
    Crowd(
        "one-byte-from-many",
        4_600,
        "Content-Length: 1000",
        body_bytes=1,
        deadline_ms=HOUR_MS,
        addresses=200,
    ),
)
CROWDS = {crowd.name: crowd for crowd in _CROWDS}
"""Kinds of clients that were met, by name."""


def request_head(crowd: Crowd, endpoint: Endpoint, request_id: str) -> bytes:
    """Return the head of a request, without its empty line if the crowd sends none."""
    method = endpoint.method if crowd.framing else "GET"
    lines = [
        f"{method} {endpoint.path} HTTP/1.1",
        f"Host: {endpoint.host}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {crowd.deadline_ms}",
    ]
    if crowd.framing:
        lines.append(crowd.framing)
    lines += ["a:b"] * crowd.fields
    end = "\r\n\r\n" if crowd.ends_head else "\r\n"
    return ("\r\n".join(lines) + end).encode()
