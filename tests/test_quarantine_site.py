# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Both errors of the quarantine, for emulated sites on a fake clock.

The errors are sends of a fatal request beyond the operator's bound and refusals of
harmless requests. benchmarks/quarantine.py emulates more entries and prints figures.
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
    """Without the quarantine it is sent 58 more times with 12 entries."""
    assert play_quarantine(plan).most_sent_late <= MAX_LATE_SENDS


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("entries", [12, 65])
def test_an_event_that_crashes_many_targets_refuses_no_request(
    entries: int, seed: int
) -> None:
    """A failure domain loses power, which ends all runs of its targets."""
    plan = QuarantinePlan(entries, fatal=0, loss=0.05, at_once=0.4, seed=seed)
    found = play_quarantine(plan)
    assert found.harmless_lost > 0
    assert (found.harmless_refused, found.harmless_held) == (0, 0)
