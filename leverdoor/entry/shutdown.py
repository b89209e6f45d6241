# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The end of a planned stop: requests in flight finish, idle connections are closed.

Owns no state; relies on the handler for which connections have a request in flight.
"""

import asyncio

from aiohttp import web

from leverdoor.entry.requests.handler import EntryHandler

__all__ = ["STOP_POLL_S", "drain"]

STOP_POLL_S = 0.02
"""Seconds between two looks at what is in flight.

A stop ends within some of them. Greater, it ends later; smaller, it takes processor
time from the requests in flight.
"""
IDLE_ROUNDS = 3
"""Looks without a request in flight before the end.

A request on a connection that was just accepted arrives meanwhile. Smaller, it is cut;
greater, each stop takes longer.
"""


async def drain(handler: EntryHandler, server: web.Server, until: float) -> None:
    """Close idle connections until no request has been in flight for some looks.

    Args:
      handler: knows which connections have a request in flight.
      server: holds the connections; its listener is closed already.
      until: loop time at which it is given up, in seconds.
    """
    loop = asyncio.get_running_loop()
    idle_rounds = 0
    idle: set[object] = set()
    while idle_rounds < IDLE_ROUNDS and loop.time() < until:
        idle = _close_idle(handler, server, idle)
        await asyncio.sleep(STOP_POLL_S)
        idle_rounds = 0 if handler.active else idle_rounds + 1


def _close_idle(
    handler: EntryHandler, server: web.Server, before: set[object]
) -> set[object]:
    """Close the connections that were idle a moment ago and still are.

    The HTTP library's own shutdown leaves them open without reading until the process
    ends, so that a request sent meanwhile is neither answered nor refused.

    Args:
      handler: knows which connections have a request in flight.
      server: holds the connections.
      before: the connections that were idle at the last call.
    Returns: those that are idle now.
    """
    idle: set[object] = set()
    for connection in server.connections:
        if connection in handler.busy:
            continue
        if connection in before:
            connection.force_close()
        else:
            idle.add(connection)
    return idle
