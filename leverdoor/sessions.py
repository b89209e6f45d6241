# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP client sessions without automatic retries, cookies or decompression.

The owner of a session closes it. Bodies are read up to a bound, since the library reads
them to their end.
"""

import aiohttp

__all__ = [
    "IDLE_TIMEOUT_S",
    "MAX_LISTING_BYTES",
    "MAX_REPORT_BYTES",
    "BodyTooLong",
    "new_session",
    "read_body",
]

IDLE_TIMEOUT_S = 15.0
"""Idle time after which a connection is closed, in seconds; the aiohttp default."""
MAX_REPORT_BYTES = 64 * 1024
"""Maximum length of a report or an error, in bytes; such bodies have a few fields."""
MAX_LISTING_BYTES = 32 * 1024 * 1024
"""Maximum length of a listing, in bytes.

Four times the state at the planned size of the system, since etcd sends it as base64.
"""


class BodyTooLong(aiohttp.ClientError):
    """The body of a response exceeds its bound; the connection is closed."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Read the body of a response.

    Args:
      response: a response whose body is unread.
      max_bytes: maximum length of the body.
    Raises:
      BodyTooLong: the announced or received length exceeds the maximum.
    """
    body = bytearray()
    if (response.content_length or 0) > max_bytes:
        response.close()
        raise BodyTooLong(f"over {max_bytes} bytes announced")
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise BodyTooLong(f"over {max_bytes} bytes")
    return bytes(body)


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
