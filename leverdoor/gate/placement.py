# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selects a region and a local target or another gate for each request.

Owns the shift limiter of this region, whose state is lost when the process ends;
acquires target slots and shift cap units of this gate. Relies on the configuration
snapshot, on the exact counts of this gate and on heartbeats of other gates, which are
at least 0.1 s old.
"""

from random import Random
from typing import TypeAlias

import msgspec

from leverdoor.errors import Rejection
from leverdoor.gate.peers import PeerGate, PeerGates, RegionLoad
from leverdoor.gate.pool import TargetPool
from leverdoor.gate.queueing import QueuedRequest
from leverdoor.gate.row_units import HeldUnits
from leverdoor.gate.shift_limiter import ShiftLimiter
from leverdoor.gate.target_health import INITIAL_RUN_MS
from leverdoor.gate.workload import Workloads, queue_wait_ms
from leverdoor.membership.ownership import cap_row_name, slot_row_name
from leverdoor.model.resources import Service, Target, WorkClass
from leverdoor.storage.view import View

__all__ = ["Decision", "Dispatch", "Forward", "Placement", "bulk_limit"]

BULK_SHARE = 0.5
"""Share of slots available to bulk uploads in a service that is not of class BULK.

An upload holds a slot for minutes; without a limit uploads would take all slots. A
greater share lengthens the wait of other requests, a smaller one that of uploads.
"""
LEAVE_HOME_MARGIN_MS = 5.0
"""Minimum wait saved by leaving the home region, beyond the round trip, in ms.

Waits of other gates are estimated from old heartbeats. A smaller margin makes requests
oscillate between regions; a greater one makes them wait in the home region.
"""

NO_SLOT_WAIT_MS = 30_000.0
"""Wait assumed at a gate without slots, in ms.

Far above the usual deadlines, so that every other gate of the region with a slot is
preferred.
"""


class Dispatch(msgspec.Struct, frozen=True):
    """Decision to use a local target, whose units are acquired.

    `slot` and `cap` are rows of the ownership table; `cap` is "" without a cap unit.
    """

    target: Target
    slot: str
    cap: str = ""


class Forward(msgspec.Struct, frozen=True):
    """Decision to forward the request to the gate with the address `relay`."""

    vm: str
    relay: str
    region: str


Decision: TypeAlias = Dispatch | Forward | Rejection


def bulk_limit(held: int, work: WorkClass) -> int:
    """Return how many of the held slots bulk uploads may use.

    All of them in a service of class BULK, else BULK_SHARE of them but at least one.
    """
    if work is WorkClass.BULK:
        return held
    return max(1, int(held * BULK_SHARE))


def should_leave_home(load: RegionLoad, nearest_ms: float) -> bool:
    """Return whether a request should leave its home region.

    True if no usable gate of the home region holds a slot, or if the expected wait
    there exceeds the round trip to the nearest other region by more than
    LEAVE_HOME_MARGIN_MS.

    Args:
      load: load of the home region.
      nearest_ms: one-way latency to the nearest other region.
    """
    if load.held == 0:
        return True
    wait_ms = queue_wait_ms(load.waiting + 1, load.mean_ms or INITIAL_RUN_MS, load.held)
    return wait_ms > 2 * nearest_ms + LEAVE_HOME_MARGIN_MS


class Placement:
    """Selects a target or gate with a free slot and acquires local units."""

    def __init__(
        self,
        region: str,
        held_units: HeldUnits,
        pool: TargetPool,
        peer_gates: PeerGates,
        workloads: Workloads,
        rng: Random,
    ) -> None:
        """Create a placement.

        Args:
          region: this gate's region.
          held_units: the units of this process.
          pool: the targets at which this gate holds slots.
          peer_gates: the other gates.
          workloads: the requests waiting and running at this gate.
          rng: source of randomness.
        """
        self._region = region
        self._held_units = held_units
        self._pool = pool
        self._peer_gates = peer_gates
        self._workloads = workloads
        self._rng = rng
        self._shifts = ShiftLimiter(region, held_units)

    @property
    def _view(self) -> View:
        return self._pool.view

    def free_caps(self, now: float) -> dict[str, int]:
        """Return this gate's free units of each shift cap into its region."""
        return self._shifts.free(now)

    def place(
        self, request: QueuedRequest, service: Service, now: float
    ) -> Dispatch | Forward | None:
        """Acquire a local slot or select a gate to forward to.

        Tries the home region first, then the others by distance. A forwarded request
        is only placed on a target of this gate.

        Returns: the decision, or None if no region can take the request now.
        """
        for region in self._regions(request):
            decision: Dispatch | Forward | None = None
            if region == self._region:
                decision = self._dispatch(request, service, now)
            if decision is None and not request.forwarded:
                decision = self._forward(request, region, now)
            if decision is not None:
                return decision
            # A forwarded request may only use the region of this gate.
            if request.forwarded and region != self._region:
                continue
            if not self._may_try_farther(request, region, now):
                return None
        return None

    def _regions(self, request: QueuedRequest) -> list[str]:
        names = set(self._view.regions) | {self._region}
        distance_ms = self._view.distance_ms
        return sorted(names, key=lambda r: (distance_ms(request.home, r), r))

    def _may_try_farther(self, request: QueuedRequest, region: str, now: float) -> bool:
        """Return whether regions farther than this one may be tried.

        The home region requires `should_leave_home`; any other region allows it.
        """
        if region != request.home:
            return True
        others = [r for r in self._view.regions if r != region]
        nearest_ms = min(
            (self._view.distance_ms(region, r) for r in others), default=0.0
        )
        return should_leave_home(
            self._region_load(request.service, region, now), nearest_ms
        )

    def _region_load(self, service: str, region: str, now: float) -> RegionLoad:
        """Return the load of a region, including this gate."""
        others = self._peer_gates.load(service, region, now)
        if region != self._region:
            return others
        own = self._workloads.of(service)
        return RegionLoad(
            others.held + self._pool.slots(service, now),
            others.waiting + own.queue.interactive_count(),
            max(others.mean_ms, own.mean_ms or 0.0),
            others.gates + 1,
        )

    def _dispatch(
        self, request: QueuedRequest, service: Service, now: float
    ) -> Dispatch | None:
        """Acquire a slot of this gate and, for another region's request, a cap unit."""
        if request.bulk and not self._accepts_bulk(service, now):
            return None
        best = self._pool.best(request.service, request.tried, self._rng, now)
        if best is None:
            return None
        cap: str | None = ""
        if request.home != self._region:
            cap = self._shifts.acquire_unit(self._view, request.service, now)
        if cap is None:
            return None
        slot = slot_row_name(best.address)
        self._held_units.acquire(slot, now)
        self._pool.health.of(best, now).in_flight += 1
        self._workloads.add(request.service).begin(request)
        return Dispatch(best, slot, cap)

    def _accepts_bulk(self, service: Service, now: float) -> bool:
        """Return whether a bulk upload may take a slot.

        False while other requests wait or the bulk limit is reached.
        """
        limit = bulk_limit(self._pool.slots(service.name, now), service.work)
        workload = self._workloads.of(service.name)
        return not workload.queue.interactive_count() and workload.bulk_running < limit

    def _forward(
        self, request: QueuedRequest, region: str, now: float
    ) -> Forward | None:
        """Select a gate of a region with a free slot and any cap unit required."""
        cap = ""
        if region != request.home and (request.service, region) in self._view.caps:
            cap = cap_row_name(request.service, region)
        found = self._peer_gates.with_free_slot(request.service, region, cap, now)
        return _forward_to(found, region)

    def forward_to_shorter_queue(
        self, request: QueuedRequest, now: float
    ) -> Forward | None:
        """Select a gate of this region with a shorter wait.

        Bulk uploads and forwarded requests are never forwarded to a shorter queue.
        """
        if request.forwarded or request.bulk:
            return None
        own_ms = self._local_wait_ms(request.service, now)
        found = self._peer_gates.with_shorter_queue(
            request.service, self._region, own_ms, now
        )
        return _forward_to(found, self._region)

    def _local_wait_ms(self, service: str, now: float) -> float:
        """Return the expected wait at this gate alone, in ms."""
        held = self._pool.slots(service, now)
        if not held:
            return NO_SLOT_WAIT_MS
        workload = self._workloads.of(service)
        mean = INITIAL_RUN_MS if workload.mean_ms is None else workload.mean_ms
        return queue_wait_ms(workload.queue.interactive_count() + 1, mean, held)

    def release_units(
        self, request: QueuedRequest, dispatch: Dispatch, now: float, cooldown_s: float
    ) -> None:
        """Release the units, which count as used for `cooldown_s` more seconds."""
        self._held_units.release(dispatch.slot, now, cooldown_s)
        if dispatch.cap:
            self._shifts.release_units(
                self._view, request.service, dispatch.cap, now, cooldown_s
            )
        self._pool.health.of(dispatch.target, now).in_flight -= 1


def _forward_to(gate: PeerGate | None, region: str) -> Forward | None:
    if gate is None:
        return None
    return Forward(gate.heartbeat.vm, gate.heartbeat.relay, region)
