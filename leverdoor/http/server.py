# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An HTTP/1.1 server: its connections, what handles their requests, and its end.

Owns the set of open connections; lost with the process.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from leverdoor.http.connection_resources import ConnectionResources
from leverdoor.http.messages import Request, Response
from leverdoor.http.server_connection import ServerConnection
from leverdoor.http.server_hooks import ConnectionLimits

__all__ = ["DEFAULT_LIMITS", "FixedLimits", "HttpServer"]


class FixedLimits(msgspec.Struct, frozen=True):
    """Limits of a connection that no configuration sets."""

    header_bytes: int = 16_384
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 75_000
    """The usual keep-alive time of HTTP servers; other entries fetch about that often.
    """


DEFAULT_LIMITS = FixedLimits()


class HttpServer:
    """The connections of listeners, and the handler of their requests."""

    def __init__(
        self,
        handle: Callable[[Request], Awaitable[Response]],
        may_repeat: Callable[[Request], bool] = lambda request: False,
        on_overlap: Callable[[], None] = lambda: None,
        on_unread: Callable[[], None] = lambda: None,
        resources: ConnectionResources | None = None,
        refuse: Callable[[Request], Response] = lambda request: Response(503),
    ) -> None:
        """Initialize the server; it opens no socket.

        Args:
          handle: returns the response to a request. It is cancelled if the client
            leaves, or if the connection closes after an earlier response.
          may_repeat: returns whether a request may run more than once, and so beside
            others of its connection.
          on_overlap: called when a request starts beside an earlier one of its
            connection.
          on_unread: called when a connection pauses because its client does not read.
          resources: what the connections of all servers of the process share; by
            default, those of this server share it.
          refuse: returns the response to a request whose body is not received any more,
            because all connections hold too much.
        """
        self.handle = handle
        self.may_repeat = may_repeat
        self.on_overlap = on_overlap
        self.on_unread = on_unread
        self.resources = resources or ConnectionResources()
        self.refuse = refuse
        self.connections: set[ServerConnection] = set()
        """The open connections."""
        self.leaving = False
        """Whether the server ends: a connection then closes after the last request
        that was received on it."""

    def create_connection(
        self, limits: ConnectionLimits = DEFAULT_LIMITS
    ) -> ServerConnection:
        """Return the protocol of a new connection."""
        return ServerConnection(self, limits)

    def unsent_bytes(self) -> int:
        """Return the bytes of all answers that their clients have not taken yet."""
        return sum(connection.unsent_bytes for connection in self.connections)

    async def shutdown(self, timeout_s: float) -> None:
        """Close the idle connections, wait for the others, then abort these.

        Args:
          timeout_s: longest time to wait, in seconds.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        for connection in list(self.connections):
            if not connection.busy:
                connection.force_close()
        while self.connections and loop.time() < until:
            await asyncio.sleep(min(timeout_s / 4, until - loop.time()))
        for connection in list(self.connections):
            connection.abort()
