# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Membership among entry VMs: heartbeats spread by gossip, and load hints."""

from collections.abc import Iterable
from enum import StrEnum
from random import Random

import msgspec
import xxhash

from leverdoor.membership.ownership import Ack

__all__ = ["AgentHeartbeat", "GateState", "Gossip", "Load", "Peer", "Peers"]

LEAST_SILENCE_S = 1.5
"""Least silence after which a peer passes for gone, in seconds; chosen."""
MOST_SILENCE_S = 10.0
"""Greatest such silence, in seconds; chosen, not measured."""
GAPS_MISSED = 4
"""Usual gaps between heartbeats that a silence must exceed; chosen."""
GAP_WEIGHT = 0.2
"""Weight of one gap in the mean; chosen."""
RING = 8
"""Places of each member on the ring of partners; chosen."""
PLACES = 1 << 64
"""Places of the ring: the range of the 64-bit hash."""
FORGET_S = 60.0
"""Silence after which a peer is forgotten, in seconds; chosen."""
MESSAGE_BEATS = 5
"""Heartbeats of others in one message; keeps it in one packet."""
SAME_REGION_BIAS = 0.75
"""Part of the partners that are of the own region; chosen."""


class GateState(StrEnum):
    """Where a gate is in its life."""

    NONE = "none"
    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Load(msgspec.Struct, frozen=True, array_like=True):
    """A gate's room for one service: units held, free, and requests waiting."""

    held: int
    free: int
    waiting: int
    mean_ms: float = 0.0


class AgentHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """One VM's heartbeat: its agent, its gate, and how loaded the gate is."""

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

    In a large fleet most peers are heard through others and seldom, so how
    long a silence means anything depends on how often a peer was heard.
    """

    heartbeat: AgentHeartbeat
    heard_at: float
    gap_s: float = 0.0

    def receive(self, heartbeat: AgentHeartbeat, now: float) -> None:
        """Take a newer heartbeat."""
        self.gap_s += GAP_WEIGHT * (now - self.heard_at - self.gap_s)
        self.heartbeat = heartbeat
        self.heard_at = now

    def silent(self, now: float) -> bool:
        """Return whether heartbeats have stayed away for too long."""
        patience = max(LEAST_SILENCE_S, min(GAPS_MISSED * self.gap_s, MOST_SILENCE_S))
        return now - self.heard_at > patience


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
            elif heartbeat.newer(have.heartbeat):
                have.receive(heartbeat, now)
            else:
                continue
            news.append(heartbeat)
        return news

    def forget(self, now: float) -> None:
        """Drop VMs not heard from for a long time."""
        old = [vm for vm, p in self.known.items() if now - p.heard_at > FORGET_S]
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
        del self._ring[RING:]

    def live(self, now: float) -> list[Peer]:
        """VMs heard from lately, in the order of their names."""
        found = [p for p in self.known.values() if not p.silent(now)]
        return sorted(found, key=lambda p: p.heartbeat.vm)

    def live_near(self, now: float) -> list[AgentHeartbeat]:
        """Heartbeats of this region's live VMs, this one's included, by name."""
        self._arrange()
        names = sorted([*self._near, *([self._vm] if self._vm in self.known else [])])
        peers = [self.known[vm] for vm in names]
        return [p.heartbeat for p in peers if not p.silent(now)]

    def acks(self) -> dict[str, Ack]:
        """The latest acknowledgement of each gate process of the region."""
        self._arrange()
        peers = [self.known.get(vm) for vm in (*self._near, self._vm)]
        return {
            p.heartbeat.identity: p.heartbeat.ack
            for p in peers
            if p and p.heartbeat.gate
        }

    def message(self, rng: Random, now: float) -> Gossip:
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
        return [p.heartbeat for p in peers if not p.silent(now)]

    def partners(self, rng: Random, seeds: Iterable[str]) -> list[str]:
        """Choose who gets gossip: one in the region, one anywhere else.

        In the region the next one of a few fixed neighbours on a ring of all
        its VMs is taken in turn, so that each gate has some neighbours that it
        hears from often, however large the region is. A seed is chosen now
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
