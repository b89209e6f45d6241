# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Serializes responses, with their framing and the headers of a server.

Owns no state besides the text of the current second's date.
"""

import time
from functools import lru_cache
from http import HTTPStatus

from leverdoor.http.messages import Request, Response

__all__ = ["CONTINUE", "serialize_response"]

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
SERVER = "leverdoor"
"""Value of the header Server."""
BODYLESS_STATUSES = (204, 304)
"""HTTP statuses of responses that have no body."""
REASONS = {status.value: status.phrase for status in HTTPStatus}


def serialize_response(
    response: Response, request: Request | None, close: bool
) -> tuple[bytes, bytes | bytearray]:
    """Return the head and the body of a response as they are sent.

    Args:
      response: the response.
      request: the request that it answers; None if that was malformed.
      close: whether the connection closes after it.
    """
    head_only = request is not None and request.method == "HEAD"
    bodyless = response.status in BODYLESS_STATUSES
    body = b"" if bodyless else response.body
    reason = response.reason or REASONS.get(response.status, "")
    lines = [f"HTTP/1.1 {response.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    if not bodyless and (body or not head_only):
        lines.append(f"Content-Length: {len(body)}")
    if body and "Content-Type" not in response.headers:
        lines.append("Content-Type: application/octet-stream")
    lines.append(f"Date: {_date(int(time.time()))}")
    lines.append(f"Server: {SERVER}")
    if close:
        lines.append("Connection: close")
    elif request is not None and request.version == "1.0":
        lines.append("Connection: keep-alive")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    return head, b"" if head_only else body


@lru_cache(maxsize=1)
def _date(second: int) -> str:
    """Return a time in the format of the header Date."""
    return time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime(second))
