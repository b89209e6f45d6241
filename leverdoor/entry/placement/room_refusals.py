# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What an entry remembers of a limited target that had no room when it was asked for.

Until its limiter expects room again, requests of that priority and less urgent ones go
elsewhere without asking, so that neither they wait nor the limiter is flooded.

Owns, for one target, until when it is not asked again by priority, and how many
requests that kept from asking; lost with the process.
"""

__all__ = ["RoomRefusals"]


class RoomRefusals:
    """The refusals of one target's limiter."""

    def __init__(self) -> None:
        """Create it without any."""
        self._until: dict[int, float] = {}
        """By priority, until when the limiter is not asked, in monotonic seconds."""
        self._missed: dict[int, int] = {}
        self._room_at = 0.0

    def refused(self, priority: int, wait_s: float, room_s: float, now: float) -> None:
        """Note that there was no room.

        Args:
          priority: of the request that was refused.
          wait_s: for how long not to ask again for such requests, in seconds.
          room_s: when there should be room for them, in seconds.
          now: monotonic time in seconds.
        """
        self._until[priority] = now + wait_s
        self._room_at = now + room_s

    def suppresses(self, priority: int, now: float) -> bool:
        """Return whether requests of a priority are not to ask now."""
        return any(now < t and p <= priority for p, t in self._until.items())

    def miss(self, priority: int) -> None:
        """Count a request that would have asked."""
        self._missed[priority] = self._missed.get(priority, 0) + 1

    def take_skipped(self, priority: int) -> int:
        """Return how many requests of a priority did not ask since the last did."""
        return self._missed.pop(priority, 0)

    def room_s(self, now: float) -> float:
        """Return the time after which room is expected, in seconds."""
        return max(self._room_at - now, 0.0)
