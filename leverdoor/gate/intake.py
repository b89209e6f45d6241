# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Reads a request from HTTP: who sends it, its deadline, its key and its body.

Owns no state. Relies on the snapshot of the configuration for tier, home region and
service; what a gate says of a request that it passes on is taken as it is.
"""

import asyncio
import secrets

import aiohttp
from aiohttp import web

from leverdoor import headers as h
from leverdoor.errors import Code, Refusal
from leverdoor.gate.queueing import QueuedRequest
from leverdoor.gate.relay import Body
from leverdoor.gate.requests import GateRequest, Origin
from leverdoor.model.resources import Service, WorkClass
from leverdoor.quarantine.fingerprint import request_fingerprint
from leverdoor.storage.view import View

__all__ = ["caller_origin", "gate_origin", "leave_expect", "read_request"]

BUFFERED_BODY = 64 * 1024
"""Longest body kept in memory for a retry, in bytes; longer ones are streamed.

Holds queries and corrections; a greater one costs memory for each request.
"""


def caller_origin(request: web.Request, view: View, region: str) -> Origin:
    """Find out who calls: the tier by name, the home region by address."""
    caller = request.headers.get(h.CALLER, "")
    return Origin(
        request_id=request.headers.get(h.REQUEST_ID, "") or secrets.token_hex(8),
        caller=caller,
        tier=view.tier(caller),
        home=view.blocks.region(request.remote or "") or region,
    )


def gate_origin(request: web.Request, view: View, region: str) -> Origin:
    """Read what another gate says of a request that it passes on."""
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
    """Read a request; a short body is read whole before it can hold a slot.

    Args:
      request: the request, its body unread.
      service: the service called.
      origin: who sends it.
      arrived: loop time in seconds.
    Raises:
      Refusal: KEY_REQUIRED, BAD_REQUEST or BODY_TOO_SLOW; it did not run.
    """
    queued = _queued(request, service, origin, arrived)
    key = "" if origin.forwarded else request.headers.get(h.KEY, "")
    needs_key = service.work is WorkClass.ONCE and not queued.bulk
    if needs_key and not key and not origin.forwarded:
        raise Refusal(Code.KEY_REQUIRED)
    connection = request.headers.get("Connection", "")
    body = await _read_body(request, service)
    tail = request.raw_path.split("/", 3)[3]
    return GateRequest(
        request_id=origin.request_id,
        service=service,
        method=request.method,
        tail=tail,
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
    """Return the fingerprint of a request; 0 if its body is streamed."""
    if body.whole is None:
        return 0
    size = len(body.whole)
    return request_fingerprint(method, service.name, tail, caller, body.whole, size)


def _queued(
    request: web.Request, service: Service, origin: Origin, arrived: float
) -> QueuedRequest:
    """Return what decisions need; the service bounds the deadline a caller sends."""
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
    """Read a short body whole, so that it can be sent again; stream others."""
    stall_s = service.deadline_ms / 1000
    if not request.body_exists:
        return Body(b"", None, 0, stall_s)
    length = request.content_length
    if length is None or length > BUFFERED_BODY:
        body = Body(None, request.content, length, stall_s)
        body.on_start = lambda: _continue(request)
        return body
    await _continue(request)
    try:
        async with asyncio.timeout(stall_s):
            data = await request.content.read(-1)
    except TimeoutError:
        raise Refusal(Code.BODY_TOO_SLOW) from None
    except (aiohttp.ClientError, OSError) as e:
        raise Refusal(Code.BAD_REQUEST, f"the body was cut: {e!r}") from None
    if len(data) != length:
        raise Refusal(Code.BAD_REQUEST, "the body was cut short")
    return Body(data, None, length, stall_s)


async def leave_expect(request: web.Request) -> None:
    """Leave the answer to `Expect: 100-continue` until the request is placed."""


async def _continue(request: web.Request) -> None:
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
