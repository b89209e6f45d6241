# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The buffer into which the connections of a server receive, one after the other.

Thousands of connections that are readable in the same turn of the event loop would
receive more than the VM holds before any of it is processed. What is received in one
turn is therefore bounded; the rest stays in the kernel until the next turn.

Owns the buffer and what the current turn has received.
"""

import asyncio

__all__ = ["ReceiveBuffer"]

READ_BYTES = 64 * 1024
"""Greatest number of bytes that are received at once."""
TURN_BYTES = 4 * 1024 * 1024
"""Bytes that are received in a turn of the event loop before reads become short.

The load of a link of 1,000 Mbit/s in 30 ms. With a greater value, a crowd fills more
memory before connections are evicted. With a smaller one, large uploads take more
turns.
"""
SHORT_READ_BYTES = 2 * 1024
"""Greatest number of bytes that are received at once for the rest of a turn.

It holds the head of an ordinary request.
"""


class ReceiveBuffer:
    """A buffer that all connections of a server share."""

    def __init__(self) -> None:
        """Create the buffer."""
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._turn_bytes = 0
        """Bytes that were received in this turn."""

    def view(self) -> memoryview:
        """Return the part of the buffer to receive into, which is never empty."""
        if self._turn_bytes >= TURN_BYTES:
            return self._buffer[:SHORT_READ_BYTES]
        return self._buffer

    def take(self, count: int) -> bytes:
        """Return the bytes that were just received."""
        if self._turn_bytes == 0:
            asyncio.get_running_loop().call_soon(self._end_turn)
        self._turn_bytes += count
        return bytes(self._buffer[:count])

    def _end_turn(self) -> None:
        self._turn_bytes = 0
