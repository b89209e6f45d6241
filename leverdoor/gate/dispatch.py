# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Runs the scheduler on the loop: lets jobs wait, and wakes them when decided."""

import asyncio
import contextlib

from leverdoor.errors import Code, Rejection
from leverdoor.gate.queueing import QueuedRequest
from leverdoor.gate.scheduler import Decision, Dispatch, Scheduler

__all__ = ["Dispatcher"]

TICK_S = 0.02
"""Seconds between two rounds of decisions while requests wait; chosen."""
IDLE_TICK_S = 0.25
"""The same while none does."""


class Dispatcher:
    """Places jobs; the scheduler decides, this waits."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Create it around a scheduler."""
        self.scheduler = scheduler
        self._waiting: dict[int, tuple[QueuedRequest, asyncio.Future[Decision]]] = {}
        self._wake = asyncio.Event()

    @property
    def waiting(self) -> int:
        """Count the jobs that wait."""
        return len(self._waiting)

    def kick(self) -> None:
        """Have waiting jobs looked at again; call after anything changed."""
        self._wake.set()

    async def place(self, job: QueuedRequest) -> Decision:
        """Decide on a job, after a wait if need be."""
        loop = asyncio.get_running_loop()
        decision = self._offer(job, loop.time())
        if decision is not None:
            return decision
        future: asyncio.Future[Decision] = loop.create_future()
        self._waiting[id(job)] = (job, future)
        self.kick()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(job, future, loop.time())
            raise
        finally:
            self._waiting.pop(id(job), None)

    def _offer(self, job: QueuedRequest, now: float) -> Decision | None:
        decision = self.scheduler.offer(job, now)
        if not isinstance(decision, Rejection) or decision.code is not Code.QUEUE_FULL:
            return decision
        victim = self.scheduler.evictable(job)
        if victim is None:
            return decision
        refuse = self.scheduler.evict(victim, now)
        if refuse is not None:
            self._resolve(victim, refuse)
        return self.scheduler.offer(job, now)

    def _abandon(
        self, job: QueuedRequest, future: asyncio.Future[Decision], now: float
    ) -> None:
        """Give back what was taken for a caller that went away."""
        self.scheduler.withdraw(job)
        if future.done() and not future.cancelled():
            decision = future.result()
            if isinstance(decision, Dispatch):
                self.scheduler.done(job, decision, now, 0.0, False, 0.0)
                self.kick()

    def _resolve(self, job: QueuedRequest, decision: Decision) -> None:
        entry = self._waiting.get(id(job))
        if entry is not None and not entry[1].done():
            entry[1].set_result(decision)
        elif isinstance(decision, Dispatch):
            now = asyncio.get_running_loop().time()
            self.scheduler.done(job, decision, now, 0.0, False, 0.0)

    async def run(self) -> None:
        """Look at waiting jobs whenever something changed, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            tick = TICK_S if self._waiting else IDLE_TICK_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(tick):
                    await self._wake.wait()
            self._wake.clear()
            for job, decision in self.scheduler.poll(loop.time()):
                self._resolve(job, decision)
