# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Runs the scheduler on the event loop; requests wait here for its decisions.

Owns one future per waiting request, which is lost when the process ends. Relies on
calls of `wake_scheduler` after each change of units, configuration or heartbeats.
"""

import asyncio
import contextlib

from leverdoor.errors import Code, Rejection
from leverdoor.gate.placement import Decision, Dispatch
from leverdoor.gate.queueing import QueuedRequest
from leverdoor.gate.scheduler import Scheduler

__all__ = ["Dispatcher"]

TICK_S = 0.02
"""Interval between scheduling rounds while requests wait, in seconds.

Bounds the delay in detecting an expired deadline, a newly usable unit or the end of an
ejection. A greater value adds to the wait; a smaller one costs CPU time.
"""
IDLE_TICK_S = 0.25
"""Interval between scheduling rounds while no request waits, in seconds.

An idle round has nothing to decide, and `wake_scheduler` ends the interval early.
"""


class Dispatcher:
    """Places requests and queues those that the scheduler cannot place at once."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Create a dispatcher for a scheduler."""
        self.scheduler = scheduler
        self._waiting: dict[int, tuple[QueuedRequest, asyncio.Future[Decision]]] = {}
        self._wake = asyncio.Event()

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def wake_scheduler(self) -> None:
        """Make `run` reconsider the waiting requests after a change."""
        self._wake.set()

    async def place(self, request: QueuedRequest) -> Decision:
        """Return the decision on a request, waiting until there is one."""
        loop = asyncio.get_running_loop()
        decision = self._offer_or_shed(request, loop.time())
        if decision is not None:
            return decision
        future: asyncio.Future[Decision] = loop.create_future()
        self._waiting[id(request)] = (request, future)
        self.wake_scheduler()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(request, future, loop.time())
            raise
        finally:
            self._waiting.pop(id(request), None)

    def _offer_or_shed(self, request: QueuedRequest, now: float) -> Decision | None:
        decision = self.scheduler.offer(request, now)
        if not isinstance(decision, Rejection) or decision.code is not Code.QUEUE_FULL:
            return decision
        # The queue is full: shed a request of a lower tier, then try again.
        shed = self.scheduler.eviction_candidate(request)
        if shed is None:
            return decision
        rejection = self.scheduler.shed_waiting(shed, now)
        if rejection is not None:
            self._resolve(shed, rejection)
        return self.scheduler.offer(request, now)

    def _abandon(
        self, request: QueuedRequest, future: asyncio.Future[Decision], now: float
    ) -> None:
        """Withdraw a request whose caller disconnected; release units it acquired."""
        self.scheduler.withdraw(request)
        if future.done() and not future.cancelled():
            decision = future.result()
            if isinstance(decision, Dispatch):
                self.scheduler.done(request, decision, now, 0.0, False, 0.0)
                self.wake_scheduler()

    def _resolve(self, request: QueuedRequest, decision: Decision) -> None:
        entry = self._waiting.get(id(request))
        if entry is not None and not entry[1].done():
            entry[1].set_result(decision)
        elif isinstance(decision, Dispatch):
            # The caller disconnected: release the units of its request.
            now = asyncio.get_running_loop().time()
            self.scheduler.done(request, decision, now, 0.0, False, 0.0)

    async def run(self) -> None:
        """Schedule waiting requests after each wake-up or interval, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            tick = TICK_S if self._waiting else IDLE_TICK_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(tick):
                    await self._wake.wait()
            self._wake.clear()
            for request, decision in self.scheduler.poll(loop.time()):
                self._resolve(request, decision)
