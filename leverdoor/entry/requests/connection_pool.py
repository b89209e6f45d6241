# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The pool of persistent connections to targets.

Owns the idle connections of each target and the services whose targets reset idle
connections; both are lost with the process. A connection carries at most one request
at a time, so a late reply cannot reach another request. Relies on `connection` for the
HTTP exchange and on `connector` for new connections, direct ones or through a peer.
"""

import asyncio
import re
from collections.abc import Callable, Mapping

from leverdoor.entry.requests.connection import (
    ReplyLost,
    RequestNotSent,
    TargetConnection,
    TargetWithdrawn,
)
from leverdoor.entry.requests.connector import Connector, any_region
from leverdoor.entry.requests.idle_timeouts import IdleTimeouts
from leverdoor.entry.requests.outgoing_request import OutgoingRequest
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.http.reply_proof import ReplyNames
from leverdoor.model.resources import Target
from leverdoor.quarantine.crash_checker import TargetCheckResult

__all__ = ["ConnectionPool"]

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
MAX_IDLE_STREAMS = 2
"""Maximum number of idle connections to each target that pass through peers.

They count against the streams that a peer carries. With a greater value, idle ones of
many entries leave a lone peer no room; with a smaller one, more are opened.
"""
IDLE_CONNECTION_SHARE = 0.8
"""Share of a target's connection limit that idle connections of all entries may use.

The rest is available to connections that are opened for a request.
"""

SECONDS = re.compile(r"[0-9]{1,9}", re.ASCII)
"""An idle timeout of a target, in whole seconds; a longer number counts as none."""


class ConnectionPool:
    """Persistent connections by target, each with at most one request in flight."""

    def __init__(
        self,
        names: ReplyNames,
        connector: Connector,
        on_idle_connection_reset: Callable[[str], None],
    ) -> None:
        """Initialize an empty pool.

        Args:
          names: the headers by which replies prove themselves.
          connector: opens connections.
          on_idle_connection_reset: called with each service whose targets reset idle
            connections.
        """
        self.connector = connector
        self._on_idle_connection_reset = on_idle_connection_reset
        self._idle_timeouts = IdleTimeouts()
        self._names = names
        self._idle: dict[str, list[TargetConnection]] = {}
        self.entries = 1
        """Number of entries, including this one and silent ones."""
        self.max_connections: Mapping[str, int] = {}
        """Connections that a target accepts from all entries, by service; 0 if
        unlimited."""

    async def exchange(
        self,
        target: Target,
        request: OutgoingRequest,
        still_accepts: Callable[[], bool],
        may_pass: Callable[[str], bool] = any_region,
        priority: int = 0,
    ) -> TargetReply:
        """Send a request to a target and wait for its complete reply.

        Args:
          target: the target.
          request: the request.
          still_accepts: returns whether the target still accepts requests; called
            once a connection is available.
          may_pass: returns whether the request may pass through a region on its way.
          priority: priority of the request; 0 is the most urgent.
        Raises:
          TargetWithdrawn: the target no longer accepts requests.
          RequestNotSent: no byte was sent.
          ReplyLost: the request may have been executed.
        """
        now = asyncio.get_running_loop().time()
        connection = self._take_idle(target, now, may_pass)
        idle_s = 0.0 if connection is None else now - connection.idle_since
        if connection is None:
            connection = await self.connector.open(target, priority, may_pass)
        if not still_accepts():
            connection.close()
            raise TargetWithdrawn
        try:
            reply = await connection.exchange(
                request.head,
                request.body,
                request.request_id,
                self._names,
                request.method == "HEAD",
            )
        except ReplyLost as e:
            self._record_lost_reply(target, e, idle_s, now)
            raise
        self._release(target, connection, reply.get("keep-alive"))
        return reply

    async def probe(self, target: Target) -> TargetCheckResult:
        """Probe a target by opening a connection, which is kept on success.

        Returns: whether the target accepted the connection, refused it or did not
          respond.
        """
        try:
            connection = await self.connector.open(target, 0, any_region)
        except RequestNotSent as e:
            return (
                TargetCheckResult.ENDED
                if e.connection_refused
                else TargetCheckResult.SILENT
            )
        self._release(target, connection, "")
        return TargetCheckResult.SERVES

    async def probe_link(self, target: Target) -> None:
        """Try a direct connection to a target, which is kept on success."""
        connection = await self.connector.probe_link(target)
        if connection is not None:
            self._release(target, connection, "")

    def _record_lost_reply(
        self, target: Target, error: ReplyLost, idle_s: float, sent_at: float
    ) -> None:
        """Record a lost reply, and report a service that resets idle connections.

        The link of a direct connection is checked if it timed out. A peer that carried
        the connection may be the cause.
        """
        if error.via:
            error.link_lost = True
            return
        if error.unreachable:
            error.link_lost = self.connector.links.must_relay(target)
            self.connector.check(target)
        now = asyncio.get_running_loop().time()
        service = target.service
        if self._idle_timeouts.record_lost_reply(service, idle_s, now - sent_at, now):
            self._on_idle_connection_reset(service)

    def _take_idle(
        self, target: Target, now: float, may_pass: Callable[[str], bool]
    ) -> TargetConnection | None:
        """Return the most recently used idle connection that has not expired.

        Connections that may not carry the request stay idle.
        """
        max_idle_s = self._idle_timeouts.max_idle_s(target.service, now)
        idle = self._idle.get(target.name, [])
        unsuitable = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            if connection.closed:
                continue
            if now - connection.idle_since >= min(
                connection.idle_timeout_s, max_idle_s
            ):
                connection.close()
            elif not self.connector.may_reuse(connection, target, may_pass):
                unsuitable.append(connection)
            else:
                found = connection
        idle.extend(reversed(unsuitable))
        return found

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
        limit = self._max_idle_connections(target.service)
        if connection.via:
            limit = min(limit, MAX_IDLE_STREAMS)
        if len(idle) >= limit:
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
        self.connector.close()
        for name in list(self._idle):
            self.close_idle(name)


def _idle_timeout_s(keep_alive: str) -> float:
    """Return the idle timeout in seconds for a Keep-Alive header."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and SECONDS.fullmatch(value.strip()):
            return max(0.0, int(value) - IDLE_TIMEOUT_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S
