# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One connection of a client: how long it may be idle, and take over a head.

Owns the timer of its connection. Relies on internals of aiohttp's RequestHandler
(`_request_count`, `_messages`) for whether a head is whole.
"""

import asyncio
from collections.abc import Container

from aiohttp import web

from leverdoor.model.resources import ClientLimits

__all__ = ["ClientConnection"]

HEAD_TOO_SLOW = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
"""Sent before a connection is closed whose head did not become whole in time."""


class ClientConnection(web.RequestHandler):
    """The HTTP library's connection, with the limits that it lacks.

    The library closes connections that are idle between requests, but neither those on
    which nothing ever came nor those on which a head comes too slowly.
    """

    def __init__(
        self,
        server: web.Server,
        loop: asyncio.AbstractEventLoop,
        limits: ClientLimits,
        busy: Container[object],
    ) -> None:
        """Create it.

        Args:
          server: what handles the requests.
          loop: the loop.
          limits: what a client may do, as long as the connection is open.
          busy: the connections on which a request is being served.
        """
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=limits.idle_timeout_ms / 1000,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
        )
        self._limits = limits
        self._busy = busy
        self._timer: asyncio.TimerHandle | None = None
        self._in_head = False
        self._own_loop = loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for a first byte, for as long as a connection may be idle."""
        super().connection_made(transport)
        self._expire_after(self._limits.idle_timeout_ms, b"")

    def data_received(self, data: bytes) -> None:
        """Parse what came; from its first byte on a head has a limited time."""
        before = self._request_count
        super().data_received(data)
        if self._request_count > before or self in self._busy or self._messages:
            self._stop_timer()
        elif not self._in_head:
            self._stop_timer()
            self._in_head = True
            self._expire_after(self._limits.header_timeout_ms, HEAD_TOO_SLOW)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer."""
        self._stop_timer()
        super().connection_lost(exc)

    def _expire_after(self, timeout_ms: int, response: bytes) -> None:
        """Close the connection after some time, with a response or without."""
        self._timer = self._own_loop.call_later(
            timeout_ms / 1000, self._expire, response
        )

    def _stop_timer(self) -> None:
        """Stop waiting for a first byte, or for the rest of a head."""
        self._in_head = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self, response: bytes) -> None:
        """Close the connection; a response, if there is one, goes first."""
        self._timer = None
        if self.transport is not None and response:
            self.transport.write(response)
        self.force_close()
