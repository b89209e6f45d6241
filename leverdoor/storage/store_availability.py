# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whether the store answers this process.

One that it does not answer gives up the role of following it, and tries again after a
while. Owns until when that counts; lost with the process. Pure but for the chance
passed in.
"""

from random import Random

__all__ = ["MIN_FRACTION_OF_MEAN", "RETRY_MEAN_S", "StoreAvailability"]

RETRY_MEAN_S = 5.0
"""Mean pause after which a process that is not served tries again, in seconds.

Longer, a preferred follower stays replaced by another; shorter, more calls to a store
that does not answer it.
"""
UNSERVED_S = 10.0
"""How long a process counts as not served after a call that failed, in seconds.

Beyond the longest pause until its next try, if it is to try at all.
"""
MIN_FRACTION_OF_MEAN = 0.5
"""Shortest pause as a part of the mean; the longest is as much above it."""


class StoreAvailability:
    """Whether the store answers this process."""

    def __init__(self, rng: Random) -> None:
        """Create it for a process that has not called yet.

        Args:
          rng: spreads the tries of processes that were struck together.
        """
        self._rng = rng
        self._failed_until = 0.0
        self._try_at = 0.0

    def is_unserved(self, now: float) -> bool:
        """Return whether the store did not answer lately; `now` is monotonic, in s."""
        return now < self._failed_until

    def may_try(self, now: float) -> bool:
        """Return whether one that is not served may try again now."""
        return self.is_unserved(now) and now >= self._try_at

    def answered(self) -> None:
        """Record that the store answered."""
        self._failed_until = 0.0

    def failed(self, now: float) -> None:
        """Record that the store did not answer."""
        self._failed_until = now + UNSERVED_S
        self._try_at = now + RETRY_MEAN_S * (MIN_FRACTION_OF_MEAN + self._rng.random())
