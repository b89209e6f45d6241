# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whether a gate sends a request again: the retry rule and its budget.

Owns the retry budget of the gate, which starts full with each process. Relies on the
code of a refusal for whether the request may have run (docs/ERRORS.md).
"""

from leverdoor.errors import Code, Refusal, Run
from leverdoor.gate.requests import GateRequest
from leverdoor.retry_budget import RetryBudget

__all__ = ["RetryPolicy"]

MAX_ATTEMPTS = 4
"""Most attempts of one request, the first included.

What did not run is placed again outside the budget, so something must bound it. More
attempts lengthen the wait for a refusal; fewer give up while targets are left.
"""
BUDGET_RATIO = 0.1
"""Retries earned with each request: the common tenth.

Of lost answers only: a fault that loses every answer adds a tenth to the load.
"""
BUDGET_LIMIT = 10.0
"""Most retries saved up, and those that a process starts with.

A target that dies loses some requests at once. A greater limit lets a burst of retries
hit the targets that are left.
"""
BUDGET_KEY = ""
"""The budget's only key: a gate has one budget for all services."""


class RetryPolicy:
    """Decides whether a refused attempt of a request is followed by another."""

    def __init__(self) -> None:
        """Create it with a full budget."""
        self._budget = RetryBudget(BUDGET_RATIO, BUDGET_LIMIT, BUDGET_LIMIT)

    def count(self) -> None:
        """Count a request, which earns a part of a retry."""
        self._budget.earn(BUDGET_KEY)

    def allows(self, inbound: GateRequest, refusal: Refusal, attempt: int) -> bool:
        """Return whether another attempt is safe and within the bounds.

        What certainly did not run is sent again. A lost answer is so only for a
        look-up, within the budget. A forwarded request is left to the gate that sent
        it; a body that has been streamed can't be sent twice.
        """
        if attempt >= MAX_ATTEMPTS:
            return False
        if inbound.queued.forwarded or not inbound.body.replayable:
            return False
        if refusal.run is Run.NO:
            return True
        lost = refusal.code is Code.ANSWER_LOST
        return lost and not inbound.once and self._budget.spend(BUDGET_KEY)
