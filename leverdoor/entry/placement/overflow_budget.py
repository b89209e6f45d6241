# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How many requests of an entry may leave their key's region at once.

The shares of regions move slowly (spill.py). A few requests may go to another region
in the meantime; they run cold there, so they are bound to a part of all requests.

Owns what an entry has saved up of that part; lost with the process, which starts with
the most.
"""

__all__ = ["OverflowBudget"]

MAX_SAVED_OVERFLOWS = 3.0
"""Most requests saved up.

Greater: a burst of them changes region at once, which the shift cap is there to
prevent. Smaller: two full targets in a row refuse a request.
"""


class OverflowBudget:
    """Requests that may leave their key's region: each request earns a part of one."""

    def __init__(self, earned: float) -> None:
        """Create it with the most saved up.

        Args:
          earned: what a request earns, in requests.
        """
        self._earned = earned
        self._saved = MAX_SAVED_OVERFLOWS

    def earn(self) -> None:
        """Count a request that is to be placed."""
        self._saved = min(MAX_SAVED_OVERFLOWS, self._saved + self._earned)

    def spend(self) -> bool:
        """Take one request if there is one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
