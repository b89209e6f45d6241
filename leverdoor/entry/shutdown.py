# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Connection draining at a planned stop.

Owns no state; relies on the server's connections to say whether they are busy.
"""

import asyncio

from leverdoor.entry.links.relay_server import RelayServer
from leverdoor.http.server import HttpServer
from leverdoor.http.server_connection import ServerConnection

__all__ = ["STOP_POLL_S", "drain", "drain_streams"]

STOP_POLL_S = 0.02
"""Interval between two checks for requests in flight, in seconds.

A stop ends a few intervals after the last request. A greater value delays it. A smaller
value takes processor time from the requests in flight.
"""
IDLE_CHECKS = 3
"""Consecutive checks without a request in flight that end draining.

They let the request on a connection that was just accepted arrive. With a smaller
value, that request is cut off. A greater value prolongs each stop.
"""


async def drain(server: HttpServer, until: float) -> None:
    """Close idle connections until `IDLE_CHECKS` checks find no request in flight.

    Args:
      server: owns the connections; its listener is already closed.
      until: loop time in seconds at which draining ends even if requests remain.
    """
    loop = asyncio.get_running_loop()
    idle_checks = 0
    idle: set[ServerConnection] = set()
    while idle_checks < IDLE_CHECKS and loop.time() < until:
        idle = _close_idle(server, idle)
        await asyncio.sleep(STOP_POLL_S)
        busy = any(connection.busy for connection in server.connections)
        idle_checks = 0 if busy else idle_checks + 1


async def drain_streams(server: RelayServer, until: float) -> None:
    """Wait until no stream of another entry may carry a request in progress.

    Args:
      server: owns the streams; it accepts no more, and other entries use those that
        they have no longer.
      until: loop time in seconds at which the wait ends anyway.
    """
    loop = asyncio.get_running_loop()
    while server.is_active(loop.time()) and loop.time() < until:
        await asyncio.sleep(STOP_POLL_S)


def _close_idle(
    server: HttpServer, previously_idle: set[ServerConnection]
) -> set[ServerConnection]:
    """Close the connections that were idle at the previous check and still are.

    A request that arrives on a connection between the two checks is served.

    Args:
      server: owns the connections.
      previously_idle: the connections that were idle at the previous check.
    Returns: the open connections that are idle now.
    """
    idle = {c for c in server.connections if not c.busy}
    for connection in idle & previously_idle:
        connection.force_close()
    return idle - previously_idle
