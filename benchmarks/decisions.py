# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Drives the decisions on a fake clock, beside baselines on the same work.

One region: some gates, some targets, Poisson arrivals, exponential service.
No sockets and no processes: what is measured is the policy alone.

    python benchmarks/decisions.py
"""

import argparse
import heapq
import itertools
import json
import statistics
from collections.abc import Callable
from random import Random

from leverdoor import ownership
from leverdoor.holdings import Holdings
from leverdoor.ownership import Ack, Member, Table, plan
from leverdoor.peers import Beat, GateState
from leverdoor.queueing import Job
from leverdoor.resources import Region, Resource, Service, Target, Work, resource_key
from leverdoor.scheduler import Dispatch, Forward, Refuse, Scheduler
from leverdoor.view import DEFAULT_TIER, BlockMap, View

HOP_S = 0.001
TICK_S = 0.02
QUEUE = 10_000
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


class _Gate:
    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.seq = 0
        self.waiting: dict[int, tuple[Job, Callable[..., None]]] = {}


def run_leverdoor(setup: Setup, deadline_s: float = 1e9) -> Outcome:
    """Run the product's own decisions, gates forwarding on hints."""
    clock, out = Clock(), Outcome()
    view = _view(setup)
    members = [Member(f"vm{i}", f"g{i}", 1, f"d{i % 2}") for i in range(setup.gates)]
    table: Table = Table("r")
    acks = {m.identity: Ack(10**9) for m in members}
    while (after := plan(table, view.specs("r"), members, acks=acks)) is not None:
        table = after
    gates = []
    for i, m in enumerate(members):
        holdings = Holdings(m.gate, 1)
        holdings.apply(table, {}, -1.0)
        rng = Random(setup.rng.random())
        gates.append(_Gate(Scheduler(f"vm{i}", "r", holdings, view, rng)))

    def decide(
        i: int, job: Job, service_s: float, answer: Callable[[bool], None]
    ) -> None:
        def act(decision: object) -> None:
            follow(i, job, service_s, decision, answer)

        decision = gates[i].scheduler.offer(job, clock.now)
        if decision is None:
            gates[i].waiting[id(job)] = (job, act)
        else:
            act(decision)

    def follow(
        i: int,
        job: Job,
        service_s: float,
        decision: object,
        answer: Callable[[bool], None],
    ) -> None:
        if isinstance(decision, Refuse):
            answer(False)
        elif isinstance(decision, Dispatch):
            made = decision

            def end() -> None:
                gates[i].scheduler.done(
                    job, made, clock.now, service_s * 1000, True, 0.0
                )
                poll(i)
                answer(True)

            clock.at(clock.now + service_s, end)
        elif isinstance(decision, Forward):
            other = int(decision.vm[2:])
            sent = Job(
                job.service, job.tier, job.home, clock.now, job.deadline, forwarded=True
            )

            def back(served: bool) -> None:
                def arrive_back() -> None:
                    if served:
                        answer(True)
                    else:
                        gates[i].scheduler.neighbours.refused(f"vm{other}", "s")
                        decide(i, job, service_s, answer)

                clock.at(clock.now + HOP_S, arrive_back)

            clock.at(clock.now + HOP_S, lambda: decide(other, sent, service_s, back))

    def poll(i: int) -> None:
        for job, decision in gates[i].scheduler.poll(clock.now):
            _, act = gates[i].waiting.pop(id(job))
            act(decision)

    def hint(i: int) -> None:
        gate = gates[i]
        gate.seq += 1
        beat = Beat(
            f"vm{i}",
            "r",
            f"d{i % 2}",
            "",
            "",
            1,
            gate.seq,
            gate=f"g{i}",
            relay=f"g{i}",
            incarnation=1,
            state=GateState.SERVING,
            loads=gate.scheduler.loads(clock.now),
        )
        for j in range(setup.gates):
            if j != i:
                clock.at(clock.now + HOP_S, lambda j=j: heard(j, beat))
        clock.at(clock.now + setup.hint_s, lambda: hint(i))

    def heard(j: int, beat: Beat) -> None:
        gates[j].scheduler.neighbours.hear([beat], clock.now)
        poll(j)

    def tick(i: int) -> None:
        poll(i)
        clock.at(clock.now + TICK_S, lambda: tick(i))

    def arrive(at: float, gate: int, service_s: float) -> None:
        def answer(served: bool) -> None:
            if served:
                out.done(at, clock.now)
            elif at >= WARM_S:
                out.refused += 1

        job = Job("s", DEFAULT_TIER, "r", at, at + deadline_s)
        decide(gate, job, service_s, answer)

    for i in range(setup.gates):
        clock.at(i * setup.hint_s / setup.gates, lambda i=i: hint(i))
        clock.at(0.0, lambda i=i: tick(i))
    for a in setup.arrivals:
        clock.at(a[0], lambda a=a: arrive(*a))
    clock.run(setup.seconds * 1.5)
    return out


def _view(setup: Setup) -> View:
    resources: list[Resource] = [
        Region(name="r", domains=["d0", "d1"]),
        Service(name="s", work=Work.LOOKUP, queue=QUEUE),
    ]
    for i in range(setup.targets):
        resources.append(
            Target(
                name=f"t{i}",
                service="s",
                region="r",
                domain=f"d{i % 2}",
                address=f"127.0.0.1:{i + 1}",
                slots=setup.slots,
            )
        )
    return View(1, {resource_key(r): r for r in resources}, BlockMap({}))


def leverdoor_with(holders: int) -> Callable[[Setup], Outcome]:
    """The product's decisions with a number of holders for each target."""

    def run(setup: Setup) -> Outcome:
        before = ownership.RowSpec.__struct_defaults__
        specs = View.specs
        View.specs = lambda view, region: {  # type: ignore[method-assign]
            n: ownership.RowSpec(s.capacity, holders)
            for n, s in specs(view, region).items()
        }
        try:
            return run_leverdoor(setup)
        finally:
            View.specs = specs  # type: ignore[method-assign]
            assert ownership.RowSpec.__struct_defaults__ == before

    return run


POLICIES: dict[str, Callable[[Setup], Outcome]] = {
    "one shared queue (ideal)": lambda s: run_queue(s, 1),
    "static 1/N": lambda s: run_queue(s, s.gates),
    "round robin": lambda s: run_simple(s, round_robin),
    "least requests (own)": lambda s: run_simple(s, least_requests),
    "power of two, lagging reports": lambda s: run_simple(s, power_of_two),
    "leverdoor, 1 holder": leverdoor_with(1),
    "leverdoor, 2 holders": leverdoor_with(2),
    "leverdoor, all hold": leverdoor_with(0),
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gates", type=int, default=4)
    parser.add_argument("--targets", type=int, default=8)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--mean-ms", type=float, default=20.0)
    parser.add_argument("--hint-ms", type=float, default=100.0)
    parser.add_argument("--report-ms", type=float, default=1000.0)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.5, 0.8, 0.95])
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    print("| policy | load | p50 ms | p99 ms (least to most) | past slots |")
    print("|---|---|---|---|---|")
    for load in args.loads:
        for name in args.policies:
            rows = [
                POLICIES[name](Setup(args, load, seed)).row()
                for seed in range(args.seeds)
            ]
            p50 = statistics.mean(r[0] for r in rows)
            p99s = sorted(r[1] for r in rows)
            past = sum(int(r[3]) for r in rows)
            if args.json:
                print(json.dumps([name, load, rows]))
                continue
            mean = statistics.mean(p99s)
            spread = f"{mean:.0f} ({p99s[0]:.0f} to {p99s[-1]:.0f})"
            print(
                f"| {name} | {load:.0%} | {p50:.1f} | {spread} | {past} |", flush=True
            )


if __name__ == "__main__":
    main()
