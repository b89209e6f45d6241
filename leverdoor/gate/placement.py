# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Where a request goes: to which region, to a target here or to another gate.

Owns no state of its own: it takes units from this gate's holdings and shift caps and
counts what it takes. Relies on the snapshot of the configuration, on this gate's own
counts (exact) and on the heartbeats of other gates (0.1 s old and more).
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
from leverdoor.membership.ownership import cap_row, slot_row
from leverdoor.model.resources import Service, Target, WorkClass
from leverdoor.storage.view import View

__all__ = ["Decision", "Dispatch", "Forward", "Placement", "bulk_limit"]

BULK_SHARE = 0.5
"""Part of the slots that bulk uploads may take in a service that is not all bulk.

An upload holds a slot for minutes, so without a bound uploads would take all of them. A
greater part lengthens the wait of other requests, a smaller one the uploads.
"""
SPILL_MARGIN_MS = 5.0
"""What leaving the home region must save beyond the round trip, in ms.

Waits of other gates are estimated from old heartbeats. A smaller margin moves requests
back and forth between regions; a greater one lets them wait at home.
"""

NO_SLOT_WAIT_MS = 30_000.0
"""Expected wait at a gate that holds no slot, in ms; longer than any deadline allows.

Any other gate of the region with a slot is then the better one.
"""


class Dispatch(msgspec.Struct, frozen=True):
    """Send it to a target here; the units of its rows are taken already."""

    target: Target
    slot: str
    cap: str = ""


class Forward(msgspec.Struct, frozen=True):
    """Pass it to another gate, at the address `relay`."""

    vm: str
    relay: str
    region: str


Decision: TypeAlias = Dispatch | Forward | Rejection


def bulk_limit(held: int, work: WorkClass) -> int:
    """Return how many of the slots held bulk uploads may use; at least one."""
    if work is WorkClass.BULK:
        return held
    return max(1, int(held * BULK_SHARE))


def should_leave_home(load: RegionLoad, nearest_ms: float) -> bool:
    """Return whether a request should leave its home region.

    It should if the expected wait there is longer than the round trip to the nearest
    other region, or if nothing there takes requests.

    Args:
      load: slots held and requests waiting in the home region.
      nearest_ms: one-way distance of the nearest other region.
    """
    if load.held == 0:
        return True
    wait_ms = queue_wait_ms(load.waiting + 1, load.mean_ms or INITIAL_RUN_MS, load.held)
    return wait_ms > 2 * nearest_ms + SPILL_MARGIN_MS


class Placement:
    """Finds a target or a gate with a free slot for a request."""

    def __init__(
        self,
        region: str,
        held_units: HeldUnits,
        pool: TargetPool,
        peer_gates: PeerGates,
        workloads: Workloads,
        rng: Random,
    ) -> None:
        """Create it.

        Args:
          region: this gate's region.
          holdings: the units of this process.
          pool: the targets here.
          neighbours: the other gates.
          workloads: what waits and runs here.
          rng: where all chance comes from.
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
        """Find a free slot: at home first, then region by region by distance.

        A forwarded request gets a slot here or none.
        """
        for region in self._regions(request):
            decision: Dispatch | Forward | None = None
            if region == self._region:
                decision = self._dispatch(request, service, now)
            if decision is None and not request.forwarded:
                decision = self._forward(request, region, now)
            if decision is not None:
                return decision
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
        """Return whether regions after this one may be tried."""
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
        """Add up a region's load, this gate's own included."""
        others = self._peer_gates.load(service, region, now)
        if region != self._region:
            return others
        own = self._workloads.of(service)
        return RegionLoad(
            others.held + self._pool.slots(service, now),
            others.waiting + own.queue.interactive(),
            max(others.mean_ms, own.mean_ms or 0.0),
            others.gates + 1,
        )

    def _dispatch(
        self, request: QueuedRequest, service: Service, now: float
    ) -> Dispatch | None:
        """Take a slot that this gate holds, and a cap unit for a foreign request."""
        if request.bulk and not self._takes_bulk(service, now):
            return None
        best = self._pool.best(request.service, request.tried, self._rng, now)
        if best is None:
            return None
        cap: str | None = ""
        if request.home != self._region:
            cap = self._shifts.take(self._view, request.service, now)
        if cap is None:
            return None
        slot = slot_row(best.address)
        self._held_units.acquire(slot, now)
        self._pool.health.of(best, now).in_flight += 1
        self._workloads.add(request.service).begin(request)
        return Dispatch(best, slot, cap)

    def _takes_bulk(self, service: Service, now: float) -> bool:
        """Return whether a bulk upload may take a slot: none while others wait."""
        limit = bulk_limit(self._pool.slots(service.name, now), service.work)
        workload = self._workloads.of(service.name)
        return not workload.queue.interactive() and workload.bulk_running < limit

    def _forward(
        self, request: QueuedRequest, region: str, now: float
    ) -> Forward | None:
        """Pass a request on to a gate with a free slot in a region."""
        cap = ""
        if region != request.home and (request.service, region) in self._view.caps:
            cap = cap_row(request.service, region)
        found = self._peer_gates.with_free_slot(request.service, region, cap, now)
        return _forward_to(found, region)

    def forward_to_shorter_queue(
        self, request: QueuedRequest, now: float
    ) -> Forward | None:
        """Pass a request on to a gate of this region where the wait is shorter.

        Bulk uploads and requests that were passed on already wait here.
        """
        if request.forwarded or request.bulk:
            return None
        own_ms = self._local_wait_ms(request.service, now)
        found = self._peer_gates.with_shorter_queue(
            request.service, self._region, own_ms, now
        )
        return _forward_to(found, self._region)

    def _local_wait_ms(self, service: str, now: float) -> float:
        """Return the expected wait at this gate alone; endless without a slot."""
        held = self._pool.slots(service, now)
        if not held:
            return NO_SLOT_WAIT_MS
        workload = self._workloads.of(service)
        mean = INITIAL_RUN_MS if workload.mean_ms is None else workload.mean_ms
        return queue_wait_ms(workload.queue.interactive() + 1, mean, held)

    def release_units(
        self, request: QueuedRequest, made: Dispatch, now: float, cooldown_s: float
    ) -> None:
        """Give back the units that a dispatch took, counted for `cooldown_s` more."""
        self._held_units.release(made.slot, now, cooldown_s)
        if made.cap:
            self._shifts.release_units(
                self._view, request.service, made.cap, now, cooldown_s
            )
        self._pool.health.of(made.target, now).in_flight -= 1


def _forward_to(gate: PeerGate | None, region: str) -> Forward | None:
    if gate is None:
        return None
    return Forward(gate.heartbeat.vm, gate.heartbeat.relay, region)
