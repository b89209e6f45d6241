# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""This entry as the limiter of some targets: it grants requests, its own and others'.

Owns the rooms of the targets that it was asked about, and the answers of the last
second, so that a message that came twice is not granted twice. Both are lost with the
process; a room begins empty where another limiter may just have granted some.

Relies on the fleet for what bounds targets, on `LimiterRole` for its part of it.
"""

import math
from collections import OrderedDict
from collections.abc import Callable

from leverdoor.entry.exchange.messages import RoomAnswer, RoomRequest
from leverdoor.entry.limits.role import LimiterRole
from leverdoor.entry.pause_detector import PauseDetector
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.limits.room import Room, RoomDecision, burst
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id

__all__ = ["Limiter"]

NOT_LIMITER = RoomDecision(granted=False, wait_s=0.1, room_s=0.5)
"""What an entry answers that does not limit the target: who asked may know better in a
moment."""
MOST_ANSWERS = 4_096
"""Answers kept for messages that come twice."""


class Limiter:
    """Hands out the room of targets."""

    def __init__(
        self,
        fleet: Fleet,
        role: LimiterRole,
        pauses: PauseDetector,
        target: Callable[[int], Target | None],
    ) -> None:
        """Create it.

        Args:
          fleet: knows what bounds targets.
          role: which of them this entry hands out, and how much.
          pauses: for how long this entry has run.
          target: returns the target of a `target_id`, if there is one.
        """
        self._fleet = fleet
        self._role = role
        self._pauses = pauses
        self._target = target
        self._rooms: dict[int, Room] = {}
        self._answers: OrderedDict[tuple[str, int], RoomAnswer] = OrderedDict()
        """By sender and number of the question."""

    def answer(self, request: RoomRequest, now: float) -> RoomAnswer:
        """Return the answer to another entry's request for room.

        Args:
          request: the message; one that was answered gets the same answer again.
          now: monotonic time in seconds.
        """
        key = (request.sender, request.number)
        known = self._answers.get(key)
        if known is not None:
            return known
        decision = self._decide(request, now)
        answer = RoomAnswer(
            request.number,
            decision.granted,
            round(decision.wait_s * 1000),
            round(decision.room_s * 1000),
        )
        self._answers[key] = answer
        if len(self._answers) > MOST_ANSWERS:
            self._answers.popitem(last=False)
        return answer

    def _decide(self, request: RoomRequest, now: float) -> RoomDecision:
        target = self._target(request.target)
        if target is None or not 0.0 <= request.per_s < math.inf:
            return NOT_LIMITER
        return self.decide(target, request.per_s, request.priority, request.missed, now)

    def decide(
        self, target: Target, per_s: float, priority: int, missed: int, now: float
    ) -> RoomDecision:
        """Decide on one request to a target.

        Args:
          target: where it would go.
          per_s: the target's limit as known to who asks; the smaller one counts, since
            either may not have heard of a change.
          priority: of the request; smaller is more urgent.
          missed: requests of that priority kept from asking before it.
          now: monotonic time in seconds.
        """
        part = self._role.part(target, now)
        if not part:
            return NOT_LIMITER
        key = target_id(target.name)
        known = self._fleet.room_per_s(target, now)
        per_s = per_s if known is None else min(per_s, known)
        room = self._rooms.get(key)
        if room is None:
            room = Room(self._saved(key, per_s, part, now), now)
            self._rooms[key] = room
        return room.ask(per_s, part, priority, missed, now)

    def _saved(self, key: int, per_s: float, part: float, now: float) -> float:
        """Return the tokens with which a room begins.

        What was named, and could be handed out by nobody else, since then.
        """
        if part < 1.0:
            return 0.0
        limited_s = self._fleet.limits.limited_s(key, now)
        return min(
            min(limited_s, self._pauses.uninterrupted_s(now)) * per_s, burst(per_s)
        )

    def forget(self, now: float) -> None:
        """Drop the rooms of targets without a bound, and of those that are gone."""
        self._rooms = {
            key: room for key, room in self._rooms.items() if self._bounded(key, now)
        }

    def _bounded(self, key: int, now: float) -> bool:
        target = self._target(key)
        return target is not None and self._fleet.room_per_s(target, now) is not None
