# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Retries within the retry budget."""

import pytest

from leverdoor.entry.bounds import max_saved_retries
from leverdoor.retry_budget import RetryBudget


def test_retries_stay_within_ratio() -> None:
    budget = RetryBudget(0.1, 4.0, 2.0)
    retries = 0
    for _ in range(1000):
        budget.deposit("s")
        retries += budget.try_withdraw("s")
    assert retries <= 0.1 * 1000 + 4


def test_balance_is_bounded() -> None:
    budget = RetryBudget(0.5, 4.0, 2.0)
    for _ in range(1000):
        budget.deposit("s")
    assert sum(budget.try_withdraw("s") for _ in range(20)) == 4


@pytest.mark.parametrize(
    ("entries", "slack"), [(1, 64.0), (12, 64.0), (195, 430.0), (300, 430.0)]
)
def test_balances_of_all_entries_stay_within_slack(entries: int, slack: float) -> None:
    """195 entries with a balance of four have 780 retries, for a slack of 430."""
    limit = max_saved_retries(slack, entries)
    budgets = [RetryBudget(0.1, limit, 2.0) for _ in range(entries)]
    total_balance = 0
    for budget in budgets:
        for _ in range(100):
            budget.deposit("s")
        while budget.try_withdraw("s"):
            total_balance += 1
    assert entries <= total_balance <= slack
    assert limit == 4.0 or entries * limit >= 0.5 * slack
