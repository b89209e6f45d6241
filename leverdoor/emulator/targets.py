# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Emulated targets: slots, a queue, a cache of keys, and the faults of each.

State: what runs and waits at each target, and its warm keys; a crash forgets all of
it. Relies on the run's clock, and on a generator of the target's own for what it
sheds and loses.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from enum import Enum, auto
from random import Random

import msgspec

from leverdoor.emulator.clock import EmulatedClock
from leverdoor.emulator.plan import ServiceSpec
from leverdoor.entry.wire import TargetLoad, TargetReport
from leverdoor.model.resources import Target

__all__ = [
    "EmulatedAnswer",
    "EmulatedArrival",
    "EmulatedRun",
    "EmulatedTarget",
    "RunOutcome",
]


class RunOutcome(Enum):
    """How a run at a target ended."""

    ANSWERED = auto()
    SHED = auto()
    """Turned away; it did not run."""
    LOST = auto()
    """It ran, and its answer was lost."""
    UNREACHED = auto()
    """The target is down."""


class EmulatedAnswer(msgspec.Struct, frozen=True):
    """How a run ended, and what its answer reports of the target."""

    outcome: RunOutcome
    report: TargetReport = TargetReport()


class EmulatedRun(msgspec.Struct):
    """One request as a target sees it."""

    key: str
    work_s: float
    """Time of a cold run."""
    done: Callable[[EmulatedAnswer], None]
    sender: str = ""
    """The entry that sent it; "" for a call of another target."""
    arrived: float = 0.0
    """When it reached the target, in seconds of the run's clock."""


class EmulatedArrival(msgspec.Struct, frozen=True):
    """A request that reached a target, and what its answer reported."""

    sender: str
    arrived: float
    answered: float
    """Both in seconds of the run's clock."""
    leaving: bool
    rest_s: float


class EmulatedTarget:
    """One target."""

    def __init__(
        self, target: Target, service: ServiceSpec, clock: EmulatedClock, rng: Random
    ) -> None:
        """Create it, empty and cold-cached."""
        self.target = target
        self._service = service
        self._clock = clock
        self._rng = rng
        self._running: list[EmulatedRun] = []
        self._queue: deque[EmulatedRun] = deque()
        self._warm: OrderedDict[str, None] = OrderedDict()
        self.sheds = 0.0
        """Share of the requests that it turns away whatever its load."""
        self.loses = 0.0
        """Share of the answers that it loses."""
        self.slow_x = 1.0
        """Factor on the time of its runs."""
        self.cold_runs = 0
        self.runs = 0
        self._down = False
        self.leaving = False
        """Its answers say that it leaves."""
        self.rest_s = 0.0
        """It turns all requests away and asks for so much rest; 0 for neither."""
        self.full_rest_s = 0.0
        """Rest that it asks for while its queue is full, in seconds; 0 for none."""
        self.arrivals: list[EmulatedArrival] = []
        """Requests that it answered since it first left or asked for rest."""

    @property
    def load(self) -> TargetLoad:
        """What it reports."""
        return TargetLoad(len(self._running), len(self._queue), self.target.slots)

    def keeps(self, key: str) -> bool:
        """Return whether a key is warm."""
        return key in self._warm

    def take(self, run: EmulatedRun) -> None:
        """Run a request, queue it, or turn it away."""
        if self._down:
            run.done(EmulatedAnswer(RunOutcome.UNREACHED))
            return
        run.arrived = self._clock.now
        full = len(self._running) >= self.target.slots
        if self._rng.random() < self.sheds or self.rest_s > 0.0:
            self._answer(run, RunOutcome.SHED, self.rest_s)
            return
        if full and len(self._queue) >= self._service.queue:
            self._answer(run, RunOutcome.SHED, self.full_rest_s)
            return
        if full:
            self._queue.append(run)
            return
        self._start(run)

    def crash(self) -> None:
        """Go down; what runs is lost, what waits was not run but nothing says so."""
        self._down = True
        self._warm.clear()
        ended = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for run in ended:
            run.done(EmulatedAnswer(RunOutcome.LOST))

    def restart(self) -> None:
        """Come back with an empty cache."""
        self._down = False

    def _start(self, run: EmulatedRun) -> None:
        self._running.append(run)
        self.runs += 1
        takes_s = run.work_s * self.slow_x
        if run.key in self._warm:
            takes_s *= self._service.warm_x
            self._warm.move_to_end(run.key)
        else:
            self.cold_runs += 1
            self._warm[run.key] = None
            if len(self._warm) > self._service.keeps:
                self._warm.popitem(last=False)
        self._clock.after(takes_s, lambda: self._end(run))

    def _end(self, run: EmulatedRun) -> None:
        if run not in self._running:
            return
        self._running.remove(run)
        lost = self._rng.random() < self.loses
        load = self.load
        if self._queue:
            self._start(self._queue.popleft())
        if lost:
            run.done(EmulatedAnswer(RunOutcome.LOST))
        else:
            self._answer(run, RunOutcome.ANSWERED, 0.0, load)

    def _answer(
        self,
        run: EmulatedRun,
        outcome: RunOutcome,
        rest_s: float,
        load: TargetLoad | None = None,
    ) -> None:
        """Answer a request, with a report of the target."""
        if self.arrivals or self.leaving or rest_s:
            now = self._clock.now
            self.arrivals.append(
                EmulatedArrival(run.sender, run.arrived, now, self.leaving, rest_s)
            )
        not_run = outcome is RunOutcome.SHED
        report = TargetReport(not_run, self.leaving, rest_s or None, load)
        run.done(EmulatedAnswer(outcome, report))
