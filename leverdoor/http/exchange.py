# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A request of a connection and its response.

Owns what is received of the request and not read; lost with the connection.
"""

import asyncio

from leverdoor.http.messages import Request, Response

__all__ = ["Exchange"]


class Exchange:
    """A received request and, once it is ready, its response."""

    __slots__ = ("keep_alive", "request", "response", "task")

    def __init__(self, request: Request | None, keep_alive: bool) -> None:
        """Initialize the exchange without a response.

        Args:
          request: the request; None if the received bytes were no request.
          keep_alive: whether the client may send another request afterwards.
        """
        self.request = request
        self.keep_alive = keep_alive
        self.task: asyncio.Future[Response] | None = None
        """The run of the handler, while it lasts."""
        self.response: Response | None = None

    @property
    def started(self) -> bool:
        """Whether the handler was started, or there is a response without it."""
        return self.task is not None or self.response is not None

    @property
    def held_bytes(self) -> int:
        """Bytes that the process holds for the request and its response."""
        held = 0
        if self.request is not None:
            request = self.request
            held += request.head_bytes + request.buffered + request.kept_bytes
        if self.response is not None:
            held += len(self.response.body)
        return held
