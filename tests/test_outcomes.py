# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which lost replies eject their target."""

from unittest.mock import Mock

import pytest

from desk import target
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.placement_request import Placement
from leverdoor.entry.requests.connection import ReplyLost
from leverdoor.entry.requests.outcomes import OutcomeRecorder
from leverdoor.entry.requests.replies import ReplyFault

BEYOND_A_BOUND = (
    ReplyFault.LONG_HEAD,
    ReplyFault.LONG_BODY,
    ReplyFault.SMALL_PARTS,
    ReplyFault.SURPLUS,
)


def lose_reply(fleet: Fleet, error: ReplyLost) -> None:
    placement = Mock(spec=Placement, target=target("t"))
    OutcomeRecorder(Mock(), fleet, Mock()).record_lost_reply(placement, error)


@pytest.mark.parametrize("via", ["", "peer"])
@pytest.mark.parametrize("fault", ReplyFault)
async def test_one_reply_beyond_a_bound_ejects_its_target(
    fault: ReplyFault, via: str
) -> None:
    """Three in a row ended as many filings that may not run again."""
    fleet = Fleet()
    error = ReplyLost("broken", fault=fault)
    error.via = via
    error.link_lost = bool(via)
    lose_reply(fleet, error)
    state = fleet.state_of(target("t"), 0.0)
    assert state.is_ejected(0.0) == (fault in BEYOND_A_BOUND)


async def test_a_lost_link_ejects_no_target() -> None:
    fleet = Fleet()
    error = ReplyLost("cut", fault=ReplyFault.CUT)
    error.link_lost = True
    for _ in range(5):
        lose_reply(fleet, error)
    assert not fleet.state_of(target("t"), 0.0).is_ejected(0.0)
