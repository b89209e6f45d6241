# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The retry budget: how many retries a process may make, as a share of its requests.

Without it a fault that fails every request would multiply the load by the number of
attempts. Entries and gates use it, each with its own ratio and limits, which stand
beside the rule that retries.
"""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Retries earned by requests, by service, up to a limit.

    Owns the retries saved by service; they start anew with the process.

    Where several processes share a bound, each has its share of the requests it
    took itself: the sum holds whether they are in touch or not.
    """

    def __init__(self, ratio: float, limit: float, first: float) -> None:
        """Create it.

        Args:
          ratio: retries earned with each request.
          limit: most retries saved for a service; it may be changed.
          first: retries that a service starts with.
        """
        self.ratio = ratio
        self.max_balance = limit
        self._first = first
        self._saved: dict[str, float] = {}

    def deposit(self, service: str) -> None:
        """Count a request."""
        saved = self._saved.get(service, self._first)
        self._saved[service] = min(self.max_balance, saved + self.ratio)

    def try_withdraw(self, service: str) -> bool:
        """Take a retry if one is saved; return whether it was."""
        saved = self._saved.get(service, 0.0)
        if saved < 1.0:
            return False
        self._saved[service] = saved - 1.0
        return True
