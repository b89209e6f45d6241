# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of agents whose VM's clock was set back before they started again."""

from leverdoor.membership.peers import AgentHeartbeat, Peers

AHEAD = 2_000_000
"""When the former agent started, by its clock, in microseconds."""
BEHIND = 1_000_000
"""When the next one started, by the clock that was set back, in microseconds."""
SOON_S = 11.0
"""Above the longest silence after which a VM counts as lost (10 s), and far below the
60 s after which it is forgotten."""


def heartbeat(agent: int, seq: int) -> AgentHeartbeat:
    return AgentHeartbeat("vm1", "r0", "r0-0", "vm1:1", "vm1:2", agent, seq)


def test_an_agent_whose_clock_was_set_back_is_known_again() -> None:
    """Its heartbeats count once those of the agent before it stay away."""
    peers = Peers("vm0", "r0")
    peers.merge([heartbeat(AHEAD, 9)], 0.0)
    peers.merge([heartbeat(BEHIND, 1)], SOON_S)
    assert [b.vm for b in peers.live_heartbeats_in_region(SOON_S)] == ["vm1"]


def test_heartbeats_of_the_former_agent_that_others_pass_on_count_no_more() -> None:
    peers = Peers("vm0", "r0")
    peers.merge([heartbeat(AHEAD, 9)], 0.0)
    peers.merge([heartbeat(BEHIND, 1)], SOON_S)
    assert peers.merge([heartbeat(AHEAD, 10)], SOON_S + 1.0) == []
    assert peers.merge([heartbeat(BEHIND, 2)], SOON_S + 1.0)
    assert peers.merge([heartbeat(AHEAD + 1, 1)], SOON_S + 2.0)


def test_an_earlier_start_does_not_count_while_the_later_agent_lives() -> None:
    peers = Peers("vm0", "r0")
    peers.merge([heartbeat(AHEAD, 9)], 0.0)
    assert peers.merge([heartbeat(BEHIND, 1)], 0.2) == []
