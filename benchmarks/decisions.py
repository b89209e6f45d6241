# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Drives the decisions on a fake clock, beside baselines on the same work.

One region: some gates, some targets, Poisson arrivals, exponential service.
No sockets and no processes: what is measured is the policy alone.

    python benchmarks/decisions.py
"""

import argparse
import json
import statistics
from collections.abc import Callable
from functools import partial
from random import Random
from typing import TypeAlias

import msgspec

from baselines import (
    WARM_S,
    Clock,
    Outcome,
    Setup,
    least_requests,
    power_of_two,
    round_robin,
    run_queue,
    run_simple,
)
from leverdoor.errors import Rejection
from leverdoor.gate.placement import Dispatch, Forward
from leverdoor.gate.queueing import QueuedRequest
from leverdoor.gate.row_units import HeldUnits
from leverdoor.gate.scheduler import Scheduler
from leverdoor.membership import ownership
from leverdoor.membership.ownership import Ack, GateProcess, Table, plan
from leverdoor.membership.peers import AgentHeartbeat, GateState
from leverdoor.model.resources import (
    Region,
    Resource,
    Service,
    Target,
    WorkClass,
    resource_key,
)
from leverdoor.storage.view import DEFAULT_TIER, ClientRegionMap, View

HOP_S = 0.001
TICK_S = 0.02
QUEUE = 10_000


Answer: TypeAlias = Callable[[bool], None]
"""Takes whether a request was served."""


class _Work(msgspec.Struct, frozen=True):
    """A request at a gate, how long its run takes, and who gets the answer."""

    request: QueuedRequest
    service_s: float
    answer: Answer


class _Gate:
    """A gate's own decisions, and the requests that wait for one."""

    def __init__(self, number: int, scheduler: Scheduler) -> None:
        self.number = number
        self.scheduler = scheduler
        self.seq = 0
        self.waiting: dict[int, _Work] = {}
        """By identity of the queued request."""


class _GateSite:
    """Gates that decide by the product's code, and forward on each other's hints."""

    def __init__(self, setup: Setup, deadline_s: float) -> None:
        self._setup = setup
        self._deadline_s = deadline_s
        self._clock, self._out = Clock(), Outcome()
        view = _view(setup)
        members = [
            GateProcess(f"vm{i}", f"g{i}", 1, f"d{i % 2}") for i in range(setup.gates)
        ]
        table = _settled_table(view, members)
        self._gates = []
        for i, m in enumerate(members):
            holdings = HeldUnits(m.gate, 1)
            holdings.apply(table, {}, -1.0)
            rng = Random(setup.rng.random())
            scheduler = Scheduler(f"vm{i}", "r", holdings, view, rng)
            self._gates.append(_Gate(i, scheduler))

    def run(self) -> Outcome:
        setup, clock = self._setup, self._clock
        for i, gate in enumerate(self._gates):
            clock.at(i * setup.hint_s / setup.gates, partial(self._hint, gate))
            clock.at(0.0, partial(self._tick, gate))
        for a in setup.arrivals:
            clock.at(a[0], partial(self._arrive, *a))
        clock.run(setup.seconds * 1.5)
        return self._out

    # Requests.

    def _arrive(self, at: float, gate: int, service_s: float) -> None:
        def answer(served: bool) -> None:
            if served:
                self._out.done(at, self._clock.now)
            elif at >= WARM_S:
                self._out.refused += 1

        request = QueuedRequest("s", DEFAULT_TIER, "r", at, at + self._deadline_s)
        self._decide(self._gates[gate], _Work(request, service_s, answer))

    def _decide(self, gate: _Gate, work: _Work) -> None:
        decision = gate.scheduler.offer(work.request, self._clock.now)
        if decision is None:
            gate.waiting[id(work.request)] = work
        else:
            self._follow(gate, work, decision)

    def _follow(self, gate: _Gate, work: _Work, decision: object) -> None:
        if isinstance(decision, Rejection):
            work.answer(False)
        elif isinstance(decision, Dispatch):
            end = partial(self._end, gate, work, decision)
            self._clock.at(self._clock.now + work.service_s, end)
        elif isinstance(decision, Forward):
            self._forward(gate, work, self._gates[int(decision.vm[2:])])

    def _end(self, gate: _Gate, work: _Work, made: Dispatch) -> None:
        took_ms = work.service_s * 1000
        gate.scheduler.done(work.request, made, self._clock.now, took_ms, True, 0.0)
        self._poll(gate)
        work.answer(True)

    def _forward(self, gate: _Gate, work: _Work, other: _Gate) -> None:
        """Send a request to another gate; if that refuses, decide again here."""

        def arrive_back(served: bool) -> None:
            if served:
                work.answer(True)
                return
            gate.scheduler.peer_gates.refused(f"vm{other.number}", "s")
            self._decide(gate, work)

        def answer(served: bool) -> None:
            back = partial(arrive_back, served)
            self._clock.at(self._clock.now + HOP_S, back)

        request = work.request
        sent = QueuedRequest(
            request.service,
            request.tier,
            request.home,
            self._clock.now,
            request.deadline,
            forwarded=True,
        )
        forwarded = _Work(sent, work.service_s, answer)
        decide = partial(self._decide, other, forwarded)
        self._clock.at(self._clock.now + HOP_S, decide)

    # Time.

    def _poll(self, gate: _Gate) -> None:
        for request, decision in gate.scheduler.poll(self._clock.now):
            work = gate.waiting.pop(id(request))
            self._follow(gate, work, decision)

    def _tick(self, gate: _Gate) -> None:
        self._poll(gate)
        self._clock.at(self._clock.now + TICK_S, partial(self._tick, gate))

    def _hint(self, gate: _Gate) -> None:
        """Send a heartbeat to all other gates."""
        gate.seq += 1
        i = gate.number
        heartbeat = AgentHeartbeat(
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
            loads=gate.scheduler.loads(self._clock.now),
        )
        for other in self._gates:
            if other is not gate:
                receive = partial(self._receive, other, heartbeat)
                self._clock.at(self._clock.now + HOP_S, receive)
        self._clock.at(self._clock.now + self._setup.hint_s, partial(self._hint, gate))

    def _receive(self, gate: _Gate, heartbeat: AgentHeartbeat) -> None:
        gate.scheduler.peer_gates.receive([heartbeat], self._clock.now)
        self._poll(gate)


def _settled_table(view: View, members: list[GateProcess]) -> Table:
    """Return the ownership table that is reached once nothing is left to move."""
    table: Table = Table("r")
    acks = {m.identity: Ack(10**9) for m in members}
    while (after := plan(table, view.specs("r"), members, acks=acks)) is not None:
        table = after
    return table


def run_leverdoor(setup: Setup, deadline_s: float = 1e9) -> Outcome:
    """Run the product's own decisions, gates forwarding on hints."""
    return _GateSite(setup, deadline_s).run()


def _view(setup: Setup) -> View:
    resources: list[Resource] = [
        Region(name="r", domains=["d0", "d1"]),
        Service(name="s", work=WorkClass.LOOKUP, queue=QUEUE),
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
    return View(1, {resource_key(r): r for r in resources}, ClientRegionMap({}))


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
