# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Asks for room at a limited target before a request is sent there.

The target's limiter is asked by one datagram, again if no answer comes, and never for
longer than a fraction of a look-up's time; no answer counts as no room, so that what is
cut off sends nothing. Answers that come too late grant nothing.

Owns the questions that are open, lost with the process. Relies on `LimiterRole` for
whom to ask, on `Limiter` where that is this entry, and on the fleet's notes of targets
without room, which keep others from asking at once.
"""

import asyncio
from collections.abc import Callable
from itertools import count
from random import Random

from leverdoor.entry.exchange.messages import RoomAnswer, RoomRequest
from leverdoor.entry.limits.limiter import Limiter
from leverdoor.entry.limits.role import LimiterRole
from leverdoor.entry.membership.member import Member
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.limits.room import RoomDecision
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id

__all__ = ["RoomAsking"]

NEAR_TRY_S = 0.03
"""How long an answer is awaited from within the region, each of two times."""
FAR_TRY_S = 0.15
"""The same from another region: two ways of up to 0.055 s, and a busy loop."""
TRIES = 2
"""Datagrams that are sent for one question, since one in some may be lost."""
UNANSWERED = RoomDecision(granted=False, wait_s=0.25, room_s=0.5)
"""What no answer counts as; after a quarter of a second another entry may limit it."""
SPREAD = 0.5
"""Part by which the time until the next question is spread, so that entries that were
refused together don't ask together."""


class RoomAsking:
    """Asks the limiters of targets for room."""

    def __init__(
        self,
        fleet: Fleet,
        role: LimiterRole,
        limiter: Limiter,
        ask_room: Callable[[RoomRequest, str], None],
        rng: Random,
        metrics: EntryMetrics,
    ) -> None:
        """Create it.

        Args:
          fleet: the states of targets; it knows their limits.
          role: who limits which target.
          limiter: decides where this entry is the limiter.
          ask_room: sends a question for room to an address.
          rng: where all chance comes from.
          metrics: counts questions by what came of them.
        """
        self._fleet = fleet
        self._role = role
        self._limiter = limiter
        self._ask_room = ask_room
        self._rng = rng
        self._metrics = metrics
        self._numbers = count(rng.getrandbits(62))
        """Numbers of questions; they don't begin again with a restart."""
        self._open: dict[int, asyncio.Future[RoomDecision]] = {}

    async def acquire(self, request: PlacementRequest, target: Target) -> bool:
        """Return whether a request may be sent to a target that it was placed at.

        A target without a limit, and not in its warm-up, has room at once. What is
        learned of one without room is noted at its state.
        """
        now = asyncio.get_running_loop().time()
        per_s = self._fleet.effective_limit_per_s(target, now)
        if per_s is None:
            return True
        state = self._fleet.state_of(target, now)
        missed = state.room.take_skipped(request.priority)
        decision = await self._ask(target, per_s, request.priority, missed, now)
        if not decision.granted:
            now = asyncio.get_running_loop().time()
            spread = self._rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)
            wait_s = decision.wait_s * spread
            state.room.record_rejection(request.priority, wait_s, decision.room_s, now)
        return decision.granted

    async def _ask(
        self, target: Target, per_s: float, priority: int, missed: int, now: float
    ) -> RoomDecision:
        limiter = self._role.limiter(target, now)
        if limiter is None:
            return self._counted(UNANSWERED, "unanswered")
        if limiter.name == self._role.own.name:
            decision = self._limiter.decide(target, per_s, priority, missed, now)
            return self._counted(decision)
        request = RoomRequest(
            self._role.own.gossip,
            next(self._numbers),
            target_id(target.name),
            per_s,
            priority,
            missed,
        )
        return await self._ask_other(limiter, request)

    async def _ask_other(self, limiter: Member, request: RoomRequest) -> RoomDecision:
        near = limiter.region == self._role.own.region
        try_s = NEAR_TRY_S if near else FAR_TRY_S
        answer = asyncio.get_running_loop().create_future()
        self._open[request.number] = answer
        try:
            for _ in range(TRIES):
                self._ask_room(request, limiter.gossip)
                await asyncio.wait([answer], timeout=try_s)
                if answer.done():
                    return self._counted(answer.result())
            return self._counted(UNANSWERED, "unanswered")
        finally:
            del self._open[request.number]

    def answered(self, answer: RoomAnswer) -> None:
        """Take another entry's answer; one that is late, or came before, is dropped."""
        question = self._open.get(answer.number)
        if question is not None and not question.done():
            decision = RoomDecision(
                answer.granted, answer.wait_ms / 1000, answer.room_ms / 1000
            )
            question.set_result(decision)

    def _counted(self, decision: RoomDecision, outcome: str = "") -> RoomDecision:
        outcome = outcome or ("granted" if decision.granted else "refused")
        self._metrics.room_requests.labels(outcome).inc()
        return decision
