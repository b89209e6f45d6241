# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides which priorities are refused at once while a region of a service is full.

A priority is refused for the sake of more urgent ones, so only while these find no
room. If it causes the whole load itself, refusing it would leave slots free.

The inputs are the load over the slots of the region, which all entries know from
digests and reports within about a second, the priorities in the configuration, and
which of them found no room at this entry. Entries therefore agree without a message.

Owns the level of one region of a service, lost with the process; it rises again within
a second.
"""

from collections.abc import Sequence

__all__ = ["ShedLevel"]

FULL_UTILIZATION = 1.0
"""Load over slots from which a region counts as full: no slot is free.

With a greater value, requests of all priorities wait. With a smaller one, less urgent
requests are refused while slots are free.
"""
CALM_UTILIZATION = 0.85
"""Load over slots below which a refused priority may return.

With a greater value, it returns and is refused in turns. With a smaller one, slots stay
free after a burst.
"""
RAISE_AFTER_S = 0.5
"""Time for which a region must be full before a priority is refused, in seconds.

With a greater value, urgent requests find no room during a burst. With a smaller one,
the noise of load estimates decides.
"""
LOWER_AFTER_S = 1.0
"""Time for which a region must be calm before a priority returns, in seconds.

Digests show the effect of the last change by then. With a greater value, slots stay
free.
"""
WITHOUT_ROOM_S = 1.0
"""Time for which a request without room speaks for refusing less urgent ones, in s.

Covers the pauses between the urgent requests of one entry. With a greater value, a
priority is refused after the others have found room.
"""
NEVER = float("-inf")


class ShedLevel:
    """How many of the least urgent priorities are refused at once."""

    def __init__(self, now: float) -> None:
        """Create it with all priorities admitted.

        Args:
          now: monotonic time in seconds.
        """
        self.level = 0
        self._full_since: float | None = None
        self._calm_since: float | None = None
        self._changed_at = now
        self._without_room: dict[int, float] = {}
        """By priority, when a request last found no room; monotonic, in seconds."""

    def record_without_room(self, priority: int, now: float) -> None:
        """Record that a request of a priority found no room."""
        self._without_room[priority] = now

    def update(self, utilization: float, priorities: Sequence[int], now: float) -> bool:
        """Adapt the level; to be called several times a second.

        Args:
          utilization: load over slots of the region's usable targets.
          priorities: the priorities of its requests, the most urgent first; empty to
            refuse none.
          now: monotonic time in seconds.
        Returns: whether the level changed.
        """
        before = self.level
        pressed = self._more_urgent_without_room(priorities, now)
        full = utilization >= FULL_UTILIZATION and pressed
        calm = utilization < CALM_UTILIZATION
        self._full_since = _since(self._full_since, full, now)
        self._calm_since = _since(self._calm_since, calm, now)
        if self._has_lasted(self._full_since, RAISE_AFTER_S, now):
            self.level += 1
        elif self._has_lasted(self._calm_since, LOWER_AFTER_S, now):
            self.level -= 1
        self.level = min(max(self.level, 0), max(len(priorities) - 1, 0))
        if self.level != before:
            self._changed_at = now
        return self.level != before

    def refused(self, priorities: Sequence[int]) -> Sequence[int]:
        """Return the priorities that are refused at once; never the most urgent one."""
        return priorities[max(len(priorities) - self.level, 1) :]

    def _more_urgent_without_room(self, priorities: Sequence[int], now: float) -> bool:
        """Return whether requests found no room that are more urgent than the next.

        The next is the priority that is refused if the level is raised.
        """
        admitted = priorities[: len(priorities) - self.level]
        return any(
            now - self._without_room.get(priority, NEVER) <= WITHOUT_ROOM_S
            for priority in admitted[:-1]
        )

    def _has_lasted(self, since: float | None, for_s: float, now: float) -> bool:
        """Return whether a state has lasted, also since the last change."""
        return since is not None and now - max(since, self._changed_at) >= for_s


def _since(since: float | None, holds: bool, now: float) -> float | None:
    """Return since when a state holds; None if it does not."""
    if not holds:
        return None
    return now if since is None else since
