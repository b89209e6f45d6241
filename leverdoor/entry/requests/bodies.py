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
PIECE_BYTES = 64 * 1024
"""Bytes of a buffered part that are sent at once.

A greater value holds more memory for each upload to a slow target. A smaller one costs
more system calls.
"""


class BodyPrefix(msgspec.Struct, frozen=True):
    """The part of a body that was read before the request was forwarded."""

    data: bytes | memoryview = b""
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
    entry_request.body = _BodyStream(request, entry_request, received, max_bytes)
    prefix = memoryview(received)[:MAX_BUFFERED_BODY_BYTES]
    return BodyPrefix(prefix, -1 if length is None else length)


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
                chunk = await request.read_chunk(keep=True)
                if not chunk:
                    return bytes(received), True
                received += chunk
    except TimeoutError:
        raise Refusal(Code.BODY_TOO_SLOW, f"{len(received)} bytes received") from None
    except BodyError as e:
        raise Refusal(Code.BAD_REQUEST, repr(e)) from None
    return bytes(received), False


class _BodyStream:
    """The parts of a long body as they arrive, framed as chunks if needed."""

    def __init__(
        self,
        request: Request,
        entry_request: EntryRequest,
        received: bytes,
        max_bytes: int,
    ) -> None:
        """Create the stream.

        Args:
          request: the request of the client.
          entry_request: says how the parts are framed.
          received: the part of the body that was read already.
          max_bytes: greatest length that is accepted.
        """
        self._request = request
        self._entry_request = entry_request
        self._received = received
        self._max_bytes = max_bytes

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Begin to pass the body on; it cannot be sent again afterwards."""
        self._entry_request.stream_started = True
        self._request.passed_on = True
        return self._frame(self._parts())

    async def _parts(self) -> AsyncIterator[bytes]:
        """Yield the part that was read already in pieces, then what arrives.

        Whoever sends waits between two pieces until the last one is sent, so that
        memory is freed at the pace of the target.
        """
        received, self._received = self._received, b""
        size = len(received)
        for start in range(0, size, PIECE_BYTES):
            # The piece that is sent stays counted.
            self._request.kept_bytes = max(size - start, PIECE_BYTES)
            yield received[start : start + PIECE_BYTES]
        del received
        while chunk := await self._request.read_chunk():
            yield chunk

    async def _frame(self, parts: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        """Yield parts as chunks, if their length was not declared.

        Raises:
          Refusal: the body exceeds the greatest length.
        """
        chunked = self._entry_request.chunked
        size = 0
        async for part in parts:
            size += len(part)
            if size > self._max_bytes:
                raise Refusal(
                    Code.BODY_TOO_LARGE,
                    f"body exceeds the limit of {self._max_bytes} bytes, "
                    f"{size} received",
                )
            yield b"%x\r\n%b\r\n" % (len(part), part) if chunked else part
        if chunked:
            yield LAST_CHUNK
