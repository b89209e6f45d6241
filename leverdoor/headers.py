# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP header names of plain sites, and the headers that may be forwarded.

A plain site does not run on the users' platform; the names that callers and targets
of that platform use are in `leverdoor.platform.wire_format`. Owns no state.
"""

from collections.abc import Iterable
from typing import Protocol

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

_NOT_FORWARDED = frozenset(
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
    """Return the headers that may be forwarded to the next hop.

    Args:
      headers: all headers of a message.
      connection: value of its Connection header, which names further headers to remove.
    Returns: the headers without hop-by-hop headers, those that Connection names, and
      those with the prefix of Leverdoor.
    """
    listed = {name.strip().lower() for name in connection.split(",") if name.strip()}
    removed = _NOT_FORWARDED | listed
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in removed and not name.lower().startswith(PREFIX)
    ]


class _Texts(Protocol):
    """Texts by name, such as headers or query parameters."""

    def get(self, name: str, default: str, /) -> str:
        """Return a text, or the default."""


def bounded_int(headers: _Texts, name: str, default: int) -> int:
    """Return a value if it is a non-negative integer of at most 9 digits.

    Args:
      headers: headers or query parameters.
      name: name of the value.
      default: returned if the value is missing or of another form.
    """
    text = headers.get(name, "")
    return (
        int(text) if text.isascii() and text.isdigit() and len(text) < 10 else default
    )
