# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The responses that clients get: a target's whole answer, or a refusal.

Pure functions; owns no state.
"""

from aiohttp import web
from multidict import CIMultiDict

from leverdoor.codec import serialize_json
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.requests.retry_after import retry_after_value
from leverdoor.errors import Refusal, code_info
from leverdoor.headers import forwardable_headers

__all__ = ["close_after", "relayed", "refusal_response"]

REPLY_HEADERS_DROPPED = frozenset({"content-length", "date", "server"})
"""Headers of a target's answer that the HTTP library writes anew, in lower case."""


def relayed(reply: TargetReply) -> web.Response:
    """Return the response that passes a target's whole answer on."""
    connection = reply.get("connection")
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in forwardable_headers(reply.headers, connection):
        if name not in REPLY_HEADERS_DROPPED:
            headers.add(name, value)
    response = web.Response(
        status=reply.status,
        reason=reply.reason.decode("latin-1") or None,
        body=reply.body,
        headers=headers,
    )
    if "content-type" not in headers:
        response.headers.popall("Content-Type", None)
    return response


def refusal_response(
    error: Refusal, request_id: str, request_id_header: str
) -> web.Response:
    """Return the response to a request that was given up on.

    Args:
      error: the refusal; its code sets the status.
      request_id: the client's; "" for none.
      request_id_header: the header that carries it.
    """
    info = code_info(error.code)
    response = web.Response(
        status=info.status,
        body=serialize_json(error.problem()),
        content_type="application/json",
    )
    if request_id:
        response.headers[request_id_header] = request_id
    retry_after = retry_after_value(info.status, error.retry_after_ms)
    if retry_after is not None:
        response.headers["Retry-After"] = retry_after
    return response


def close_after(response: web.Response) -> None:
    """Have the client's connection closed after a response."""
    response.force_close()
    response.headers["Connection"] = "close"
