# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One emulated run: clients, entries and targets on a fake clock."""

import math
from random import Random

from leverdoor.emulator.clients import Clients, load_route
from leverdoor.emulator.clock import Clock
from leverdoor.emulator.entries import EmulatedEntry
from leverdoor.emulator.exact import ExactFleet
from leverdoor.emulator.plan import Experiment, Trouble
from leverdoor.emulator.results import Result
from leverdoor.emulator.targets import EmulatedTarget, Outcome, Run
from leverdoor.emulator.troubles import PlannedTrouble
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.exchange.messages import Message
from leverdoor.entry.membership.liveness import HEARTBEAT_S
from leverdoor.entry.membership.member import Member
from leverdoor.model.resources import Region, Resource, Service, Target, WorkClass

__all__ = ["World", "play"]

RESTART_S = 1.0
"""How long an entry that ends is away, in seconds; chosen."""


def play(experiment: Experiment, seed: int) -> Result:
    """Play an experiment once.

    Each part draws from a generator of its own, so that a change of policy does not
    reshuffle the load or the troubles.
    """
    world = World(experiment, seed)
    world.run()
    return world.result


class World:
    """Everything of one run."""

    def __init__(self, experiment: Experiment, seed: int) -> None:
        """Create it, before its first event."""
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
        self._heartbeat_rng = self.generator("heartbeats")

    def generator(self, part: str) -> Random:
        """Return the generator of one part."""
        return Random(f"{self.seed}/{part}")

    def run(self) -> None:
        """Play it to its end."""
        self._tell_store()
        rng = self.generator("phases")
        for entry in self._entries:
            first = rng.random() * HEARTBEAT_S
            self.clock.at(first, lambda e=entry: self._round(e))  # type: ignore[misc]
        for load in self.experiment.load:
            for place, region in enumerate(self.experiment.site.entries):
                Clients(self, load, region, place).start()
        for number, trouble in enumerate(self.experiment.trouble):
            PlannedTrouble(self, trouble, self.generator(f"trouble {number}")).plan()
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
                    rng = self.generator(target.name)
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
        found += [load_route(load) for load in self.experiment.load]
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
                rng = self.generator(name)
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

    def _round(self, entry: EmulatedEntry) -> None:
        if entry.member.name not in self._away:
            entry.round(lambda message, to: self._send(entry, message, to))
        self.clock.after(HEARTBEAT_S, lambda: self._round(entry))

    def _send(self, entry: EmulatedEntry, message: Message, to: list[str]) -> None:
        site = self.experiment.site
        for address in to:
            other = self._by_address[address]
            if self._heartbeat_rng.random() < site.heartbeat_loss:
                continue
            near = other.member.region == entry.member.region
            delay_ms = site.domain_ms if near else site.region_ms
            self.clock.after(
                delay_ms / 1000,
                lambda o=other: self._deliver(o, message),  # type: ignore[misc]
            )

    def _deliver(self, entry: EmulatedEntry, message: Message) -> None:
        if entry.member.name not in self._away:
            entry.receive(message)

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


def _ignore(_: Outcome, __: object) -> None:
    """Leave a call's answer to its caller, which is not emulated."""
