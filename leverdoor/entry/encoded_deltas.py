# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The deltas that other entries fetch, as they are sent.

Many entries fetch the same delta after a change, so it is encoded once. Entries that
were cut off fetch from many positions at once; the cache is bounded in bytes. Owns the
deltas encoded at the current position, which are lost with the process. Relies on the
local copy of the store's state.
"""

import zlib
from typing import NamedTuple

from leverdoor.codec import pack
from leverdoor.model.position import START, Position
from leverdoor.storage.fetching import DEFLATE
from leverdoor.storage.state import State

__all__ = ["EncodedDelta", "EncodedDeltas"]

COMPRESSION_THRESHOLD_BYTES = 1_400
"""Size in bytes above which a delta exceeds one packet and is compressed.

A smaller value spends processor time on deltas that fit one packet anyway. A greater
value sends more bytes over narrow links.
"""
ZLIB_LEVEL = 1
"""zlib compression level for deltas.

Greater levels block the event loop, and so requests, for longer and save few bytes.
"""
MAX_CACHED_BYTES = 4 * 1024 * 1024
"""Bytes of encoded deltas that are kept.

Four of the store's largest value, not compressed. With a greater value, entries that
fetch from many positions exhaust the memory of a VM. With a smaller one, deltas of
large values are encoded again for each of them.
"""


class EncodedDelta(NamedTuple):
    """A delta as it is sent."""

    data: bytes
    coding: str
    """Its HTTP content coding."""


class EncodedDeltas:
    """Encodes the changes after a position, and keeps the results of late."""

    def __init__(self, state: State) -> None:
        """Create an empty cache for a replica."""
        self._state = state
        self._by_position: dict[Position, EncodedDelta] = {}
        """By the position after which the changes begin, the oldest first."""
        self._bytes = 0
        self._encoded_at = START
        """Position up to which the cached deltas lead."""

    def get(self, since: Position) -> EncodedDelta:
        """Return the encoded changes that a replica at a position lacks."""
        if self._encoded_at != self._state.position:
            self._encoded_at = self._state.position
            self._by_position.clear()
            self._bytes = 0
        if not self._state.log_covers(since):
            since = START
        found = self._by_position.get(since)
        if found is None:
            found = _encode(pack(self._state.delta(since)))
            self._keep(since, found)
        return found

    def _keep(self, since: Position, delta: EncodedDelta) -> None:
        self._by_position[since] = delta
        self._bytes += len(delta.data)
        while self._bytes > MAX_CACHED_BYTES:
            oldest = next(iter(self._by_position))
            self._bytes -= len(self._by_position.pop(oldest).data)


def _encode(data: bytes) -> EncodedDelta:
    if len(data) <= COMPRESSION_THRESHOLD_BYTES:
        return EncodedDelta(data, "identity")
    return EncodedDelta(zlib.compress(data, ZLIB_LEVEL), DEFLATE)
