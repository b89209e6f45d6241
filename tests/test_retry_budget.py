# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Repeats within their budget."""

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
