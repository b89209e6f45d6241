# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Reads the body of a client's request: whole if it is short, else as a stream.

A short body is kept, so that it can be sent again. Owns no state.
"""

import asyncio
from collections.abc import AsyncIterator

import msgspec
from aiohttp import web

from leverdoor.entry.requests.entry_request import BUFFERED_BODY_BYTES, EntryRequest
from leverdoor.errors import Code, Refusal

__all__ = ["BodyStart", "take_body"]

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class BodyStart(msgspec.Struct, frozen=True):
    """What was read of a body before any of it was sent on."""

    data: bytes = b""
    """All of a short body, as much as is kept of any of a long one."""
    length: int = 0
    """Of the whole body in bytes; -1 if it is not known."""


async def take_body(
    request: web.BaseRequest, taken: EntryRequest, most_bytes: int
) -> BodyStart:
    """Read a body whole if it is short, and else prepare to stream it.

    Args:
      request: the client's.
      taken: gets the body, and the headers that frame it.
      most_bytes: longest body that is accepted.
    Returns: what was read of it, by which the request is known when it comes again.
    Raises:
      Refusal: the body is too long, too slow or malformed.
    """
    length = request.content_length
    if length is not None and length > most_bytes:
        raise Refusal(Code.BODY_TOO_LARGE)
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE)
        request.writer.output_size = 0
    first, ended = await _read_first(request, taken.placement_request.expires_at)
    if ended:
        taken.body = first
        return BodyStart(first, len(first))
    if length is not None:
        taken.headers.append(("Content-Length", str(length)))
    taken.chunked = length is None
    taken.body = _stream(request, taken, first, most_bytes)
    return BodyStart(first[:BUFFERED_BODY_BYTES], -1 if length is None else length)


async def _read_first(request: web.BaseRequest, until: float) -> tuple[bytes, bool]:
    """Return the first part of a body, and whether that is all of it.

    Raises:
      Refusal: it did not arrive in time, or is malformed.
    """
    read = bytearray()
    try:
        async with asyncio.timeout_at(until):
            while len(read) <= BUFFERED_BODY_BYTES:
                chunk = await request.content.readany()
                if not chunk:
                    return bytes(read), True
                read += chunk
    except TimeoutError:
        raise Refusal(Code.BODY_TOO_SLOW, f"{len(read)} bytes came") from None
    except web.RequestPayloadError as e:
        raise Refusal(Code.BAD_REQUEST, repr(e)) from None
    return bytes(read), False


async def _stream(
    request: web.BaseRequest, taken: EntryRequest, first: bytes, most_bytes: int
) -> AsyncIterator[bytes]:
    """Yield the parts of a long body as they arrive, framed if need be.

    Raises:
      Refusal: it grew too long.
    """
    taken.body_started = True
    size = 0
    chunk = first
    while chunk:
        size += len(chunk)
        if size > most_bytes:
            raise Refusal(Code.BODY_TOO_LARGE)
        if taken.chunked:
            yield b"%x\r\n%b\r\n" % (len(chunk), chunk)
        else:
            yield chunk
        chunk = await request.content.readany()
    if taken.chunked:
        yield LAST_CHUNK
