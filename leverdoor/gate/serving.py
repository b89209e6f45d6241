# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Serves a request: places it, sends it and retries where that is safe.

Owns the slot and cap unit of each response in transfer (`ServedResponse`). They are
released when the transfer ends, by success, error or cancellation, and are lost with
the process. Relies on the dispatcher for placement and on `retries.py` for retries.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from loguru import logger

from leverdoor.errors import Code, Refusal, Rejection, Run
from leverdoor.gate.dispatch import Dispatcher
from leverdoor.gate.gate_quarantine import GateQuarantine
from leverdoor.gate.hop_client import (
    READ_AHEAD_BYTES,
    HopClient,
    HopResponse,
    refusal_from_problem,
)
from leverdoor.gate.placement import Dispatch, Forward
from leverdoor.gate.requests import GateRequest, gate_hop, target_hop
from leverdoor.gate.retries import RetryPolicy

__all__ = ["ServedResponse", "Server", "ensure_finished"]

OVERLOAD_STATUSES = (429, 503)
"""HTTP status codes with which a target reports overload."""


class ServedResponse:
    """A response in transfer, which holds units until it is finished."""

    def __init__(
        self,
        server: "Server",
        inbound: GateRequest,
        answer: HopResponse,
        decision: Dispatch | None,
        began: float,
    ) -> None:
        """Wrap a response.

        Args:
          server: releases the units.
          inbound: the request.
          answer: the response, its body unread.
          decision: holds the units to release; None if another gate serves it.
          began: loop time of sending the request, in seconds.
        """
        self._server = server
        self._inbound = inbound
        self._answer = answer
        self._decision = decision
        self._began = began
        self._finished = False
        self.status = answer.status
        self.headers = answer.headers
        self.served_by = answer.served_by
        if decision is not None:
            self.served_by = f"{decision.target.region}/{decision.target.name}"

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; if it fits the read-ahead, release the slot first."""
        head: list[bytes] = []
        size = 0
        complete = False
        source = self._answer.chunks()
        try:
            while size < READ_AHEAD_BYTES:
                chunk = await anext(source, None)
                if chunk is None:
                    complete = True
                    break
                head.append(chunk)
                size += len(chunk)
            if complete:
                self.finish(True)
            for chunk in head:
                yield chunk
            if not complete:
                async for chunk in source:
                    yield chunk
                self.finish(True)
        finally:
            self.finish(False)

    def finish(self, complete: bool) -> None:
        """Release the units; cancel a response that was not read completely."""
        if self._finished:
            return
        self._finished = True
        if complete:
            self._answer.release()
        else:
            self._answer.close()
        if self._decision is not None:
            self._server.release_units(
                self._inbound, self._decision, self._began, complete
            )


class Server:
    """Places the requests of one gate, sends them and retries failed attempts."""

    def __init__(
        self, dispatcher: Dispatcher, client: HopClient, quarantine: GateQuarantine
    ) -> None:
        """Create a server.

        Args:
          dispatcher: places requests.
          client: sends requests.
          quarantine: refuses quarantined requests.
        """
        self._quarantine = quarantine
        self._dispatcher = dispatcher
        self._client = client
        self._retries = RetryPolicy()

    async def serve(self, inbound: GateRequest) -> ServedResponse:
        """Send a request until a response head arrives or no retry is allowed.

        Raises:
          Refusal: no attempt succeeded; the code says whether the request may have run.
        """
        self._quarantine.check(inbound.fingerprint)
        self._retries.count()
        attempt = 0
        lost: Refusal | None = None
        while True:
            attempt += 1
            decision = await self._dispatcher.place(inbound.queued)
            if isinstance(decision, Rejection):
                # An earlier attempt that may have run determines the result.
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
        """Return whether to retry a request; a quarantined one is never retried."""
        quarantined = refusal.code is Code.QUARANTINED
        if quarantined or not self._quarantine.may_retry(inbound.fingerprint):
            return False
        return self._retries.allows(inbound, refusal, attempt)

    async def _send(
        self, inbound: GateRequest, decision: Dispatch | Forward
    ) -> ServedResponse:
        if isinstance(decision, Dispatch):
            return await self._send_to_target(inbound, decision)
        return await self._send_to_gate(inbound, decision)

    async def _send_to_target(
        self, inbound: GateRequest, decision: Dispatch
    ) -> ServedResponse:
        """Send a request to a target and record the result in the target's health."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        health = self._dispatcher.scheduler.targets.of(decision.target, began)
        hop = target_hop(inbound, decision.target.address, loop.time())
        try:
            answer = await self._client.send(hop, began)
        except Refusal as e:
            inbound.queued.tried.add(decision.target.address)
            if e.code is not Code.DEADLINE_PASSED:
                health.failed(loop.time())
            if e.code is Code.ANSWER_LOST:
                self._quarantine.lost(decision.target, inbound.fingerprint, began)
            self._release_dispatch(inbound, decision, began, False, e.run is not Run.NO)
            raise
        except BaseException:
            self._release_dispatch(inbound, decision, began, False, True)
            raise
        if answer.leaving:
            health.record_leaving(loop.time())
        if answer.shed:
            answer.close()
            health.shed(loop.time())
            self._release_dispatch(inbound, decision, began, False, False)
            inbound.queued.tried.add(decision.target.address)
            # The request did not run, as after a failed connection.
            raise Refusal(Code.CONNECT_FAILED, "the target shed the request")
        # Without the not-run header the request may have run: pass the response on.
        if answer.status in OVERLOAD_STATUSES:
            health.shed(loop.time())
        return ServedResponse(self, inbound, answer, decision, began)

    async def _send_to_gate(
        self, inbound: GateRequest, decision: Forward
    ) -> ServedResponse:
        """Send a request to another gate; raise the refusal that it returns."""
        loop = asyncio.get_running_loop()
        peer_gates = self._dispatcher.scheduler.peer_gates
        hop = gate_hop(inbound, decision.relay, loop.time())
        try:
            answer = await self._client.send(hop, loop.time())
            problem = await answer.problem()
        except Refusal:
            peer_gates.lost(decision.vm, loop.time())
            raise
        if problem is not None:
            answer.close()
            if problem.run is Run.NO:
                peer_gates.refused(decision.vm, inbound.service.name)
            raise refusal_from_problem(problem)
        return ServedResponse(self, inbound, answer, None, 0.0)

    def release_units(
        self, inbound: GateRequest, decision: Dispatch, began: float, complete: bool
    ) -> None:
        """Release the units of a dispatch whose response has ended."""
        if complete:
            self._quarantine.answered(inbound.fingerprint)
        self._release_dispatch(inbound, decision, began, complete, not complete)

    def _release_dispatch(
        self,
        inbound: GateRequest,
        decision: Dispatch,
        began: float,
        ok: bool,
        may_run: bool,
    ) -> None:
        """Release the units of a dispatch.

        They count as used for the service's `linger_ms` if the target may still run the
        request (`may_run`).
        """
        now = asyncio.get_running_loop().time()
        took_ms = (now - began) * 1000
        scheduler = self._dispatcher.scheduler
        if ok:
            scheduler.targets.of(decision.target, now).served(took_ms)
        cooldown_s = inbound.service.linger_ms / 1000 if may_run else 0.0
        scheduler.done(inbound.queued, decision, now, took_ms, ok, cooldown_s)
        self._dispatcher.wake_scheduler()


@contextlib.asynccontextmanager
async def ensure_finished(served: ServedResponse) -> AsyncIterator[ServedResponse]:
    """Finish a response even if its reader fails."""
    try:
        yield served
    finally:
        served.finish(False)
