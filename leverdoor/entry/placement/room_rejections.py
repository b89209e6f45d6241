# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Records the room requests that the limiter of one target rejected.

Before a request is sent to a limited target, a room request asks the entry that runs
the target's limiter for permission. After a rejection, requests of the same or a less
urgent priority go to other targets without a room request for some time. This saves
them a round trip and limits the load of the limiter.

Owns, by priority, the end of the suppression and the number of skipped room requests of
one target. Nothing is persisted.
"""

__all__ = ["RoomRejections"]


class RoomRejections:
    """The rejections by one target's limiter."""

    def __init__(self) -> None:
        """Create it without rejections."""
        self._suppressed_until: dict[int, float] = {}
        """By priority, the monotonic time until which no room is requested, in s."""
        self._skipped: dict[int, int] = {}
        """By priority, the number of skipped room requests."""
        self._room_at = 0.0
        """Monotonic time at which the limiter should grant requests, in seconds."""

    def record_rejection(
        self, priority: int, suppress_s: float, room_s: float, now: float
    ) -> None:
        """Record that the limiter rejected a room request.

        Args:
          priority: of the rejected request.
          suppress_s: period in which such requests request no room, in seconds.
          room_s: time until the limiter is expected to grant requests, in seconds; the
            last rejection of any priority applies.
          now: monotonic time in seconds.
        """
        self._suppressed_until[priority] = now + suppress_s
        self._room_at = now + room_s

    def suppresses(self, priority: int, now: float) -> bool:
        """Return whether requests of a priority must not request room now.

        A rejection applies to its priority and to all less urgent ones.
        """
        return any(now < t and p <= priority for p, t in self._suppressed_until.items())

    def count_skipped(self, priority: int) -> None:
        """Count a skipped room request."""
        self._skipped[priority] = self._skipped.get(priority, 0) + 1

    def take_skipped(self, priority: int) -> int:
        """Return and reset the number of skipped room requests of a priority."""
        return self._skipped.pop(priority, 0)

    def time_to_room_s(self, now: float) -> float:
        """Return the time until the limiter should grant requests, in seconds."""
        return max(self._room_at - now, 0.0)
