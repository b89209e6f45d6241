# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP responses common to all servers of the project.

Owns no state; relies on `leverdoor.errors` for statuses and run verdicts.
"""

from aiohttp import web

from leverdoor import headers as h
from leverdoor.codec import serialize_json
from leverdoor.errors import LeverdoorError, code_info

__all__ = ["json_response", "problem_response"]


def json_response(value: object) -> web.Response:
    """Return a response whose body is the value as JSON."""
    return web.Response(body=serialize_json(value), content_type="application/json")


def problem_response(error: LeverdoorError, request_id: str = "") -> web.Response:
    """Return the response for an error, with Retry-After headers if it has a delay.

    Args:
      error: the error to report.
      request_id: sent as a header unless empty.
    Returns: the response, with the status of the error's code.
    """
    info = code_info(error.code)
    response_headers = {h.CODE: str(int(error.code)), h.RUN: info.run.value}
    if request_id:
        response_headers[h.REQUEST_ID] = request_id
    if error.retry_after_ms:
        response_headers["Retry-After"] = str(-(-error.retry_after_ms // 1000))
        response_headers[h.RETRY_AFTER_MS] = str(error.retry_after_ms)
    response = json_response(error.problem())
    response.set_status(info.status)
    response.headers.update(response_headers)
    return response
