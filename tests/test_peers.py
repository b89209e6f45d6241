# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of membership among entry VMs."""

from random import Random

from leverdoor.membership.peers import (
    MAX_SILENCE_S,
    MIN_SILENCE_S,
    RING_NEIGHBOURS,
    AgentHeartbeat,
    Peers,
)


def heartbeat(
    vm: str, seq: int = 1, region: str = "r0", agent: int = 1
) -> AgentHeartbeat:
    return AgentHeartbeat(vm, region, f"{region}-0", f"{vm}:1", f"{vm}:2", agent, seq)


def fleet(size: int, regions: int) -> list[Peers]:
    """Agents that know everybody, as after a while."""
    heartbeats = [heartbeat(f"vm{i}", 1, f"r{i % regions}") for i in range(size)]
    found = []
    for b in heartbeats:
        peers = Peers(b.vm, b.region)
        peers.merge(heartbeats, 0.0)
        found.append(peers)
    return found


def test_older_heartbeats_are_ignored() -> None:
    peers = Peers("vm0", "r0")
    assert peers.merge([heartbeat("vm1", 5)], 0.0)
    assert not peers.merge([heartbeat("vm1", 5), heartbeat("vm1", 4)], 1.0)
    assert peers.merge([heartbeat("vm1", 1, agent=2)], 1.0)
    assert not peers.merge([heartbeat("vm1", 9, agent=1)], 2.0)


def test_silence_counts_by_how_often_a_peer_was_heard() -> None:
    often, seldom = Peers("vm0", "r0"), Peers("vm0", "r0")
    for i in range(40):
        often.merge([heartbeat("vm1", i)], i * 0.2)
        seldom.merge([heartbeat("vm1", i)], i * 2.0)
    assert often.live(39 * 0.2 + MIN_SILENCE_S)
    assert not often.live(39 * 0.2 + MIN_SILENCE_S + 0.01)
    assert seldom.live(39 * 2.0 + 3 * MIN_SILENCE_S)
    assert not seldom.live(39 * 2.0 + MAX_SILENCE_S + 0.01)


def test_each_vm_has_a_few_fixed_neighbours_in_a_large_region() -> None:
    agents = fleet(90, 1)
    rng = Random(1)
    heard: dict[str, set[str]] = {}
    for agent in agents:
        chosen = {
            name
            for _ in range(3 * RING_NEIGHBOURS)
            for name in agent.choose_recipients(rng, [])
        }
        assert len(chosen) == RING_NEIGHBOURS
        for name in chosen:
            heard.setdefault(name, set()).add(agent._vm)
    assert min(len(h) for h in heard.values()) == RING_NEIGHBOURS


def test_every_round_goes_to_another_region_too() -> None:
    agent = fleet(12, 3)[0]
    rng = Random(1)
    for _ in range(20):
        regions = {
            agent.known[name.split(":")[0]].heartbeat.region
            for name in agent.choose_recipients(rng, [])
        }
        assert len(regions) == 2
        assert "r0" in regions


def test_a_revision_reaches_a_whole_fleet_in_few_rounds() -> None:
    """An agent that hears of a newer revision takes it and tells it on."""
    agents = {f"{a._vm}:1": a for a in fleet(200, 8)}
    rng = Random(2)
    next(iter(agents.values())).merge([AgentHeartbeat(*_place("vm0", "r0"), 99)], 0.0)
    for _ in range(14):
        for agent in list(agents.values()):
            message = agent.compose_message(rng, 0.0)
            for to in agent.choose_recipients(rng, []):
                peer = agents[to]
                newest = max(b.revision for b in message.heartbeats)
                own = peer.known[peer._vm].heartbeat
                if newest > own.revision:
                    peer.merge(
                        [AgentHeartbeat(*_place(own.vm, own.region), newest)], 0.0
                    )
    assert all(a.known[a._vm].heartbeat.revision == 99 for a in agents.values())


def _place(vm: str, region: str) -> tuple[str, str, str, str, str, int, int]:
    return (vm, region, f"{region}-0", f"{vm}:1", f"{vm}:2", 1, 2)


def test_seeds_are_asked_while_nobody_is_known() -> None:
    assert Peers("vm0", "r0").choose_recipients(Random(1), ["seed:1"]) == ["seed:1"]


def test_the_long_silent_are_forgotten() -> None:
    peers = Peers("vm0", "r0")
    peers.merge([heartbeat("vm0"), heartbeat("vm1")], 0.0)
    peers.merge([heartbeat("vm0", 2)], 100.0)
    peers.forget(100.0)
    assert list(peers.known) == ["vm0"]
    assert [b.vm for b in peers.live_in_region(100.0)] == ["vm0"]
