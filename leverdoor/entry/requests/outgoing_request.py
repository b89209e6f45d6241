# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Builds the HTTP request that is sent to a target.

Owns no state. Relies on `deadlines` for the deadline header.
"""

from collections.abc import AsyncIterable

import msgspec

from leverdoor.entry.requests.deadlines import remaining_ms
from leverdoor.entry.requests.entry_request import EntryRequest
from leverdoor.entry.wire import HeaderNames
from leverdoor.model.resources import Target

__all__ = ["OutgoingRequest", "build_outgoing_request"]

METHODS_WITHOUT_EMPTY_LENGTH = frozenset({"GET", "HEAD", "DELETE"})
"""Methods that are sent without Content-Length if the body is empty."""


class OutgoingRequest(msgspec.Struct):
    """A request as it is sent to a target."""

    request_id: str
    method: str
    head: bytes
    """Request line and headers, including the empty line."""
    body: bytes | AsyncIterable[bytes]
    """The whole body, or its parts with their framing."""


def build_outgoing_request(
    request: EntryRequest, target: Target, names: HeaderNames, now: float
) -> OutgoingRequest:
    """Return the request to send to a target.

    Args:
      request: the request of the client.
      target: the target, whose name is sent; another instance at its address rejects
        the request with status 421.
      names: the header names.
      now: loop time in seconds from which the target's deadline counts.
    """
    placement_request = request.placement_request
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines.append(
        f"{names.deadline_ms}: {remaining_ms(placement_request.expires_at, now)}"
    )
    lines.append(f"{names.instance}: {target.name}")
    lines += _framing_headers(request)
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    return OutgoingRequest(
        placement_request.request_id, request.method, head, request.body
    )


def _framing_headers(request: EntryRequest) -> list[str]:
    """Return the framing headers of a buffered or chunked body.

    `bodies` sets Content-Length for a streamed body of known length.
    """
    if isinstance(request.body, bytes):
        if request.body or request.method not in METHODS_WITHOUT_EMPTY_LENGTH:
            return [f"Content-Length: {len(request.body)}"]
    elif request.chunked:
        return ["Transfer-Encoding: chunked"]
    return []
