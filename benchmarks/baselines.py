# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A fake clock, the work that all policies share, and simple policies on it."""

import argparse
import heapq
import itertools
from collections.abc import Callable
from random import Random

__all__ = [
    "Clock",
    "Outcome",
    "Setup",
    "least_requests",
    "power_of_two",
    "round_robin",
    "run_queue",
    "run_simple",
]

WARM_S = 5.0


class Clock:
    """Events in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()

    def at(self, time: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._number), event))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()


class Setup:
    """What all policies share: sizes, arrivals and service times."""

    def __init__(self, args: argparse.Namespace, load: float, seed: int) -> None:
        self.gates = args.gates
        self.targets = args.targets
        self.slots = args.slots
        self.mean_s = args.mean_ms / 1000
        self.hint_s = args.hint_ms / 1000
        self.report_s = args.report_ms / 1000
        self.seconds = args.seconds
        rng = Random(seed)
        rate = load * self.targets * self.slots / self.mean_s
        self.arrivals: list[tuple[float, int, float]] = []
        at = 0.0
        while at < self.seconds:
            at += rng.expovariate(rate)
            gate = rng.randrange(self.gates)
            self.arrivals.append((at, gate, rng.expovariate(1 / self.mean_s)))
        self.rng = Random(seed + 1)


class Outcome:
    """Latencies of what arrived after the start, and what went wrong."""

    def __init__(self) -> None:
        self.took: list[float] = []
        self.refused = 0
        self.past_slots = 0

    def done(self, arrived: float, now: float) -> None:
        if arrived >= WARM_S:
            self.took.append((now - arrived) * 1000)

    def row(self) -> list[float]:
        took = sorted(self.took)
        total = len(took) + self.refused
        at = [took[int(len(took) * q)] for q in (0.5, 0.99)] if took else [0.0, 0.0]
        return [*at, 100 * self.refused / total, self.past_slots]


class Servers:
    """Targets that queue what comes beyond their slots."""

    def __init__(self, clock: Clock, setup: Setup, out: Outcome) -> None:
        self._clock, self._slots, self._out = clock, setup.slots, out
        self.in_flight = [0] * setup.targets
        self._waiting: list[list[tuple[float, Callable[[], None]]]] = [
            [] for _ in range(setup.targets)
        ]

    def send(self, target: int, service_s: float, done: Callable[[], None]) -> None:
        self.in_flight[target] += 1
        if self.in_flight[target] > self._slots:
            self._out.past_slots += 1
            self._waiting[target].append((service_s, done))
        else:
            self._start(target, service_s, done)

    def _start(self, target: int, service_s: float, done: Callable[[], None]) -> None:
        def end() -> None:
            self.in_flight[target] -= 1
            if self._waiting[target]:
                self._start(target, *self._waiting[target].pop(0))
            done()

        self._clock.at(self._clock.now + service_s, end)


def run_simple(
    setup: Setup,
    choose_factory: Callable[[Setup, Clock, Servers], Callable[[int], int]],
) -> Outcome:
    """Run a policy that sends each request to a target at once."""
    clock, out = Clock(), Outcome()
    servers = Servers(clock, setup, out)
    choose = choose_factory(setup, clock, servers)

    def arrive(at: float, gate: int, service_s: float) -> None:
        target = choose(gate)
        note = getattr(choose, "ended", lambda gate, target: None)

        def done() -> None:
            note(gate, target)
            out.done(at, clock.now)

        servers.send(target, service_s, done)

    for a in setup.arrivals:
        clock.at(a[0], lambda a=a: arrive(*a))
    clock.run(setup.seconds * 3)
    return out


def round_robin(setup: Setup, clock: Clock, servers: Servers) -> Callable[[int], int]:
    turns = [itertools.cycle(range(setup.targets)) for _ in range(setup.gates)]
    return lambda gate: next(turns[gate])


class _Least:
    """Fewest requests in flight, as far as the gate itself knows."""

    def __init__(self, setup: Setup) -> None:
        self._own = [[0] * setup.targets for _ in range(setup.gates)]
        self._rng = setup.rng

    def __call__(self, gate: int) -> int:
        own = self._own[gate]
        least = min(own)
        target = self._rng.choice([i for i, n in enumerate(own) if n == least])
        own[target] += 1
        return target

    def ended(self, gate: int, target: int) -> None:
        self._own[gate][target] -= 1


def least_requests(
    setup: Setup, clock: Clock, servers: Servers
) -> Callable[[int], int]:
    return _Least(setup)


def power_of_two(setup: Setup, clock: Clock, servers: Servers) -> Callable[[int], int]:
    """The better of two by reports that lag."""
    reports = [0] * setup.targets

    def refresh() -> None:
        reports[:] = servers.in_flight
        clock.at(clock.now + setup.report_s, refresh)

    clock.at(0.0, refresh)

    def choose(gate: int) -> int:
        pair = setup.rng.sample(range(setup.targets), 2)
        return min(pair, key=lambda t: reports[t])

    return choose


def run_queue(setup: Setup, shares: int) -> Outcome:
    """Slots in equal shares with a queue each; one share is the ideal."""
    clock, out = Clock(), Outcome()
    total = setup.targets * setup.slots
    free = [total // shares] * shares
    waiting: list[list[tuple[float, float]]] = [[] for _ in range(shares)]

    def serve(share: int) -> None:
        while free[share] and waiting[share]:
            at, service_s = waiting[share].pop(0)
            free[share] -= 1
            clock.at(clock.now + service_s, lambda at=at: end(share, at))

    def end(share: int, at: float) -> None:
        free[share] += 1
        out.done(at, clock.now)
        serve(share)

    def arrive(at: float, gate: int, service_s: float) -> None:
        waiting[gate % shares].append((at, service_s))
        serve(gate % shares)

    for a in setup.arrivals:
        clock.at(a[0], lambda a=a: arrive(*a))
    clock.run(setup.seconds * 3)
    return out
