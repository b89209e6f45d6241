# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whether a target takes requests of this entry, by the reports in its answers.

One that leaves takes no more, for good: its next start has another name. One that asked
for rest takes none until the rest is over, then few, and more with each answer, since
the rests of all entries end at about the same moment.

Owns this state of one target, lost with the process. Relies on the caller for the time,
monotonic in seconds, and for the requests in flight.
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
"""Longest rest that is heeded, in seconds: an absurd one shuts no target out for good.
"""
REST_END_SPREAD_S = 0.1
"""Time over which entries return after a rest, in seconds, since those that were asked
together would come back together."""
INITIAL_WINDOW = 2
"""Requests of this entry that may be in flight at first after a rest."""
RAMP_UP_S = 1.0
"""Time after a rest in which requests in flight are bounded, in seconds. A target that
still wants rest turns requests away at once."""
URGENT_ONLY_S = 0.25
"""Time after a rest, without an answer yet, that is left to the most urgent of the
requests that were refused meanwhile, in seconds."""


class Availability:
    """Whether one target takes requests of this entry."""

    def __init__(self) -> None:
        """Create it for a target that takes them."""
        self.leaving = False
        """It reported that it leaves."""
        self.answered_at = -math.inf
        """When it last answered without turning the request away."""
        self._rest_until = 0.0
        self._window = 0
        """Requests that may be in flight after a rest; 0 for any number."""
        self._sent_before = 0
        """Requests in flight that were sent before the rest ended."""
        self._most_urgent: int | None = None
        """Least priority number of the requests that were refused for the rest."""

    def set_leaving(self) -> None:
        """Record that the target leaves."""
        self.leaving = True

    def rest(self, rest_s: float, chance: float, in_flight: int, now: float) -> None:
        """Record that it asks for rest; the longest counts.

        Args:
          rest_s: how long, in seconds.
          chance: a random number of [0, 1), which spreads the return.
          in_flight: this entry's requests there, without the one that was answered.
          now: monotonic time in seconds.
        """
        until = now + min(rest_s, MAX_REST_S) + REST_END_SPREAD_S * chance
        if not self.is_resting(now):
            self._most_urgent = None
        self._rest_until = max(self._rest_until, until)
        self._window = INITIAL_WINDOW
        self._sent_before = in_flight

    def answered(self, slots: int, now: float) -> None:
        """Count an answer that turned nothing away; after a rest, more may be sent."""
        self.answered_at = now
        if not self._window or self.is_resting(now):
            return
        self._window *= 2
        if self._window >= slots:
            self._window = 0

    def ended(self, in_flight: int) -> None:
        """Take how many requests are in flight after one has ended."""
        self._sent_before = min(self._sent_before, in_flight)

    def refused(self, priority: int) -> None:
        """Note that a request was refused since the target rests."""
        if self._most_urgent is None or priority < self._most_urgent:
            self._most_urgent = priority

    def is_resting(self, now: float) -> bool:
        """Return whether it wants nothing of this entry now."""
        return now < self._rest_until

    def remaining_rest_s(self, now: float) -> float:
        """Return the rest that is left, in seconds."""
        return max(self._rest_until - now, 0.0)

    def open(self, now: float) -> bool:
        """Return whether it neither leaves nor rests."""
        return not self.leaving and not self.is_resting(now)

    def admits(self, priority: int, in_flight: int, now: float) -> bool:
        """Return whether it takes one more request now.

        Args:
          priority: of the request; smaller is more urgent.
          in_flight: this entry's requests there.
          now: monotonic time in seconds.
        """
        if not self.open(now):
            return False
        if not self._window or now - self._rest_until >= RAMP_UP_S:
            return True
        if self._left_to_others(priority, now):
            return False
        return in_flight < self._sent_before + self._window

    def _left_to_others(self, priority: int, now: float) -> bool:
        """Return whether the first requests after a rest are for more urgent ones."""
        if self._most_urgent is None or priority <= self._most_urgent:
            return False
        return self._window == INITIAL_WINDOW and now - self._rest_until < URGENT_ONLY_S

    def affects_requests(self, now: float) -> bool:
        """Return whether it still bears on requests."""
        return self.leaving or now - self._rest_until < RAMP_UP_S
