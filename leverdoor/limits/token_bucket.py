# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Who gets the next request of a target's limit: a token bucket that knows priorities.

All that is sent to a limited target is decided by one bucket, so that its sum is exact
whatever the number of entries, and no part of it lies unused at one that needs none.
Where more is asked for than there is, less urgent requests leave as many tokens as the
more urgent ones are about to take.

Owns the tokens of one target and how often each priority asked lately, lost with the
process. Pure: the time is passed in, monotonic in seconds.
"""

import math

import msgspec

__all__ = ["RENEWAL_S", "Room", "GrantDecision", "burst"]

BURST_REQUESTS = 4.0
"""Tokens that any limit saves up. Requests come unevenly: with one token, half of those
that come at just the limit would be refused."""
BURST_S = 0.5
"""Seconds of the limit that are saved up besides."""
RENEWAL_S = 5.0
"""Time after which a target gets a request though its limit has no room, in seconds.
Only an answer shows that the limit is over, and a limit near zero would bring none."""
URGENT_X = 2.0
"""Times the part of the rate that more urgent requests need, which is kept for them:
they come unevenly, and find nothing where just their mean is kept."""
DEMAND_S = 2.0
"""Time over which it is averaged how often each priority asks, in seconds."""
ASKED_X = 4.0
ASKED_PER_S = 20.0
"""Requests for room a second, as multiples of the limit and beyond that, up to which an
entry may ask again as soon as there should be a token."""
LONGEST_WAIT_S = 2.0
"""Longest time for which an entry is told not to ask again, in seconds; it bounds how
long room that was not expected lies unused."""
SHORTEST_WAIT_S = 0.02
"""Shortest such time, in seconds; it bounds the messages of a busy entry."""
LONGEST_ROOM_S = 10.0
"""Longest time after which room is expected for a caller, in seconds."""


class GrantDecision(msgspec.Struct, frozen=True):
    """Whether a request may be sent to a target."""

    granted: bool
    wait_s: float = 0.0
    """If not: how long its entry need not ask again for such a request, in seconds."""
    retry_after_s: float = 0.0
    """If not: when there should be room for it, all that ask considered, in seconds."""


def burst(per_s: float, part: float = 1.0) -> float:
    """Return how many tokens are saved up at most; none of a limit of zero.

    Args:
      per_s: the limit, requests a second.
      part: of it that is handed out here.
    """
    if not per_s:
        return 0.0
    return max((BURST_REQUESTS + BURST_S * per_s) * part, 1.0)


class _Demand:
    """How often requests of one priority ask, averaged."""

    def __init__(self, now: float) -> None:
        self._per_s = 0.0
        self._at = now

    def add(self, count: int, now: float) -> None:
        self._per_s = self.per_s(now) + count / DEMAND_S
        self._at = now

    def per_s(self, now: float) -> float:
        return self._per_s * math.exp(-max(now - self._at, 0.0) / DEMAND_S)


class Room:
    """The tokens of one target's limit."""

    def __init__(self, tokens: float, now: float) -> None:
        """Create it.

        Args:
          tokens: saved up so far; 0 where another may just have handed some out.
          now: monotonic time in seconds.
        """
        self._tokens = tokens
        self._at = now
        self._granted_at = now
        self._demand: dict[int, _Demand] = {}

    def ask(
        self, per_s: float, part: float, priority: int, missed: int, now: float
    ) -> GrantDecision:
        """Decide on one request.

        Args:
          per_s: the limit, requests a second; it may change between calls.
          part: of it that is handed out here, from 0 to 1.
          priority: of the request; smaller is more urgent.
          missed: requests of that priority which its entry kept from asking since it
            last asked.
          now: monotonic time in seconds.
        """
        rate = per_s * part
        most = burst(per_s, part)
        elapsed_s = max(now - self._at, 0.0)
        self._tokens = min(self._tokens + elapsed_s * rate, most)
        self._at = now
        self._demand.setdefault(priority, _Demand(now)).add(1 + missed, now)
        kept = self._kept_for_more_urgent(rate, most, priority, now)
        if self._tokens >= 1.0 + kept:
            self._tokens -= 1.0
            self._granted_at = now
            return GrantDecision(granted=True)
        if part > 0.0 and now - self._granted_at >= RENEWAL_S / part:
            self._granted_at = now
            return GrantDecision(granted=True)
        return self._refusal(rate, 1.0 + kept - self._tokens, priority, now)

    def _kept_for_more_urgent(
        self, rate: float, most: float, priority: int, now: float
    ) -> float:
        """Return the tokens that more urgent requests are about to take.

        A part of all that may be saved up, by what they need of the rate: where they
        need half of it, a less urgent request waits for a full bucket.
        """
        urgent = sum(d.per_s(now) for p, d in self._demand.items() if p < priority)
        if not urgent:
            return 0.0
        share = URGENT_X * urgent / rate if rate else 1.0
        return max(most - 1.0, 0.0) * min(share, 1.0)

    def _refusal(
        self, rate: float, lacking: float, priority: int, now: float
    ) -> GrantDecision:
        asked = sum(d.per_s(now) for d in self._demand.values())
        ahead = sum(d.per_s(now) for p, d in self._demand.items() if p <= priority)
        next_s = lacking / rate if rate else LONGEST_ROOM_S
        crowd = max(asked / (ASKED_X * rate + ASKED_PER_S), 1.0)
        turns = max(ahead / rate, 1.0) if rate else 1.0
        wait_s = min(max(next_s * crowd, SHORTEST_WAIT_S), LONGEST_WAIT_S)
        room_s = min(next_s * turns, LONGEST_ROOM_S)
        return GrantDecision(granted=False, wait_s=wait_s, retry_after_s=room_s)
