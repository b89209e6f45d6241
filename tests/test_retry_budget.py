# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Repeats within their budget."""

import pytest

from leverdoor.entry.bounds import max_saved_retries
from leverdoor.retry_budget import RetryBudget


def test_repeats_stay_within_their_share() -> None:
    budget = RetryBudget(0.1, 4.0, 2.0)
    repeats = 0
    for _ in range(1000):
        budget.earn("s")
        repeats += budget.spend("s")
    assert repeats <= 0.1 * 1000 + 4


def test_saved_repeats_are_bounded() -> None:
    budget = RetryBudget(0.5, 4.0, 2.0)
    for _ in range(1000):
        budget.earn("s")
    assert sum(budget.spend("s") for _ in range(20)) == 4


@pytest.mark.parametrize(
    ("entries", "slack"), [(1, 64.0), (12, 64.0), (195, 430.0), (300, 430.0)]
)
def test_all_entries_together_save_no_more_than_the_slack(
    entries: int, slack: float
) -> None:
    """Found by reading: each saved four alone, 780 at 195 entries of a slack of 430."""
    limit = max_saved_retries(slack, entries)
    budgets = [RetryBudget(0.1, limit, 2.0) for _ in range(entries)]
    saved = 0
    for budget in budgets:
        for _ in range(100):
            budget.earn("s")
        while budget.spend("s"):
            saved += 1
    assert entries <= saved <= slack
    assert limit == 4.0 or entries * limit >= 0.5 * slack
