# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Late sends of fatal requests and wrong refusals, for emulated sites on a fake clock.

A send is late if it exceeds the operator's bound. benchmarks/quarantine.py emulates
more entries and prints figures.
"""

import pytest

from emulated_quarantine import play_quarantine
from quarantine_plan import QuarantinePlan

MAX_LATE_SENDS = 3
"""Sends allowed later than 4 s after a fatal request crashed its third target."""


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
def test_a_fatal_request_is_sent_at_most_three_more_times(plan: QuarantinePlan) -> None:
    """For comparison: without the quarantine, 12 entries send it 58 more times."""
    assert play_quarantine(plan).most_sent_late <= MAX_LATE_SENDS


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("entries", [12, 65])
def test_no_request_is_refused_after_an_event_that_crashes_many_targets(
    entries: int, seed: int
) -> None:
    """A failure domain loses power, which ends all runs of its targets."""
    plan = QuarantinePlan(entries, fatal=0, loss=0.05, at_once=0.4, seed=seed)
    found = play_quarantine(plan)
    assert found.harmless_lost > 0
    assert (found.harmless_refused, found.harmless_held) == (0, 0)
