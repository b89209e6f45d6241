# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One request as a gate takes it in, and what it sends on for it.

`GateRequest` is read once from HTTP; `target_hop`, `gate_hop` and `issuer_hop` say
what goes to the next process. Owns no state.
"""

import msgspec

from leverdoor import headers as h
from leverdoor.gate.hop_client import Body, Hop
from leverdoor.gate.queueing import QueuedRequest
from leverdoor.model.resources import Service, Tier, WorkClass

__all__ = ["GateRequest", "Origin", "gate_hop", "issuer_hop", "target_hop"]


class Origin(msgspec.Struct, frozen=True):
    """Where a request comes from.

    `home` is the caller's region. `forwarded` is set when another gate passed it on
    for a slot here: that gate accounts for it.
    """

    request_id: str
    caller: str
    tier: Tier
    home: str
    forwarded: bool = False


class GateRequest(msgspec.Struct):
    """One request as a gate takes it in; `key` is its idempotency key, if any."""

    request_id: str
    service: Service
    method: str
    tail: str
    headers: list[tuple[str, str]]
    body: Body
    queued: QueuedRequest
    caller: str
    key: str = ""
    fingerprint: int = 0
    """By which it is known when it comes again; 0 with a body that is streamed."""

    @property
    def once(self) -> bool:
        """Return whether running it twice could do harm."""
        return self.service.work is not WorkClass.LOOKUP or bool(self.key)


def target_hop(inbound: GateRequest, address: str, now: float) -> Hop:
    """Return what goes to a target, at loop time `now`."""
    head = [_request_id(inbound), *_deadline(inbound, now)]
    return _hop(inbound, f"http://{address}/{inbound.tail}", head)


def gate_hop(inbound: GateRequest, relay: str, now: float) -> Hop:
    """Return what goes to another gate that holds a slot, at loop time `now`."""
    head = [
        _request_id(inbound),
        *_deadline(inbound, now),
        (h.HOP, "1"),
        *_origin(inbound),
    ]
    hop = _hop(inbound, _gate_url(inbound, relay), head)
    hop.relay = True
    return hop


def issuer_hop(inbound: GateRequest, relay: str, now: float) -> Hop:
    """Return what goes to the gate that issued the request's key.

    Its deadline goes along also for a bulk upload.
    """
    head = [
        _request_id(inbound),
        *_origin(inbound),
        (h.DEADLINE, str(_remaining_ms(inbound, now))),
    ]
    hop = _hop(inbound, _gate_url(inbound, relay), head)
    hop.relay = True
    hop.once = True
    return hop


def _gate_url(inbound: GateRequest, relay: str) -> str:
    return f"http://{relay}/s/{inbound.service.name}/{inbound.tail}"


def _request_id(inbound: GateRequest) -> tuple[str, str]:
    return (h.REQUEST_ID, inbound.request_id)


def _origin(inbound: GateRequest) -> list[tuple[str, str]]:
    return [
        (h.HOME, inbound.queued.home),
        (h.TIER, inbound.queued.tier.name),
        (h.CALLER, inbound.caller),
    ]


def _remaining_ms(inbound: GateRequest, now: float) -> int:
    return max(int((inbound.queued.deadline - now) * 1000), 1)


def _deadline(inbound: GateRequest, now: float) -> list[tuple[str, str]]:
    """Return the time left; a bulk upload has none."""
    if inbound.queued.bulk:
        return []
    return [(h.DEADLINE, str(_remaining_ms(inbound, now)))]


def _hop(inbound: GateRequest, url: str, head: list[tuple[str, str]]) -> Hop:
    return Hop(
        method=inbound.method,
        url=url,
        headers=inbound.headers + head,
        body=inbound.body,
        deadline=inbound.queued.deadline,
        idle_timeout_s=inbound.service.deadline_ms / 1000,
        once=inbound.once,
        relay=False,
    )
