# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides whether a request is placed, forwarded, queued or refused; without I/O.

A request is placed (`placement.py`) if no interactive request waits or if another
region forwarded it. Otherwise it is forwarded to a gate with a shorter queue, queued or
refused. Owns the target pool, the load estimates of other gates and the workloads
(`workload.py`); all are lost when the process ends. Relies on `row_units.py` for units,
on the configuration snapshot and on heartbeats of other gates, which are at least 0.1 s
old. Without heartbeats it decides from its own counts alone.
"""

from random import Random

from leverdoor.errors import Code, Rejection
from leverdoor.gate.peers import PeerGates
from leverdoor.gate.placement import Decision, Dispatch, Placement
from leverdoor.gate.pool import TargetPool
from leverdoor.gate.queueing import QueuedRequest, WaitQueue
from leverdoor.gate.retry_after import retry_after_ms
from leverdoor.gate.row_units import HeldUnits
from leverdoor.gate.shift_limiter import shift_rate_per_s
from leverdoor.gate.target_health import INITIAL_RUN_MS, TargetHealthTable
from leverdoor.gate.workload import Workloads, queue_wait_ms
from leverdoor.membership.peers import AgentHeartbeat, Load
from leverdoor.model.resources import Service
from leverdoor.storage.view import View

__all__ = ["Scheduler"]


class Scheduler:
    """Places, forwards, queues or refuses requests."""

    def __init__(
        self, vm: str, region: str, held_units: HeldUnits, view: View, rng: Random
    ) -> None:
        """Create a scheduler.

        Args:
          vm: this VM.
          region: this VM's region.
          held_units: the units of this process.
          view: the configuration in force.
          rng: source of randomness.
        """
        self.vm = vm
        self.region = region
        self.pool = TargetPool(region, held_units, view)
        self.peer_gates = PeerGates(vm, self.vm_leaving, rng)
        self._workloads = Workloads()
        self._placement = Placement(
            region, held_units, self.pool, self.peer_gates, self._workloads, rng
        )
        self._rng = rng

    # State.

    @property
    def view(self) -> View:
        """The configuration in force."""
        return self.pool.view

    @view.setter
    def view(self, view: View) -> None:
        self.pool.view = view

    @property
    def targets(self) -> TargetHealthTable:
        """The health of targets, by address."""
        return self.pool.health

    def vm_leaving(self, vm: str) -> bool:
        """Return whether the VM list marks a VM as leaving or a drain covers it."""
        return vm in self.pool.leaving_vms or self.view.vm_drained(vm)

    def usable_gates(self, now: float) -> list[AgentHeartbeat]:
        """Return the heartbeats of the usable other gates."""
        return [n.heartbeat for n in self.peer_gates.usable(now)]

    def loads(self, now: float) -> dict[str, Load]:
        """Return this gate's load by service, as sent in its heartbeats."""
        found: dict[str, Load] = {}
        for name in self.view.services:
            workload = self._workloads.of(name)
            held = self.pool.slots(name, now)
            waiting = workload.queue.interactive_count()
            if held or waiting:
                mean = round(workload.mean_ms or 0.0, 1)
                found[name] = Load(held, self.pool.free(name, now), waiting, mean)
        return found

    def caps(self, now: float) -> dict[str, int]:
        """Return this gate's free units of each shift cap into its region, by row."""
        return self._placement.free_caps(now)

    # Decisions on one request.

    def offer(self, request: QueuedRequest, now: float) -> Decision | None:
        """Decide on a new request.

        A Dispatch has acquired its units, which `done` releases.

        Returns: the decision, or None if the request is queued until `poll` decides.
        """
        service = self.view.services.get(request.service)
        if service is None:
            return Rejection(Code.UNKNOWN_SERVICE, 0)
        if now >= request.deadline:
            return self._refuse(Code.DEADLINE_TOO_SHORT, request, now)
        queue = self._workloads.add(request.service).queue
        if not queue.interactive_count() or self._from_other_region(request):
            decision = self._placement.place(request, service, now)
            if decision is not None:
                return decision
        shorter = self._placement.forward_to_shorter_queue(request, now)
        if shorter is not None:
            return shorter
        return self._queue_or_refuse(request, service, queue, now)

    def _from_other_region(self, request: QueuedRequest) -> bool:
        """Return whether another region forwarded the request to this gate."""
        return request.forwarded and request.home != self.region

    def _queue_or_refuse(
        self, request: QueuedRequest, service: Service, queue: WaitQueue, now: float
    ) -> Decision | None:
        """Queue a request unless it cannot be served in time or the queue is full.

        A request of another region is never queued. Without a cap unit or a slot it is
        refused with CAP_REACHED, and the sending gate tries another gate.
        """
        if self._from_other_region(request):
            return self._refuse(Code.CAP_REACHED, request, now)
        if not self.pool.any_in_service(service.name):
            return self._refuse(Code.NO_TARGET, request, now)
        if not request.bulk and self._would_miss_deadline(request, now):
            return self._refuse(Code.DEADLINE_TOO_SHORT, request, now)
        if len(queue) < service.queue:
            queue.push(request)
            return None
        return self._refuse(Code.QUEUE_FULL, request, now)

    def _would_miss_deadline(self, request: QueuedRequest, now: float) -> bool:
        """Return whether the expected wait and run time exceed the deadline."""
        wait_ms = self.expected_wait_ms(request, now)
        run_ms = self._workloads.of(request.service).mean_ms or 0.0
        return now + (wait_ms + run_ms) / 1000 > request.deadline

    def expected_wait_ms(self, request: QueuedRequest, now: float) -> float:
        """Estimate how long a new request would wait in this region, in ms.

        The estimate is the number of preceding requests in the region plus one, times
        the mean run time, divided by the slots of the region, plus the time until the
        first ejection ends.

        If the region has no slot, requests leave it at the rate that shift caps admit.
        The estimate is then the requests up to this one, divided by that rate; each
        other gate of the region is assumed to have as many.
        """
        workload = self._workloads.of(request.service)
        ahead = workload.queue.preceding_requests(request.tier)
        own = workload.queue.interactive_count()
        # Heartbeats carry no tiers: assume the same share precedes at other gates.
        preceding_share = ahead / own if own else 1.0
        others = self.peer_gates.load(request.service, self.region, now)
        held = self.pool.slots_in_service(request.service) + others.held
        mean = INITIAL_RUN_MS if workload.mean_ms is None else workload.mean_ms
        if not held:
            rate = shift_rate_per_s(self.view, request.service, request.home, mean)
            return 1000 * (ahead + 1) * (1 + others.gates) / rate
        waiting = ahead + preceding_share * others.waiting
        first_ejection_end_ms = self.pool.first_ejection_end_ms(request.service, now)
        return first_ejection_end_ms + queue_wait_ms(waiting + 1, mean, held)

    def _refuse(self, code: Code, request: QueuedRequest, now: float) -> Rejection:
        """Return a rejection with its Retry-After."""
        wait_ms = self.expected_wait_ms(request, now)
        cap = self.view.caps.get((request.service, self.region))
        window_ms = cap.window_ms if cap else 0.0
        return Rejection(code, retry_after_ms(code, wait_ms, window_ms, self._rng))

    # Waiting requests.

    def eviction_candidate(self, request: QueuedRequest) -> QueuedRequest | None:
        """Return a waiting request of a lower tier to shed for this one, if any."""
        if request.bulk:
            return None
        return self._workloads.of(request.service).queue.newest_below(request.tier)

    def shed_waiting(self, request: QueuedRequest, now: float) -> Rejection | None:
        """Remove a waiting request; return its rejection, None if it is gone."""
        if not self._workloads.of(request.service).queue.remove(request):
            return None
        return self._refuse(Code.SHED_BY_TIER, request, now)

    def poll(self, now: float) -> list[tuple[QueuedRequest, Decision]]:
        """Refuse expired requests, place waiting ones and return the decisions."""
        decisions: list[tuple[QueuedRequest, Decision]] = []
        for name, queue in self._workloads.waiting():
            for late in queue.remove_expired(now):
                decisions.append(
                    (late, self._refuse(Code.DEADLINE_TOO_SHORT, late, now))
                )
            service = self.view.services.get(name)
            if service is not None:
                decisions.extend(self._place_waiting(queue, service, now))
        return decisions

    def _place_waiting(
        self, queue: WaitQueue, service: Service, now: float
    ) -> list[tuple[QueuedRequest, Decision]]:
        """Place waiting requests in `WaitQueue.order` until none can be placed."""
        decisions: list[tuple[QueuedRequest, Decision]] = []
        while (next_decision := self._place_next(queue, service, now)) is not None:
            decisions.append(next_decision)
        return decisions

    def _place_next(
        self, queue: WaitQueue, service: Service, now: float
    ) -> tuple[QueuedRequest, Decision] | None:
        running = self._workloads.of(service.name).running
        for request in queue.order(running, self.pool.slots(service.name, now)):
            decision = self._placement.place(request, service, now)
            if decision is not None:
                queue.pop(request)
                return request, decision
        return None

    def withdraw(self, request: QueuedRequest) -> None:
        """Remove a waiting request whose caller disconnected."""
        self._workloads.of(request.service).queue.remove(request)

    def done(
        self,
        request: QueuedRequest,
        dispatch: Dispatch,
        now: float,
        took_ms: float,
        ok: bool,
        cooldown_s: float,
    ) -> None:
        """Release the units of a dispatch and record its run.

        Args:
          request: the request that was dispatched.
          dispatch: the decision that acquired the units.
          now: monotonic time in seconds.
          took_ms: time at the target, in ms.
          ok: whether the response was complete.
          cooldown_s: time in which the units still count as used, in seconds, since
            the target may still be running the request.
        """
        self._placement.release_units(request, dispatch, now, cooldown_s)
        self._workloads.of(request.service).end(request, took_ms, ok)
