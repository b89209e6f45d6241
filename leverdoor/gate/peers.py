# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What one gate knows of the load of the other gates, and which of them it uses.

Owns the last heartbeat of each gate, less what was sent there since; it starts empty
with the process and is filled within some hints. Relies on the agent's hints: the
heartbeats in them are 0.1 s old and more, so what they say is an estimate, and a gate
that has no free slot after all refuses.
"""

from collections.abc import Callable, Iterable
from random import Random

import msgspec

from leverdoor.gate.target_health import INITIAL_RUN_MS
from leverdoor.gate.workload import queue_wait_ms
from leverdoor.membership.peers import AgentHeartbeat, GateState, Peer

__all__ = ["PeerGate", "PeerGates", "RegionLoad"]

PEER_BACKOFF_S = 1.0
"""How long a gate that failed is not forwarded to, in seconds.

Five heartbeats. A longer time leaves its slots idle after one lost connection; a
shorter one costs more attempts while it is dead and not yet silent.
"""
FORWARD_MARGIN_MS = 2.0
"""What forwarding to a shorter queue must save, in ms: two hops of 1 ms.

A smaller margin forwards for nothing; a greater one leaves queues uneven.
"""
SAMPLED_GATES = 2
"""Gates drawn at random, of which the better is used.

The best of all would draw every gate to the same one until its next heartbeat.
"""


class RegionLoad(msgspec.Struct, frozen=True):
    """Slots held and requests waiting at the other gates of a region."""

    held: int
    waiting: int
    mean_ms: float
    gates: int


class PeerGate(msgspec.Struct):
    """Another gate, and its load less what was sent there since its last heartbeat.

    `free` and `sent` count slots and requests by service, `caps` free cap units by row.
    """

    peer: Peer
    free: dict[str, int] = {}
    sent: dict[str, int] = {}
    caps: dict[str, int] = {}
    backoff_until: float = 0.0

    @property
    def heartbeat(self) -> AgentHeartbeat:
        """The latest heartbeat."""
        return self.peer.heartbeat

    def refresh(self) -> None:
        """Start from the latest heartbeat again."""
        self.free = {s: v.free - v.waiting for s, v in self.heartbeat.loads.items()}
        self.sent = {}
        self.caps = dict(self.heartbeat.caps)

    def wait_ms(self, service: str) -> float | None:
        """Estimate the wait of one more request there; None if it holds nothing."""
        load = self.heartbeat.loads.get(service)
        if load is None or not load.held:
            return None
        queued = load.waiting - load.free + self.sent.get(service, 0) + 1
        mean_ms = load.mean_ms or INITIAL_RUN_MS
        return queue_wait_ms(max(queued, 0), mean_ms, load.held)


class PeerGates:
    """The other gates, by VM."""

    def __init__(self, vm: str, leaving: Callable[[str], bool], rng: Random) -> None:
        """Create an empty book.

        Args:
          vm: this VM, whose own heartbeats are left out.
          leaving: returns whether a VM leaves.
          rng: where all chance comes from.
        """
        self._vm = vm
        self._leaving = leaving
        self._rng = rng
        self._known: dict[str, PeerGate] = {}

    def receive(self, heartbeats: Iterable[AgentHeartbeat], now: float) -> None:
        """Take heartbeats that are newer than those known."""
        for heartbeat in heartbeats:
            if heartbeat.vm == self._vm or not heartbeat.gate:
                continue
            n = self._known.get(heartbeat.vm)
            if n is None:
                n = self._known[heartbeat.vm] = PeerGate(Peer(heartbeat, now))
            elif n.peer.supersedes(heartbeat, now):
                if heartbeat.incarnation != n.heartbeat.incarnation:
                    n.backoff_until = 0.0
                n.peer.receive(heartbeat, now)
            else:
                continue
            n.refresh()

    def vms(self) -> list[str]:
        """Return the VMs of all other gates that are known."""
        return list(self._known)

    def get(self, vm: str) -> AgentHeartbeat | None:
        """Return the latest heartbeat of a VM, however old."""
        found = self._known.get(vm)
        return found.heartbeat if found else None

    def lost(self, vm: str, now: float) -> None:
        """Forward nothing to a gate for PEER_BACKOFF_S after a failed connection."""
        if vm in self._known:
            self._known[vm].backoff_until = now + PEER_BACKOFF_S

    def refused(self, vm: str, service: str) -> None:
        """Assume no free slot at a gate that refused, until its next heartbeat."""
        if vm in self._known:
            self._known[vm].free[service] = 0

    def usable(self, now: float, region: str = "") -> list[PeerGate]:
        """Return the gates that can be used now, of one region or of all.

        They are serving, not silent, not on a VM that leaves, and had no failed
        connection lately.
        """
        return [
            n
            for n in self._known.values()
            if region in ("", n.heartbeat.region)
            and n.heartbeat.state is GateState.SERVING
            and now >= n.backoff_until
            and not n.peer.silent(now)
            and not self._leaving(n.heartbeat.vm)
        ]

    def load(self, service: str, region: str, now: float) -> RegionLoad:
        """Add up the loads of the other gates of a region."""
        loads = [
            n.heartbeat.loads[service]
            for n in self.usable(now, region)
            if service in n.heartbeat.loads
        ]
        return RegionLoad(
            sum(v.held for v in loads),
            sum(v.waiting for v in loads),
            max((v.mean_ms for v in loads), default=0.0),
            len(loads),
        )

    def with_free_slot(
        self, service: str, region: str, cap: str, now: float
    ) -> PeerGate | None:
        """Choose a gate with a free slot: the better of two at random.

        Args:
          service: the service called.
          region: where to look.
          cap: the row of a shift cap of which a unit must be free, or "".
          now: monotonic time in seconds.
        """
        found = [
            n
            for n in self.usable(now, region)
            if n.free.get(service, 0) > 0 and (not cap or n.caps.get(cap, 0) > 0)
        ]
        if not found:
            return None
        picked = self._rng.sample(found, min(SAMPLED_GATES, len(found)))
        best = max(picked, key=lambda n: n.free[service])
        best.free[service] -= 1
        if cap:
            best.caps[cap] -= 1
        return best

    def with_shorter_queue(
        self, service: str, region: str, own_ms: float, now: float
    ) -> PeerGate | None:
        """Choose a gate where the wait is shorter than here by more than the hop.

        Under load a slot is free for a shorter time than a heartbeat is old, so
        the lengths of queues say more than free slots do.
        """
        found = [
            (wait_ms, n)
            for n in self.usable(now, region)
            if (wait_ms := n.wait_ms(service)) is not None
        ]
        if not found:
            return None
        picked = self._rng.sample(found, min(SAMPLED_GATES, len(found)))
        wait_ms, best = min(picked, key=lambda f: f[0])
        if wait_ms + FORWARD_MARGIN_MS >= own_ms:
            return None
        best.sent[service] = best.sent.get(service, 0) + 1
        return best
