# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One emulated run: clients, entries and targets on a fake clock."""

import math
from random import Random

from leverdoor.emulator.clock import Clock
from leverdoor.emulator.entries import EmulatedEntry, Reply, Work
from leverdoor.emulator.exact import ExactFleet
from leverdoor.emulator.plan import Experiment, Load, Trouble, TroubleKind
from leverdoor.emulator.results import Result
from leverdoor.emulator.targets import EmulatedTarget, Outcome, Run
from leverdoor.entry.catalog import Catalog
from leverdoor.entry.membership import HEARTBEAT_S, Heartbeat, Member
from leverdoor.entry.requests import PlacementRequest
from leverdoor.model.resources import Region, Resource, Route, Service, Target
from leverdoor.model.resources import Work as WorkClass

__all__ = ["play"]

CLIENT_MS = 3.0
"""One way between a client and its entry, in ms; as on the utility's site."""
RESTART_S = 1.0
"""How long an entry that ends is away, in seconds; chosen."""
LEAST_RETRY_S = 0.02
"""Least pause before a client comes back, in seconds; chosen."""
RETRY_SHARE = 1 / 3
"""Part of the time left that a client is willing to wait before it comes back."""


def play(experiment: Experiment, seed: int) -> Result:
    """Play an experiment once.

    Each part draws from a generator of its own, so that a change of policy does not
    reshuffle the load or the troubles.
    """
    world = _World(experiment, seed)
    world.run()
    return world.result


class _World:
    """Everything of one run."""

    def __init__(self, experiment: Experiment, seed: int) -> None:
        self.experiment = experiment
        self.seed = seed
        self.clock = Clock()
        self.result = Result(experiment.seconds)
        self._targets = self._make_targets()
        self._catalog = Catalog(1, "1", self._resources())
        self._entries = self._make_entries()
        self._by_address = {e.member.gossip: e for e in self._entries}
        self._away: set[str] = set()
        """Names of the entries that are not running."""
        self._burst_x = 1.0
        self._heartbeat_rng = self._rng("heartbeats")

    def _rng(self, part: str) -> Random:
        """Return the generator of one part."""
        return Random(f"{self.seed}/{part}")

    def run(self) -> None:
        """Play it to its end."""
        self._tell_store()
        rng = self._rng("phases")
        for entry in self._entries:
            self.clock.at(rng.random() * HEARTBEAT_S, lambda e=entry: self._beat(e))  # type: ignore[misc]
        for load in self.experiment.load:
            for place, region in enumerate(self.experiment.site.entries):
                _Clients(self, load, region, place).start()
        for number, trouble in enumerate(self.experiment.trouble):
            _Strike(self, trouble, self._rng(f"trouble {number}")).plan()
        self.clock.run(self.experiment.seconds)
        self.result.cold_runs = sum(t.cold_runs for t in self._targets.values())
        self.result.runs = sum(t.runs for t in self._targets.values())
        self.result.repeats = sum(e.repeats for e in self._entries)
        self.result.heartbeat_bytes = sum(e.heartbeat_bytes for e in self._entries)

    # Parts.

    def _make_targets(self) -> dict[str, EmulatedTarget]:
        found = {}
        for service in self.experiment.service:
            for region, count in service.targets.items():
                for i in range(count):
                    target = Target(
                        name=f"{service.name}-{region}-{i}",
                        service=service.name,
                        region=region,
                        domain=self._domain(region, i),
                        address="10.0.0.1:80",
                        slots=service.slots,
                    )
                    rng = self._rng(target.name)
                    emulated = EmulatedTarget(target, service, self.clock, rng)
                    found[target.name] = emulated
        return found

    def _domain(self, region: str, number: int) -> str:
        return f"{region}{number % self.experiment.site.domains + 1}"

    def _resources(self) -> list[Resource]:
        site = self.experiment.site
        domains = {
            r: [self._domain(r, i) for i in range(site.domains)] for r in site.entries
        }
        found: list[Resource] = [Region(name=r, domains=d) for r, d in domains.items()]
        found += [
            Service(name=s.name, work=WorkClass.ONCE, warmup_per_s=s.warmup_per_s)
            for s in self.experiment.service
        ]
        found += [_route(load) for load in self.experiment.load]
        found += [t.target for t in self._targets.values()]
        return found

    def _make_entries(self) -> list[EmulatedEntry]:
        found = []
        shared = ExactFleet(self._targets) if self.experiment.knows_all else None
        number = 0
        for region, count in self.experiment.site.entries.items():
            for i in range(count):
                number += 1
                address = f"10.0.{number // 250}.{number % 250}:7200"
                name = f"{region}-{i}"
                domain = self._domain(region, i)
                member = Member(name, region, domain, address, address, address, 0)
                rng = self._rng(name)
                entry = EmulatedEntry(
                    member, self.experiment, self.clock, rng, self._targets, shared
                )
                found.append(entry)
        return found

    def _tell_store(self) -> None:
        members = [e.member for e in self._entries]
        for entry in self._entries:
            entry.renew(self._catalog, members)

    # Heartbeats.

    def _beat(self, entry: EmulatedEntry) -> None:
        if entry.member.name not in self._away:
            entry.beat(lambda beat, to: self._send(entry, beat, to))
        self.clock.after(HEARTBEAT_S, lambda: self._beat(entry))

    def _send(self, entry: EmulatedEntry, heartbeat: Heartbeat, to: list[str]) -> None:
        site = self.experiment.site
        for address in to:
            other = self._by_address[address]
            if self._heartbeat_rng.random() < site.heartbeat_loss:
                continue
            near = other.member.region == entry.member.region
            delay_ms = site.domain_ms if near else site.region_ms
            self.clock.after(
                delay_ms / 1000,
                lambda o=other: self._deliver(o, heartbeat),  # type: ignore[misc]
            )

    def _deliver(self, entry: EmulatedEntry, heartbeat: Heartbeat) -> None:
        if entry.member.name not in self._away:
            entry.hear(heartbeat)

    # What clients see.

    @property
    def burst_x(self) -> float:
        """Factor on the rate of all clients."""
        return self._burst_x

    @burst_x.setter
    def burst_x(self, x: float) -> None:
        self._burst_x = x

    def entry_for(self, region: str, rng: Random) -> EmulatedEntry | None:
        """Choose an entry as the directory would, or none if all are away."""
        running = [e for e in self._entries if e.member.name not in self._away]
        near = [e for e in running if e.member.region == region]
        return rng.choice(near or running) if running else None

    def call(self, service: str, key: str, work_s: float, rng: Random) -> None:
        """Let a run's call strike a target of another service directly."""
        choices = [t for t in self._targets.values() if t.target.service == service]
        run = Run(key, work_s, _ignore)
        rng.choice(choices).take(run)

    # Troubles.

    def struck_targets(self, trouble: Trouble, rng: Random) -> list[EmulatedTarget]:
        """Choose the targets that a trouble strikes."""
        fitting = [
            t
            for t in self._targets.values()
            if not trouble.service or t.target.service == trouble.service
        ]
        return rng.sample(fitting, math.ceil(trouble.share * len(fitting)))

    def restart_entries(self, trouble: Trouble, rng: Random) -> None:
        """End some entries, which start again knowing nothing."""
        count = math.ceil(trouble.share * len(self._entries))
        for entry in rng.sample(self._entries, count):
            self._away.add(entry.member.name)
            self.clock.after(RESTART_S, lambda e=entry: self._start_again(e))  # type: ignore[misc]

    def _start_again(self, entry: EmulatedEntry) -> None:
        entry.start()
        entry.renew(self._catalog, [e.member for e in self._entries])
        self._away.discard(entry.member.name)


class _Clients:
    """The clients of one route in one region."""

    def __init__(self, world: _World, load: Load, region: str, place: int) -> None:
        self._world = world
        self._load = load
        self._region = region
        self._phase = place / len(world.experiment.site.entries)
        self._route = _route(load)
        self._rng = world._rng(f"clients {load.name} {region}")
        self._work_rng = world._rng(f"work {load.name} {region}")
        self._entry_rng = world._rng(f"directory {load.name} {region}")
        self._number = 0

    def start(self) -> None:
        """Let the first request come."""
        self._world.clock.after(self._gap_s(), self._arrive)

    def _gap_s(self) -> float:
        load = self._load
        turn = 2 * math.pi * (self._world.clock.now / load.period_s + self._phase)
        rate = load.rate * (1 + load.swing * math.sin(turn)) * self._world.burst_x
        return self._rng.expovariate(max(rate, 1e-6))

    def _arrive(self) -> None:
        load = self._load
        self._number += 1
        key = f"{self._region}-{load.name}-{self._rng.randrange(load.keys)}"
        spread = math.exp(load.spread * self._work_rng.gauss(0.0, 1.0))
        work_s = load.work_ms / 1000 * spread
        _Call(self, key, work_s).send()
        for service in load.calls:
            self._world.call(service, key, work_s, self._work_rng)
        self._world.clock.after(self._gap_s(), self._arrive)

    @property
    def world(self) -> _World:
        """The run."""
        return self._world

    @property
    def load(self) -> Load:
        """What they ask for."""
        return self._load

    @property
    def route(self) -> Route:
        """The route of their requests."""
        return self._route

    def entry(self) -> EmulatedEntry | None:
        """Choose an entry."""
        return self._world.entry_for(self._region, self._entry_rng)


class _Call:
    """One request of a client, with its retries."""

    def __init__(self, clients: _Clients, key: str, work_s: float) -> None:
        self._clients = clients
        self._key = key
        self._work_s = work_s
        self._began = clients.world.clock.now
        self._tries = 0

    def send(self) -> None:
        """Send it to an entry."""
        world = self._clients.world
        entry = self._clients.entry()
        if entry is None:
            self._end("failed", 0.0)
            return
        self._tries += 1
        arrives = world.clock.now + CLIENT_MS / 1000
        load = self._clients.load
        until = self._began + load.deadline_ms / 1000
        if load.timeout_ms:
            until = min(until, arrives + load.timeout_ms / 1000)
        request = PlacementRequest(
            request_id="",
            route=self._clients.route,
            service=load.service,
            key=self._key,
            version="1",
            arrived=arrives,
            until=until,
        )
        work = Work(request, self._work_s)
        world.clock.at(arrives, lambda: entry.serve(work, self._replied))

    def _replied(self, reply: Reply) -> None:
        self._clients.world.clock.after(CLIENT_MS / 1000, lambda: self._take(reply))

    def _take(self, reply: Reply) -> None:
        world = self._clients.world
        load = self._clients.load
        took_ms = (world.clock.now - self._began) * 1000
        if reply.refusal is None:
            in_time = took_ms <= load.target_latency_ms
            earned = load.worth * (1.0 if in_time else load.late_worth)
            self._end("in_time" if in_time else "late", earned)
            return
        if reply.refusal.retry_after_ms:
            world.result.refusals += 1
        left_s = load.deadline_ms / 1000 - took_ms / 1000
        if self._tries <= load.client_retries and left_s > LEAST_RETRY_S:
            wait_s = reply.refusal.retry_after_ms / 1000
            wait_s = max(LEAST_RETRY_S, min(wait_s, left_s * RETRY_SHARE))
            if reply.refusal.retry_after_ms:
                world.clock.after(wait_s, self.send)
                return
        self._end("refused" if reply.refusal.retry_after_ms else "failed", 0.0)

    def _end(self, outcome: str, earned: float) -> None:
        world = self._clients.world
        took_ms = (world.clock.now - self._began) * 1000
        worth = self._clients.load.worth
        world.result.record(self._began, outcome, worth, earned, took_ms)


class _Strike:
    """One trouble, from its beginning to its end."""

    def __init__(self, world: _World, trouble: Trouble, rng: Random) -> None:
        self._world = world
        self._trouble = trouble
        self._rng = rng

    def plan(self) -> None:
        """Let it happen at its time."""
        self._world.clock.at(self._trouble.at, self._begin)

    def _begin(self) -> None:
        trouble = self._trouble
        if trouble.kind is TroubleKind.BURST:
            self._world.burst_x = max(trouble.x, 1e-3)
        elif trouble.kind is TroubleKind.RESTART:
            self._world.restart_entries(trouble, self._rng)
        else:
            for target in self._world.struck_targets(trouble, self._rng):
                self._strike(target)
                after = trouble.for_s
                self._world.clock.after(after, lambda t=target: self._heal(t))  # type: ignore[misc]
            return
        self._world.clock.after(trouble.for_s, self._end)

    def _strike(self, target: EmulatedTarget) -> None:
        trouble = self._trouble
        match trouble.kind:
            case TroubleKind.SHED:
                target.sheds = trouble.x
            case TroubleKind.SLOW:
                target.slow_x = max(trouble.x, 1e-3)
            case TroubleKind.LOSE:
                target.loses = trouble.x
            case _:
                target.crash()

    def _heal(self, target: EmulatedTarget) -> None:
        match self._trouble.kind:
            case TroubleKind.SHED:
                target.sheds = 0.0
            case TroubleKind.SLOW:
                target.slow_x = 1.0
            case TroubleKind.LOSE:
                target.loses = 0.0
            case _:
                target.restart()

    def _end(self) -> None:
        if self._trouble.kind is TroubleKind.BURST:
            self._world.burst_x = 1.0


def _route(load: Load) -> Route:
    return Route(
        name=load.name,
        host="emulated",
        prefix=f"/{load.name}/",
        work=load.work,
        services={load.service: 1.0},
        timeout_ms=load.timeout_ms,
        target_latency_ms=load.target_latency_ms,
        priority=load.priority,
        attempts=load.attempts,
        affinity=True,
    )


def _ignore(_: Outcome, __: object) -> None:
    """Leave a call's answer to its caller, which is not emulated."""
