# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How long a kept connection may rest, where targets forget idle ones.

A target may forget an idle connection without a word, and resets what is next
sent on it. What must not run twice then fails, since nothing says that it did
not run. A service where this shows gets younger connections for a while.
"""

__all__ = ["IdleTimeouts"]

AT_ONCE_S = 0.15
"""A reset that comes so soon was no work of the target."""
CAUTIOUS_IDLE_S = 0.15
"""Longest rest of a connection while its service forgets them, in seconds."""
CAUTIOUS_FOR_S = 8.0
"""How long such caution lasts after the last sign; chosen, a usual trouble."""


class IdleTimeouts:
    """The longest rest of kept connections, by service."""

    def __init__(self) -> None:
        """Create it with every service trusted."""
        self._cautious_until: dict[str, float] = {}

    def longest_s(self, service: str, now: float) -> float:
        """Return the longest rest after which a connection may be used."""
        if now < self._cautious_until.get(service, 0.0):
            return CAUTIOUS_IDLE_S
        return float("inf")

    def lost(self, service: str, idle_s: float, took_s: float, now: float) -> bool:
        """Record an answer that was lost on a connection that had rested.

        Args:
          service: of the target.
          idle_s: how long the connection had rested before.
          took_s: how long after the sending it was lost.
          now: monotonic time in seconds.
        Returns: whether the service's connections are used with caution from now on,
          and were not before.
        """
        if idle_s < CAUTIOUS_IDLE_S or took_s > AT_ONCE_S:
            return False
        before = now < self._cautious_until.get(service, 0.0)
        self._cautious_until[service] = now + CAUTIOUS_FOR_S
        return not before
