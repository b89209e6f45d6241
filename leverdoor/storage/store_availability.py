# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Records whether the store responds to this process.

After a failed request, the roles of agents and entries stop following the store and
retry after a randomized pause. Owns the times until which the process counts as
unserved and pauses; they are lost with the process. Has no side effects except for the
random generator passed in.
"""

from random import Random

__all__ = ["MIN_FRACTION_OF_MEAN", "RETRY_MEAN_S", "StoreAvailability"]

RETRY_MEAN_S = 5.0
"""Mean pause between a failed request and its retry, in seconds.

With a longer pause, a recovered process gets its role back later. With a shorter one, a
store that does not respond receives more requests.
"""
UNSERVED_S = 10.0
"""How long a process counts as unserved after a failed request, in seconds.

Exceeds the longest pause before the retry; otherwise `may_try`, which requires
`is_unserved`, might never return True.
"""
MIN_FRACTION_OF_MEAN = 0.5
"""Shortest pause as a fraction of the mean; the longest is 1.5 times the mean."""


class StoreAvailability:
    """Tracks whether the store responds to this process."""

    def __init__(self, rng: Random) -> None:
        """Create the record of a process that has not sent a request yet.

        Args:
          rng: spreads the retries of processes that failed at the same time.
        """
        self._rng = rng
        self._unserved_until = 0.0
        self._retry_at = 0.0

    def is_unserved(self, now: float) -> bool:
        """Return whether a request failed recently and none has succeeded since.

        Args:
          now: monotonic time in seconds.
        """
        return now < self._unserved_until

    def may_try(self, now: float) -> bool:
        """Return whether an unserved process may retry now."""
        return self.is_unserved(now) and now >= self._retry_at

    def answered(self) -> None:
        """Record that the store responded."""
        self._unserved_until = 0.0

    def failed(self, now: float) -> None:
        """Record that a request to the store failed."""
        self._unserved_until = now + UNSERVED_S
        self._retry_at = now + RETRY_MEAN_S * (
            MIN_FRACTION_OF_MEAN + self._rng.random()
        )
