# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Drives the entry's placement on a fake clock, beside other rules.

Regions with unequal targets whose loads peak one after the other; entries that
see only what heartbeats and answers tell them, late; targets that keep the last
keys warm, have slots and a bounded queue, and shed what is beyond it. No
sockets and no processes: what is measured is the policy alone.

    python benchmarks/placement.py --seconds 40 --seeds 3
"""

import argparse
import heapq
import math
import statistics
from collections import OrderedDict, deque
from collections.abc import Callable
from random import Random

import msgspec

from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.placement import spill
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.placement.tuning import PRODUCTION, Tuning
from leverdoor.entry.wire import TargetLoad
from leverdoor.model.resources import (
    Region,
    Resource,
    Route,
    Service,
    Target,
    WorkClass,
)

REGIONS = ("a", "b", "c")
SLOTS = 9
QUEUE = 27
WORK_S = 0.64
WARM_SHARE = 0.3
WARM_KEYS = 53
KEYS = 98
AIM_S = 0.5
DEADLINE_S = 3.0
HOP_S = 0.035
HEARTBEAT_S = 0.1
SHARE_S = 0.3
SWING = 0.55
PERIOD_S = 36.0
LATE_WORTH = 0.2


class Plan(msgspec.Struct, frozen=True):
    """One deployment and its load."""

    rate: float
    """Requests a second of each region, on average."""
    targets: dict[str, int]
    entries: int = 4
    """Entries of each region."""
    seconds: float = 40.0


class Result(msgspec.Struct):
    """What became of the requests."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    shed: int = 0
    cold: int = 0
    most_moved: float = 0.0
    latencies: list[float] = []

    @property
    def worth(self) -> float:
        """Share of the full price that was earned."""
        return (self.in_time + LATE_WORTH * self.late) / max(self.asked, 1)


class Clock:
    """Runs what is due, in order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def at(self, when: float, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._due, (when, self._count, act))

    def run(self, until: float) -> None:
        while self._due and self._due[0][0] <= until:
            self.now, _, act = heapq.heappop(self._due)
            act()


class ModelTarget:
    """Slots, a bounded queue, and the keys that were seen last."""

    def __init__(self, target: Target, clock: Clock, rng: Random) -> None:
        self.target = target
        self.running = 0
        self.cold_runs = 0
        self._clock = clock
        self._rng = rng
        self._queue: deque[tuple[str, Callable[[], None]]] = deque()
        self._warm: OrderedDict[str, None] = OrderedDict()

    @property
    def load(self) -> TargetLoad:
        return TargetLoad(self.running, len(self._queue), SLOTS)

    def take(self, key: str, done: Callable[[], None]) -> bool:
        """Run or queue a request; False when it is shed."""
        if self.running >= SLOTS:
            if len(self._queue) >= QUEUE:
                return False
            self._queue.append((key, done))
            return True
        self._run(key, done)
        return True

    def _run(self, key: str, done: Callable[[], None]) -> None:
        self.running += 1
        work = WORK_S * self._rng.lognormvariate(0.0, 0.15)
        if key in self._warm:
            work *= WARM_SHARE
            self._warm.move_to_end(key)
        else:
            self.cold_runs += 1
            self._warm[key] = None
            if len(self._warm) > WARM_KEYS:
                self._warm.popitem(last=False)

        def end() -> None:
            self.running -= 1
            done()
            if self._queue:
                self._run(*self._queue.popleft())

        self._clock.at(self._clock.now + work, end)


class World:
    """All targets and entries, and the requests that come."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.clock = Clock()
        self.rng = Random(seed)
        self.result = Result(latencies=[])
        self.resources = _resources(plan)
        self.targets = {
            r.name: ModelTarget(r, self.clock, Random(self.rng.random()))
            for r in self.resources
            if isinstance(r, Target)
        }
        self.catalog = Catalog(1, "1", self.resources)
        self.owned = Catalog(1, "1", _owned(self.resources, plan.entries))
        """Each target with the slots that one entry of its region owns."""
        self.fleet = Fleet()
        """The counts of all entries together, without any delay."""
        self._served: dict[tuple[str, int], dict[str, int]] = {}

    def note(self, home: str, region: str) -> None:
        """Count where a request ran, by windows of two seconds."""
        window = self._served.setdefault((home, int(self.clock.now / 2)), {})
        window[region] = window.get(region, 0) + 1

    def most_moved(self) -> float:
        """Return the largest share that changed region between two windows."""
        most = 0.0
        for (home, window), after in self._served.items():
            before = self._served.get((home, window - 1))
            if before is None or min(sum(before.values()), sum(after.values())) < 100:
                continue
            moved = sum(
                abs(
                    after.get(r, 0) / sum(after.values())
                    - before.get(r, 0) / sum(before.values())
                )
                for r in REGIONS
            )
            most = max(most, moved / 2)
        return most


class Entry:
    """One entry with the product's own decisions."""

    def __init__(self, world: World, region: str, name: str, rule: "Rule") -> None:
        self.name = name
        self.region = region
        self.world = world
        self.fleet = world.fleet if rule.exact else Fleet()
        rng = Random(world.rng.random())
        self.placement = PlacementPolicy(
            region, region + "1", self.fleet, rng, rule.move_per_s, rule.tuning
        )
        self.placement.renew(world.owned if rule.owned else world.catalog)
        self._hears_load = not (rule.exact or rule.owned)

    def serve(self, asked: PlacementRequest) -> None:
        """Place a request, and again once if a target sheds it."""
        clock, result = self.world.clock, self.world.result
        decision = self.placement.place(asked, clock.now)
        if not isinstance(decision, Placement):
            result.refused += 1
            return
        chosen = decision
        asked.tried.add(chosen.target.name)
        model = self.world.targets[chosen.target.name]
        hop = 0.0 if chosen.target.region == self.region else HOP_S
        began = clock.now

        def answered() -> None:
            load = model.load
            clock.at(clock.now + hop, lambda: self._end(asked, chosen, began, load))

        def arrive() -> None:
            if model.take(asked.key, answered):
                self.world.note(self.region, chosen.target.region)
                return
            result.shed += 1
            self.placement.ended(chosen, clock.now)
            self.fleet.of(chosen.target, clock.now).refused(clock.now)
            if len(asked.tried) < 2:
                self.serve(asked)
            else:
                result.refused += 1

        clock.at(clock.now + hop, arrive)

    def _end(
        self, asked: PlacementRequest, chosen: Placement, began: float, load: TargetLoad
    ) -> None:
        now = self.world.clock.now
        self.placement.ended(chosen, now)
        if self._hears_load:
            self.fleet.of(chosen.target, now).reported(load, now)
        self.placement.answered(asked, chosen, (now - began) * 1000, 400, now)
        took = now - asked.arrived
        self.world.result.latencies.append(took)
        if took <= AIM_S:
            self.world.result.in_time += 1
        elif took <= DEADLINE_S:
            self.world.result.late += 1


class Rule(msgspec.Struct, frozen=True):
    """The product's constants changed, or what entries tell left out."""

    cold_room: float = PRODUCTION.cold_room
    least_wait_share: float = PRODUCTION.least_wait_share
    move_per_s: float = spill.MOVE_PER_S
    blind: bool = False
    targets: int = PRODUCTION.targets_a_key
    exact: bool = False
    """All entries see one count without delay: the best that ownership could do."""
    owned: bool = False
    """Each entry owns an equal part of its region's slots and hears nothing."""

    @property
    def tuning(self) -> Tuning:
        """What the product's decisions take."""
        return Tuning(
            targets_a_key=self.targets,
            cold_room=self.cold_room,
            least_wait_share=self.least_wait_share,
        )


def run(plan: Plan, seed: int, rule: Rule) -> Result:
    """Play one run under a rule."""
    world = World(plan, seed)
    entries = [
        Entry(world, region, f"{region}-{i}", rule)
        for region in REGIONS
        for i in range(plan.entries)
    ]
    route = next(r for r in world.resources if isinstance(r, Route))

    def heartbeat() -> None:
        for one in entries:
            counts = one.fleet.in_flight()
            for other in entries:
                near = other.region == one.region
                if (
                    other is not one
                    and not (rule.blind or rule.exact or rule.owned)
                    and (near or world.rng.random() < 0.25)
                ):
                    delay = 0.001 if near else HOP_S
                    world.clock.at(
                        world.clock.now + delay,
                        lambda o=other, n=one.name, c=counts: o.fleet.receive(  # type: ignore[misc]
                            n, c, world.clock.now
                        ),
                    )
        world.clock.at(world.clock.now + HEARTBEAT_S, heartbeat)

    def shares() -> None:
        for one in entries:
            told = [
                o.placement.shares.reported()
                for o in entries
                if o is not one and o.region == one.region
            ]
            one.placement.shares.update(told, world.clock.now)
        world.clock.at(world.clock.now + SHARE_S, shares)

    def arrive(region: str) -> None:
        now = world.clock.now
        phase = REGIONS.index(region) / len(REGIONS)
        wave = 1 + SWING * math.sin(2 * math.pi * (now / PERIOD_S + phase))
        key = f"{region}{world.rng.randrange(KEYS)}"
        world.result.asked += 1
        asked = PlacementRequest("", route, "s", key, "1", now, now + DEADLINE_S)
        world.rng.choice([e for e in entries if e.region == region]).serve(asked)
        gap = world.rng.expovariate(plan.rate * wave)
        world.clock.at(now + gap, lambda: arrive(region))

    heartbeat()
    shares()
    for region in REGIONS:
        arrive(region)
    world.clock.run(plan.seconds)
    world.result.cold = sum(t.cold_runs for t in world.targets.values())
    world.result.most_moved = world.most_moved()
    return world.result


def _resources(plan: Plan) -> list[Resource]:
    found: list[Resource] = [
        Region(name=r, domains=[f"{r}1", f"{r}2"]) for r in REGIONS
    ]
    found.append(Service(name="s", work=WorkClass.ONCE))
    found.append(
        Route(
            name="r",
            host="h",
            prefix="/",
            work=WorkClass.LOOKUP,
            services={"s": 1.0},
            target_latency_ms=round(AIM_S * 1000),
            affinity=True,
        )
    )
    for region, count in plan.targets.items():
        for i in range(count):
            found.append(
                Target(
                    name=f"{region}-{i}",
                    service="s",
                    region=region,
                    domain=f"{region}{1 + i % 2}",
                    address=f"10.0.0.{i + 1}:80",
                    slots=SLOTS,
                )
            )
    return found


def _owned(resources: list[Resource], entries: int) -> list[Resource]:
    return [
        msgspec.structs.replace(r, slots=max(r.slots // entries, 1))
        if isinstance(r, Target)
        else r
        for r in resources
    ]


RULES = {
    "product": Rule(),
    "entries tell nothing": Rule(blind=True),
    "unseen keys anywhere": Rule(cold_room=99.0),
    "queues at targets": Rule(least_wait_share=4.0),
    "shares never move": Rule(move_per_s=0.0),
    "exact counts": Rule(exact=True),
    "slots owned by a region's entries": Rule(owned=True),
    "one target a key": Rule(targets=1),
    "six targets a key": Rule(targets=6),
    "six targets a key, unseen or not": Rule(targets=6, cold_room=99.0),
}


def main() -> None:
    """Print one table for each load."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--rule", choices=sorted(RULES), default="")
    parser.add_argument("--rates", type=float, nargs="*", default=[132.0, 180.0, 240.0])
    given = parser.parse_args()
    print("| rate | rule | worth | p50 ms | p99 ms | refused | shed | cold | moved |")
    print("|---|---|---|---|---|---|---|---|---|")
    for rate in given.rates:
        plan = Plan(rate, {"a": 10, "b": 12, "c": 2}, seconds=given.seconds)
        for name, rule in RULES.items():
            if given.rule and name != given.rule:
                continue
            runs = [run(plan, seed, rule) for seed in range(given.seeds)]
            _print(rate, name, runs)


def _print(rate: float, name: str, runs: list[Result]) -> None:
    def mean(of: Callable[[Result], float]) -> float:
        return statistics.mean(of(r) for r in runs)

    def quantile(r: Result, share: float) -> float:
        ordered = sorted(r.latencies)
        return 1000 * ordered[int(share * (len(ordered) - 1))]

    worths = [r.worth for r in runs]
    print(
        f"| {rate:.0f} | {name} | {mean(lambda r: r.worth):.3f}"
        f" ({min(worths):.3f}-{max(worths):.3f})"
        f" | {mean(lambda r: quantile(r, 0.5)):.0f}"
        f" | {mean(lambda r: quantile(r, 0.99)):.0f}"
        f" | {mean(lambda r: r.refused / r.asked):.3f}"
        f" | {mean(lambda r: r.shed):.0f}"
        f" | {mean(lambda r: r.cold / r.asked):.3f}"
        f" | {mean(lambda r: r.most_moved):.2f} |",
        flush=True,
    )


if __name__ == "__main__":
    main()
