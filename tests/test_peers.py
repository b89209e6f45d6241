# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the membership of VMs by gossip."""

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
    """Return agents that all know each other, as in a steady state."""
    heartbeats = [heartbeat(f"vm{i}", 1, f"r{i % regions}") for i in range(size)]
    all_peers = []
    for b in heartbeats:
        peers = Peers(b.vm, b.region)
        peers.merge(heartbeats, 0.0)
        all_peers.append(peers)
    return all_peers


def test_older_heartbeats_are_rejected() -> None:
    peers = Peers("vm0", "r0")
    assert peers.merge([heartbeat("vm1", 5)], 0.0)
    assert not peers.merge([heartbeat("vm1", 5), heartbeat("vm1", 4)], 1.0)
    assert peers.merge([heartbeat("vm1", 1, agent=2)], 1.0)
    assert not peers.merge([heartbeat("vm1", 9, agent=1)], 2.0)


def test_the_silence_timeout_depends_on_the_mean_gap() -> None:
    frequent, rare = Peers("vm0", "r0"), Peers("vm0", "r0")
    for i in range(40):
        frequent.merge([heartbeat("vm1", i)], i * 0.2)
        rare.merge([heartbeat("vm1", i)], i * 2.0)
    assert frequent.live_peers(39 * 0.2 + MIN_SILENCE_S)
    assert not frequent.live_peers(39 * 0.2 + MIN_SILENCE_S + 0.01)
    assert rare.live_peers(39 * 2.0 + 3 * MIN_SILENCE_S)
    assert not rare.live_peers(39 * 2.0 + MAX_SILENCE_S + 0.01)


def test_each_vm_has_a_few_fixed_neighbours_in_a_large_region() -> None:
    agents = fleet(90, 1)
    rng = Random(1)
    senders: dict[str, set[str]] = {}
    for agent in agents:
        chosen = {
            name
            for _ in range(3 * RING_NEIGHBOURS)
            for name in agent.choose_recipients(rng, [])
        }
        assert len(chosen) == RING_NEIGHBOURS
        for name in chosen:
            senders.setdefault(name, set()).add(agent._vm)
    assert min(len(h) for h in senders.values()) == RING_NEIGHBOURS


def test_every_round_has_a_recipient_in_another_region() -> None:
    agent = fleet(12, 3)[0]
    rng = Random(1)
    for _ in range(20):
        regions = {
            agent.peers_by_vm[name.split(":")[0]].heartbeat.region
            for name in agent.choose_recipients(rng, [])
        }
        assert len(regions) == 2
        assert "r0" in regions


def test_a_revision_reaches_the_whole_fleet_in_14_rounds() -> None:
    """An agent that receives a newer revision adopts it and forwards it."""
    agents = {f"{a._vm}:1": a for a in fleet(200, 8)}
    rng = Random(2)
    next(iter(agents.values())).merge(
        [AgentHeartbeat(*heartbeat_fields("vm0", "r0"), 99)], 0.0
    )
    for _ in range(14):
        for agent in list(agents.values()):
            message = agent.compose_message(rng, 0.0)
            for to in agent.choose_recipients(rng, []):
                peer = agents[to]
                newest = max(b.revision for b in message.heartbeats)
                own = peer.peers_by_vm[peer._vm].heartbeat
                if newest > own.revision:
                    peer.merge(
                        [AgentHeartbeat(*heartbeat_fields(own.vm, own.region), newest)],
                        0.0,
                    )
    assert all(a.peers_by_vm[a._vm].heartbeat.revision == 99 for a in agents.values())


def heartbeat_fields(vm: str, region: str) -> tuple[str, str, str, str, str, int, int]:
    """Return the fields of a heartbeat up to `seq`, without `revision`."""
    return (vm, region, f"{region}-0", f"{vm}:1", f"{vm}:2", 1, 2)


def test_a_seed_is_a_recipient_while_no_peer_is_known() -> None:
    assert Peers("vm0", "r0").choose_recipients(Random(1), ["seed:1"]) == ["seed:1"]


def test_vms_without_heartbeats_are_deleted() -> None:
    peers = Peers("vm0", "r0")
    peers.merge([heartbeat("vm0"), heartbeat("vm1")], 0.0)
    peers.merge([heartbeat("vm0", 2)], 100.0)
    peers.forget(100.0)
    assert list(peers.peers_by_vm) == ["vm0"]
    assert [b.vm for b in peers.live_heartbeats_in_region(100.0)] == ["vm0"]
