# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Serves requests that run at most once, at the gate that issued their key."""

import asyncio

import msgspec
from loguru import logger

from leverdoor import headers as h
from leverdoor.errors import Code, Refusal, Run
from leverdoor.gate.keys import Key, KeyRing, KeyState, Outcome, parse_key
from leverdoor.gate.relay import Hop, HopClient, refusal_of
from leverdoor.gate.scheduler import Scheduler
from leverdoor.gate.serving import GateRequest, Served, Server, finishing
from leverdoor.membership.peers import AgentHeartbeat

__all__ = ["KeyedServer"]

ASK_AGAIN_MS = 500
"""When to ask again for an outcome, in ms; chosen."""
MAX_OUTCOME_BYTES = 8 * 1024 * 1024
"""Longest outcome taken from another gate; chosen."""


class KeyedServer:
    """Runs a key's request here, or asks the gate that issued the key."""

    def __init__(
        self, ring: KeyRing, server: Server, scheduler: Scheduler, client: HopClient
    ) -> None:
        """Create it from the gate's parts."""
        self._ring = ring
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
        if not self._ring.mine(key):
            return await self._ask_issuer(inbound, key)
        now = asyncio.get_running_loop().time()
        state = self._ring.begin(key, now)
        if state is KeyState.NEW:
            self._start(inbound, key)
        if state is KeyState.DONE:
            outcome = self._ring.outcome(key)
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
                self._ring.not_run(key)
                raise
            outcome = _failed(e)
        except BaseException as e:
            outcome = _failed(Refusal(Code.ANSWER_LOST, repr(e)))
            self._ring.finish(key, outcome)
            raise
        self._ring.finish(key, outcome)
        return outcome

    async def _collect(self, served: Served) -> Outcome:
        """Read an answer whole; an answer too large to keep is an error."""
        parts = []
        size = 0
        async with finishing(served):
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
            raise Refusal(Code.STILL_RUNNING, retry_after_ms=ASK_AGAIN_MS)
        now = asyncio.get_running_loop().time()
        limit = None if inbound.queued.bulk else max(inbound.queued.deadline - now, 0.0)
        done, _ = await asyncio.wait({task}, timeout=limit)
        if not done:
            raise Refusal(Code.STILL_RUNNING, retry_after_ms=ASK_AGAIN_MS)
        return task.result()

    async def _ask_issuer(self, inbound: GateRequest, key: Key) -> Outcome:
        """Pass the request to the gate that issued its key."""
        issuer = self._scheduler.neighbours.get(key.vm)
        if self._is_gone(key, issuer):
            raise Refusal(Code.ISSUER_GONE)
        if issuer is None:
            raise Refusal(Code.ISSUER_UNREACHABLE, retry_after_ms=ASK_AGAIN_MS)
        try:
            answer = await self._client.send(self._hop(inbound, issuer), _now())
        except Refusal as e:
            if e.code is Code.CONNECT_FAILED:
                raise Refusal(
                    Code.ISSUER_UNREACHABLE, e.detail, retry_after_ms=ASK_AGAIN_MS
                ) from None
            raise
        problem = await answer.problem()
        if problem is not None:
            answer.close()
            logger.info("issuer refused", request_id=inbound.request_id)
            raise refusal_of(problem)
        return await self._collect(Served(self._server, inbound, answer, None, 0.0))

    def _is_gone(self, key: Key, issuer: AgentHeartbeat | None) -> bool:
        """Return whether the process that issued a key is proved to be gone."""
        if self._ring.replaced(key):
            return True
        if issuer is None or issuer.relay != key.relay:
            return False
        return issuer.incarnation > key.incarnation

    def _hop(self, inbound: GateRequest, issuer: AgentHeartbeat) -> Hop:
        left_ms = max(int((inbound.queued.deadline - _now()) * 1000), 1)
        extra = [
            (h.REQUEST_ID, inbound.request_id),
            (h.HOME, inbound.queued.home),
            (h.TIER, inbound.queued.tier.name),
            (h.CALLER, inbound.caller),
            (h.DEADLINE, str(left_ms)),
        ]
        return Hop(
            method=inbound.method,
            url=f"http://{issuer.relay}/s/{inbound.service.name}/{inbound.tail}",
            headers=inbound.headers + extra,
            body=inbound.body,
            deadline=inbound.queued.deadline,
            stall_s=inbound.service.deadline_ms / 1000,
            once=True,
            relay=True,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _failed(e: Refusal) -> Outcome:
    """Keep a refusal as an outcome, so that a repeat gets the same answer."""
    body = msgspec.json.encode(e.problem())
    head = [("Content-Type", "application/json"), (h.RUN, e.run.value)]
    return Outcome(502, head, body, e.code)


def _consume(task: asyncio.Task[Outcome]) -> None:
    """Read a task's error, which its callers got, so that none is left unread."""
    if not task.cancelled():
        task.exception()
