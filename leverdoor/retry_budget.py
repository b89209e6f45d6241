# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A retry budget, which limits the retries of a process to a share of its requests.

Without it, a fault that fails every request would multiply the load by the number of
attempts. Entries (`entry/bounds.py`) and gates (`gate/retries.py`) configure separate
budgets.

Owns the balance of each service; lost with the process.
"""

__all__ = ["RetryBudget"]


class RetryBudget:
    """A token bucket of retries for each service, filled by requests.


    Each process earns retries from its own requests only. The retries of several
    processes that share a bound thus stay within it without communication.
    """

    def __init__(self, ratio: float, max_balance: float, initial: float) -> None:
        """Initialize the budget.

        Args:
          ratio: retries added by each request; may be changed later.
          max_balance: maximum balance of a service; may be changed later.
          initial: balance to which the first deposit of a service is added.
        """
        self.ratio = ratio
        self.max_balance = max_balance
        self._initial = initial
        self._balances: dict[str, float] = {}

    def deposit(self, service: str) -> None:
        """Add `ratio` to the balance of a service, up to `max_balance`."""
        balance = self._balances.get(service, self._initial)
        self._balances[service] = min(self.max_balance, balance + self.ratio)

    def try_withdraw(self, service: str) -> bool:
        """Subtract one retry from the balance; return whether it sufficed.

        A service without any deposit has a balance of 0.
        """
        balance = self._balances.get(service, 0.0)
        if balance < 1.0:
            return False
        self._balances[service] = balance - 1.0
        return True
