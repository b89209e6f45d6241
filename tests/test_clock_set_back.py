# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Heartbeats of agents that restarted after the clock of their VM was set back."""

from leverdoor.membership.peers import AgentHeartbeat, Peers

PREVIOUS_START_US = 2_000_000
"""Start time of the previous agent by its clock, in microseconds."""
RESTART_US = 1_000_000
"""Start time of the restarted agent by the set-back clock, in microseconds."""
RESTART_SEEN_S = 11.0
"""Time of the restarted agent's first heartbeat, in seconds.

Above `MAX_SILENCE_S` (10 s), after which a VM counts as silent, and far below
`PEER_TTL_S` (60 s), after which peers delete its record.
"""


def heartbeat(agent: int, seq: int) -> AgentHeartbeat:
    return AgentHeartbeat("vm1", "r0", "r0-0", "vm1:1", "vm1:2", agent, seq)


def test_restarted_agent_is_accepted_after_its_clock_was_set_back() -> None:
    """The new heartbeats are accepted once those of the previous agent have stopped."""
    peers = Peers("vm0", "r0")
    peers.merge([heartbeat(PREVIOUS_START_US, 9)], 0.0)
    peers.merge([heartbeat(RESTART_US, 1)], RESTART_SEEN_S)
    assert [b.vm for b in peers.live_heartbeats_in_region(RESTART_SEEN_S)] == ["vm1"]


def test_forwarded_heartbeats_of_the_previous_agent_are_ignored() -> None:
    peers = Peers("vm0", "r0")
    peers.merge([heartbeat(PREVIOUS_START_US, 9)], 0.0)
    peers.merge([heartbeat(RESTART_US, 1)], RESTART_SEEN_S)
    assert peers.merge([heartbeat(PREVIOUS_START_US, 10)], RESTART_SEEN_S + 1.0) == []
    assert peers.merge([heartbeat(RESTART_US, 2)], RESTART_SEEN_S + 1.0)
    assert peers.merge([heartbeat(PREVIOUS_START_US + 1, 1)], RESTART_SEEN_S + 2.0)


def test_earlier_start_is_ignored_while_the_later_agent_is_alive() -> None:
    peers = Peers("vm0", "r0")
    peers.merge([heartbeat(PREVIOUS_START_US, 9)], 0.0)
    assert peers.merge([heartbeat(RESTART_US, 1)], 0.2) == []
