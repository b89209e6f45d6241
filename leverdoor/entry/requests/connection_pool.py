# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The pool of persistent connections to targets.

Owns the idle connections of each target and the services whose targets reset idle
connections; both are lost with the process. A connection carries at most one request
at a time, so a late reply cannot reach another request. Relies on `connection` for the
HTTP exchange.
"""

import asyncio
from collections.abc import Callable, Mapping

from leverdoor.entry.requests.connection import (
    ReplyLost,
    RequestNotSent,
    TargetConnection,
    TargetWithdrawn,
    open_connection,
)
from leverdoor.entry.requests.idle_timeouts import IdleTimeouts
from leverdoor.entry.requests.outgoing_request import OutgoingRequest
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.model.resources import Target
from leverdoor.quarantine.crash_checker import TargetCheckResult
from leverdoor.settings import parse_address

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT_S = 0.4
"""Connect timeout within the region, in seconds.

Tolerates the retransmission of one lost packet (0.2 s) and detects a dead target
before 0.5 s.
"""
REMOTE_CONNECT_TIMEOUT_S = 0.8
"""Connect timeout to other regions, in seconds.

The round trip to another region takes up to 0.11 s. A greater value delays the retry of
a request whose target is dead. With a smaller one, a packet lost between regions makes
a target appear dead.
"""
DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle timeout if the target sends no Keep-Alive header, in seconds.

Less than the 5 s after which common servers close idle connections. With a greater
value, requests are sent on connections that the target is closing. A smaller value
opens more connections.
"""
IDLE_TIMEOUT_MARGIN_S = 1.5
"""Margin subtracted from the idle timeout that a target announces, in seconds.

Prevents a request from being in transit while the target closes the connection. A
greater value opens more connections. With a smaller one, requests that must not run
twice fail.
"""
MAX_IDLE_CONNECTIONS = 16
"""Maximum number of idle connections to each target.

Several times the 4 to 6 concurrent requests that a target runs. With a greater value,
idle connections exhaust the connection limit of a target. With a smaller one, a burst
of requests opens new connections.
"""
IDLE_CONNECTION_SHARE = 0.8
"""Share of a target's connection limit that idle connections of all entries may use.

The rest is available to connections that are opened for a request.
"""


class ConnectionPool:
    """Persistent connections by target, each with at most one request in flight."""

    def __init__(
        self,
        id_header: str,
        region: str,
        on_idle_connection_reset: Callable[[str], None],
        on_reply: Callable[[Target, TargetReply], None],
        on_connect: Callable[[str, str], None] = lambda service, result: None,
    ) -> None:
        """Initialize an empty pool.

        Args:
          id_header: name of the header with the request id, in lower case.
          region: the region of this entry.
          on_idle_connection_reset: called with each service whose targets reset idle
            connections.
          on_reply: called with each complete reply when it arrives.
          on_connect: called with the service and the result of each attempt to open a
            connection: "opened", "refused" or "timeout".
        """
        self._on_connect = on_connect
        self._on_reply = on_reply
        self._on_idle_connection_reset = on_idle_connection_reset
        self._idle_timeouts = IdleTimeouts()
        self._id_header = id_header
        self._region = region
        self._idle: dict[str, list[TargetConnection]] = {}
        self.entries = 1
        """Number of entries, including this one and silent ones."""
        self.max_connections: Mapping[str, int] = {}
        """Connections that a target accepts from all entries, by service; 0 if
        unlimited."""
        self.opened = 0
        """Number of connections opened so far."""

    async def exchange(
        self,
        target: Target,
        request: OutgoingRequest,
        still_accepts: Callable[[], bool],
    ) -> TargetReply:
        """Send a request to a target and wait for its complete reply.

        Args:
          target: the target.
          request: the request.
          still_accepts: returns whether the target still accepts requests; called
            once a connection is available.
        Raises:
          TargetWithdrawn: the target no longer accepts requests.
          RequestNotSent: no byte was sent.
          ReplyLost: the request may have been executed.
        """
        now = asyncio.get_running_loop().time()
        connection = self._take_idle(target, now)
        idle_s = 0.0 if connection is None else now - connection.idle_since
        if connection is None:
            connection = await self._open(target)
        if not still_accepts():
            connection.close()
            raise TargetWithdrawn
        try:
            reply = await connection.exchange(
                request.head,
                request.body,
                request.request_id,
                self._id_header,
                request.method == "HEAD",
            )
        except ReplyLost:
            self._record_lost_reply(target.service, idle_s, now)
            raise
        self._release(target, connection, reply.get("keep-alive"))
        return reply

    async def probe(self, target: Target) -> TargetCheckResult:
        """Probe a target by opening a connection, which is kept on success.

        Returns: whether the target accepted the connection, refused it or did not
          respond.
        """
        try:
            connection = await self._open(target)
        except RequestNotSent as e:
            return (
                TargetCheckResult.ENDED
                if e.connection_refused
                else TargetCheckResult.SILENT
            )
        self._release(target, connection, "")
        return TargetCheckResult.SERVES

    def _record_lost_reply(self, service: str, idle_s: float, sent_at: float) -> None:
        """Record a lost reply, and report a service that resets idle connections."""
        now = asyncio.get_running_loop().time()
        if self._idle_timeouts.record_lost_reply(service, idle_s, now - sent_at, now):
            self._on_idle_connection_reset(service)

    def _take_idle(self, target: Target, now: float) -> TargetConnection | None:
        """Return the most recently used idle connection that has not expired."""
        max_idle_s = self._idle_timeouts.max_idle_s(target.service, now)
        idle = self._idle.get(target.name, [])
        while idle:
            connection = idle.pop()
            if connection.closed:
                continue
            limit_s = min(connection.idle_timeout_s, max_idle_s)
            if now - connection.idle_since < limit_s:
                return connection
            connection.close()
        return None

    async def _open(self, target: Target) -> TargetConnection:
        """Open a connection; other regions have a longer connect timeout."""
        address = parse_address(target.address)
        same_region = target.region == self._region
        timeout_s = CONNECT_TIMEOUT_S if same_region else REMOTE_CONNECT_TIMEOUT_S
        self.opened += 1
        try:
            connection = await open_connection(
                address.host,
                address.port,
                timeout_s,
                lambda reply: self._on_reply(target, reply),
            )
        except RequestNotSent as e:
            result = "refused" if e.connection_refused else "timeout"
            self._on_connect(target.service, result)
            raise
        self._on_connect(target.service, "opened")
        return connection

    def _release(
        self, target: Target, connection: TargetConnection, keep_alive: str
    ) -> None:
        """Return a connection to the pool, or close it if the pool is full.

        Args:
          target: the target of the connection.
          connection: a connection without a request in flight.
          keep_alive: the Keep-Alive header of its last reply; "" if absent.
        """
        if connection.closed:
            return
        idle = self._idle.setdefault(target.name, [])
        if len(idle) >= self._max_idle_connections(target.service):
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        connection.idle_timeout_s = _idle_timeout_s(keep_alive)
        idle.append(connection)

    def _max_idle_connections(self, service: str) -> int:
        """Return the maximum number of idle connections to one target of a service.

        If all entries together exceed the connection limit of a target, it resets the
        excess connections. Each entry therefore keeps at most an equal share idle,
        which stays within the limit for any number of entries. Requests without an
        idle connection open a new one, so unused shares do not restrict them.
        """
        max_connections = self.max_connections.get(service, 0)
        if not max_connections:
            return MAX_IDLE_CONNECTIONS
        return min(
            MAX_IDLE_CONNECTIONS,
            int(IDLE_CONNECTION_SHARE * max_connections / self.entries),
        )

    def idle_count(self, target: Target) -> int:
        """Return the number of idle connections to a target."""
        return len(self._idle.get(target.name, ()))

    def close_expired(self, now: float) -> None:
        """Close the connections that have exceeded their idle timeout.

        Args:
          now: loop time in seconds.
        """
        for name, idle in list(self._idle.items()):
            kept_open = []
            for connection in idle:
                expired = now - connection.idle_since >= connection.idle_timeout_s
                if connection.closed or expired:
                    connection.close()
                else:
                    kept_open.append(connection)
            self._idle[name] = kept_open
            if not kept_open:
                del self._idle[name]

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a target."""
        for connection in self._idle.pop(name, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for name in list(self._idle):
            self.close_idle(name)


def _idle_timeout_s(keep_alive: str) -> float:
    """Return the idle timeout in seconds for a Keep-Alive header."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return max(0.0, int(value) - IDLE_TIMEOUT_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S
