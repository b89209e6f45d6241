# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The request as a target gets it. Owns no state."""

from collections.abc import AsyncIterator

import msgspec

from leverdoor.entry.requests.deadlines import ms_left
from leverdoor.entry.requests.entry_request import EntryRequest
from leverdoor.entry.wire import HeaderNames
from leverdoor.model.resources import Target

__all__ = ["Outgoing", "outgoing"]

USUALLY_BODYLESS = frozenset({"GET", "HEAD", "DELETE"})
"""Methods that are sent without Content-Length if they have no body."""


class Outgoing(msgspec.Struct):
    """One request as it goes to a target."""

    request_id: str
    method: str
    head: bytes
    """Request line and headers, up to and with the empty line."""
    body: bytes | AsyncIterator[bytes]
    """All of it, or its parts, framed already."""


def outgoing(
    request: EntryRequest, target: Target, names: HeaderNames, now: float
) -> Outgoing:
    """Return a request as it goes to a target.

    Args:
      request: the client's.
      target: where it goes; it answers 421 if it is another instance.
      names: the names of headers.
      now: loop time in seconds, from which the target's deadline counts.
    """
    placement_request = request.placement_request
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines.append(f"{names.deadline_ms}: {ms_left(placement_request.expires_at, now)}")
    lines.append(f"{names.instance}: {target.name}")
    lines += _framing(request)
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    return Outgoing(placement_request.request_id, request.method, head, request.body)


def _framing(request: EntryRequest) -> list[str]:
    """Return the headers that frame the body, as far as the client's do not."""
    if isinstance(request.body, bytes):
        if request.body or request.method not in USUALLY_BODYLESS:
            return [f"Content-Length: {len(request.body)}"]
    elif request.chunked:
        return ["Transfer-Encoding: chunked"]
    return []
