# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Serves one request: places it, sends it on, and retries where that is safe.

Owns what an answer on its way back holds (`ServedResponse`): the slot and cap unit of its
target, given back when it ends, however it ends. Relies on the dispatcher for places
and on `retries.py` for whether to try again.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from loguru import logger

from leverdoor.errors import Code, Refusal, Rejection, Run
from leverdoor.gate.dispatch import Dispatcher
from leverdoor.gate.hop_client import (
    READ_AHEAD_BYTES,
    HopClient,
    HopResponse,
    refusal_from_problem,
)
from leverdoor.gate.placement import Dispatch, Forward
from leverdoor.gate.quarantining import GateQuarantine
from leverdoor.gate.requests import GateRequest, gate_hop, target_hop
from leverdoor.gate.retries import RetryPolicy

__all__ = ["ServedResponse", "Server", "ensure_finished"]

OVERLOAD_STATUSES = (429, 503)
"""HTTP statuses by which a target says that it has too much to do."""


class ServedResponse:
    """An answer on its way back, which holds units until it is finished."""

    def __init__(
        self,
        server: "Server",
        inbound: GateRequest,
        answer: HopResponse,
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
            while size < READ_AHEAD_BYTES:
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
            self._server.release_units(self._inbound, self._made, self._began, whole)


class Server:
    """Serves requests of one gate."""

    def __init__(
        self, dispatcher: Dispatcher, client: HopClient, quarantine: GateQuarantine
    ) -> None:
        """Create it.

        Args:
          dispatcher: where requests are placed.
          client: how they are sent on.
          quarantine: which are held back.
        """
        self._quarantine = quarantine
        self._dispatcher = dispatcher
        self._client = client
        self._retries = RetryPolicy()

    async def serve(self, inbound: GateRequest) -> ServedResponse:
        """Get the head of an answer, after some attempts if need be.

        Raises:
          Refusal: it was given up; the code says whether it may have run.
        """
        self._quarantine.check(inbound.fingerprint)
        self._retries.count()
        attempt = 0
        lost: Refusal | None = None
        while True:
            attempt += 1
            decision = await self._dispatcher.place(inbound.queued)
            if isinstance(decision, Rejection):
                raise lost or decision.refusal()
            try:
                return await self._send(inbound, decision)
            except Refusal as e:
                if e.run is not Run.NO:
                    lost = e
                if not self._may_retry(inbound, e, attempt):
                    raise lost or e from None
                logger.info(
                    "again",
                    request_id=inbound.request_id,
                    code=int(e.code),
                    attempt=attempt,
                )

    def _may_retry(self, inbound: GateRequest, refusal: Refusal, attempt: int) -> bool:
        """Return whether another attempt follows; never of what is held back."""
        held = refusal.code is Code.QUARANTINED
        if held or not self._quarantine.may_retry(inbound.fingerprint):
            return False
        return self._retries.allows(inbound, refusal, attempt)

    async def _send(
        self, inbound: GateRequest, made: Dispatch | Forward
    ) -> ServedResponse:
        if isinstance(made, Dispatch):
            return await self._to_target(inbound, made)
        return await self._to_gate(inbound, made)

    async def _to_target(self, inbound: GateRequest, made: Dispatch) -> ServedResponse:
        """Send it to a target, whose health learns from what comes of it."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        health = self._dispatcher.scheduler.targets.of(made.target, began)
        hop = target_hop(inbound, made.target.address, loop.time())
        try:
            answer = await self._client.send(hop, began)
        except Refusal as e:
            inbound.queued.tried.add(made.target.address)
            if e.code is not Code.DEADLINE_PASSED:
                health.failed(loop.time())
            if e.code is Code.ANSWER_LOST:
                self._quarantine.lost(made.target, inbound.fingerprint, began)
            self._release_dispatch(inbound, made, began, False, e.run is not Run.NO)
            raise
        except BaseException:
            self._release_dispatch(inbound, made, began, False, True)
            raise
        if answer.leaving:
            health.record_leaving(loop.time())
        if answer.shed:
            answer.close()
            health.shed(loop.time())
            self._release_dispatch(inbound, made, began, False, False)
            inbound.queued.tried.add(made.target.address)
            raise Refusal(Code.CONNECT_FAILED, "the target shed it")
        if answer.status in OVERLOAD_STATUSES:
            health.shed(loop.time())
        return ServedResponse(self, inbound, answer, made, began)

    async def _to_gate(self, inbound: GateRequest, made: Forward) -> ServedResponse:
        """Send it to a gate with a free slot; its refusal is passed on as raised."""
        loop = asyncio.get_running_loop()
        peer_gates = self._dispatcher.scheduler.peer_gates
        hop = gate_hop(inbound, made.relay, loop.time())
        try:
            answer = await self._client.send(hop, loop.time())
            problem = await answer.problem()
        except Refusal:
            peer_gates.lost(made.vm, loop.time())
            raise
        if problem is not None:
            answer.close()
            if problem.run is Run.NO:
                peer_gates.refused(made.vm, inbound.service.name)
            raise refusal_from_problem(problem)
        return ServedResponse(self, inbound, answer, None, 0.0)

    def release_units(
        self, inbound: GateRequest, made: Dispatch, began: float, whole: bool
    ) -> None:
        """Give back the units of a dispatch whose answer has ended."""
        if whole:
            self._quarantine.answered(inbound.fingerprint)
        self._release_dispatch(inbound, made, began, whole, not whole)

    def _release_dispatch(
        self,
        inbound: GateRequest,
        made: Dispatch,
        began: float,
        ok: bool,
        may_run: bool,
    ) -> None:
        """Give back units; they cool for the service's linger if it may still run."""
        now = asyncio.get_running_loop().time()
        took_ms = (now - began) * 1000
        scheduler = self._dispatcher.scheduler
        if ok:
            scheduler.targets.of(made.target, now).served(took_ms)
        cooldown_s = inbound.service.linger_ms / 1000 if may_run else 0.0
        scheduler.done(inbound.queued, made, now, took_ms, ok, cooldown_s)
        self._dispatcher.wake_scheduler()


@contextlib.asynccontextmanager
async def ensure_finished(served: ServedResponse) -> AsyncIterator[ServedResponse]:
    """Finish an answer whatever happens to its reader."""
    try:
        yield served
    finally:
        served.finish(False)
