# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How many repeats are allowed, as a share of the requests taken."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Repeats earned by requests, for each service, so that they never pile up.

    Where several processes share a bound, each has its share of the requests it
    took itself: the sum holds whether they are in touch or not.
    """

    def __init__(self, ratio: float, limit: float, first: float) -> None:
        """Create it.

        Args:
          ratio: repeats earned with each request.
          limit: most repeats saved up for a service.
          first: repeats that a service starts with.
        """
        self.ratio = ratio
        self._limit = limit
        self._first = first
        self._saved: dict[str, float] = {}

    def earn(self, service: str) -> None:
        """Count a request."""
        saved = self._saved.get(service, self._first)
        self._saved[service] = min(self._limit, saved + self.ratio)

    def spend(self, service: str) -> bool:
        """Take a repeat if there is one."""
        saved = self._saved.get(service, 0.0)
        if saved < 1.0:
            return False
        self._saved[service] = saved - 1.0
        return True
