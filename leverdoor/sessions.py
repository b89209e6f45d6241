# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP client sessions that send nothing twice by themselves."""

import aiohttp

__all__ = ["IDLE_CONNECTION_S", "new_session"]

IDLE_CONNECTION_S = 15.0
"""How long an idle connection is kept, in seconds; the library's default."""


def new_session(
    timeout_s: float | None = None,
    keep_connections: bool = True,
    idle_s: float = IDLE_CONNECTION_S,
) -> aiohttp.ClientSession:
    """Create a session; must be called on the loop.

    Args:
      timeout_s: longest time of a whole call in seconds, None for no bound.
      keep_connections: whether connections serve more than one call.
      idle_s: how long an idle connection is kept, in seconds.
    """
    if keep_connections:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=idle_s)
    else:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=timeout_s),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    # aiohttp repeats GET, PUT and DELETE by itself when a kept connection
    # breaks; a second run must never happen unseen.
    session._retry_connection = False
    return session
