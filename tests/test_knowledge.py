# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What entries know of each other stays fresh, whatever their number."""

import pytest

from emulated_exchange import Figures, KnowledgeSite, measure


@pytest.mark.parametrize("entries", [12, 65, 130])
def test_knowledge_is_fresh_and_the_dead_are_dropped_with_datagrams_lost(
    entries: int,
) -> None:
    """Before digests a near entry's count was up to 3.0 s old at 195 entries."""
    found: Figures = measure(KnowledgeSite(entries, 3, loss=0.05))
    assert found.near_p99_s <= 0.6
    assert found.far_p99_s <= 1.0
    assert found.dead_named_near_s <= 2.0
    assert found.dead_named_far_s <= 4.0
    assert found.false_silences_per_entry_hour == 0
    assert found.heard_again_s <= 2.0
    assert found.kb_per_s <= 10.0
    assert found.busiest_kb_per_s <= 125.0, "5% of a link of 20 Mbit/s"
