# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides which priorities are refused at once while a region of a service is full.

The input is the load over the slots of the region, which all entries know from digests
and reports within about a second, and the priorities in the configuration. Entries
therefore agree without a message.

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

    def update(self, utilization: float, priorities: Sequence[int], now: float) -> bool:
        """Adapt the level; to be called several times a second.

        Args:
          utilization: load over slots of the region's usable targets.
          priorities: the priorities of its requests, the most urgent first.
          now: monotonic time in seconds.
        Returns: whether the level changed.
        """
        before = self.level
        full, calm = utilization >= FULL_UTILIZATION, utilization < CALM_UTILIZATION
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

    def _has_lasted(self, since: float | None, for_s: float, now: float) -> bool:
        """Return whether a state has lasted, also since the last change."""
        return since is not None and now - max(since, self._changed_at) >= for_s


def _since(since: float | None, holds: bool, now: float) -> float | None:
    """Return since when a state holds; None if it does not."""
    if not holds:
        return None
    return now if since is None else since
