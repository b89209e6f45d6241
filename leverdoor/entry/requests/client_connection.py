# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Client connections with timeouts for idle connections and slow request headers.

Each connection owns its timer, which is lost when the connection closes. Relies on
internals of aiohttp's RequestHandler (`_request_count`, `_messages`) to detect that
the header section of a request is complete.
"""

import asyncio
from collections.abc import Container

from aiohttp import web

from leverdoor.model.resources import ClientLimits

__all__ = ["ClientConnection"]

HEAD_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
"""Response sent before closing a connection whose request headers came too slowly."""


class ClientConnection(web.RequestHandler):
    """aiohttp's server connection with two additional timeouts.

    aiohttp closes connections that are idle between requests. It does not close
    connections that never send a byte or send their request headers too slowly.
    """

    def __init__(
        self,
        server: web.Server,
        loop: asyncio.AbstractEventLoop,
        limits: ClientLimits,
        busy_connections: Container[object],
    ) -> None:
        """Initialize the connection.

        Args:
          server: the server that handles the requests.
          loop: the event loop.
          limits: the client limits that apply until the connection closes.
          busy_connections: the connections with a request in flight.
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
        self._busy_connections = busy_connections
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._in_head = False
        # The attribute of aiohttp with the loop is private.
        self._own_loop = loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout within which the first byte must arrive."""
        super().connection_made(transport)
        self._start_timer(self._limits.idle_timeout_ms, b"")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; the first byte of a request starts its head timeout."""
        request_count = self._request_count
        super().data_received(data)
        # A head is complete, a request is in flight, or a parsed request is queued.
        if (
            self._request_count > request_count
            or self in self._busy_connections
            or self._messages
        ):
            self._stop_timer()
        elif not self._in_head:
            self._stop_timer()
            self._in_head = True
            self._start_timer(self._limits.header_timeout_ms, HEAD_TIMEOUT_RESPONSE)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer."""
        self._stop_timer()
        super().connection_lost(exc)

    def _start_timer(self, timeout_ms: int, response: bytes) -> None:
        """Close the connection after a timeout, optionally with a response."""
        self._expiry_timer = self._own_loop.call_later(
            timeout_ms / 1000, self._expire, response
        )

    def _stop_timer(self) -> None:
        """Cancel the timeout for the first byte or for the request headers."""
        self._in_head = False
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None

    def _expire(self, response: bytes) -> None:
        """Send the response, if it is not empty, and close the connection."""
        self._expiry_timer = None
        if self.transport is not None and response:
            self.transport.write(response)
        self.force_close()
