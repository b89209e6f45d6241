# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Reads request bodies of clients: short ones into memory, longer ones as a stream.

A buffered body can be sent again in a retry. Owns no state. Relies on the request,
which buffers what its connection receives.
"""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from leverdoor.entry.requests.entry_request import (
    MAX_BUFFERED_BODY_BYTES,
    EntryRequest,
)
from leverdoor.errors import Code, Refusal
from leverdoor.http.messages import BodyError, Request

__all__ = ["BodyPrefix", "read_body"]

LAST_CHUNK = b"0\r\n\r\n"


class BodyPrefix(msgspec.Struct, frozen=True):
    """The part of a body that was read before the request was forwarded."""

    data: bytes = b""
    """The whole body if it is short; otherwise its first
    `MAX_BUFFERED_BODY_BYTES`."""
    body_length: int = 0
    """Length of the whole body in bytes; -1 if unknown."""


async def read_body(
    request: Request, entry_request: EntryRequest, max_bytes: int
) -> BodyPrefix:
    """Read a short body completely, or prepare a longer one for streaming.

    Args:
      request: the request of the client.
      entry_request: modified: its body and the framing of the body are set.
      max_bytes: greatest length that is accepted.
    Returns: the start of the body, from which the request's fingerprint is computed.
    Raises:
      Refusal: the body is too long, arrives too slowly or is malformed.
    """
    length = request.content_length
    if length is not None and length > max_bytes:
        raise Refusal(
            Code.BODY_TOO_LARGE,
            f"body of {length} bytes exceeds the limit of {max_bytes}",
        )
    if request.expects_continue:
        request.send_continue()
    received, complete = await _read_start(
        request, entry_request.placement_request.expires_at
    )
    if complete:
        entry_request.body = received
        return BodyPrefix(received, len(received))
    if length is not None:
        entry_request.headers.append(("Content-Length", str(length)))
    entry_request.chunked = length is None
    entry_request.body = _stream(request, entry_request, received, max_bytes)
    return BodyPrefix(
        received[:MAX_BUFFERED_BODY_BYTES], -1 if length is None else length
    )


async def _read_start(request: Request, deadline_at: float) -> tuple[bytes, bool]:
    """Return the start of a body, and whether it is the whole body.

    Args:
      request: the request of the client.
      deadline: loop time in seconds at which reading is aborted.
    Raises:
      Refusal: the body did not arrive before the deadline, or is malformed.
    """
    received = bytearray()
    try:
        async with asyncio.timeout_at(deadline_at):
            while len(received) <= MAX_BUFFERED_BODY_BYTES:
                chunk = await request.read_chunk()
                if not chunk:
                    return bytes(received), True
                received += chunk
    except TimeoutError:
        raise Refusal(Code.BODY_TOO_SLOW, f"{len(received)} bytes received") from None
    except BodyError as e:
        raise Refusal(Code.BAD_REQUEST, repr(e)) from None
    return bytes(received), False


async def _stream(
    request: Request,
    entry_request: EntryRequest,
    received: bytes,
    max_bytes: int,
) -> AsyncIterator[bytes]:
    """Yield the parts of a long body as they arrive, framed as chunks if needed.

    Raises:
      Refusal: the body exceeds `max_bytes`.
    """
    entry_request.stream_started = True
    size = 0
    chunk = received
    while chunk:
        size += len(chunk)
        if size > max_bytes:
            raise Refusal(
                Code.BODY_TOO_LARGE,
                f"body exceeds the limit of {max_bytes} bytes, {size} received",
            )
        if entry_request.chunked:
            yield b"%x\r\n%b\r\n" % (len(chunk), chunk)
        else:
            yield chunk
        chunk = await request.read_chunk()
    if entry_request.chunked:
        yield LAST_CHUNK
