# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Serves requests with idempotency keys at the gate that issued the key.

Owns the running requests by key nonce. They continue when their caller disconnects and
are lost when the process ends. Relies on `idempotency_keys.py` for the state of a key
and on heartbeats as proof that the issuing process has ended.
"""

import asyncio

import msgspec
from loguru import logger

from leverdoor import headers as h
from leverdoor.errors import Code, Refusal, Run
from leverdoor.gate.hop_client import HopClient, refusal_from_problem
from leverdoor.gate.idempotency_keys import (
    Key,
    KeyRegistry,
    KeyState,
    Outcome,
    parse_key,
)
from leverdoor.gate.requests import GateRequest, issuer_hop
from leverdoor.gate.scheduler import Scheduler
from leverdoor.gate.serving import ServedResponse, Server, ensure_finished
from leverdoor.membership.peers import AgentHeartbeat

__all__ = ["KeyedServer"]

OUTCOME_RETRY_MS = 500
"""Retry-After while the outcome of a request is unknown, in ms.

Longer than several runs and than two heartbeat intervals: by then the outcome, or the
end of an unreachable issuer, is likely to be known. A smaller value loads the issuer
without benefit; a greater one delays the caller's outcome.
"""
MAX_OUTCOME_BYTES = 8 * 1024 * 1024
"""Maximum length of a buffered response, in bytes; bounds the gate's memory."""


class KeyedServer:
    """Runs requests whose key this gate issued; forwards others to the issuer."""

    def __init__(
        self,
        key_registry: KeyRegistry,
        server: Server,
        scheduler: Scheduler,
        client: HopClient,
    ) -> None:
        """Create the server from the gate's components."""
        self._key_registry = key_registry
        self._server = server
        self._scheduler = scheduler
        self._client = client
        self._running: dict[bytes, asyncio.Task[Outcome]] = {}

    @property
    def running(self) -> int:
        """Return the number of running requests, also of disconnected callers."""
        return len(self._running)

    async def serve(self, inbound: GateRequest) -> Outcome:
        """Run the request at the issuer of its key unless it ran; return its outcome.

        Raises:
          Refusal: there is no outcome; the code says whether the request may have run.
        """
        key = parse_key(inbound.key)
        if not self._key_registry.issued_here(key):
            return await self._forward_to_issuer(inbound, key)
        now = asyncio.get_running_loop().time()
        state = self._key_registry.begin(key, now)
        if state is KeyState.NEW:
            self._start(inbound, key)
        if state is KeyState.DONE:
            outcome = self._key_registry.outcome(key)
            assert outcome is not None
            return outcome
        return await self._await_outcome(inbound, key)

    def _start(self, inbound: GateRequest, key: Key) -> None:
        """Run the request in its own task, which outlives the caller's connection."""
        task = asyncio.create_task(self._run(inbound, key))
        self._running[key.nonce] = task
        task.add_done_callback(lambda _: self._running.pop(key.nonce, None))
        task.add_done_callback(_retrieve_exception)

    async def _run(self, inbound: GateRequest, key: Key) -> Outcome:
        try:
            outcome = await self._buffer_outcome(await self._server.serve(inbound))
        except Refusal as e:
            if e.run is Run.NO:
                self._key_registry.discard_not_run(key)
                raise
            outcome = _failure_outcome(e)
        except BaseException as e:
            outcome = _failure_outcome(Refusal(Code.ANSWER_LOST, repr(e)))
            self._key_registry.finish(key, outcome)
            raise
        self._key_registry.finish(key, outcome)
        return outcome

    async def _buffer_outcome(self, served: ServedResponse) -> Outcome:
        """Buffer a response; one above MAX_OUTCOME_BYTES becomes ALREADY_RAN."""
        parts = []
        size = 0
        async with ensure_finished(served):
            async for chunk in served.chunks():
                size += len(chunk)
                if size <= MAX_OUTCOME_BYTES:
                    parts.append(chunk)
        if size > MAX_OUTCOME_BYTES:
            return Outcome(200, [], b"", Code.ALREADY_RAN)
        head = [*served.headers, (h.SERVED_BY, served.served_by)]
        return Outcome(served.status, head, b"".join(parts))

    async def _await_outcome(self, inbound: GateRequest, key: Key) -> Outcome:
        """Wait for a running request until this caller's deadline.

        A bulk upload waits without a limit.
        """
        task = self._running.get(key.nonce)
        if task is None:
            raise Refusal(Code.STILL_RUNNING, retry_after_ms=OUTCOME_RETRY_MS)
        now = asyncio.get_running_loop().time()
        limit = None if inbound.queued.bulk else max(inbound.queued.deadline - now, 0.0)
        done, _ = await asyncio.wait({task}, timeout=limit)
        if not done:
            raise Refusal(Code.STILL_RUNNING, retry_after_ms=OUTCOME_RETRY_MS)
        return task.result()

    async def _forward_to_issuer(self, inbound: GateRequest, key: Key) -> Outcome:
        """Forward the request to the gate that issued its key."""
        issuer = self._scheduler.peer_gates.get(key.vm)
        if self._issuer_ended(key, issuer):
            raise Refusal(Code.ISSUER_GONE)
        if issuer is None:
            raise Refusal(Code.ISSUER_UNREACHABLE, retry_after_ms=OUTCOME_RETRY_MS)
        try:
            answer = await self._client.send(
                issuer_hop(inbound, issuer.relay, _now()), _now()
            )
        except Refusal as e:
            if e.code is Code.CONNECT_FAILED:
                raise Refusal(
                    Code.ISSUER_UNREACHABLE, e.detail, retry_after_ms=OUTCOME_RETRY_MS
                ) from None
            raise
        problem = await answer.problem()
        if problem is not None:
            answer.close()
            logger.info("issuer refused", request_id=inbound.request_id)
            raise refusal_from_problem(problem)
        return await self._buffer_outcome(
            ServedResponse(self._server, inbound, answer, None, 0.0)
        )

    def _issuer_ended(self, key: Key, issuer: AgentHeartbeat | None) -> bool:
        """Return whether the process that issued a key is known to have ended."""
        if self._key_registry.issued_by_predecessor(key):
            return True
        if issuer is None or issuer.relay != key.relay:
            return False
        return issuer.incarnation > key.incarnation


def _now() -> float:
    return asyncio.get_running_loop().time()


def _failure_outcome(e: Refusal) -> Outcome:
    """Convert a refusal to an outcome, so that a retry gets the same response."""
    body = msgspec.json.encode(e.problem())
    head = [("Content-Type", "application/json"), (h.RUN, e.run.value)]
    return Outcome(502, head, body, e.code)


def _retrieve_exception(task: asyncio.Task[Outcome]) -> None:
    """Retrieve a task's exception, so that asyncio does not log it as unhandled."""
    if not task.cancelled():
        task.exception()
