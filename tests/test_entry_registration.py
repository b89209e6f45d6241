# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An entry's key in the store, written again after failures within the rate."""

import pytest

from leverdoor.entry.registration import CALLS, RETRY_S, retry_pause_s


@pytest.mark.parametrize(
    ("entries", "writes_per_s"),
    [(12, 400.0), (85, 1_200.0), (2_500, 1_200.0)],
)
def test_all_entries_together_keep_the_stores_rate(
    entries: int, writes_per_s: float
) -> None:
    """Pauses lie between half and one and a half times their mean."""
    shortest_s = 0.5 * retry_pause_s(entries, writes_per_s)
    assert entries * CALLS / shortest_s <= writes_per_s


def test_a_small_site_does_not_wait() -> None:
    assert retry_pause_s(12, 400.0) == RETRY_S
