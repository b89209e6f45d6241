# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Where and when each request goes: the decisions of one gate, without I/O."""

import math
from collections.abc import Iterable
from random import Random
from typing import TypeAlias

import msgspec

from leverdoor.errors import Code
from leverdoor.holdings import Holdings
from leverdoor.ownership import cap_row, slot_row
from leverdoor.peers import Beat, GateState, Load, Peer
from leverdoor.queueing import Job, WaitQueue
from leverdoor.ramp import Ramp
from leverdoor.resources import Service, Target, Work
from leverdoor.targets import ASSUMED_MS, TargetBook
from leverdoor.view import View

__all__ = ["Decision", "Dispatch", "Forward", "Refuse", "Scheduler"]

PEER_BACKOFF_S = 1.0
MIN_RETRY_MS = 50
MAX_RETRY_MS = 30_000
BULK_SHARE = 0.5
SPILL_MARGIN_MS = 5.0
FORWARD_MARGIN_MS = 2.0


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


class Refuse(msgspec.Struct, frozen=True):
    """Give up on it now; it was not run."""

    code: Code
    retry_after_ms: int


Decision: TypeAlias = Dispatch | Forward | Refuse


class _Neighbour(msgspec.Struct):
    """Another gate's room, less what was sent there since it was told."""

    peer: Peer
    free: dict[str, int]
    sent: dict[str, int]
    caps: dict[str, int]
    out_until: float = 0.0

    @property
    def beat(self) -> Beat:
        """The latest beat."""
        return self.peer.beat


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
        self.view = view
        self.targets = TargetBook()
        self.leaving_vms: frozenset[str] = frozenset()
        self._rng = rng
        self._queues: dict[str, WaitQueue] = {}
        self._neighbours: dict[str, _Neighbour] = {}
        self._in_use: dict[str, dict[str, int]] = {}
        self._bulk_in_use: dict[str, int] = {}
        self._mean_ms: dict[str, float] = {}
        self._ramps: dict[str, Ramp] = {}
        self._mine: dict[str, list[Target]] = {}
        self._mine_of: tuple[View, int] = (view, -1)

    # What is known.

    def hear(self, beats: Iterable[Beat], now: float) -> None:
        """Take other gates' load hints."""
        for beat in beats:
            if beat.vm == self.vm or not beat.gate:
                continue
            n = self._neighbours.get(beat.vm)
            if n is None:
                n = _Neighbour(Peer(beat, now), {}, {}, {})
                self._neighbours[beat.vm] = n
            elif beat.newer(n.beat):
                if beat.incarnation != n.beat.incarnation:
                    n.out_until = 0.0
                n.peer.hear(beat, now)
            else:
                continue
            n.free = {s: load.free - load.waiting for s, load in beat.loads.items()}
            n.sent = {}
            n.caps = dict(beat.caps)

    def lost(self, vm: str, now: float) -> None:
        """Leave a gate alone for a while after a failed connection."""
        neighbour = self._neighbours.get(vm)
        if neighbour is not None:
            neighbour.out_until = now + PEER_BACKOFF_S

    def refused(self, vm: str, service: str) -> None:
        """Take a gate's refusal as word that it has no room."""
        neighbour = self._neighbours.get(vm)
        if neighbour is not None:
            neighbour.free[service] = 0

    def neighbours(self, now: float) -> list[Beat]:
        """Beats of the other gates that can be used now."""
        return [n.beat for n in self._neighbours.values() if self._usable(n, now)]

    def neighbour(self, vm: str) -> Beat | None:
        """Return the latest beat of a VM, however old."""
        found = self._neighbours.get(vm)
        return found.beat if found else None

    def vm_leaving(self, vm: str) -> bool:
        """Say whether a VM leaves by the platform's word or by a drain."""
        return vm in self.leaving_vms or self.view.vm_drained(vm)

    def loads(self, now: float) -> dict[str, Load]:
        """Return this gate's own room for each service."""
        found: dict[str, Load] = {}
        for name in self.view.services:
            held, free = 0, 0
            for t in self._local(name):
                if self._open(t, now):
                    held += self.holdings.held(slot_row(t.address))
                    free += max(self._room(t, now), 0)
            queue = self._queues.get(name)
            waiting = queue.people() if queue else 0
            if held or waiting:
                mean = round(self._mean_ms.get(name, 0.0), 1)
                found[name] = Load(held, free, waiting, mean)
        return found

    def caps(self, now: float) -> dict[str, int]:
        """Return this gate's free units of each shift cap into its region."""
        return {
            row: max(self.holdings.free(row, now), 0)
            for row in self.holdings.rows
            if row.startswith("c:")
        }

    def draining(self, now: float) -> dict[str, int]:
        """Requests still in flight at targets here that are being drained."""
        found = {}
        for t in self.view.targets.values():
            if t.region != self.region or not self.view.drained(t):
                continue
            in_flight = self.targets.of(t, now).in_flight
            if in_flight:
                found[t.name] = in_flight
        return found

    # What is decided.

    def offer(self, job: Job, now: float) -> Decision | None:
        """Decide on a new job.

        Returns: the decision, or None if the job waits; `poll` tells then.
        """
        service = self.view.services.get(job.service)
        if service is None:
            return Refuse(Code.UNKNOWN_SERVICE, 0)
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
        self, job: Job, service: Service, queue: WaitQueue, now: float
    ) -> Decision | None:
        """Let a job wait if that makes sense."""
        if job.forwarded and job.home != self.region:
            return self._refuse(Code.CAP_REACHED, job, now)
        if not self._anything(service):
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

    def _shorter_queue(self, job: Job, now: float) -> Forward | None:
        """Pass a job on to wait where the wait is shorter, in this region.

        A slot is free for a shorter time than a hint is old, so under load the
        lengths of queues say more than free slots do.
        """
        if job.forwarded or job.bulk:
            return None
        mean = self._mean_ms.get(job.service, ASSUMED_MS)
        held = self._held(job.service, now)
        queue = self._queues[job.service]
        own_ms = (queue.people() + 1) * mean / held if held else MAX_RETRY_MS
        found = [
            (wait_ms, n)
            for n in self._neighbours.values()
            if n.beat.region == self.region
            and self._usable(n, now)
            and (wait_ms := self._wait_there_ms(n, job.service)) is not None
        ]
        if not found:
            return None
        picked = self._rng.sample(found, min(2, len(found)))
        wait_ms, best = min(picked, key=lambda f: f[0])
        if wait_ms + FORWARD_MARGIN_MS >= own_ms:
            return None
        best.sent[job.service] = best.sent.get(job.service, 0) + 1
        return Forward(best.beat.vm, best.beat.relay, self.region)

    def _wait_there_ms(self, n: _Neighbour, service: str) -> float | None:
        load = n.beat.loads.get(service)
        if load is None or not load.held:
            return None
        queued = load.waiting - load.free + n.sent.get(service, 0) + 1
        return max(queued, 0) * (load.mean_ms or ASSUMED_MS) / load.held

    def evictable(self, job: Job) -> Job | None:
        """Return a waiting job that should make way for one of a higher tier."""
        queue = self._queues.get(job.service)
        return None if queue is None or job.bulk else queue.lowest(job.tier)

    def evict(self, job: Job, now: float) -> Refuse | None:
        """Refuse a waiting job to make way for a higher tier."""
        if not self._queues[job.service].remove(job):
            return None
        return self._refuse(Code.SHED_BY_TIER, job, now)

    def poll(self, now: float) -> list[tuple[Job, Decision]]:
        """Decide on waiting jobs after anything changed."""
        made: list[tuple[Job, Decision]] = []
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
    ) -> list[tuple[Job, Decision]]:
        made: list[tuple[Job, Decision]] = []
        progress = True
        while progress:
            progress = False
            in_use = self._in_use.get(service.name, {})
            for job in queue.order(in_use, self._held(service.name, now)):
                decision = self._place(job, service, now)
                if decision is not None:
                    queue.pop(job)
                    made.append((job, decision))
                    progress = True
                    break
        return made

    def withdraw(self, job: Job) -> None:
        """Forget a waiting job whose caller went away."""
        queue = self._queues.get(job.service)
        if queue is not None:
            queue.remove(job)

    def done(
        self,
        job: Job,
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
            cap = self.view.caps.get((job.service, self.region))
            window_s = cap.window_ms / 1000 if cap else 0.0
            self.holdings.release(made.cap, now, window_s + cool_s)
        self.targets.of(made.target, now).in_flight -= 1
        self._in_use[job.service][job.tier.name] -= 1
        if job.bulk:
            self._bulk_in_use[job.service] -= 1
        if ok and not job.bulk:
            mean = self._mean_ms.get(job.service, took_ms)
            self._mean_ms[job.service] = mean + 0.1 * (took_ms - mean)

    def expected_wait_ms(self, job: Job, now: float) -> float:
        """Estimate how long a new job would wait in this region."""
        queue = self._queues.get(job.service)
        ahead = queue.ahead(job.tier) if queue else 0.0
        people = queue.people() if queue else 0
        # Other gates tell how many wait, not of which tier; take it as here.
        share = ahead / people if people else 1.0
        held, waiting = float(self._held_in_service(job.service)), ahead
        for n in self._neighbours.values():
            load = n.beat.loads.get(job.service)
            if load and n.beat.region == self.region and self._usable(n, now):
                held += load.held
                waiting += share * load.waiting
        mean = self._mean_ms.get(job.service, ASSUMED_MS)
        if held:
            return self._pause_ms(job.service, now) + (waiting + 1) * mean / held
        return 1000 * (ahead + 1) / self._shifts_per_s(job, mean, now)

    def _pause_ms(self, service: str, now: float) -> float:
        """Time until the first target here that is out for a moment is back."""
        pauses = [
            self.targets.of(t, now).out_until - now
            for t in self._local(service)
            if self._in_service(t)
        ]
        return 1000 * max(min(pauses, default=0.0), 0.0)

    def _held_in_service(self, service: str) -> int:
        """Slots held here, of targets that are out for a moment too."""
        return sum(
            self.holdings.held(slot_row(t.address))
            for t in self._local(service)
            if self._in_service(t)
        )

    def _shifts_per_s(self, job: Job, mean_ms: float, now: float) -> float:
        """This gate's share of what the shift caps let out of its region."""
        total = 0.0
        for region in self.view.regions:
            if region == job.home or (job.service, region) not in self.view.by_place:
                continue
            cap = self.view.caps.get((job.service, region))
            if cap is None:
                return math.inf
            total += 1000 * cap.units / (cap.window_ms + mean_ms)
        near = [n for n in self.neighbours(now) if n.region == self.region]
        return total / (1 + len(near)) or math.inf

    # How it is decided.

    def _place(self, job: Job, service: Service, now: float) -> Decision | None:
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

    def _regions(self, job: Job) -> list[str]:
        names = set(self.view.regions) | {self.region}
        return sorted(names, key=lambda r: (self.view.distance_ms(job.home, r), r))

    def _should_spill(self, job: Job, region: str, now: float) -> bool:
        """Say whether leaving a region beats waiting in it."""
        if region != job.home:
            return True
        held, waiting, mean = self._region_load(job.service, region, now)
        if held == 0:
            return True
        others = [r for r in self.view.regions if r != region]
        nearest = min((self.view.distance_ms(region, r) for r in others), default=0.0)
        return (waiting + 1) * mean / held > 2 * nearest + SPILL_MARGIN_MS

    def _region_load(
        self, service: str, region: str, now: float
    ) -> tuple[int, int, float]:
        held, waiting = 0, 0
        mean = self._mean_ms.get(service, 0.0)
        if region == self.region:
            queue = self._queues.get(service)
            held = self._held(service, now)
            waiting = queue.people() if queue else 0
        for n in self._neighbours.values():
            load = n.beat.loads.get(service)
            if load and n.beat.region == region and self._usable(n, now):
                held += load.held
                waiting += load.waiting
                mean = max(mean, load.mean_ms)
        return held, waiting, mean or ASSUMED_MS

    def _here(self, job: Job, service: Service, now: float) -> Dispatch | None:
        """Take a slot that this gate holds, and a cap unit for foreign work."""
        if job.bulk and not self._bulk_room(service, now):
            return None
        best: Target | None = None
        best_score = 0.0
        for t in self._local(job.service):
            if t.address in job.tried or not self._open(t, now):
                continue
            if self._room(t, now) <= 0:
                continue
            score = self.targets.of(t, now).score(now) * (1 + self._rng.random() / 10)
            if best is None or score < best_score:
                best, best_score = t, score
        if best is None:
            return None
        cap = ""
        if job.home != self.region and (job.service, self.region) in self.view.caps:
            cap = cap_row(job.service, self.region)
            if not self._take_cap(job, cap, now):
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

    def _take_cap(self, job: Job, row: str, now: float) -> bool:
        cap = self.view.caps[(job.service, self.region)]
        ramp = self._ramps.get(row)
        if ramp is None:
            start = cap.ramp_percent / 100
            ramp = self._ramps[row] = Ramp(start, cap.window_ms / 1000, now)
        held = self.holdings.held(row)
        used = held - self.holdings.free(row, now)
        if used >= ramp.allowed(held, now) or not self.holdings.acquire(row, now):
            return False
        ramp.use()
        return True

    def _bulk_room(self, service: Service, now: float) -> bool:
        """Bulk work takes a share of the slots, and none while people wait."""
        held = self._held(service.name, now)
        if service.work is not Work.BULK:
            held = max(1, int(held * BULK_SHARE))
        queue = self._queues.get(service.name)
        if queue is not None and queue.people():
            return False
        return self._bulk_in_use.get(service.name, 0) < held

    def _peer(self, job: Job, region: str, now: float) -> Forward | None:
        """Choose a gate with room in a region: the better of two at random."""
        row = cap_row(job.service, region)
        capped = region != job.home and (job.service, region) in self.view.caps
        found = [
            n
            for n in self._neighbours.values()
            if n.beat.region == region
            and self._usable(n, now)
            and n.free.get(job.service, 0) > 0
            and (not capped or n.caps.get(row, 0) > 0)
        ]
        if not found:
            return None
        picked = self._rng.sample(found, min(2, len(found)))
        best = max(picked, key=lambda n: n.free[job.service])
        best.free[job.service] -= 1
        if capped:
            best.caps[row] -= 1
        return Forward(best.beat.vm, best.beat.relay, region)

    def _usable(self, n: _Neighbour, now: float) -> bool:
        return (
            n.beat.state is GateState.SERVING
            and not self.vm_leaving(n.beat.vm)
            and now >= n.out_until
            and not n.peer.silent(now)
        )

    def _local(self, service: str) -> list[Target]:
        """Targets of a service of which slots are held here."""
        if self._mine_of != (self.view, self.holdings.version):
            self._mine_of = (self.view, self.holdings.version)
            self._mine = {}
        found = self._mine.get(service)
        if found is None:
            rows = self.holdings.rows
            region = self.view.by_place.get((service, self.region), [])
            found = [t for t in region if slot_row(t.address) in rows]
            self._mine[service] = found
        return found

    def _open(self, target: Target, now: float) -> bool:
        return self._in_service(target) and self.targets.of(target, now).usable(now)

    def _in_service(self, target: Target) -> bool:
        return target.vm not in self.leaving_vms and not self.view.drained(target)

    def _room(self, target: Target, now: float) -> int:
        row = slot_row(target.address)
        free = self.holdings.free(row, now)
        if free <= 0 or not target.warmup_ms:
            return free
        health = self.targets.of(target, now)
        held = self.holdings.held(row)
        allowed = health.allowance(held, target.warmup_ms / 1000, now)
        return min(free, allowed - health.in_flight)

    def _held(self, service: str, now: float) -> int:
        """Slots held here of targets that take new work."""
        return sum(
            self.holdings.held(slot_row(t.address))
            for t in self._local(service)
            if self._open(t, now)
        )

    def _anything(self, service: Service) -> bool:
        """Say whether any target is in service, be it out for a moment or not."""
        return any(
            self._in_service(t)
            for region in {*self.view.regions, self.region}
            for t in self.view.by_place.get((service.name, region), [])
        )

    def _refuse(self, code: Code, job: Job, now: float) -> Refuse:
        """Refuse with when to come back, spread so callers don't return together."""
        wait_ms = self.expected_wait_ms(job, now)
        if code is Code.CAP_REACHED:
            cap = self.view.caps.get((job.service, self.region))
            wait_ms = max(wait_ms, cap.window_ms / 4 if cap else 0.0)
        if code is Code.NO_TARGET:
            wait_ms = max(wait_ms, 1_000.0)
        spread = wait_ms * (1 + self._rng.random()) + MIN_RETRY_MS * self._rng.random()
        return Refuse(code, int(min(max(spread, MIN_RETRY_MS), MAX_RETRY_MS)))
