# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Requests that a gate receives and the hops that it derives from them.

`read_request` creates a `GateRequest` from HTTP; `target_hop`, `gate_hop` and
`issuer_hop` build the request to the next process. Owns no state.
"""

import msgspec

from leverdoor import headers as h
from leverdoor.gate.hop_client import Body, Hop
from leverdoor.gate.queueing import QueuedRequest
from leverdoor.model.resources import Service, Tier, WorkClass

__all__ = ["GateRequest", "Origin", "gate_hop", "issuer_hop", "target_hop"]


class Origin(msgspec.Struct, frozen=True):
    """The caller of a request.

    `home` is the caller's region. `forwarded` marks a request that another gate sent to
    use a slot of this one; only the sending gate counts it in the metrics. A request
    that a gate sent to the issuer of its key is not marked.
    """

    request_id: str
    caller: str
    tier: Tier
    home: str
    forwarded: bool = False


class GateRequest(msgspec.Struct):
    """A request that a gate received.

    `path_and_query` follows /s/{service}/ in the URL. `key` is the idempotency key, or
    "" if the request has none.
    """

    request_id: str
    service: Service
    method: str
    path_and_query: str
    headers: list[tuple[str, str]]
    body: Body
    queued: QueuedRequest
    caller: str
    key: str = ""
    fingerprint: int = 0
    """Identifies repetitions of the request; 0 if its body is streamed."""

    @property
    def at_most_once(self) -> bool:
        """Return whether the request must run at most once."""
        return self.service.work is not WorkClass.LOOKUP or bool(self.key)


def target_hop(inbound: GateRequest, address: str, now: float) -> Hop:
    """Return the request to a target, sent at loop time `now`."""
    head = [_request_id_header(inbound), *_deadline_headers(inbound, now)]
    return _hop(inbound, f"http://{address}/{inbound.path_and_query}", head)


def gate_hop(inbound: GateRequest, relay: str, now: float) -> Hop:
    """Return the request to a gate with a free slot, sent at loop time `now`."""
    head = [
        _request_id_header(inbound),
        *_deadline_headers(inbound, now),
        (h.HOP, "1"),
        *_origin_headers(inbound),
    ]
    hop = _hop(inbound, _gate_url(inbound, relay), head)
    hop.relay = True
    return hop


def issuer_hop(inbound: GateRequest, relay: str, now: float) -> Hop:
    """Return the request to the gate that issued the key.

    It carries the deadline even for a bulk upload.
    """
    head = [
        _request_id_header(inbound),
        *_origin_headers(inbound),
        (h.DEADLINE, str(_remaining_ms(inbound, now))),
    ]
    hop = _hop(inbound, _gate_url(inbound, relay), head)
    hop.relay = True
    hop.at_most_once = True
    return hop


def _gate_url(inbound: GateRequest, relay: str) -> str:
    return f"http://{relay}/s/{inbound.service.name}/{inbound.path_and_query}"


def _request_id_header(inbound: GateRequest) -> tuple[str, str]:
    return (h.REQUEST_ID, inbound.request_id)


def _origin_headers(inbound: GateRequest) -> list[tuple[str, str]]:
    return [
        (h.HOME, inbound.queued.home),
        (h.TIER, inbound.queued.tier.name),
        (h.CALLER, inbound.caller),
    ]


def _remaining_ms(inbound: GateRequest, now: float) -> int:
    return max(int((inbound.queued.deadline - now) * 1000), 1)


def _deadline_headers(inbound: GateRequest, now: float) -> list[tuple[str, str]]:
    """Return the deadline header; a bulk upload has none."""
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
        at_most_once=inbound.at_most_once,
        relay=False,
    )
