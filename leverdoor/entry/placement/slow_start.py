# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Slow start: what a target gets while it is in its warm-up.

A target that says that it starts cold (`cold_ms`) is in its warm-up for that time. It
gets a request only when no other target can take it, and all entries together send it
at most what its service allows a second (`warmup_per_s`); `share_per_s` is the part of
one entry. Which entries share is decided where the members are known
(entry/warm_up.py:count_sharers, passed as `PlacementPolicy.sharers`): those of the
target's failure domain; if there are none, those of its region; else all.

Owns the end of a target's warm-up and what this entry may still spend of its share,
both lost with the process: a restarted entry has the whole warm-up before it again.
"""

__all__ = ["Allowance", "SlowStart", "share_per_s"]

ALLOWANCE_PART = 0.8
"""Part of a cold target's allowance that the entries use together.

Chosen: the rest is for entries that count each other late, and for the request that
each may have saved up. Greater: the sum may pass what the target bears. Smaller: it
warms up more slowly.
"""
ALLOWANCE_SAVED = 1.0
"""Requests that an allowance saves up at most.

Chosen: more would let a pause end in a burst; less would never allow a request.
"""


def share_per_s(allowed_per_s: float, entries: int) -> float:
    """Return the requests a second that one entry may send to a cold target.

    Args:
      allowed_per_s: what the target's service allows all entries together.
      entries: how many entries share it, 1 or more.
    """
    return ALLOWANCE_PART * allowed_per_s / entries


class Allowance:
    """A rate of requests, spent one at a time; it saves up only one."""

    def __init__(self, per_s: float, now: float) -> None:
        """Create it, with one request to spend.

        Args:
          per_s: requests a second.
          now: monotonic time in seconds.
        """
        self.per_s = per_s
        self._saved = ALLOWANCE_SAVED
        self._at = now

    def spend(self, now: float) -> bool:
        """Take one request if there is one."""
        self._saved = min(ALLOWANCE_SAVED, self._saved + (now - self._at) * self.per_s)
        self._at = now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


class SlowStart:
    """The warm-up of one target."""

    def __init__(self, cold_ms: float, now: float) -> None:
        """Begin it.

        Args:
          cold_ms: how long the target is cold from now on; 0 for not at all.
          now: monotonic time in seconds.
        """
        self.cold_until = now + cold_ms / 1000
        self._allowance: Allowance | None = None

    def restart(self, cold_ms: float, now: float) -> None:
        """Begin again, without ending sooner than before."""
        self.cold_until = max(self.cold_until, now + cold_ms / 1000)

    def cold(self, now: float) -> bool:
        """Return whether the target is in its warm-up."""
        return now < self.cold_until

    def spend_allowance(self, per_s: float, now: float) -> bool:
        """Take one request of this entry's share of the allowance.

        Args:
          per_s: the share, in requests a second; it may change between calls.
          now: monotonic time in seconds.
        Returns: whether the request may be sent.
        """
        if self._allowance is None:
            self._allowance = Allowance(per_s, now)
        self._allowance.per_s = per_s
        return self._allowance.spend(now)
