# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Where and when each request goes: the decisions of one gate, without I/O."""

from random import Random
from typing import TypeAlias

import msgspec

from leverdoor.errors import Code, Rejection
from leverdoor.gate.holdings import Holdings
from leverdoor.gate.neighbours import Neighbours, RegionLoad
from leverdoor.gate.pool import TargetPool
from leverdoor.gate.queueing import QueuedRequest, WaitQueue
from leverdoor.gate.shifts import ShiftLimiter, rate_out
from leverdoor.membership.ownership import cap_row, slot_row
from leverdoor.membership.peers import AgentHeartbeat, Load
from leverdoor.model.resources import Service, Target, WorkClass
from leverdoor.model.targets import ASSUMED_MS, TargetBook
from leverdoor.storage.view import View

__all__ = ["Decision", "Dispatch", "Forward", "Scheduler"]

MIN_RETRY_MS = 50
"""Least time after which to come back, in ms; chosen."""
MAX_RETRY_MS = 30_000
"""Greatest such time, in ms; chosen."""
BULK_SHARE = 0.5
"""Part of the slots that bulk uploads may take; chosen."""
SPILL_MARGIN_MS = 5.0
"""What another region must save in ms beyond its distance; chosen."""


class Dispatch(msgspec.Struct, frozen=True):
    """Send it to a target here; units are taken already."""

    target: Target
    slot: str
    cap: str = ""


class Forward(msgspec.Struct, frozen=True):
    """Pass it to a gate that holds units."""

    vm: str
    relay: str
    region: str


Decision: TypeAlias = Dispatch | Forward | Rejection


class Scheduler:
    """Places jobs on targets and gates, or lets them wait, or refuses them."""

    def __init__(
        self, vm: str, region: str, holdings: Holdings, view: View, rng: Random
    ) -> None:
        """Create it.

        Args:
          vm: this VM.
          region: this VM's region.
          holdings: the units of this process.
          view: the configuration in force.
          rng: where all chance comes from.
        """
        self.vm = vm
        self.region = region
        self.holdings = holdings
        self.pool = TargetPool(region, holdings, view)
        self.neighbours = Neighbours(vm, self.vm_leaving, rng)
        self._shifts = ShiftLimiter(region, holdings)
        self._rng = rng
        self._queues: dict[str, WaitQueue] = {}
        self._in_use: dict[str, dict[str, int]] = {}
        self._bulk_in_use: dict[str, int] = {}
        self._mean_ms: dict[str, float] = {}

    # What is known.

    @property
    def view(self) -> View:
        """The configuration in force."""
        return self.pool.view

    @view.setter
    def view(self, view: View) -> None:
        self.pool.view = view

    @property
    def targets(self) -> TargetBook:
        """What is believed of targets."""
        return self.pool.health

    def vm_leaving(self, vm: str) -> bool:
        """Return whether a VM leaves by the platform's word or by a drain."""
        return vm in self.pool.leaving_vms or self.view.vm_drained(vm)

    def usable_gates(self, now: float) -> list[AgentHeartbeat]:
        """Heartbeats of the other gates that can be used now."""
        return [n.heartbeat for n in self.neighbours.usable(now)]

    def loads(self, now: float) -> dict[str, Load]:
        """Return this gate's own room for each service."""
        found: dict[str, Load] = {}
        for name in self.view.services:
            held = self.pool.slots(name, now)
            waiting = self._people(name)
            if held or waiting:
                mean = round(self._mean_ms.get(name, 0.0), 1)
                found[name] = Load(held, self.pool.free(name, now), waiting, mean)
        return found

    def caps(self, now: float) -> dict[str, int]:
        """Return this gate's free units of each shift cap into its region."""
        return self._shifts.free(now)

    def _people(self, service: str) -> int:
        """Count what waits here, bulk work left out."""
        queue = self._queues.get(service)
        return queue.people() if queue else 0

    # What is decided.

    def offer(self, job: QueuedRequest, now: float) -> Decision | None:
        """Decide on a new job.

        Returns: the decision, or None if the job waits; `poll` tells then.
        """
        service = self.view.services.get(job.service)
        if service is None:
            return Rejection(Code.UNKNOWN_SERVICE, 0)
        if now >= job.deadline:
            return self._refuse(Code.DEADLINE_TOO_SHORT, job, now)
        queue = self._queues.setdefault(job.service, WaitQueue())
        if not queue.people() or (job.forwarded and job.home != self.region):
            decision = self._place(job, service, now)
            if decision is not None:
                return decision
        shorter = self._shorter_queue(job, now)
        if shorter is not None:
            return shorter
        return self._wait(job, service, queue, now)

    def _wait(
        self, job: QueuedRequest, service: Service, queue: WaitQueue, now: float
    ) -> Decision | None:
        """Let a job wait if that makes sense."""
        if job.forwarded and job.home != self.region:
            return self._refuse(Code.CAP_REACHED, job, now)
        if not self.pool.any_in_service(service.name):
            return self._refuse(Code.NO_TARGET, job, now)
        if not job.bulk:
            wait_ms = self.expected_wait_ms(job, now)
            mean = self._mean_ms.get(job.service, 0.0)
            if now + (wait_ms + mean) / 1000 > job.deadline:
                return self._refuse(Code.DEADLINE_TOO_SHORT, job, now)
        if len(queue) < service.queue:
            queue.push(job)
            return None
        return self._refuse(Code.QUEUE_FULL, job, now)

    def _shorter_queue(self, job: QueuedRequest, now: float) -> Forward | None:
        """Pass a job on to wait where the wait is shorter, in this region."""
        if job.forwarded or job.bulk:
            return None
        mean = self._mean_ms.get(job.service, ASSUMED_MS)
        held = self.pool.slots(job.service, now)
        own_ms = MAX_RETRY_MS + 0.0
        if held:
            own_ms = (self._people(job.service) + 1) * mean / held
        found = self.neighbours.with_shorter_queue(
            job.service, self.region, own_ms, now
        )
        if found is None:
            return None
        return Forward(found.heartbeat.vm, found.heartbeat.relay, self.region)

    def evictable(self, job: QueuedRequest) -> QueuedRequest | None:
        """Return a waiting job that should make way for one of a higher tier."""
        queue = self._queues.get(job.service)
        return None if queue is None or job.bulk else queue.lowest(job.tier)

    def evict(self, job: QueuedRequest, now: float) -> Rejection | None:
        """Refuse a waiting job to make way for a higher tier."""
        if not self._queues[job.service].remove(job):
            return None
        return self._refuse(Code.SHED_BY_TIER, job, now)

    def poll(self, now: float) -> list[tuple[QueuedRequest, Decision]]:
        """Decide on waiting jobs after anything changed."""
        made: list[tuple[QueuedRequest, Decision]] = []
        for name, queue in self._queues.items():
            if not len(queue):
                continue
            for job in queue.expired(now):
                made.append((job, self._refuse(Code.DEADLINE_TOO_SHORT, job, now)))
            service = self.view.services.get(name)
            if service is None:
                continue
            made.extend(self._serve(queue, service, now))
        return made

    def _serve(
        self, queue: WaitQueue, service: Service, now: float
    ) -> list[tuple[QueuedRequest, Decision]]:
        made: list[tuple[QueuedRequest, Decision]] = []
        progress = True
        while progress:
            progress = False
            in_use = self._in_use.get(service.name, {})
            for job in queue.order(in_use, self.pool.slots(service.name, now)):
                decision = self._place(job, service, now)
                if decision is not None:
                    queue.pop(job)
                    made.append((job, decision))
                    progress = True
                    break
        return made

    def withdraw(self, job: QueuedRequest) -> None:
        """Forget a waiting job whose caller went away."""
        queue = self._queues.get(job.service)
        if queue is not None:
            queue.remove(job)

    def done(
        self,
        job: QueuedRequest,
        made: Dispatch,
        now: float,
        took_ms: float,
        ok: bool,
        cool_s: float,
    ) -> None:
        """Give back what a dispatch took.

        Args:
          job: the job that was dispatched.
          made: the decision that took the units.
          now: monotonic time in seconds.
          took_ms: time at the target, in milliseconds.
          ok: whether a whole answer came.
          cool_s: how long the slot stays counted since the target may go on.
        """
        self.holdings.release(made.slot, now, cool_s)
        if made.cap:
            self._shifts.give_back(self.view, job.service, made.cap, now, cool_s)
        self.targets.of(made.target, now).in_flight -= 1
        self._in_use[job.service][job.tier.name] -= 1
        if job.bulk:
            self._bulk_in_use[job.service] -= 1
        if ok and not job.bulk:
            mean = self._mean_ms.get(job.service, took_ms)
            self._mean_ms[job.service] = mean + 0.1 * (took_ms - mean)

    def expected_wait_ms(self, job: QueuedRequest, now: float) -> float:
        """Estimate how long a new job would wait in this region."""
        queue = self._queues.get(job.service)
        ahead = queue.ahead(job.tier) if queue else 0.0
        people = self._people(job.service)
        # Other gates tell how many wait, not of which tier; take it as here.
        share = ahead / people if people else 1.0
        others = self.neighbours.load(job.service, self.region, now)
        held = self.pool.slots_in_service(job.service) + others.held
        mean = self._mean_ms.get(job.service, ASSUMED_MS)
        if not held:
            rate = rate_out(self.view, job.service, job.home, mean)
            return 1000 * (ahead + 1) * (1 + others.gates) / rate
        waiting = ahead + share * others.waiting
        return self.pool.pause_ms(job.service, now) + (waiting + 1) * mean / held

    # How it is decided.

    def _place(
        self, job: QueuedRequest, service: Service, now: float
    ) -> Decision | None:
        """Find room: at home first, then region by region in order of distance."""
        for region in self._regions(job):
            decision: Decision | None = None
            if region == self.region:
                decision = self._here(job, service, now)
                if decision is None and not job.forwarded:
                    decision = self._peer(job, region, now)
            elif job.forwarded:
                continue
            else:
                decision = self._peer(job, region, now)
            if decision is not None:
                return decision
            if not self._should_spill(job, region, now):
                return None
        return None

    def _regions(self, job: QueuedRequest) -> list[str]:
        names = set(self.view.regions) | {self.region}
        return sorted(names, key=lambda r: (self.view.distance_ms(job.home, r), r))

    def _should_spill(self, job: QueuedRequest, region: str, now: float) -> bool:
        """Return whether leaving a region heartbeats waiting in it."""
        if region != job.home:
            return True
        load = self._region_load(job.service, region, now)
        if load.held == 0:
            return True
        others = [r for r in self.view.regions if r != region]
        nearest = min((self.view.distance_ms(region, r) for r in others), default=0.0)
        wait_ms = (load.waiting + 1) * (load.mean_ms or ASSUMED_MS) / load.held
        return wait_ms > 2 * nearest + SPILL_MARGIN_MS

    def _region_load(self, service: str, region: str, now: float) -> RegionLoad:
        """Add up a region's load, this gate's own included."""
        others = self.neighbours.load(service, region, now)
        if region != self.region:
            return others
        return RegionLoad(
            others.held + self.pool.slots(service, now),
            others.waiting + self._people(service),
            max(others.mean_ms, self._mean_ms.get(service, 0.0)),
            others.gates + 1,
        )

    def _here(
        self, job: QueuedRequest, service: Service, now: float
    ) -> Dispatch | None:
        """Take a slot that this gate holds, and a cap unit for foreign work."""
        if job.bulk and not self._bulk_room(service, now):
            return None
        best = self.pool.best(job.service, job.tried, self._rng, now)
        if best is None:
            return None
        cap: str | None = ""
        if job.home != self.region:
            cap = self._shifts.take(self.view, job.service, now)
        if cap is None:
            return None
        slot = slot_row(best.address)
        self.holdings.acquire(slot, now)
        self.targets.of(best, now).in_flight += 1
        in_use = self._in_use.setdefault(job.service, {})
        in_use[job.tier.name] = in_use.get(job.tier.name, 0) + 1
        if job.bulk:
            used = self._bulk_in_use.get(job.service, 0)
            self._bulk_in_use[job.service] = used + 1
        return Dispatch(best, slot, cap)

    def _bulk_room(self, service: Service, now: float) -> bool:
        """Bulk work takes a share of the slots, and none while people wait."""
        held = self.pool.slots(service.name, now)
        if service.work is not WorkClass.BULK:
            held = max(1, int(held * BULK_SHARE))
        if self._people(service.name):
            return False
        return self._bulk_in_use.get(service.name, 0) < held

    def _peer(self, job: QueuedRequest, region: str, now: float) -> Forward | None:
        """Pass a job on to a gate with room in a region."""
        cap = ""
        if region != job.home and (job.service, region) in self.view.caps:
            cap = cap_row(job.service, region)
        found = self.neighbours.with_room(job.service, region, cap, now)
        if found is None:
            return None
        return Forward(found.heartbeat.vm, found.heartbeat.relay, region)

    def _refuse(self, code: Code, job: QueuedRequest, now: float) -> Rejection:
        """Refuse with when to come back, spread so callers don't return together."""
        wait_ms = self.expected_wait_ms(job, now)
        if code is Code.CAP_REACHED:
            cap = self.view.caps.get((job.service, self.region))
            wait_ms = max(wait_ms, cap.window_ms / 4 if cap else 0.0)
        if code is Code.NO_TARGET:
            wait_ms = max(wait_ms, 1_000.0)
        spread = wait_ms * (1 + self._rng.random()) + MIN_RETRY_MS * self._rng.random()
        return Rejection(code, int(min(max(spread, MIN_RETRY_MS), MAX_RETRY_MS)))
