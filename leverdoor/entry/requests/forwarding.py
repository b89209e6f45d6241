# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Serves one request: place it, send it, and again where that is safe."""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from leverdoor.entry.events import Events
from leverdoor.entry.placement.fleet import SLOW_EJECTION_S, Fleet
from leverdoor.entry.placement.placement_request import (
    Placement,
    PlacementRequest,
)
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.requests.connection import AnswerLost, NotSent, TargetReply
from leverdoor.entry.requests.connections import Connections, Outgoing
from leverdoor.entry.requests.retries import may_retry
from leverdoor.entry.wire import Wire
from leverdoor.errors import Code, Refusal, Rejection, Run
from leverdoor.retry_budget import RetryBudget
from leverdoor.workspaces.quota import Quotas

__all__ = ["Forwarder", "EntryRequest"]

ANSWER_MARGIN_S = 0.03
"""Taken off the time left for a target, so that the refusal still arrives."""
RETRY_MS = 250
"""When to come back after a failed connection or a shed request, in ms; chosen."""
LONG_BODY = 512 * 1024
"""What a streamed body counts as, in bytes."""
NOT_RUN_STATUSES = frozenset({503, 429, 421, 400})


class EntryRequest(msgspec.Struct):
    """One request as an entry takes it in."""

    request: PlacementRequest
    method: str
    path: str
    """Path and query, unaltered."""
    headers: list[tuple[str, str]]
    body: bytes | AsyncIterator[bytes]
    chunked: bool = False
    started: bool = False
    """A streamed body was begun and can't be sent again."""

    @property
    def replayable(self) -> bool:
        """Return whether it can be sent to another target."""
        return isinstance(self.body, bytes) or not self.started


class Forwarder:
    """Forwards the requests of one entry."""

    def __init__(
        self,
        wire: Wire,
        policy: PlacementPolicy,
        fleet: Fleet,
        connections: Connections,
        budget: RetryBudget,
        events: Events,
        quotas: Quotas,
    ) -> None:
        """Create it from the entry's parts."""
        self._wire = wire
        self._policy = policy
        self._fleet = fleet
        self._connections = connections
        self._budget = budget
        self._events = events
        self._quotas = quotas

    async def serve(self, incoming: EntryRequest) -> TargetReply:
        """Get a whole answer of a target.

        Raises:
          Refusal: it was given up on; the code says whether it may have run.
        """
        request = incoming.request
        self._budget.earn(request.service)
        attempt = 0
        lost: Refusal | None = None
        while True:
            attempt += 1
            try:
                return await self._attempt(incoming, attempt)
            except _Failed as e:
                if e.refusal.run is not Run.NO:
                    lost = e.refusal
                if e.placed and self._again(incoming, attempt, e):
                    continue
                raise lost or e.refusal from None

    def _again(self, incoming: EntryRequest, attempt: int, failed: "_Failed") -> bool:
        """Return whether another target may be tried."""
        route = incoming.request.route
        may = may_retry(
            route,
            attempt,
            failed.refusal,
            arrived=failed.arrived,
            replayable=incoming.replayable,
        )
        if not may or not self._budget.spend(incoming.request.service):
            return False
        workspace = incoming.request.workspace
        if workspace is not None and failed.refusal.run is not Run.NO:
            self._quotas.again(workspace, asyncio.get_running_loop().time())
        return True

    async def _attempt(self, incoming: EntryRequest, attempt: int) -> TargetReply:
        loop = asyncio.get_running_loop()
        request = incoming.request
        decision = self._policy.place(request, loop.time())
        if isinstance(decision, Rejection):
            raise _Failed(decision.refusal(), placed=False, arrived=False)
        request.tried.add(decision.target.name)
        began = loop.time()
        outcome = "cancelled"
        try:
            reply = await self._send(incoming, decision)
            outcome = str(reply.status)
        except _Failed as e:
            outcome = e.refusal.code.name
            raise
        finally:
            now = loop.time()
            self._policy.ended(decision, now)
            self._events.attempt(request, decision, attempt, outcome, now - began)
        self._learn(incoming, decision, reply, loop.time() - began)
        return reply

    def _learn(
        self,
        incoming: EntryRequest,
        placement: Placement,
        reply: TargetReply,
        took_s: float,
    ) -> None:
        now = asyncio.get_running_loop().time()
        state = self._fleet.of(placement.target, now)
        load = self._wire.parse_load(reply.get(self._wire.headers.load))
        if load is not None:
            state.reported(load, now)
        if reply.status >= 400:
            return
        body = incoming.body
        size = len(reply.body) + (len(body) if isinstance(body, bytes) else LONG_BODY)
        request = incoming.request
        if self._policy.answered(request, placement, took_s * 1000, size, now):
            self._events.target_ejected(placement.target.name, "slow", SLOW_EJECTION_S)

    async def _send(self, incoming: EntryRequest, placement: Placement) -> TargetReply:
        loop = asyncio.get_running_loop()
        request = incoming.request
        began = loop.time()
        outgoing = self._outgoing(incoming, placement, began)
        try:
            async with asyncio.timeout_at(request.until - ANSWER_MARGIN_S):
                reply = await self._connections.exchange(placement.target, outgoing)
        except NotSent as e:
            self._unreached(placement, "not reached")
            refusal = Refusal(Code.CONNECT_FAILED, str(e), retry_after_ms=RETRY_MS)
            raise _Failed(refusal, placed=True, arrived=False) from None
        except AnswerLost as e:
            self._lost(placement, e.unreachable)
            refusal = Refusal(Code.ANSWER_LOST, str(e))
            raise _Failed(refusal, placed=True, arrived=True) from None
        except TimeoutError:
            self._overran(placement, loop.time() - began)
            refusal = Refusal(Code.DEADLINE_PASSED)
            raise _Failed(refusal, placed=True, arrived=True) from None
        not_run = reply.get(self._wire.headers.not_run) or reply.status == 421
        if not_run and reply.status in NOT_RUN_STATUSES:
            self._turned_away(placement, reply, loop.time())
        return reply

    def _turned_away(
        self, placement: Placement, reply: TargetReply, now: float
    ) -> None:
        """Take a target's word that it did not run the request."""
        if reply.status == 421:
            self._unreached(placement, "another instance")
        else:
            self._fleet.of(placement.target, now).refused(now)
        refusal = Refusal(
            Code.TARGET_REFUSED, f"status {reply.status}", retry_after_ms=RETRY_MS
        )
        raise _Failed(refusal, placed=True, arrived=True)

    def _overran(self, placement: Placement, took_s: float) -> None:
        """Take a request whose time was over as a sign of how slow a target is."""
        now = asyncio.get_running_loop().time()
        ratio = took_s * 1000 / max(placement.expected_ms, 1.0)
        if self._fleet.of(placement.target, now).overran(ratio, now):
            self._events.target_ejected(placement.target.name, "slow", SLOW_EJECTION_S)

    def _unreached(self, placement: Placement, reason: str) -> None:
        """Leave a target alone for a while."""
        now = asyncio.get_running_loop().time()
        ejected_s = self._fleet.of(placement.target, now).unreached(now)
        self._events.target_ejected(placement.target.name, reason, ejected_s)

    def _lost(self, placement: Placement, unreachable: bool) -> None:
        """Leave a target alone that loses one answer after the other."""
        if unreachable:
            self._unreached(placement, "no acknowledgement")
            return
        now = asyncio.get_running_loop().time()
        ejected_s = self._fleet.of(placement.target, now).lost(now)
        if ejected_s:
            self._events.target_ejected(
                placement.target.name, "answers lost", ejected_s
            )

    def _outgoing(
        self, incoming: EntryRequest, placement: Placement, now: float
    ) -> Outgoing:
        names = self._wire.headers
        request = incoming.request
        left_ms = max(int((request.until - now) * 1000), 1)
        lines = [f"{incoming.method} {incoming.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in incoming.headers]
        lines.append(f"{names.deadline_ms}: {left_ms}")
        lines.append(f"{names.instance}: {placement.target.name}")
        if isinstance(incoming.body, bytes):
            if incoming.body or incoming.method not in ("GET", "HEAD", "DELETE"):
                lines.append(f"Content-Length: {len(incoming.body)}")
        elif incoming.chunked:
            lines.append("Transfer-Encoding: chunked")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        return Outgoing(request.request_id, incoming.method, head, incoming.body)


class _Failed(Exception):
    """One attempt failed.

    Attributes:
      placed: a target was placement.
      arrived: the request may have reached it.
    """

    def __init__(self, refusal: Refusal, *, placed: bool, arrived: bool) -> None:
        super().__init__(str(refusal))
        self.refusal = refusal
        self.placed = placed
        self.arrived = arrived
