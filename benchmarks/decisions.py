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
from random import Random

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
from leverdoor.gate.holdings import Holdings
from leverdoor.gate.placement import Dispatch, Forward
from leverdoor.gate.queueing import QueuedRequest
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
from leverdoor.storage.view import DEFAULT_TIER, BlockMap, View

HOP_S = 0.001
TICK_S = 0.02
QUEUE = 10_000


class _Gate:
    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.seq = 0
        self.waiting: dict[int, tuple[QueuedRequest, Callable[..., None]]] = {}


def run_leverdoor(setup: Setup, deadline_s: float = 1e9) -> Outcome:
    """Run the product's own decisions, gates forwarding on hints."""
    clock, out = Clock(), Outcome()
    view = _view(setup)
    members = [
        GateProcess(f"vm{i}", f"g{i}", 1, f"d{i % 2}") for i in range(setup.gates)
    ]
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
        i: int, job: QueuedRequest, service_s: float, answer: Callable[[bool], None]
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
        job: QueuedRequest,
        service_s: float,
        decision: object,
        answer: Callable[[bool], None],
    ) -> None:
        if isinstance(decision, Rejection):
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
            sent = QueuedRequest(
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
            loads=gate.scheduler.loads(clock.now),
        )
        for j in range(setup.gates):
            if j != i:
                clock.at(clock.now + HOP_S, lambda j=j: receive_heartbeat(j, heartbeat))
        clock.at(clock.now + setup.hint_s, lambda: hint(i))

    def receive_heartbeat(j: int, heartbeat: AgentHeartbeat) -> None:
        gates[j].scheduler.neighbours.receive([heartbeat], clock.now)
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

        job = QueuedRequest("s", DEFAULT_TIER, "r", at, at + deadline_s)
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
