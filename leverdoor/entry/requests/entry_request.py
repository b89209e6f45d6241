# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The state of one client request, from routing to its last attempt.

Owns no state beyond the request, which contains its placement data.
"""

from collections.abc import AsyncIterable

import msgspec

from leverdoor.entry.placement.placement_request import PlacementRequest

__all__ = ["MAX_BUFFERED_BODY_BYTES", "EntryRequest"]

MAX_BUFFERED_BODY_BYTES = 512 * 1024
"""Maximum length of a body that is buffered before it is forwarded, in bytes.

A buffered body can be sent again to another target. A greater value lowers the number
of concurrent uploads that exhaust the memory of a VM; it is 600 with this value and
300 MB. With a smaller one, more uploads fail when a target refuses to run them.
"""


class EntryRequest(msgspec.Struct):
    """A client request with its placement data and the parts sent to a target."""

    placement_request: PlacementRequest
    method: str
    path: str
    """Path and query as received."""
    headers: list[tuple[str, str]]
    """Headers forwarded to the target, including Host."""
    body: bytes | AsyncIterable[bytes] = b""
    """The whole body, or the parts of a streamed body."""
    chunked: bool = False
    """Whether the body is sent in chunks because its length is unknown."""
    stream_started: bool = False
    """Whether reading of a streamed body has started; it cannot be resent then."""

    @property
    def replayable(self) -> bool:
        """Return whether the request can be sent to another target."""
        return isinstance(self.body, bytes) or not self.stream_started

    @property
    def min_body_size(self) -> int:
        """Return the body's size in bytes, or its lower bound if it is streamed."""
        return (
            len(self.body) if isinstance(self.body, bytes) else MAX_BUFFERED_BODY_BYTES
        )
