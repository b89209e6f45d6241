# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Serves requests that run at most once, at the gate that issued their key.

Owns the runs under way, by key: they go on when their caller leaves, and end with the
process. Relies on `keys.py` for what a key allows and on heartbeats for the proof that
an issuer is gone.
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
"""Retry-After in ms while an outcome is not known yet.

Some runs, and some heartbeats of an issuer that can't be reached. A smaller one loads
the issuer for nothing; a greater one keeps a caller waiting for an outcome.
"""
MAX_OUTCOME_BYTES = 8 * 1024 * 1024
"""Longest answer read whole, in bytes: bounds the memory of a gate."""


class KeyedServer:
    """Runs a key's request here, or passes it to the gate that issued the key."""

    def __init__(
        self, ring: KeyRegistry, server: Server, scheduler: Scheduler, client: HopClient
    ) -> None:
        """Create it from the gate's parts."""
        self._key_registry = ring
        self._server = server
        self._scheduler = scheduler
        self._client = client
        self._running: dict[bytes, asyncio.Task[Outcome]] = {}

    @property
    def running(self) -> int:
        """Count the requests that run, their callers still there or not."""
        return len(self._running)

    async def serve(self, inbound: GateRequest) -> Outcome:
        """Return the one outcome of a key.

        Raises:
          Refusal: there is none; the code says whether it may have run.
        """
        key = parse_key(inbound.key)
        if not self._key_registry.issued_here(key):
            return await self._from_issuer(inbound, key)
        now = asyncio.get_running_loop().time()
        state = self._key_registry.begin(key, now)
        if state is KeyState.NEW:
            self._start(inbound, key)
        if state is KeyState.DONE:
            outcome = self._key_registry.outcome(key)
            assert outcome is not None
            return outcome
        return await self._wait(inbound, key)

    def _start(self, inbound: GateRequest, key: Key) -> None:
        """Run apart from the caller, whose leaving must not lose the outcome."""
        task = asyncio.create_task(self._run(inbound, key))
        self._running[key.nonce] = task
        task.add_done_callback(lambda _: self._running.pop(key.nonce, None))
        task.add_done_callback(_consume)

    async def _run(self, inbound: GateRequest, key: Key) -> Outcome:
        try:
            outcome = await self._collect(await self._server.serve(inbound))
        except Refusal as e:
            if e.run is Run.NO:
                self._key_registry.forget_unrun(key)
                raise
            outcome = _failed(e)
        except BaseException as e:
            outcome = _failed(Refusal(Code.ANSWER_LOST, repr(e)))
            self._key_registry.finish(key, outcome)
            raise
        self._key_registry.finish(key, outcome)
        return outcome

    async def _collect(self, served: ServedResponse) -> Outcome:
        """Read an answer whole; an answer too large to keep is an error."""
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

    async def _wait(self, inbound: GateRequest, key: Key) -> Outcome:
        """Wait for a run that is under way, until this caller's deadline."""
        task = self._running.get(key.nonce)
        if task is None:
            raise Refusal(Code.STILL_RUNNING, retry_after_ms=OUTCOME_RETRY_MS)
        now = asyncio.get_running_loop().time()
        limit = None if inbound.queued.bulk else max(inbound.queued.deadline - now, 0.0)
        done, _ = await asyncio.wait({task}, timeout=limit)
        if not done:
            raise Refusal(Code.STILL_RUNNING, retry_after_ms=OUTCOME_RETRY_MS)
        return task.result()

    async def _from_issuer(self, inbound: GateRequest, key: Key) -> Outcome:
        """Pass the request to the gate that issued its key."""
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
        return await self._collect(
            ServedResponse(self._server, inbound, answer, None, 0.0)
        )

    def _issuer_ended(self, key: Key, issuer: AgentHeartbeat | None) -> bool:
        """Return whether the process that issued a key is proved to be gone."""
        if self._key_registry.issued_by_predecessor(key):
            return True
        if issuer is None or issuer.relay != key.relay:
            return False
        return issuer.incarnation > key.incarnation


def _now() -> float:
    return asyncio.get_running_loop().time()


def _failed(e: Refusal) -> Outcome:
    """Keep a refusal as an outcome, so that a retry gets the same answer."""
    body = msgspec.json.encode(e.problem())
    head = [("Content-Type", "application/json"), (h.RUN, e.run.value)]
    return Outcome(502, head, body, e.code)


def _consume(task: asyncio.Task[Outcome]) -> None:
    """Read a task's error, which its callers got, so that none is left unread."""
    if not task.cancelled():
        task.exception()
