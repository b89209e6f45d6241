# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What a connection of the server needs: its limits, and parts of the server.

Owns no state.
"""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

from leverdoor.http.connection_resources import ConnectionResources
from leverdoor.http.messages import Request, Response

if TYPE_CHECKING:
    from leverdoor.http.server_connection import ServerConnection

__all__ = ["ConnectionLimits", "ServerHooks"]


class ConnectionLimits(Protocol):
    """What a client may send, and how long it may take or be idle."""

    @property
    def header_bytes(self) -> int:
        """Greatest length of a request target and of a header, in bytes."""

    @property
    def header_timeout_ms(self) -> int:
        """Longest time for the head of a request, in ms."""

    @property
    def idle_timeout_ms(self) -> int:
        """Longest time between two requests, or without reading an answer, in ms."""


class ServerHooks(Protocol):
    """What a connection needs of its server; `HttpServer` documents it."""

    handle: Callable[[Request], Awaitable[Response]]
    may_repeat: Callable[[Request], bool]
    on_overlap: Callable[[], None]
    on_unread: Callable[[], None]
    refuse: Callable[[Request], Response]
    connections: "set[ServerConnection]"
    resources: ConnectionResources
    leaving: bool
