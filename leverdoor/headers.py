# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP headers: leverdoor's own names on plain sites, and what may pass a hop.

The names towards callers and targets of the users' platform stand in
`leverdoor.platform.names`. Owns no state.
"""

from collections.abc import Iterable, Mapping

__all__ = [
    "CALLER",
    "CODE",
    "DEADLINE",
    "HOME",
    "HOP",
    "KEY",
    "LEAVING",
    "NOT_RUN",
    "REQUEST_ID",
    "RETRY_AFTER_MS",
    "RUN",
    "SERVED_BY",
    "TIER",
    "forwardable_headers",
]

PREFIX = "leverdoor-"
CALLER = "Leverdoor-Caller"
DEADLINE = "Leverdoor-Deadline-Ms"
REQUEST_ID = "Leverdoor-Request-Id"
CODE = "Leverdoor-Code"
RUN = "Leverdoor-Run"
RETRY_AFTER_MS = "Leverdoor-Retry-After-Ms"
SERVED_BY = "Leverdoor-Served-By"
HOME = "Leverdoor-Home"
TIER = "Leverdoor-Tier"
HOP = "Leverdoor-Hop"
NOT_RUN = "Leverdoor-Not-Run"
LEAVING = "Leverdoor-Leaving"
KEY = "Idempotency-Key"

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def forwardable_headers(
    headers: Iterable[tuple[str, str]], connection: str = ""
) -> list[tuple[str, str]]:
    """Return the headers that may pass to the next hop.

    Args:
      headers: all headers of a message.
      connection: its Connection header, which names more to leave out.
    """
    named = {name.strip().lower() for name in connection.split(",") if name.strip()}
    dropped = _HOP_BY_HOP | named
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and not name.lower().startswith(PREFIX)
    ]


def bounded_int(headers: Mapping[str, str], name: str, default: int) -> int:
    """Read a whole number of a header, or the default if it is none."""
    text = headers.get(name, "")
    return (
        int(text) if text.isascii() and text.isdigit() and len(text) < 10 else default
    )
