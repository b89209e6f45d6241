# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Emulated clients: waves of requests, deadlines, retries after refusals."""

import math
from typing import TYPE_CHECKING

from leverdoor.emulator.entries import EmulatedEntry, EmulatedReply, EmulatedRequest
from leverdoor.emulator.plan import Load
from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.model.resources import Route

if TYPE_CHECKING:
    from leverdoor.emulator.world import World

__all__ = ["Clients", "load_route"]

CLIENT_MS = 3.0
"""One way between a client and its entry, in ms; as on the utility's site."""
LEAST_RETRY_S = 0.02
"""Least pause before a client comes back, in seconds; chosen."""
RETRY_SHARE = 1 / 3
"""Part of the time left that a client is willing to wait before it comes back."""


class Clients:
    """The clients of one route in one region."""

    def __init__(self, world: "World", load: Load, region: str, place: int) -> None:
        self._world = world
        self._load = load
        self._region = region
        self._phase = place / len(world.experiment.site.entries)
        self._route = load_route(load)
        self._rng = world.generator(f"clients {load.name} {region}")
        self._work_rng = world.generator(f"work {load.name} {region}")
        self._entry_rng = world.generator(f"directory {load.name} {region}")
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
    def world(self) -> "World":
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

    def __init__(self, clients: Clients, key: str, work_s: float) -> None:
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
        work = EmulatedRequest(request, self._work_s)
        world.clock.at(arrives, lambda: entry.serve(work, self._replied))

    def _replied(self, reply: EmulatedReply) -> None:
        self._clients.world.clock.after(CLIENT_MS / 1000, lambda: self._take(reply))

    def _take(self, reply: EmulatedReply) -> None:
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


def load_route(load: Load) -> Route:
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
