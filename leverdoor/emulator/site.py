# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The emulated site: entries and targets on a fake clock, and their heartbeats.

State: which entries are away, the factor on all rates, and the result of one run;
nothing outlives it. Relies on the entries' own decisions (`emulator.entries`); clients
and troubles act on it from outside.
"""

import math
from functools import partial
from random import Random

from leverdoor.emulator.clock import EmulatedClock
from leverdoor.emulator.entries import EmulatedEntry
from leverdoor.emulator.exact import ExactFleet
from leverdoor.emulator.plan import Experiment, LoadSpec, ServiceSpec
from leverdoor.emulator.results import Result
from leverdoor.emulator.targets import EmulatedAnswer, EmulatedRun, EmulatedTarget
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.exchange.messages import ExchangeMessage
from leverdoor.entry.membership.liveness import HEARTBEAT_INTERVAL_S
from leverdoor.entry.membership.member import Member
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.model.resources import (
    Region,
    Resource,
    Route,
    Service,
    Target,
    WorkClass,
)

__all__ = ["RESTART_S", "EmulatedSite", "load_route"]

RESTART_S = 1.0
"""How long an entry that ends is away, in seconds.

About the start of a process. Shorter, and the others would not miss it; longer, and
their takeover of its requests would be all that is played.
"""
TARGET_ADDRESS = "10.0.0.1:80"
"""Address of every target; none is connected to."""
ADDRESSES_A_BLOCK = 250
"""Addresses of entries in each block of the last byte."""


class EmulatedSite:
    """Everything of one run."""

    def __init__(self, experiment: Experiment, seed: int) -> None:
        """Create it, before its first event."""
        self.experiment = experiment
        self.seed = seed
        self.clock = EmulatedClock()
        self.result = Result(experiment.seconds)
        self._targets = self._make_targets()
        self._catalog = Catalog(1, "1", self._resources())
        self._entries = self._make_entries()
        self._by_address = {e.member.gossip: e for e in self._entries}
        self._away: set[str] = set()
        """Names of the entries that are not running."""
        self.restarted: list[tuple[str, float]] = []
        """Entries that ended, and when, in seconds."""
        self.burst_x = 1.0
        """Factor on the rate of all clients."""
        self._heartbeat_rng = self.generator("heartbeats")

    def generator(self, part: str) -> Random:
        """Return the generator of one part."""
        return Random(f"{self.seed}/{part}")

    def start(self) -> None:
        """Give the entries their configuration, and begin their heartbeats."""
        for entry in self._entries:
            self._renew(entry)
        rng = self.generator("phases")
        for entry in self._entries:
            first = rng.random() * HEARTBEAT_INTERVAL_S
            self.clock.at(first, partial(self._round, entry))

    @property
    def targets(self) -> list[EmulatedTarget]:
        """All targets."""
        return list(self._targets.values())

    def count_runs(self) -> None:
        """Add to the result what targets and entries counted themselves."""
        self.result.cold_runs = sum(t.cold_runs for t in self._targets.values())
        self.result.runs = sum(t.runs for t in self._targets.values())
        self.result.repeats = sum(e.repeats for e in self._entries)
        self.result.heartbeat_bytes = sum(e.heartbeat_bytes for e in self._entries)

    # Parts.

    def _make_targets(self) -> dict[str, EmulatedTarget]:
        targets = [
            self._make_target(service, region, number)
            for service in self.experiment.service
            for region, count in service.targets.items()
            for number in range(count)
        ]
        return {t.target.name: t for t in targets}

    def _make_target(
        self, service: ServiceSpec, region: str, number: int
    ) -> EmulatedTarget:
        target = Target(
            name=f"{service.name}-{region}-{number}",
            service=service.name,
            region=region,
            domain=self._domain(region, number),
            address=TARGET_ADDRESS,
            slots=service.slots,
        )
        rng = self.generator(target.name)
        return EmulatedTarget(target, service, self.clock, rng)

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
        shared = ExactFleet(self._targets) if self.experiment.knows_all else None
        places = [
            (region, number)
            for region, count in self.experiment.site.entries.items()
            for number in range(count)
        ]
        return [
            self._make_entry(region, number, order, shared)
            for order, (region, number) in enumerate(places, 1)
        ]

    def _make_entry(
        self, region: str, number: int, order: int, shared: Fleet | None
    ) -> EmulatedEntry:
        block, last = divmod(order, ADDRESSES_A_BLOCK)
        address = f"10.0.{block}.{last}:7200"
        name = f"{region}-{number}"
        domain = self._domain(region, number)
        member = Member(name, region, domain, address, address, address, 0)
        rng = self.generator(name)
        return EmulatedEntry(
            member, self.experiment, self.clock, rng, self._targets, shared
        )

    def _renew(self, entry: EmulatedEntry) -> None:
        """Give an entry what it would read in the store."""
        entry.renew(self._catalog, [e.member for e in self._entries])

    # Heartbeats.

    def _round(self, entry: EmulatedEntry) -> None:
        if entry.member.name not in self._away:
            entry.round(lambda message, to: self._send(entry, message, to))
        self.clock.after(HEARTBEAT_INTERVAL_S, partial(self._round, entry))

    def _send(
        self, entry: EmulatedEntry, message: ExchangeMessage, to: list[str]
    ) -> None:
        site = self.experiment.site
        for address in to:
            other = self._by_address[address]
            if self._heartbeat_rng.random() < site.heartbeat_loss:
                continue
            near = other.member.region == entry.member.region
            delay_ms = site.domain_ms if near else site.region_ms
            self.clock.after(delay_ms / 1000, partial(self._deliver, other, message))

    def _deliver(self, entry: EmulatedEntry, message: ExchangeMessage) -> None:
        if entry.member.name not in self._away:
            entry.receive(message)

    # What clients see.

    def entry_for(self, region: str, rng: Random) -> EmulatedEntry | None:
        """Choose an entry as the directory would, or none if all are away."""
        running = [e for e in self._entries if e.member.name not in self._away]
        near = [e for e in running if e.member.region == region]
        return rng.choice(near or running) if running else None

    def call(self, service: str, key: str, work_s: float, rng: Random) -> None:
        """Let a run call a target of another service directly."""
        choices = [t for t in self._targets.values() if t.target.service == service]
        run = EmulatedRun(key, work_s, _ignore)
        rng.choice(choices).take(run)

    # Troubles.

    def choose_targets(
        self, service: str, share: float, rng: Random
    ) -> list[EmulatedTarget]:
        """Choose a share of the targets of one service, or of all if it is empty."""
        fitting = [
            t
            for t in self._targets.values()
            if not service or t.target.service == service
        ]
        return rng.sample(fitting, math.ceil(share * len(fitting)))

    def restart_entries(self, share: float, rng: Random) -> None:
        """End a share of the entries, which start again with nothing in memory."""
        count = math.ceil(share * len(self._entries))
        for entry in rng.sample(self._entries, count):
            self._away.add(entry.member.name)
            self.restarted.append((entry.member.name, self.clock.now))
            self.clock.after(RESTART_S, partial(self._start_again, entry))

    def _start_again(self, entry: EmulatedEntry) -> None:
        entry.start()
        self._renew(entry)
        self._away.discard(entry.member.name)


def load_route(load: LoadSpec) -> Route:
    """Return the route of a load's requests."""
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


def _ignore(_: EmulatedAnswer) -> None:
    """Leave a call's answer to its caller, which is not emulated."""
