# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Load estimates of the other gates and the selection of a gate to forward to.

Owns the latest heartbeat of each gate, adjusted by the requests forwarded since. This
state is lost when the process ends; a new process rebuilds it from the next hints of
the agent. Relies on these hints, whose heartbeats are at least 0.1 s old. Loads are
therefore estimates, and a gate without a free slot refuses a forwarded request.
"""

from collections.abc import Callable, Iterable
from random import Random

import msgspec

from leverdoor.gate.target_health import INITIAL_RUN_MS
from leverdoor.gate.workload import queue_wait_ms
from leverdoor.membership.peers import AgentHeartbeat, GateState, Peer

__all__ = ["PeerGate", "PeerGates", "RegionLoad"]

PEER_BACKOFF_S = 1.0
"""Time without forwarding to a gate after a failed connection, in seconds.

Five heartbeat intervals. A longer time leaves the slots of the gate idle after one lost
connection; a shorter one costs more attempts until the failed gate's heartbeat expires.
"""
FORWARD_MARGIN_MS = 2.0
"""Minimum wait saved by forwarding to a shorter queue, in ms: two hops of 1 ms.

A smaller margin forwards without benefit; a greater one leaves queues uneven.
"""
SAMPLED_GATES = 2
"""Number of randomly sampled gates from which the best is selected.

Selecting the best of all gates would send every gate's requests to the same one until
its next heartbeat.
"""


class RegionLoad(msgspec.Struct, frozen=True):
    """Total load of the usable gates of a region, with their greatest mean run time."""

    held: int
    waiting: int
    mean_ms: float
    gates: int


class PeerGate(msgspec.Struct):
    """Another gate and its load, adjusted by requests sent since its last heartbeat.

    `free` holds free slots less waiting requests and `sent` forwarded requests, both by
    service; `caps` holds free cap units by row.
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
        """Reset the estimates to the latest heartbeat."""
        self.free = {s: v.free - v.waiting for s, v in self.heartbeat.loads.items()}
        self.sent = {}
        self.caps = dict(self.heartbeat.caps)

    def wait_ms(self, service: str) -> float | None:
        """Estimate the wait of one more request in ms; None without slots."""
        load = self.heartbeat.loads.get(service)
        if load is None or not load.held:
            return None
        # The queue less free slots, plus requests forwarded since and this one.
        queued = load.waiting - load.free + self.sent.get(service, 0) + 1
        mean_ms = load.mean_ms or INITIAL_RUN_MS
        return queue_wait_ms(max(queued, 0), mean_ms, load.held)


class PeerGates:
    """The other gates by VM."""

    def __init__(self, vm: str, is_leaving: Callable[[str], bool], rng: Random) -> None:
        """Create an empty table.

        Args:
          vm: this VM, whose heartbeats are ignored.
          is_leaving: returns whether a VM is leaving.
          rng: source of randomness.
        """
        self._vm = vm
        self._is_leaving = is_leaving
        self._rng = rng
        self._known: dict[str, PeerGate] = {}

    def receive(self, heartbeats: Iterable[AgentHeartbeat], now: float) -> None:
        """Store heartbeats that are newer than the stored ones."""
        for heartbeat in heartbeats:
            if heartbeat.vm == self._vm or not heartbeat.gate:
                continue
            peer_gate = self._known.get(heartbeat.vm)
            if peer_gate is None:
                peer_gate = self._known[heartbeat.vm] = PeerGate(Peer(heartbeat, now))
            elif peer_gate.peer.is_superseded_by(heartbeat, now):
                if heartbeat.incarnation != peer_gate.heartbeat.incarnation:
                    peer_gate.backoff_until = 0.0
                peer_gate.peer.receive(heartbeat, now)
            else:
                continue
            peer_gate.refresh()

    def vms(self) -> list[str]:
        """Return the VMs of all known other gates."""
        return list(self._known)

    def get(self, vm: str) -> AgentHeartbeat | None:
        """Return the latest heartbeat of a VM regardless of its age."""
        found = self._known.get(vm)
        return found.heartbeat if found else None

    def lost(self, vm: str, now: float) -> None:
        """Back off from a gate for PEER_BACKOFF_S after a failed connection."""
        if vm in self._known:
            self._known[vm].backoff_until = now + PEER_BACKOFF_S

    def refused(self, vm: str, service: str) -> None:
        """Assume no free slot at a gate that refused, until its next heartbeat."""
        if vm in self._known:
            self._known[vm].free[service] = 0

    def usable(self, now: float, region: str = "") -> list[PeerGate]:
        """Return the usable gates of one region, or of all regions.

        A usable gate is serving, has a recent heartbeat, is not on a leaving VM and
        is not in backoff after a failed connection.
        """
        return [
            peer_gate
            for peer_gate in self._known.values()
            if region in ("", peer_gate.heartbeat.region)
            and peer_gate.heartbeat.state is GateState.SERVING
            and now >= peer_gate.backoff_until
            and not peer_gate.peer.is_silent(now)
            and not self._is_leaving(peer_gate.heartbeat.vm)
        ]

    def load(self, service: str, region: str, now: float) -> RegionLoad:
        """Return the total load of the other usable gates of a region."""
        loads = [
            peer_gate.heartbeat.loads[service]
            for peer_gate in self.usable(now, region)
            if service in peer_gate.heartbeat.loads
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
        """Select the better of two random gates and deduct the slot from its estimate.

        Args:
          service: the requested service.
          region: the region to search.
          cap: row of the shift cap that must have a free unit, or "".
          now: monotonic time in seconds.
        """
        found = [
            peer_gate
            for peer_gate in self.usable(now, region)
            if peer_gate.free.get(service, 0) > 0
            and (not cap or peer_gate.caps.get(cap, 0) > 0)
        ]
        if not found:
            return None
        picked = self._rng.sample(found, min(SAMPLED_GATES, len(found)))
        best = max(picked, key=lambda peer_gate: peer_gate.free[service])
        best.free[service] -= 1
        if cap:
            best.caps[cap] -= 1
        return best

    def with_shorter_queue(
        self, service: str, region: str, own_ms: float, now: float
    ) -> PeerGate | None:
        """Select a gate whose wait is shorter by more than FORWARD_MARGIN_MS.

        Counts the request as sent to the selected gate. Under load a slot is free for
        less time than a heartbeat is old, so reported free slots are outdated and the
        queue length predicts the wait better.
        """
        found = [
            (wait_ms, peer_gate)
            for peer_gate in self.usable(now, region)
            if (wait_ms := peer_gate.wait_ms(service)) is not None
        ]
        if not found:
            return None
        picked = self._rng.sample(found, min(SAMPLED_GATES, len(found)))
        wait_ms, best = min(picked, key=lambda f: f[0])
        if wait_ms + FORWARD_MARGIN_MS >= own_ms:
            return None
        best.sent[service] = best.sent.get(service, 0) + 1
        return best
