# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Membership of a plain site: heartbeats of agents and gates, spread by gossip.

Owns the latest heartbeat of each VM, when it arrived and how often they arrive; a new
process starts empty and meets the others through its seeds. Relies on datagrams that
may be lost, late or twice: a heartbeat counts if it is newer than the one known.
Nothing is granted by a heartbeat alone: units change hands by acknowledgement or proof
of death (`ownership.py`), so a false silence costs slots for a while, no promise.
"""

from collections.abc import Iterable
from enum import StrEnum
from random import Random

import msgspec
import xxhash

from leverdoor.membership.ownership import Ack

__all__ = ["AgentHeartbeat", "GateState", "Gossip", "Load", "Peer", "Peers"]

LEAST_SILENCE_S = 1.5
"""Least silence after which a VM is not used, in seconds.

Seven heartbeats of 0.2 s. A smaller one drops live VMs when some datagrams are lost; a
greater one sends requests to dead ones for longer.
"""
MOST_SILENCE_S = 10.0
"""Greatest such silence, in seconds.

Heartbeats of far VMs come seldom, through others. A smaller one drops live far VMs; a
greater one keeps dead ones.
"""
GAPS_MISSED = 4
"""Mean gaps between heartbeats that a silence must exceed.

Three datagrams in a row may be lost before a VM is dropped.
"""
GAP_WEIGHT = 0.2
"""Weight of one gap in the mean: the last five gaps."""
RING_PARTNERS = 8
"""Next VMs of the region on the ring that get this VM's heartbeats, in turn.

Each VM gets heartbeats often from some. More of them come to each VM less often; fewer
delay what spreads over the ring.
"""
PLACES = 1 << 64
"""Places of the ring: the range of the 64-bit hash."""
FORGET_S = 60.0
"""Silence after which a VM is forgotten, in seconds.

Far above a pause or a cut link, after which its heartbeats are used again.
"""
MESSAGE_BEATS = 5
"""Heartbeats of others in one message; keeps it in one packet."""
SAME_REGION_BIAS = 0.75
"""Part of the heartbeats in a message that are of the own region.

Requests go to gates of the region first, so their loads must be fresher.
"""


class GateState(StrEnum):
    """What a gate does now; NONE while the agent has no report of one."""

    NONE = "none"
    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Load(msgspec.Struct, frozen=True, array_like=True):
    """A gate's load for one service.

    Slots held and free, requests waiting (bulk uploads left out) and the mean run time
    in ms, 0 before the first answer.
    """

    held: int
    free: int
    waiting: int
    mean_ms: float = 0.0


class AgentHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """One VM's heartbeat: its agent, its gate, and how loaded the gate is.

    `agent` and `incarnation` are the starts of the two processes in us since the epoch;
    `seq` rises with each heartbeat of the agent. `departed` names processes proved to
    be gone, `leaving_vms` the VMs that leave by the VM list.
    """

    vm: str
    region: str
    domain: str
    gossip: str
    api: str
    agent: int
    seq: int
    revision: int = 0
    gate: str = ""
    relay: str = ""
    incarnation: int = 0
    gate_revision: int = 0
    ack: Ack = Ack(0)
    state: GateState = GateState.NONE
    loads: dict[str, Load] = {}
    caps: dict[str, int] = {}
    departed: list[str] = []
    leaving_vms: list[str] = []
    draining: dict[str, int] = {}
    unserved: bool = False
    """Whether the store does not answer the agent."""

    def newer(self, other: "AgentHeartbeat") -> bool:
        """Return whether this heartbeat supersedes another of the same VM."""
        return (self.agent, self.seq) > (other.agent, other.seq)

    @property
    def identity(self) -> str:
        """The gate process, as the ownership table names it."""
        return f"{self.vm}|{self.gate}|{self.incarnation}"


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """One gossip message: the sender's own heartbeat first, then others."""

    heartbeats: list[AgentHeartbeat]


class Peer(msgspec.Struct):
    """The latest heartbeat of a VM, when it arrived here, and how often they do.

    In a large fleet most heartbeats come seldom, through other VMs, so the silence
    that counts depends on the usual gap between them. `last_seen` is loop time in
    seconds.
    """

    heartbeat: AgentHeartbeat
    last_seen: float
    gap_s: float = 0.0
    former: int = -1
    """Start of an agent that one with an earlier start followed; -1 for none."""

    def supersedes(self, heartbeat: AgentHeartbeat, now: float) -> bool:
        """Return whether a heartbeat takes the place of the one known.

        The later start and number wins. An agent with an earlier start follows where a
        clock was set back; it counts once the other has been silent, whose heartbeats
        that others still pass on count no more.
        """
        if heartbeat.agent == self.former:
            return False
        behind = heartbeat.agent < self.heartbeat.agent
        return heartbeat.newer(self.heartbeat) or (behind and self.is_silent(now))

    def receive(self, heartbeat: AgentHeartbeat, now: float) -> None:
        """Take a heartbeat that supersedes the one known."""
        if heartbeat.agent < self.heartbeat.agent:
            self.former = self.heartbeat.agent
        self.gap_s += GAP_WEIGHT * (now - self.last_seen - self.gap_s)
        self.heartbeat = heartbeat
        self.last_seen = now

    def is_silent(self, now: float) -> bool:
        """Return whether no heartbeat has come for some mean gaps, within bounds."""
        bound_s = max(LEAST_SILENCE_S, min(GAPS_MISSED * self.gap_s, MOST_SILENCE_S))
        return now - self.last_seen > bound_s


class Peers:
    """What one agent knows of all VMs, itself included."""

    def __init__(self, vm: str, region: str) -> None:
        """Create it.

        Args:
          vm: this VM.
          region: this VM's region.
        """
        self._vm = vm
        self._region = region
        self._turn = 0
        self._changed = False
        self._near: list[str] = []
        self._far: list[str] = []
        self._ring: list[str] = []
        self.known: dict[str, Peer] = {}

    def merge(
        self, heartbeats: Iterable[AgentHeartbeat], now: float
    ) -> list[AgentHeartbeat]:
        """Take heartbeats that are newer than those known.

        Returns: the heartbeats that were news.
        """
        news = []
        for heartbeat in heartbeats:
            have = self.known.get(heartbeat.vm)
            if have is None:
                self.known[heartbeat.vm] = Peer(heartbeat, now)
                self._changed = True
            elif have.supersedes(heartbeat, now):
                have.receive(heartbeat, now)
            else:
                continue
            news.append(heartbeat)
        return news

    def forget(self, now: float) -> None:
        """Forget VMs without a heartbeat for FORGET_S."""
        old = [vm for vm, p in self.known.items() if now - p.last_seen > FORGET_S]
        for vm in old:
            del self.known[vm]
            self._changed = True

    def _arrange(self) -> None:
        """Sort peers into near and far, and draw the ring, if any came or went."""
        if not self._changed:
            return
        self._changed = False
        others = [
            p.heartbeat for p in self.known.values() if p.heartbeat.vm != self._vm
        ]
        self._near = [b.vm for b in others if b.region == self._region]
        self._far = [b.vm for b in others if b.region != self._region]
        mine = _place(self._vm)
        self._ring = sorted(self._near, key=lambda vm: (_place(vm) - mine) % PLACES)
        del self._ring[RING_PARTNERS:]

    def live(self, now: float) -> list[Peer]:
        """The VMs that are not silent, by name."""
        found = [p for p in self.known.values() if not p.is_silent(now)]
        return sorted(found, key=lambda p: p.heartbeat.vm)

    def live_in_region(self, now: float) -> list[AgentHeartbeat]:
        """Heartbeats of this region's live VMs, this one's included, by name."""
        self._arrange()
        names = sorted([*self._near, *([self._vm] if self._vm in self.known else [])])
        peers = [self.known[vm] for vm in names]
        return [p.heartbeat for p in peers if not p.is_silent(now)]

    def acks(self) -> dict[str, Ack]:
        """The latest acknowledgement of each gate process of the region."""
        self._arrange()
        peers = [self.known.get(vm) for vm in (*self._near, self._vm)]
        return {
            p.heartbeat.identity: p.heartbeat.ack
            for p in peers
            if p and p.heartbeat.gate
        }

    def compose_message(self, rng: Random, now: float) -> Gossip:
        """Compose a gossip message: own heartbeat, and a sample of live others."""
        self._arrange()
        own = self.known.get(self._vm)
        quota = round(MESSAGE_BEATS * SAME_REGION_BIAS)
        picked = self._sample(self._near, quota, rng, now)
        picked += self._sample(self._far, MESSAGE_BEATS - len(picked), rng, now)
        return Gossip(([own.heartbeat] if own else []) + picked)

    def _sample(
        self, names: list[str], count: int, rng: Random, now: float
    ) -> list[AgentHeartbeat]:
        """Draw live peers; a silent one that is drawn is left out."""
        drawn = rng.sample(names, min(len(names), count))
        peers = [self.known[vm] for vm in drawn]
        return [p.heartbeat for p in peers if not p.is_silent(now)]

    def choose_recipients(self, rng: Random, seeds: Iterable[str]) -> list[str]:
        """Choose who gets gossip: one in the region, one anywhere else.

        In the region the next one of a few fixed neighbours on a ring of all
        its VMs is taken in turn, so that each VM has some neighbours that it
        gets heartbeats from often, however large the region is. A seed is chosen now
        and then, so that parts that lost each other meet.
        """
        self._arrange()
        chosen = []
        if self._ring:
            self._turn += 1
            chosen.append(self._ring[self._turn % len(self._ring)])
        if self._far:
            chosen.append(rng.choice(self._far))
        addresses = {self.known[vm].heartbeat.gossip for vm in chosen}
        extra = list(seeds)
        others = len(self._near) + len(self._far)
        if extra and rng.random() < 1 / (1 + others):
            addresses.add(rng.choice(extra))
        return sorted(addresses)


def _place(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode())
