# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One request of a client, from its intake to its last attempt. Owns no state."""

from collections.abc import AsyncIterator

import msgspec

from leverdoor.entry.placement.placement_request import PlacementRequest

__all__ = ["BUFFERED_BODY_BYTES", "EntryRequest"]

BUFFERED_BODY_BYTES = 512 * 1024
"""Longest body that is read whole before it is sent on, in bytes.

A body that is kept can be sent again to another target. Greater, fewer uploads at once
fill the memory of a VM (600 of these a VM of 300 MB); smaller, more uploads fail that a
target refuses to run.
"""


class EntryRequest(msgspec.Struct):
    """A request with its route, its deadline and what is passed to a target."""

    placement_request: PlacementRequest
    method: str
    path: str
    """Path and query, unaltered."""
    headers: list[tuple[str, str]]
    """The client's headers that pass to the target, Host included."""
    body: bytes | AsyncIterator[bytes] = b""
    """The whole body, or the parts of a longer one as they arrive."""
    chunked: bool = False
    """The parts of the body are framed as chunks, since its length is not known."""
    body_started: bool = False
    """A streamed body was begun and can't be sent again."""

    @property
    def replayable(self) -> bool:
        """Return whether it can be sent to another target."""
        return isinstance(self.body, bytes) or not self.body_started

    @property
    def body_size(self) -> int:
        """Return the body's size in bytes; of a streamed one the least it can be."""
        return len(self.body) if isinstance(self.body, bytes) else BUFFERED_BODY_BYTES
