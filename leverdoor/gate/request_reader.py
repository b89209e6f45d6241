# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Reads the origin, deadline, key and body of an HTTP request.

Owns no state. Relies on the configuration snapshot for tier, home region and service.
Trusts the origin headers of requests that other gates send.
"""

import asyncio
import secrets

import aiohttp
from aiohttp import web

from leverdoor import headers as h
from leverdoor.errors import Code, Refusal
from leverdoor.gate.hop_client import Body
from leverdoor.gate.queueing import QueuedRequest
from leverdoor.gate.requests import GateRequest, Origin
from leverdoor.model.resources import Service, WorkClass
from leverdoor.quarantine.fingerprint import request_fingerprint
from leverdoor.storage.view import View

__all__ = ["caller_origin", "gate_origin", "defer_continue", "read_request"]

MAX_BUFFERED_BODY_BYTES = 64 * 1024
"""Maximum length of a body buffered for retries, in bytes; longer bodies are streamed.

Large enough for typical queries and corrections. A greater value costs memory per
request.
"""


def caller_origin(request: web.Request, view: View, region: str) -> Origin:
    """Return a caller's origin: tier by caller name, home region by IP address."""
    caller = request.headers.get(h.CALLER, "")
    return Origin(
        request_id=request.headers.get(h.REQUEST_ID, "") or secrets.token_hex(8),
        caller=caller,
        tier=view.tier(caller),
        home=view.blocks.region(request.remote or "") or region,
    )


def gate_origin(request: web.Request, view: View, region: str) -> Origin:
    """Return the origin that another gate states in its headers."""
    head = request.headers
    return Origin(
        request_id=head.get(h.REQUEST_ID, ""),
        caller=head.get(h.CALLER, ""),
        tier=view.tiers.get(head.get(h.TIER, ""), view.default_tier),
        home=head.get(h.HOME, "") or region,
        forwarded=bool(head.get(h.HOP, "")),
    )


async def read_request(
    request: web.Request, service: Service, origin: Origin, arrived: float
) -> GateRequest:
    """Read a request; buffer a short body before the request acquires a slot.

    Args:
      request: the request, its body unread.
      service: the requested service.
      origin: the origin of the request.
      arrived: loop time of its arrival, in seconds.
    Raises:
      Refusal: KEY_REQUIRED, BAD_REQUEST or BODY_TOO_SLOW; the request did not run.
    """
    queued = _scheduling_data(request, service, origin, arrived)
    key = "" if origin.forwarded else request.headers.get(h.KEY, "")
    needs_key = service.work is WorkClass.ONCE and not queued.bulk
    if needs_key and not key and not origin.forwarded:
        raise Refusal(Code.KEY_REQUIRED)
    connection = request.headers.get("Connection", "")
    body = await _read_body(request, service)
    # The path is /s/{service}/{tail}.
    tail = request.raw_path.split("/", 3)[3]
    return GateRequest(
        request_id=origin.request_id,
        service=service,
        method=request.method,
        path_and_query=tail,
        headers=h.forwardable_headers(request.headers.items(), connection),
        body=body,
        queued=queued,
        caller=origin.caller,
        key=key,
        fingerprint=_fingerprint(request.method, service, tail, origin.caller, body),
    )


def _fingerprint(
    method: str, service: Service, tail: str, caller: str, body: Body
) -> int:
    """Return the fingerprint of a request, or 0 if its body is streamed."""
    if body.buffered is None:
        return 0
    size = len(body.buffered)
    return request_fingerprint(method, service.name, tail, caller, body.buffered, size)


def _scheduling_data(
    request: web.Request, service: Service, origin: Origin, arrived: float
) -> QueuedRequest:
    """Return the scheduling data; the service's deadline limits the requested one."""
    path = request.match_info["tail"]
    prefixes = [p.lstrip("/") for p in service.bulk_prefixes]
    limit_ms = service.deadline_ms
    wanted_ms = h.bounded_int(request.headers, h.DEADLINE, limit_ms)
    return QueuedRequest(
        service=service.name,
        tier=origin.tier,
        home=origin.home,
        arrived=arrived,
        deadline=arrived + min(wanted_ms, limit_ms) / 1000,
        bulk=service.work is WorkClass.BULK or path.startswith(tuple(prefixes)),
        forwarded=origin.forwarded,
    )


async def _read_body(request: web.Request, service: Service) -> Body:
    """Buffer a short body so that it can be sent again; stream a longer one."""
    idle_timeout_s = service.deadline_ms / 1000
    if not request.body_exists:
        return Body(b"", None, 0, idle_timeout_s)
    length = request.content_length
    if length is None or length > MAX_BUFFERED_BODY_BYTES:
        body = Body(None, request.content, length, idle_timeout_s)
        body.before_read = lambda: _send_continue(request)
        return body
    await _send_continue(request)
    try:
        async with asyncio.timeout(idle_timeout_s):
            data = await request.content.read(-1)
    except TimeoutError:
        raise Refusal(Code.BODY_TOO_SLOW) from None
    except (aiohttp.ClientError, OSError) as e:
        raise Refusal(
            Code.BAD_REQUEST, f"reading the request body failed: {e!r}"
        ) from None
    if len(data) != length:
        raise Refusal(
            Code.BAD_REQUEST, "the request body ended before its Content-Length"
        )
    return Body(data, None, length, idle_timeout_s)


async def defer_continue(request: web.Request) -> None:
    """Do nothing, in place of aiohttp's immediate reply to `Expect: 100-continue`.

    `_send_continue` replies when the body is read.
    """


async def _send_continue(request: web.Request) -> None:
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # Reset the size: the response itself has not started.
        request.writer.output_size = 0
