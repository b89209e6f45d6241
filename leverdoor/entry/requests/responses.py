# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Builds the responses to clients: relayed replies of targets, and refusals.

Pure functions; owns no state. Relies on `errors` for the HTTP status of each code.
"""

from leverdoor.codec import serialize_json
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.requests.retry_after import format_retry_after
from leverdoor.errors import Refusal, code_info
from leverdoor.headers import forwardable_headers
from leverdoor.http.messages import Headers, Response

__all__ = ["relay_response", "refusal_response"]

DROPPED_REPLY_HEADERS = frozenset({"content-length", "date", "server"})
"""Reply headers that the server sets itself, in lower case."""


def relay_response(reply: TargetReply) -> Response:
    """Return the response that relays a target's reply."""
    connection = reply.get("connection")
    headers = Headers(
        (name, value)
        for name, value in forwardable_headers(reply.headers, connection)
        if name not in DROPPED_REPLY_HEADERS
    )
    reason = reply.reason.decode("latin-1")
    return Response(reply.status, reason, headers, reply.body)


def refusal_response(
    refusal: Refusal, request_id: str, request_id_header: str
) -> Response:
    """Return the response to a refused request.

    Args:
      refusal: the refusal, whose code determines the HTTP status.
      request_id: the id of the request; "" if absent.
      request_id_header: name of the header with the request id.
    """
    info = code_info(refusal.code)
    headers = Headers([("Content-Type", "application/json")])
    if request_id:
        headers.add(request_id_header, request_id)
    retry_after = format_retry_after(info.status, refusal.retry_after_ms)
    if retry_after is not None:
        headers.add("Retry-After", retry_after)
    return Response(
        info.status, headers=headers, body=serialize_json(refusal.problem())
    )
