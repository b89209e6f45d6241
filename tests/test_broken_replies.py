# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Replies that never end, of some targets of a real entry.

The entry stays within the memory of its VM and answers every request, by the sound
targets where the request may run again.
"""

import pytest

from leverdoor.standins.broken_play import BrokenPlay, play_broken_replies
from leverdoor.standins.broken_targets import ENDLESS_REPLIES

pytestmark = pytest.mark.timeout(120)

FEW = BrokenPlay(sound=3, broken=1, per_s=15, seconds=2.0, deadline_s=10.0)


@pytest.mark.parametrize("kind", ENDLESS_REPLIES)
async def test_endless_replies_neither_end_an_entry_nor_keep_requests_from_others(
    kind: str,
) -> None:
    """The entry held replies, or parsed them, without a bound."""
    result = await play_broken_replies(ENDLESS_REPLIES[kind], FEW)
    print(kind, result.line())
    assert not result.killed, result.line()
    assert result.statuses["GET"].keys() == {200}, result.line()
    assert result.statuses["POST"].keys() <= {200, 502}, result.line()
