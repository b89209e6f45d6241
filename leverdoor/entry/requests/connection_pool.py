# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""ConnectionPool to targets that are kept for the next request.

Owns the idle connections, by target, and which services' targets forget them; lost with
the process. A connection is in use by one request at most, so an answer that comes late
can't reach another one. Relies on `connection` for the exchange itself.
"""

import asyncio
from collections.abc import Callable, Mapping

from leverdoor.entry.requests.connection import (
    AnswerLost,
    NotSent,
    TargetConnection,
    Withdrawn,
    open_connection,
)
from leverdoor.entry.requests.idle_timeouts import IdleTimeouts
from leverdoor.entry.requests.outgoing import Outgoing
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.model.resources import Target
from leverdoor.quarantine.ended_targets import TargetCheck
from leverdoor.settings import parse_address

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT_S = 0.4
"""Longest time to connect within the region, in seconds.

One lost packet (0.2 s) is borne, a dead target is left before 0.5 s.
"""
REMOTE_CONNECT_TIMEOUT_S = 0.8
"""The same for other regions, whose round trip takes up to 0.11 s.

Greater, a request waits longer for a dead target before it is retried; smaller, a lost
packet on the way between regions counts as a dead target.
"""
IDLE_S = 4.0
"""How long a connection is kept where the target names no time, in seconds.

Below the 5 s after which common servers close. Greater, requests are sent on
connections that the target closes; smaller, more connections are opened.
"""
IDLE_MARGIN_S = 1.5
"""Taken off the time that a target names, in seconds.

A request must not be on its way while the target closes. Greater, more connections are
opened; smaller, requests that must not run twice fail.
"""
MAX_IDLE = 16
"""Idle connections kept for each target.

Several times its 4 to 6 slots. Greater, idle connections use up the number that a
target takes; smaller, a burst of requests opens new ones.
"""

IDLE_PART = 0.8
"""Part of the connections that a target takes from all entries which may be idle ones;
the rest is for those that are opened for a request."""


class ConnectionPool:
    """Kept connections by target; at most one request on each."""

    def __init__(
        self,
        id_header: str,
        region: str,
        log_forgotten: Callable[[str], None],
        take_report: Callable[[Target, TargetReply], None],
    ) -> None:
        """Create it without any connection.

        Args:
          id_header: the header, in lower case, that carries a request's id.
          region: this entry's region.
          log_forgotten: called with a service whose targets forget connections.
          take_report: called with each whole answer to a request as it arrives.
        """
        self._take_report = take_report
        self._log_forgotten = log_forgotten
        self._idle_timeouts = IdleTimeouts()
        self._id_header = id_header
        self._region = region
        self._idle: dict[str, list[TargetConnection]] = {}
        self.entries = 1
        """How many entries there are, this one included, silent ones too."""
        self.max_connections: Mapping[str, int] = {}
        """By service, connections that a target takes from all entries; 0 for any
        number."""
        self.opened = 0
        """ConnectionPool that were opened so far."""

    async def exchange(
        self, target: Target, outgoing: Outgoing, may_send: Callable[[], bool]
    ) -> TargetReply:
        """Send a request to a target and wait for the whole answer.

        Args:
          target: where to send it.
          outgoing: the request.
          may_send: asked once there is a connection: whether the target still takes
            requests.
        Raises:
          Withdrawn: it does not.
          NotSent: no byte was sent.
          AnswerLost: the request may have run.
        """
        now = asyncio.get_running_loop().time()
        connection = self._take(target, now)
        idle_s = 0.0 if connection is None else now - connection.idle_since
        if connection is None:
            connection = await self._open(target)
        if not may_send():
            connection.close()
            raise Withdrawn
        try:
            reply = await connection.exchange(
                outgoing.head,
                outgoing.body,
                outgoing.request_id,
                self._id_header,
                outgoing.method == "HEAD",
            )
        except AnswerLost:
            self._lost(target.service, idle_s, now)
            raise
        self._keep(target, connection, reply.get("keep-alive"))
        return reply

    async def check(self, target: Target) -> TargetCheck:
        """Find out by a new connection whether a target still serves; keep that."""
        try:
            connection = await self._open(target)
        except NotSent as e:
            return TargetCheck.ENDED if e.refused else TargetCheck.SILENT
        self._keep(target, connection, "")
        return TargetCheck.SERVES

    def _lost(self, service: str, idle_s: float, sent_at: float) -> None:
        """Learn from a lost answer whether targets forget idle connections."""
        now = asyncio.get_running_loop().time()
        if self._idle_timeouts.lost(service, idle_s, now - sent_at, now):
            self._log_forgotten(service)

    def _take(self, target: Target, now: float) -> TargetConnection | None:
        """Return the idle connection used last, if it is young enough."""
        longest_s = self._idle_timeouts.longest_s(target.service, now)
        kept = self._idle.get(target.name, [])
        while kept:
            connection = kept.pop()
            if connection.closed:
                continue
            limit_s = min(connection.idle_limit_s, longest_s)
            if now - connection.idle_since < limit_s:
                return connection
            connection.close()
        return None

    async def _open(self, target: Target) -> TargetConnection:
        """Open a connection; one to another region is given more time."""
        address = parse_address(target.address)
        near = target.region == self._region
        timeout_s = CONNECT_TIMEOUT_S if near else REMOTE_CONNECT_TIMEOUT_S
        self.opened += 1
        return await open_connection(
            address.host,
            address.port,
            timeout_s,
            lambda reply: self._take_report(target, reply),
        )

    def _keep(
        self, target: Target, connection: TargetConnection, keep_alive: str
    ) -> None:
        """Keep a connection for the next request, if it can be used again.

        Args:
          target: whose it is.
          connection: nothing is under way on it.
          keep_alive: the Keep-Alive header of its last answer; "" for none.
        """
        if connection.closed:
            return
        kept = self._idle.setdefault(target.name, [])
        if len(kept) >= self._most_idle(target.service):
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        connection.idle_limit_s = _idle_limit_s(keep_alive)
        kept.append(connection)

    def _most_idle(self, service: str) -> int:
        """Return how many idle connections are kept for a target of a service.

        A target resets what all entries together open beyond its bound. An even part
        sums up to it at any number of entries, and one that is not used costs no room:
        a request that finds no idle connection opens one.
        """
        most = self.max_connections.get(service, 0)
        if not most:
            return MAX_IDLE
        return min(MAX_IDLE, int(IDLE_PART * most / self.entries))

    def idle_count(self, target: Target) -> int:
        """Return how many idle connections to a target are kept."""
        return len(self._idle.get(target.name, ()))

    def close_expired(self, now: float) -> None:
        """Close what has been idle for too long.

        Args:
          now: loop time in seconds.
        """
        for name, kept in list(self._idle.items()):
            fresh = []
            for connection in kept:
                old = now - connection.idle_since >= connection.idle_limit_s
                if connection.closed or old:
                    connection.close()
                else:
                    fresh.append(connection)
            self._idle[name] = fresh
            if not fresh:
                del self._idle[name]

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a target that is gone."""
        for connection in self._idle.pop(name, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for name in list(self._idle):
            self.close_idle(name)


def _idle_limit_s(keep_alive: str) -> float:
    """Return how long a connection may be idle, from a Keep-Alive header."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return IDLE_S
