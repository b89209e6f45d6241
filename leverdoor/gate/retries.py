# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Retry policy and retry budget of a gate.

Owns the retry budget, which is lost when the process ends and starts full. Relies on
`Refusal.run`, which states whether the request may have run (docs/ERRORS.md).
"""

from leverdoor.errors import Code, Refusal, Run
from leverdoor.gate.requests import GateRequest
from leverdoor.retry_budget import RetryBudget

__all__ = ["RetryPolicy"]

MAX_ATTEMPTS = 4
"""Maximum number of attempts of one request, including the first.

Attempts that did not run are retried outside the budget; this limit bounds them. More
attempts lengthen the wait for a refusal; fewer give up while targets are left.
"""
BUDGET_RATIO = 0.1
"""Budget that each request adds, in retries after lost responses.

A tenth is the usual ratio: a fault that loses every response adds a tenth to the load.
"""
BUDGET_LIMIT = 10.0
"""Maximum and initial retry budget.

A target that crashes loses several responses at once, which the limit must cover. With
a greater limit, a burst of retries hits the remaining targets.
"""
BUDGET_KEY = ""
"""The only key of the budget, which all services of a gate share."""


class RetryPolicy:
    """Decides whether to retry a refused attempt."""

    def __init__(self) -> None:
        """Create a policy with a full budget."""
        self._budget = RetryBudget(BUDGET_RATIO, BUDGET_LIMIT, BUDGET_LIMIT)

    def count(self) -> None:
        """Add a request's share to the budget."""
        self._budget.deposit(BUDGET_KEY)

    def allows(self, inbound: GateRequest, refusal: Refusal, attempt: int) -> bool:
        """Return whether another attempt is safe and within the limits.

        An attempt known not to have run is retried. After a lost response only a
        look-up without a key is retried, within the budget. A forwarded request is
        retried only by the gate that sent it. A partly streamed body cannot be sent
        twice.
        """
        if attempt >= MAX_ATTEMPTS:
            return False
        if inbound.queued.forwarded or not inbound.body.replayable:
            return False
        if refusal.run is Run.NO:
            return True
        lost = refusal.code is Code.ANSWER_LOST
        return (
            lost and not inbound.at_most_once and self._budget.try_withdraw(BUDGET_KEY)
        )
