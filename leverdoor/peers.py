# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Membership among entry VMs: heartbeats spread by gossip, and load hints."""

from collections.abc import Iterable
from enum import StrEnum
from random import Random

import msgspec

from leverdoor.ownership import Ack

__all__ = ["Beat", "GateState", "Gossip", "Load", "Peer", "Peers"]

HEARTBEAT_LOSS_S = 1.5
FORGET_S = 60.0
MESSAGE_BEATS = 5
SAME_REGION_BIAS = 0.75


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


class Beat(msgspec.Struct, frozen=True, array_like=True):
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

    def newer(self, other: "Beat") -> bool:
        """Say whether this beat supersedes another of the same VM."""
        return (self.agent, self.seq) > (other.agent, other.seq)

    @property
    def identity(self) -> str:
        """The gate process, as the ownership table names it."""
        return f"{self.vm}|{self.gate}|{self.incarnation}"


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """One gossip message: the sender's own beat first, then others."""

    beats: list[Beat]


class Peer(msgspec.Struct):
    """The latest beat of a VM and when it arrived here."""

    beat: Beat
    heard_at: float


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
        self.known: dict[str, Peer] = {}

    def merge(self, beats: Iterable[Beat], now: float) -> list[Beat]:
        """Take beats that are newer than those known.

        Returns: the beats that were news.
        """
        news = []
        for beat in beats:
            have = self.known.get(beat.vm)
            if have is not None and not beat.newer(have.beat):
                continue
            self.known[beat.vm] = Peer(beat, now)
            news.append(beat)
        return news

    def forget(self, now: float) -> None:
        """Drop VMs not heard from for a long time."""
        old = [vm for vm, p in self.known.items() if now - p.heard_at > FORGET_S]
        for vm in old:
            del self.known[vm]

    def live(self, now: float) -> list[Peer]:
        """VMs heard from lately, in the order of their names."""
        found = [p for p in self.known.values() if now - p.heard_at <= HEARTBEAT_LOSS_S]
        return sorted(found, key=lambda p: p.beat.vm)

    def acks(self) -> dict[str, Ack]:
        """The latest acknowledgement of each gate process."""
        return {p.beat.identity: p.beat.ack for p in self.known.values() if p.beat.gate}

    def message(self, rng: Random, now: float) -> Gossip:
        """Compose a gossip message: own beat, and a sample of live others."""
        own = self.known.get(self._vm)
        others = [p.beat for p in self.live(now) if p.beat.vm != self._vm]
        near = [b for b in others if b.region == self._region]
        far = [b for b in others if b.region != self._region]
        quota = min(len(near), round(MESSAGE_BEATS * SAME_REGION_BIAS))
        picked = rng.sample(near, quota)
        picked += rng.sample(far, min(len(far), MESSAGE_BEATS - quota))
        return Gossip(([own.beat] if own else []) + picked)

    def partners(
        self, rng: Random, now: float, count: int, seeds: Iterable[str]
    ) -> list[str]:
        """Choose whom to send gossip to, mostly within the region.

        A seed is chosen now and then, so that parts that lost each other meet.
        """
        others = [p.beat for p in self.known.values() if p.beat.vm != self._vm]
        near = [b.gossip for b in others if b.region == self._region]
        far = [b.gossip for b in others if b.region != self._region]
        chosen = rng.sample(near, min(len(near), max(count - 1, 1)))
        pool = far or near or list(seeds)
        if pool:
            chosen.append(rng.choice(pool))
        extra = list(seeds)
        if extra and (not others or rng.random() < 1 / (1 + len(others))):
            chosen.append(rng.choice(extra))
        return sorted(set(chosen))
