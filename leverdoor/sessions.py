# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP client sessions without automatic retries, cookies or decompression.

The owner of a session closes it.
"""

import aiohttp

__all__ = ["IDLE_TIMEOUT_S", "new_session"]

IDLE_TIMEOUT_S = 15.0
"""Idle time after which a connection is closed, in seconds; the aiohttp default."""


def new_session(
    timeout_s: float | None = None,
    keep_connections: bool = True,
    idle_s: float = IDLE_TIMEOUT_S,
) -> aiohttp.ClientSession:
    """Create a session; the event loop must be running.

    Args:
      timeout_s: timeout of a whole call in seconds; None for no timeout.
      keep_connections: whether to reuse connections for further calls.
      idle_s: idle time after which a reused connection is closed, in seconds.
    Returns: the session, which its owner closes.
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
    # aiohttp retries GET, PUT and DELETE when a reused connection breaks. A
    # request must never run a second time unless our own code repeats it.
    session._retry_connection = False
    return session
