# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Serves one request: places it, sends it on, and tries again where that is safe."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec
from loguru import logger

from leverdoor import headers as h
from leverdoor.errors import Code, Refusal, Rejection, Run
from leverdoor.gate.dispatch import Dispatcher
from leverdoor.gate.placement import Dispatch, Forward
from leverdoor.gate.queueing import QueuedRequest
from leverdoor.gate.relay import (
    BUFFERED_ANSWER,
    Answer,
    Body,
    Hop,
    HopClient,
    refusal_of,
)
from leverdoor.model.resources import Service, WorkClass
from leverdoor.retry_budget import RetryBudget

__all__ = ["GateRequest", "Served", "Server"]

MAX_ATTEMPTS = 4
"""Attempts of a safe request at most; chosen."""
BUDGET_RATIO = 0.1
"""Repeats earned with each request; the common tenth."""
BUDGET_LIMIT = 10.0
"""Repeats saved up at most; chosen."""
EVERY_SERVICE = ""
"""A gate has one budget for all services."""


class GateRequest(msgspec.Struct):
    """One request as a gate takes it in."""

    request_id: str
    service: Service
    method: str
    tail: str
    headers: list[tuple[str, str]]
    body: Body
    queued: QueuedRequest
    caller: str
    key: str = ""
    arrived: float = 0.0

    @property
    def once(self) -> bool:
        """Return whether a repeat could do harm."""
        return self.service.work is not WorkClass.LOOKUP or bool(self.key)


class Served:
    """An answer on its way back, which holds units until it is finished."""

    def __init__(
        self,
        server: "Server",
        inbound: GateRequest,
        answer: Answer,
        made: Dispatch | None,
        began: float,
    ) -> None:
        """Wrap an answer.

        Args:
          server: who gets the units back.
          inbound: the request.
          answer: the answer, its body unread.
          made: the decision that took units, None for a forwarded request.
          began: loop time at which the request was sent, in seconds.
        """
        self._server = server
        self._inbound = inbound
        self._answer = answer
        self._made = made
        self._began = began
        self._finished = False
        self.status = answer.status
        self.headers = answer.headers
        self.served_by = answer.served_by
        if made is not None:
            self.served_by = f"{made.target.region}/{made.target.name}"

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; a small one is read whole, and its slot freed, first."""
        head: list[bytes] = []
        size = 0
        whole = False
        source = self._answer.chunks()
        try:
            while size < BUFFERED_ANSWER:
                chunk = await anext(source, None)
                if chunk is None:
                    whole = True
                    break
                head.append(chunk)
                size += len(chunk)
            if whole:
                self.finish(True)
            for chunk in head:
                yield chunk
            if not whole:
                async for chunk in source:
                    yield chunk
                self.finish(True)
        finally:
            self.finish(False)

    def finish(self, whole: bool) -> None:
        """Give units back; an answer not read whole is cancelled."""
        if self._finished:
            return
        self._finished = True
        if whole:
            self._answer.release()
        else:
            self._answer.close()
        if self._made is not None:
            self._server.give_back(self._inbound, self._made, self._began, whole)


class Server:
    """Serves requests of one gate."""

    def __init__(self, dispatcher: Dispatcher, client: HopClient) -> None:
        """Create it.

        Args:
          dispatcher: where requests are placed.
          client: how they are sent on.
        """
        self._dispatcher = dispatcher
        self._client = client
        self._budget = RetryBudget(BUDGET_RATIO, BUDGET_LIMIT, BUDGET_LIMIT)

    async def serve(self, inbound: GateRequest) -> Served:
        """Get the head of an answer.

        Raises:
          Refusal: it was given up on; the code says whether it may have run.
        """
        self._budget.earn(EVERY_SERVICE)
        attempt = 0
        lost: Refusal | None = None
        while True:
            attempt += 1
            decision = await self._dispatcher.place(inbound.queued)
            try:
                if isinstance(decision, Rejection):
                    raise decision.refusal()
                if isinstance(decision, Dispatch):
                    return await self._to_target(inbound, decision)
                return await self._to_gate(inbound, decision)
            except Refusal as e:
                if e.run is not Run.NO:
                    lost = e
                ended = isinstance(decision, Rejection) or attempt >= MAX_ATTEMPTS
                if ended or not self._again(inbound, e):
                    raise lost or e from None
                logger.info(
                    "again",
                    request_id=inbound.request_id,
                    code=int(e.code),
                    attempt=attempt,
                )

    def _again(self, inbound: GateRequest, refusal: Refusal) -> bool:
        """Return whether another attempt is safe and worth it."""
        if inbound.queued.forwarded or not inbound.body.replayable:
            return False
        if refusal.run is Run.NO:
            return True
        lost = refusal.code is Code.ANSWER_LOST
        return lost and not inbound.once and self._budget.spend(EVERY_SERVICE)

    async def _to_target(self, inbound: GateRequest, made: Dispatch) -> Served:
        loop = asyncio.get_running_loop()
        began = loop.time()
        health = self._dispatcher.scheduler.targets.of(made.target, began)
        hop = self._hop(inbound, f"http://{made.target.address}/{inbound.tail}")
        try:
            answer = await self._client.send(hop, began)
        except Refusal as e:
            inbound.queued.tried.add(made.target.address)
            if e.code is not Code.DEADLINE_PASSED:
                health.failed(loop.time())
            self._return(inbound, made, began, False, e.run is not Run.NO)
            raise
        except BaseException:
            self._return(inbound, made, began, False, True)
            raise
        if answer.leaving:
            health.leaving = True
        if answer.shed:
            answer.close()
            health.shed(loop.time())
            self._return(inbound, made, began, False, False)
            inbound.queued.tried.add(made.target.address)
            raise Refusal(Code.CONNECT_FAILED, "the target shed it")
        if answer.status in (429, 503):
            health.shed(loop.time())
        return Served(self, inbound, answer, made, began)

    async def _to_gate(self, inbound: GateRequest, made: Forward) -> Served:
        loop = asyncio.get_running_loop()
        scheduler = self._dispatcher.scheduler
        path = f"s/{inbound.service.name}/{inbound.tail}"
        hop = self._hop(inbound, f"http://{made.relay}/{path}", relay=True)
        try:
            answer = await self._client.send(hop, loop.time())
            problem = await answer.problem()
        except Refusal:
            scheduler.neighbours.lost(made.vm, loop.time())
            raise
        if problem is not None:
            answer.close()
            if problem.run is Run.NO:
                scheduler.neighbours.refused(made.vm, inbound.service.name)
            raise refusal_of(problem)
        return Served(self, inbound, answer, None, 0.0)

    def _hop(self, inbound: GateRequest, url: str, relay: bool = False) -> Hop:
        now = asyncio.get_running_loop().time()
        left_ms = max(int((inbound.queued.deadline - now) * 1000), 1)
        extra = [(h.REQUEST_ID, inbound.request_id)]
        if not inbound.queued.bulk:
            extra.append((h.DEADLINE, str(left_ms)))
        if relay:
            extra += [
                (h.HOP, "1"),
                (h.HOME, inbound.queued.home),
                (h.TIER, inbound.queued.tier.name),
                (h.CALLER, inbound.caller),
            ]
        return Hop(
            method=inbound.method,
            url=url,
            headers=inbound.headers + extra,
            body=inbound.body,
            deadline=inbound.queued.deadline,
            stall_s=inbound.service.deadline_ms / 1000,
            once=inbound.once,
            relay=relay,
        )

    def give_back(
        self, inbound: GateRequest, made: Dispatch, began: float, whole: bool
    ) -> None:
        """Give back the units of a dispatch whose answer has ended."""
        self._return(inbound, made, began, whole, not whole)

    def _return(
        self,
        inbound: GateRequest,
        made: Dispatch,
        began: float,
        ok: bool,
        may_run: bool,
    ) -> None:
        now = asyncio.get_running_loop().time()
        took_ms = (now - began) * 1000
        scheduler = self._dispatcher.scheduler
        if ok:
            scheduler.targets.of(made.target, now).served(took_ms)
        cool_s = inbound.service.linger_ms / 1000 if may_run else 0.0
        scheduler.done(inbound.queued, made, now, took_ms, ok, cool_s)
        self._dispatcher.kick()


@contextlib.asynccontextmanager
async def finishing(served: Served) -> AsyncIterator[Served]:
    """Finish an answer whatever happens to its reader."""
    try:
        yield served
    finally:
        served.finish(False)
