# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Limits how many requests of an entry may leave their key's region at once.

The shares of regions change slowly (region_shares.py). In the meantime, a few requests
may go to another region. They run cold there, so they are limited to a fraction of all
requests.

Owns the saved tokens of this budget, lost with the process, which starts with the
maximum.
"""

__all__ = ["OverflowBudget"]

MAX_SAVED_OVERFLOWS = 3.0
"""Capacity of the token bucket, in requests.

With a greater value, a burst of requests changes region at once, which the shift cap is
there to prevent. With a smaller one, two full targets in a row reject a request.
"""


class OverflowBudget:
    """A token bucket that every request refills by a fraction of a token."""

    def __init__(self, earned: float) -> None:
        """Create a full bucket.

        Args:
          earned: tokens added by each request.
        """
        self._earned = earned
        self._tokens = MAX_SAVED_OVERFLOWS

    def earn(self) -> None:
        """Add the tokens for one request."""
        self._tokens = min(MAX_SAVED_OVERFLOWS, self._tokens + self._earned)

    def spend(self) -> bool:
        """Take one token; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
