# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Membership of VMs at a site of agents and gates: heartbeats, spread by gossip.

Owns the latest heartbeat of each VM, its arrival time and the mean gap between
arrivals. The state is lost with the process; a new process contacts others through its
seeds. Datagrams may be lost, delayed or duplicated: a heartbeat is accepted if it is
newer than the known one.

A heartbeat alone never moves units, which requires an acknowledgement or a proof of
death (`ownership.py`). If a live VM is wrongly considered silent, its slots may stay
unused for some time, but no limit is exceeded.
"""

from collections.abc import Iterable
from enum import StrEnum
from random import Random

import msgspec
import xxhash

from leverdoor.membership.ownership import Ack
from leverdoor.model.position import UNKNOWN_ERA, Position

__all__ = ["AgentHeartbeat", "GateState", "Gossip", "Load", "Peer", "Peers"]

MIN_SILENCE_S = 1.5
"""Minimum silence after which a VM counts as silent, in seconds.

Seven heartbeats at 0.2 s. With a smaller value, live VMs count as silent when some
datagrams are lost; with a larger one, requests are sent to dead VMs for longer.
"""
MAX_SILENCE_S = 10.0
"""Maximum silence before a VM counts as silent, in seconds.

Heartbeats from VMs of other regions are rare and arrive through other VMs. With a
smaller value, live VMs of other regions count as silent; with a larger one, dead VMs
count as live for longer.
"""
SILENCE_TIMEOUT_GAPS = 4
"""Number of mean gaps between heartbeats after which a VM counts as silent.

It allows for three lost datagrams in a row, within the bounds above.
"""
GAP_WEIGHT = 0.2
"""Weight of one gap in the moving average, which covers about the last five gaps."""
RING_NEIGHBOURS = 8
"""Number of VMs that follow this VM on the hash ring of its region.

One of them receives a message in each round, so that each VM receives frequent
heartbeats from a few others. With more neighbours, each of them receives heartbeats
less often; with fewer, changes propagate more slowly over the ring.
"""
RING_POSITIONS = 1 << 64
"""Number of positions on the ring: the range of the 64-bit hash."""
PEER_TTL_S = 60.0
"""Silence after which the record of a VM is deleted, in seconds.

It is much longer than the usual pause of a process or failure of a link, so that the
record still exists when heartbeats resume.
"""
MAX_FORWARDED_HEARTBEATS = 5
"""Maximum number of heartbeats of other VMs per message, so that it fits a packet."""
OWN_REGION_SHARE = 0.75
"""Share of the forwarded heartbeats that come from this VM's region.

Requests go to gates of the same region first, so their loads must be more recent.
"""


class GateState(StrEnum):
    """State of a gate; NONE while the agent has no report from it."""

    NONE = "none"
    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of a gate for one service."""

    held: int
    """Slots that the gate holds, including the free ones."""
    free: int
    """Held slots that are free."""
    waiting: int
    """Waiting requests without bulk uploads."""
    mean_ms: float = 0.0
    """Mean run time in ms; 0 before the first response."""


class AgentHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat of a VM with the state of its agent and its gate."""

    vm: str
    region: str
    domain: str
    gossip: str
    """Gossip address of the agent."""
    api: str
    """API address of the agent."""
    agent: int
    """Start time of the agent, in microseconds since the epoch."""
    seq: int
    """Sequence number, which increases with each heartbeat of the agent."""
    revision: int = 0
    """Revision of the agent's copy of the store."""
    gate: str = ""
    """Address of the gate; empty without a report from it."""
    relay: str = ""
    """Address of the gate for requests of other gates."""
    incarnation: int = 0
    """Start time of the gate, in microseconds since the epoch."""
    gate_revision: int = 0
    """Revision of the configuration in force at the gate."""
    ack: Ack = Ack(0)
    state: GateState = GateState.NONE
    loads: dict[str, Load] = {}
    """Load of the gate by service."""
    caps: dict[str, int] = {}
    """Free units of shift caps at the gate, by name of the row."""
    departed: list[str] = []
    """Identities of gate processes that are proved to be dead."""
    leaving_vms: list[str] = []
    """VMs that are leaving according to the VM list."""
    draining: dict[str, int] = {}
    """Requests in flight by target that is being drained."""
    unserved: bool = False
    """Whether the store does not answer the agent of this VM."""
    era: int = UNKNOWN_ERA
    """Era of `revision` (`storage.history`)."""
    gate_era: int = UNKNOWN_ERA
    """Era of `gate_revision`."""

    @property
    def position(self) -> Position:
        """Position of the agent's copy of the store."""
        return Position(self.era, self.revision)

    @property
    def gate_position(self) -> Position:
        """Position of the configuration in force at the gate."""
        return Position(self.gate_era, self.gate_revision)

    def is_newer_than(self, other: "AgentHeartbeat") -> bool:
        """Return whether this heartbeat supersedes another of the same VM."""
        return (self.agent, self.seq) > (other.agent, other.seq)

    @property
    def identity(self) -> str:
        """Identity of the gate process; see `GateProcess.identity`."""
        return f"{self.vm}|{self.gate}|{self.incarnation}"


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """A gossip message: the sender's own heartbeat first, then forwarded ones."""

    heartbeats: list[AgentHeartbeat]


class Peer(msgspec.Struct):
    """Latest heartbeat of a VM, its arrival time and the mean gap between arrivals.

    In a large fleet most heartbeats are rare and arrive through other VMs, so that the
    timeout depends on the mean gap. `last_seen` is loop time in seconds.
    """

    heartbeat: AgentHeartbeat
    last_seen: float
    gap_s: float = 0.0
    previous_agent: int = -1
    """Start time of the previous agent if its clock was ahead; -1 if none.

    Late heartbeats of that agent are rejected.
    """

    def is_superseded_by(self, heartbeat: AgentHeartbeat, now: float) -> bool:
        """Return whether a heartbeat replaces the known one.

        Heartbeats are ordered by the start time of the agent, then by sequence number.
        After a clock was set back, the new agent has an earlier start time; it is
        accepted once the previous agent is silent. Heartbeats of the previous agent
        that other VMs still forward are then rejected.
        """
        if heartbeat.agent == self.previous_agent:
            return False
        earlier_start = heartbeat.agent < self.heartbeat.agent
        return heartbeat.is_newer_than(self.heartbeat) or (
            earlier_start and self.is_silent(now)
        )

    def receive(self, heartbeat: AgentHeartbeat, now: float) -> None:
        """Record a heartbeat that supersedes the known one."""
        if heartbeat.agent < self.heartbeat.agent:
            self.previous_agent = self.heartbeat.agent
        self.gap_s += GAP_WEIGHT * (now - self.last_seen - self.gap_s)
        self.heartbeat = heartbeat
        self.last_seen = now

    def is_silent(self, now: float) -> bool:
        """Return whether no heartbeat arrived for `SILENCE_TIMEOUT_GAPS` mean gaps.

        `MIN_SILENCE_S` and `MAX_SILENCE_S` bound this time.
        """
        bound_s = max(
            MIN_SILENCE_S, min(SILENCE_TIMEOUT_GAPS * self.gap_s, MAX_SILENCE_S)
        )
        return now - self.last_seen > bound_s


class Peers:
    """Latest heartbeats of all VMs that one agent knows, including its own VM."""

    def __init__(self, vm: str, region: str) -> None:
        """Create it without any heartbeats.

        Args:
          vm: name of this VM.
          region: region of this VM.
        """
        self._vm = vm
        self._region = region
        self._round = 0
        self._membership_changed = False
        self._own_region_vms: list[str] = []
        self._other_region_vms: list[str] = []
        self._ring_neighbours: list[str] = []
        self.peers_by_vm: dict[str, Peer] = {}

    def merge(
        self, heartbeats: Iterable[AgentHeartbeat], now: float
    ) -> list[AgentHeartbeat]:
        """Record the heartbeats that are newer than the known ones.

        Returns: the recorded heartbeats.
        """
        accepted = []
        for heartbeat in heartbeats:
            peer = self.peers_by_vm.get(heartbeat.vm)
            if peer is None:
                self.peers_by_vm[heartbeat.vm] = Peer(heartbeat, now)
                self._membership_changed = True
            elif peer.is_superseded_by(heartbeat, now):
                peer.receive(heartbeat, now)
            else:
                continue
            accepted.append(heartbeat)
        return accepted

    def forget(self, now: float) -> None:
        """Delete the records of VMs without a heartbeat for `PEER_TTL_S`."""
        expired = [
            vm for vm, p in self.peers_by_vm.items() if now - p.last_seen > PEER_TTL_S
        ]
        for vm in expired:
            del self.peers_by_vm[vm]
            self._membership_changed = True

    def _update_groups(self) -> None:
        """Group the VMs by region and update the ring if one was added or deleted."""
        if not self._membership_changed:
            return
        self._membership_changed = False
        others = [
            p.heartbeat for p in self.peers_by_vm.values() if p.heartbeat.vm != self._vm
        ]
        self._own_region_vms = [b.vm for b in others if b.region == self._region]
        self._other_region_vms = [b.vm for b in others if b.region != self._region]
        own_position = _ring_position(self._vm)
        self._ring_neighbours = sorted(
            self._own_region_vms,
            key=lambda vm: (_ring_position(vm) - own_position) % RING_POSITIONS,
        )
        del self._ring_neighbours[RING_NEIGHBOURS:]

    def live_peers(self, now: float) -> list[Peer]:
        """Return the records of the VMs that are not silent, sorted by VM."""
        found = [p for p in self.peers_by_vm.values() if not p.is_silent(now)]
        return sorted(found, key=lambda p: p.heartbeat.vm)

    def live_heartbeats_in_region(self, now: float) -> list[AgentHeartbeat]:
        """Return the heartbeats of the live VMs in this VM's region, sorted by VM."""
        self._update_groups()
        names = sorted(
            [
                *self._own_region_vms,
                *([self._vm] if self._vm in self.peers_by_vm else []),
            ]
        )
        peers = [self.peers_by_vm[vm] for vm in names]
        return [p.heartbeat for p in peers if not p.is_silent(now)]

    def acks(self) -> dict[str, Ack]:
        """Return the latest acknowledgement of each gate process in this region."""
        self._update_groups()
        peers = [self.peers_by_vm.get(vm) for vm in (*self._own_region_vms, self._vm)]
        return {
            p.heartbeat.identity: p.heartbeat.ack
            for p in peers
            if p and p.heartbeat.gate
        }

    def compose_message(self, rng: Random, now: float) -> Gossip:
        """Compose a gossip message of this VM's heartbeat and a sample of live ones."""
        self._update_groups()
        own = self.peers_by_vm.get(self._vm)
        own_region_count = round(MAX_FORWARDED_HEARTBEATS * OWN_REGION_SHARE)
        picked = self._sample(self._own_region_vms, own_region_count, rng, now)
        picked += self._sample(
            self._other_region_vms, MAX_FORWARDED_HEARTBEATS - len(picked), rng, now
        )
        return Gossip(([own.heartbeat] if own else []) + picked)

    def _sample(
        self, names: list[str], count: int, rng: Random, now: float
    ) -> list[AgentHeartbeat]:
        """Return heartbeats of a random sample of VMs, without the silent ones."""
        drawn = rng.sample(names, min(len(names), count))
        peers = [self.peers_by_vm[vm] for vm in drawn]
        return [p.heartbeat for p in peers if not p.is_silent(now)]

    def choose_recipients(self, rng: Random, seeds: Iterable[str]) -> list[str]:
        """Choose the recipients of the next message.

        Within the region, a few fixed neighbours on a ring of all its VMs are chosen in
        turn, so that each VM receives frequent heartbeats from some neighbours in a
        region of any size. Outside the region, a random VM is chosen. A seed is added
        with a probability of 1 / (1 + number of other VMs), which lets partitions
        rejoin.

        Args:
          rng: source of randomness.
          seeds: gossip addresses of the seeds.
        Returns: gossip addresses.
        """
        self._update_groups()
        chosen = []
        if self._ring_neighbours:
            self._round += 1
            chosen.append(
                self._ring_neighbours[self._round % len(self._ring_neighbours)]
            )
        if self._other_region_vms:
            chosen.append(rng.choice(self._other_region_vms))
        addresses = {self.peers_by_vm[vm].heartbeat.gossip for vm in chosen}
        seed_addresses = list(seeds)
        others = len(self._own_region_vms) + len(self._other_region_vms)
        if seed_addresses and rng.random() < 1 / (1 + others):
            addresses.add(rng.choice(seed_addresses))
        return sorted(addresses)


def _ring_position(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode())
