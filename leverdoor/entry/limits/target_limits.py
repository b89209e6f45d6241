# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The parts of an entry that keep what targets set for all entries together.

Owns the targets by their `target_id`, rebuilt from each configuration; its parts own
the limits known, the rooms handed out here and the questions that are open. Relies on
the fleet for the states of targets, and on the membership for who else is there.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from leverdoor.entry.context import EntryContext
from leverdoor.entry.exchange.messages import RoomAnswer, RoomMessage, RoomRequest
from leverdoor.entry.limits.asking import RoomAsking
from leverdoor.entry.limits.limiter import Limiter
from leverdoor.entry.limits.named_limits import NamedLimits
from leverdoor.entry.limits.role import LimiterRole
from leverdoor.entry.membership.member import EntryState
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.pause_detector import PauseDetector
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.limits.named import LimitWord
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id

__all__ = ["TargetLimits"]


class TargetLimits:
    """What one entry knows, asks and hands out of targets' limits."""

    def __init__(
        self,
        context: EntryContext,
        membership: Membership,
        fleet: Fleet,
        state: Callable[[], EntryState],
        ask_room: Callable[[RoomRequest, str], None],
        metrics: EntryMetrics,
    ) -> None:
        """Create all parts.

        Args:
          context: the entry's surroundings.
          membership: the entries known.
          fleet: the states of targets; its book of limits is used.
          state: returns the state of this entry.
          ask_room: sends a question for room to an address.
          metrics: counts questions and what is unreadable.
        """
        self._targets: dict[int, Target] = {}
        self.named = NamedLimits(context.wire, fleet.limits, context.events, metrics)
        self._pauses = PauseDetector(asyncio.get_running_loop().time())
        role = LimiterRole(membership, state, self._pauses)
        self._limiter = Limiter(fleet, role, self._pauses, self._targets.get)
        self.asking = RoomAsking(
            fleet, role, self._limiter, ask_room, context.rng, metrics
        )

    def renew(self, targets: Mapping[str, Target]) -> None:
        """Take the targets of a new configuration."""
        self._targets.clear()
        self._targets.update((target_id(t.name), t) for t in targets.values())
        self.named.renew(targets)

    def round(self, now: float) -> list[LimitWord]:
        """Note that the entry runs; return what it is to tell of limits."""
        self._pauses.uninterrupted_s(now)
        return self.named.own_words()

    def told(self, words: Iterable[LimitWord]) -> None:
        """Take what other entries received."""
        self.named.told(words)

    def take(self, message: RoomMessage, now: float) -> RoomAnswer | None:
        """Take a question of another entry, or the answer to an own one.

        Returns: the answer to a question.
        """
        if isinstance(message, RoomRequest):
            return self._limiter.answer(message, now)
        self.asking.answered(message)
        return None

    def forget(self, now: float) -> None:
        """Drop what has grown old."""
        self.named.forget(now)
        self._limiter.forget(now)
