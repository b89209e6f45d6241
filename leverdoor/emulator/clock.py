# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A clock that jumps from one event to the next."""

import heapq
from collections.abc import Callable

__all__ = ["EmulatedClock"]


class EmulatedClock:
    """Runs what is due, in order of time and then of planning."""

    def __init__(self) -> None:
        """Create it at zero."""
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._planned = 0
        """How many events were planned, which orders those of one time."""

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Let something happen at a time, in seconds."""
        self._planned += 1
        heapq.heappush(self._due, (max(when, self.now), self._planned, act))

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Let something happen after a time, in seconds."""
        self.at(self.now + delay_s, act)

    def run(self, until: float) -> None:
        """Run everything that is due up to a time, in seconds."""
        while self._due and self._due[0][0] <= until:
            self.now, _, act = heapq.heappop(self._due)
            act()
        self.now = until
