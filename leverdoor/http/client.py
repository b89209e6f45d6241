# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An HTTP/1.1 client for calls by IP address, which are sent at most once.

It has no TLS, name look-ups, redirects, cookies or decompression. Owns the idle
connections by address; they are lost with the process. Relies on `client_connection`
for the exchange of one call, and on the event loop's clock.
"""

import asyncio
from collections.abc import Mapping
from urllib.parse import urlencode

from leverdoor.errors import SettingsError
from leverdoor.http.client_connection import (
    ClientConnection,
    ConnectFailed,
    HttpResponse,
    open_connection,
)
from leverdoor.settings import parse_address

__all__ = ["IDLE_TIMEOUT_S", "HttpClient"]

IDLE_TIMEOUT_S = 15.0
"""Idle time after which a connection is closed, in seconds; common among clients."""


class _IdleConnection:
    """A connection without a call, and the loop time since which it has none."""

    def __init__(self, connection: ClientConnection, since: float) -> None:
        self.connection = connection
        self.since = since


class HttpClient:
    """Makes calls and keeps their connections for further ones."""

    def __init__(
        self, idle_s: float = IDLE_TIMEOUT_S, silence_s: float | None = None
    ) -> None:
        """Create a client without opening a connection.

        Args:
          idle_s: idle time after which a connection is closed, in seconds.
          silence_s: longest time to open a connection, and longest time without a
            byte of a response, in seconds; None for no limit.
        """
        self._idle_s = idle_s
        self._silence_s = silence_s
        self._idle: dict[str, list[_IdleConnection]] = {}
        """Idle connections by address, the one that became idle last at the end."""
        self._in_use: set[ClientConnection] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Close all connections; calls in progress fail."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        for connections in self._idle.values():
            for idle in connections:
                idle.connection.close()
        self._idle.clear()
        for connection in list(self._in_use):
            connection.connection_lost(None)

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> HttpResponse:
        """Make one call.

        Args:
          method: any method but HEAD.
          address: `ip:port` of the peer.
          path: encoded path.
          query: query parameters, not encoded.
          headers: headers besides `Host` and `Content-Length`.
          body: body of the call; None for no body.
          timeout_s: time for the whole call, in seconds; None for no limit.
        Raises:
          ConnectFailed: the call was not sent.
          CallTimedOut: a time limit passed; the call may have been executed.
          ResponseLost: the call may have been executed.
        """
        loop = asyncio.get_running_loop()
        deadline = None if timeout_s is None else loop.time() + timeout_s
        request = serialize_request(method, address, path, query, headers, body)
        connection = self._take_idle(address)
        if connection is None:
            connection = await self._connect(address, timeout_s)
        self._in_use.add(connection)
        try:
            response = await connection.exchange(request, deadline, self._silence_s)
        finally:
            self._in_use.discard(connection)
        if not connection.closed:
            self._keep(address, connection)
        return response

    async def _connect(self, address: str, timeout_s: float | None) -> ClientConnection:
        limits = [s for s in (timeout_s, self._silence_s) if s is not None]
        try:
            to = parse_address(address)
        except SettingsError as e:
            raise ConnectFailed(str(e)) from None
        return await open_connection(to.host, to.port, min(limits, default=None))

    def _take_idle(self, address: str) -> ClientConnection | None:
        """Take the connection that became idle last, if one may be used."""
        self._close_expired()
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop().connection
            if not connection.closed:
                return connection
        self._idle.pop(address, None)
        return None

    def _keep(self, address: str, connection: ClientConnection) -> None:
        """Keep a connection for further calls and close it after its idle time."""
        loop = asyncio.get_running_loop()
        idle = _IdleConnection(connection, loop.time())
        self._idle.setdefault(address, []).append(idle)
        if self._sweep_timer is None:
            self._sweep_timer = loop.call_later(self._idle_s, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timer = None
        self._close_expired()
        if self._idle:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(self._idle_s, self._sweep)

    def _close_expired(self) -> None:
        """Close connections that are idle for too long."""
        oldest = asyncio.get_running_loop().time() - self._idle_s
        for address, connections in list(self._idle.items()):
            kept = []
            for idle in connections:
                if idle.connection.closed:
                    continue
                if idle.since <= oldest:
                    idle.connection.close()
                else:
                    kept.append(idle)
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]


def serialize_request(
    method: str,
    address: str,
    path: str,
    query: Mapping[str, str] | None,
    headers: Mapping[str, str] | None,
    body: bytes | None,
) -> bytes:
    """Serialize the head and body of a call; see `HttpClient.call`."""
    target = f"{path}?{urlencode(query, safe='/')}" if query else path
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    lines.extend(f"{name}: {value}" for name, value in (headers or {}).items())
    if body is not None or method != "GET":
        lines.append(f"Content-Length: {len(body or b'')}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")
