# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP answers that every server here gives alike."""

from aiohttp import web

from leverdoor import headers as h
from leverdoor.codec import serialize_json
from leverdoor.errors import LeverdoorError, code_info

__all__ = ["json_response", "problem_response"]


def json_response(value: object) -> web.Response:
    """Answer a value as JSON."""
    return web.Response(body=serialize_json(value), content_type="application/json")


def problem_response(error: LeverdoorError, request_id: str = "") -> web.Response:
    """Turn an error into a final answer, with when to come back."""
    info = code_info(error.code)
    head = {h.CODE: str(int(error.code)), h.RUN: info.run.value}
    if request_id:
        head[h.REQUEST_ID] = request_id
    if error.retry_after_ms:
        head["Retry-After"] = str(-(-error.retry_after_ms // 1000))
        head[h.RETRY_AFTER_MS] = str(error.retry_after_ms)
    answer = json_response(error.problem())
    answer.set_status(info.status)
    answer.headers.update(head)
    return answer
