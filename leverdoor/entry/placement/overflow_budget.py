# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Limits how many requests of an entry are placed outside their key's region.

The shares of regions change slowly (region_shares.py). Until they have changed, a few
requests may be placed in another region. They run cold there, so they are limited to a
fraction of all requests.

Owns the tokens of the bucket, which is full at the start. Nothing is persisted.
"""

__all__ = ["OverflowBudget"]

BUCKET_CAPACITY = 3.0
"""Capacity of the token bucket, in requests.

With a greater value, a burst of requests changes region, which the shift cap is to
prevent. With a smaller one, a request is rejected when two consecutive requests find
full targets.
"""


class OverflowBudget:
    """A token bucket that every request refills by a fraction of a token."""

    def __init__(self, tokens_per_request: float) -> None:
        """Create a full bucket.

        Args:
          tokens_per_request: tokens added by each request.
        """
        self._tokens_per_request = tokens_per_request
        self._tokens = BUCKET_CAPACITY

    def refill(self) -> None:
        """Add the tokens for one request."""
        self._tokens = min(BUCKET_CAPACITY, self._tokens + self._tokens_per_request)

    def take(self) -> bool:
        """Take one token; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
