# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Connection draining at a planned stop.

Owns no state; relies on the handler to track connections with a request in flight.
"""

import asyncio

from aiohttp import web

from leverdoor.entry.requests.handler import EntryHandler

__all__ = ["STOP_POLL_S", "drain"]

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


async def drain(handler: EntryHandler, server: web.Server, until: float) -> None:
    """Close idle connections until `IDLE_CHECKS` checks find no request in flight.

    Args:
      handler: tracks the connections with a request in flight.
      server: owns the connections; its listener is already closed.
      until: loop time in seconds at which draining ends even if requests remain.
    """
    loop = asyncio.get_running_loop()
    idle_checks = 0
    idle: set[object] = set()
    while idle_checks < IDLE_CHECKS and loop.time() < until:
        idle = _close_idle(handler, server, idle)
        await asyncio.sleep(STOP_POLL_S)
        idle_checks = 0 if handler.active_count else idle_checks + 1


def _close_idle(
    handler: EntryHandler, server: web.Server, previously_idle: set[object]
) -> set[object]:
    """Close the connections that were idle at the previous check and still are.

    The HTTP library's own shutdown keeps idle connections open without reading them
    until the process ends. A request sent meanwhile is neither answered nor refused.

    Args:
      handler: tracks the connections with a request in flight.
      server: owns the connections.
      previously_idle: the connections that were idle at the previous check.
    Returns: the open connections that are idle now.
    """
    idle: set[object] = set()
    for connection in server.connections:
        if connection in handler.busy_connections:
            continue
        if connection in previously_idle:
            connection.force_close()
        else:
            idle.add(connection)
    return idle
