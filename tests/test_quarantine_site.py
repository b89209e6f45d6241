# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Both errors of holding requests back, over whole sites on a fake clock.

Sends of a fatal request beyond the operator's bound, and harmless requests that are
turned away; benchmarks/quarantine.py plays more entries and prints figures.
"""

import pytest

from emulated_quarantine import play_quarantine
from quarantine_plan import QuarantinePlan

MOST_MORE = 3
"""Sends of a fatal request later than 4 s after the third target ended under it."""


@pytest.mark.parametrize(
    "plan",
    [
        QuarantinePlan(12),
        QuarantinePlan(12, fatal=4, loss=0.05),
        QuarantinePlan(12, loss=0.05, cut=True),
        QuarantinePlan(12, loss=0.05, killed=True),
        QuarantinePlan(12, cut=True, at_once=0.4),
        QuarantinePlan(12, cascade=0.1),
        QuarantinePlan(12, cascade=0.1, seed=3),
        QuarantinePlan(65, loss=0.05, cut=True),
    ],
    ids=str,
)
def test_a_fatal_request_is_sent_on_three_times_at_most(plan: QuarantinePlan) -> None:
    """Without anything held back it is sent 58 times more, at 12 entries."""
    assert play_quarantine(plan).most_sent_late <= MOST_MORE


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("entries", [12, 65])
def test_an_event_that_ends_many_targets_turns_nobody_away(
    entries: int, seed: int
) -> None:
    """As a failure domain that loses power, with all that its targets ran."""
    plan = QuarantinePlan(entries, fatal=0, loss=0.05, at_once=0.4, seed=seed)
    found = play_quarantine(plan)
    assert found.harmless_lost > 0
    assert (found.harmless_refused, found.harmless_held) == (0, 0)
