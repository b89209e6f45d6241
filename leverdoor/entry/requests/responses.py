# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Builds the responses to clients: relayed replies of targets, and refusals.

Pure functions; owns no state. Relies on `errors` for the HTTP status of each code.
"""

from aiohttp import web
from multidict import CIMultiDict

from leverdoor.codec import serialize_json
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.requests.retry_after import format_retry_after
from leverdoor.errors import Refusal, code_info
from leverdoor.headers import forwardable_headers

__all__ = ["close_connection_after", "relay_response", "refusal_response"]

DROPPED_REPLY_HEADERS = frozenset({"content-length", "date", "server"})
"""Reply headers that aiohttp sets itself, in lower case."""


def relay_response(reply: TargetReply) -> web.Response:
    """Return the response that relays a target's reply."""
    connection = reply.get("connection")
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in forwardable_headers(reply.headers, connection):
        if name not in DROPPED_REPLY_HEADERS:
            headers.add(name, value)
    response = web.Response(
        status=reply.status,
        reason=reply.reason.decode("latin-1") or None,
        body=reply.body,
        headers=headers,
    )
    # aiohttp adds a default Content-Type if there is a body.
    if "content-type" not in headers:
        response.headers.popall("Content-Type", None)
    return response


def refusal_response(
    refusal: Refusal, request_id: str, request_id_header: str
) -> web.Response:
    """Return the response to a refused request.

    Args:
      refusal: the refusal, whose code determines the HTTP status.
      request_id: the id of the request; "" if absent.
      request_id_header: name of the header with the request id.
    """
    info = code_info(refusal.code)
    response = web.Response(
        status=info.status,
        body=serialize_json(refusal.problem()),
        content_type="application/json",
    )
    if request_id:
        response.headers[request_id_header] = request_id
    retry_after = format_retry_after(info.status, refusal.retry_after_ms)
    if retry_after is not None:
        response.headers["Retry-After"] = retry_after
    return response


def close_connection_after(response: web.Response) -> None:
    """Close the client's connection after a response."""
    response.force_close()
    response.headers["Connection"] = "close"
