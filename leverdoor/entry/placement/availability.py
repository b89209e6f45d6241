# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tracks whether a target accepts requests, as reported in its answers.

Leaving is final, because a restarted target has another name. A rest is a period,
requested by the target, in which this entry sends it no requests. The rests that a
target requests of all entries end at about the same time. After a rest, an entry
therefore sends few requests at first and doubles their number with each answer.

Owns this state of one target, lost with the process. Relies on the caller for the
monotonic time in seconds and for the number of requests in flight.
"""

import math

__all__ = [
    "INITIAL_WINDOW",
    "MAX_REST_S",
    "RAMP_UP_S",
    "REST_END_SPREAD_S",
    "Availability",
]

MAX_REST_S = 300.0
"""Maximum rest that is honoured, in seconds.

Prevents a target that requests an absurd rest from staying unused.
"""
REST_END_SPREAD_S = 0.1
"""Period over which entries resume after a rest, in seconds.

Entries that received the same rest together would otherwise resume together.
"""
INITIAL_WINDOW = 2
"""Maximum requests of this entry in flight directly after a rest."""
RAMP_UP_S = 1.0
"""Period after a rest in which requests in flight are limited, in seconds.

If the target is still overloaded, its rejections arrive within this period.
"""
URGENT_ONLY_S = 0.25
"""Period after a rest that is reserved for urgent requests, in seconds.

Until the first answer, only requests at least as urgent as the most urgent one rejected
during the rest are admitted.
"""


class Availability:
    """Whether one target accepts requests of this entry."""

    def __init__(self) -> None:
        """Create it for a target that accepts requests."""
        self.leaving = False
        """Whether the target reported that it is leaving."""
        self.answered_at = -math.inf
        """When it last answered without rejecting the request."""
        self._rest_until = 0.0
        self._max_in_flight = 0
        """Maximum requests in flight after a rest; 0 for no limit."""
        self._in_flight_before_rest = 0
        """Requests in flight that were sent before the rest started."""
        self._most_urgent: int | None = None
        """Lowest priority number of the requests rejected during the rest."""

    def set_leaving(self) -> None:
        """Record that the target is leaving."""
        self.leaving = True

    def start_rest(
        self, rest_s: float, random_fraction: float, in_flight: int, now: float
    ) -> None:
        """Start a rest that the target requested; never shortens a current one.

        Args:
          rest_s: duration in seconds.
          random_fraction: a number of [0, 1), which spreads the end of the rest.
          in_flight: this entry's requests at the target, without the answered one.
          now: monotonic time in seconds.
        """
        until = now + min(rest_s, MAX_REST_S) + REST_END_SPREAD_S * random_fraction
        if not self.is_resting(now):
            self._most_urgent = None
        self._rest_until = max(self._rest_until, until)
        self._max_in_flight = INITIAL_WINDOW
        self._in_flight_before_rest = in_flight

    def record_answer(self, slots: int, now: float) -> None:
        """Record an answer other than a rejection; doubles the window after a rest.

        Args:
          slots: of the target; a window of this size removes the limit.
          now: monotonic time in seconds.
        """
        self.answered_at = now
        if not self._max_in_flight or self.is_resting(now):
            return
        self._max_in_flight *= 2
        if self._max_in_flight >= slots:
            self._max_in_flight = 0

    def record_end(self, in_flight: int) -> None:
        """Record the number of requests in flight after one ended."""
        self._in_flight_before_rest = min(self._in_flight_before_rest, in_flight)

    def record_entry_rejection(self, priority: int) -> None:
        """Record that the entry rejected a request because the target rests."""
        if self._most_urgent is None or priority < self._most_urgent:
            self._most_urgent = priority

    def is_resting(self, now: float) -> bool:
        """Return whether the target requested a rest that has not ended."""
        return now < self._rest_until

    def remaining_rest_s(self, now: float) -> float:
        """Return the remaining rest in seconds."""
        return max(self._rest_until - now, 0.0)

    def open(self, now: float) -> bool:
        """Return whether the target is neither leaving nor resting."""
        return not self.leaving and not self.is_resting(now)

    def admits(self, priority: int, in_flight: int, now: float) -> bool:
        """Return whether the target accepts one more request now.

        Args:
          priority: of the request; a lower number is more urgent.
          in_flight: this entry's requests at the target.
          now: monotonic time in seconds.
        """
        if not self.open(now):
            return False
        if not self._max_in_flight or now - self._rest_until >= RAMP_UP_S:
            return True
        if self._is_reserved(priority, now):
            return False
        return in_flight < self._in_flight_before_rest + self._max_in_flight

    def _is_reserved(self, priority: int, now: float) -> bool:
        """Return whether only more urgent requests are admitted now."""
        if self._most_urgent is None or priority <= self._most_urgent:
            return False
        return (
            self._max_in_flight == INITIAL_WINDOW
            and now - self._rest_until < URGENT_ONLY_S
        )

    def restricts_requests(self, now: float) -> bool:
        """Return whether this state may still restrict requests."""
        return self.leaving or now - self._rest_until < RAMP_UP_S
