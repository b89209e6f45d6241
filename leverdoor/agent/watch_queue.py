# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The changes that one watcher of the resource API has not been sent yet.

A slow watcher must not fill the agent's memory: the queue is bounded in deltas and in
bytes. What does not fit ends the watch, and the watcher lists again. Owns the queued
deltas; they are lost with the watch.
"""

import asyncio

from leverdoor.storage.state import Delta

__all__ = ["WatchQueue"]

MAX_QUEUED_DELTAS = 1_000
"""Length of a queue, in deltas; suffices for a large apply."""
MAX_QUEUED_BYTES = 2 * 1024 * 1024
"""Bytes of the values in a queue; twice the store's largest value.

With a greater value, a few slow watchers exhaust the memory of a VM. With a smaller
one, a watcher of large resources has to list again after each of them.
"""


class WatchQueue:
    """Deltas in the order of their positions, without a gap."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._deltas: asyncio.Queue[Delta | None] = asyncio.Queue()
        self._bytes = 0
        self._overflowed = False

    def put(self, delta: Delta) -> None:
        """Append a delta, or end the watch if it does not fit."""
        if self._overflowed:
            return
        self._bytes += delta.value_bytes
        fits = self._bytes <= MAX_QUEUED_BYTES or self._deltas.empty()
        if fits and self._deltas.qsize() < MAX_QUEUED_DELTAS:
            self._deltas.put_nowait(delta)
            return
        self._overflowed = True
        while not self._deltas.empty():
            self._deltas.get_nowait()
        self._deltas.put_nowait(None)

    async def get(self) -> Delta | None:
        """Return the next delta; None if the watch has to end."""
        delta = await self._deltas.get()
        if delta is not None:
            self._bytes -= delta.value_bytes
        return delta
