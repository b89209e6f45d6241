# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How long a connection may be idle where targets, or what is before them, forget it.

A target may drop an idle connection without closing it, and reset what is next sent on
it. A request that must not run twice then fails, since nothing says that it did not
run. Where this shows, only connections that were used a moment ago are used again, for
all targets of the service and for a while.

Owns which services these are; lost with the process. A pure rule beside that.
"""

__all__ = ["IdleTimeouts"]

RESET_WITHIN_S = 0.15
"""Time within which a lost answer shows a forgotten connection, in seconds.

Above the round trip between regions (0.11 s), so that the reset arrives; a target that
fails while it runs a request mostly takes longer. Greater, such failures cost new
connections; smaller, forgotten connections to other regions go unnoticed.
"""
LIMITED_IDLE_S = 0.15
"""Longest idle time of a connection while its service forgets them, in seconds.

Requests that follow one another still share a connection. Greater, more of them meet a
forgotten one; smaller, nearly each opens its own.
"""
LIMITED_FOR_S = 8.0
"""How long this lasts after the last lost answer, in seconds.

The usual length of such a fault. Greater, new connections are opened for nothing;
smaller, a request is lost each time the fault is found out anew.
"""


class IdleTimeouts:
    """The longest idle time of kept connections, by service."""

    def __init__(self) -> None:
        """Create it with no service known to forget connections."""
        self._limited_until: dict[str, float] = {}

    def longest_s(self, service: str, now: float) -> float:
        """Return the longest idle time after which a connection may be used.

        Args:
          service: of the target.
          now: loop time in seconds.
        Returns: seconds; infinite where nothing was forgotten lately.
        """
        if now < self._limited_until.get(service, 0.0):
            return LIMITED_IDLE_S
        return float("inf")

    def lost(self, service: str, idle_s: float, took_s: float, now: float) -> bool:
        """Record an answer that was lost on a connection that had been idle.

        Args:
          service: of the target.
          idle_s: how long the connection had been idle before, in seconds.
          took_s: how long after the sending it was lost, in seconds.
          now: loop time in seconds.
        Returns: whether the service's idle time is limited from now on, and was not
          before.
        """
        if idle_s < LIMITED_IDLE_S or took_s > RESET_WITHIN_S:
            return False
        before = now < self._limited_until.get(service, 0.0)
        self._limited_until[service] = now + LIMITED_FOR_S
        return not before
