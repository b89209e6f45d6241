# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Emulated clients: waves of requests, deadlines, retries after refusals.

State: the counts of a request's tries, and the generators of its clients, for one
run. Relies on the emulated site for its clock, its entries and the result that each
ended request is recorded in.
"""

import math

from leverdoor.emulator.entries import EmulatedEntry, EmulatedReply, EmulatedRequest
from leverdoor.emulator.plan import LoadSpec
from leverdoor.emulator.site import EmulatedSite, load_route
from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.model.resources import Route

__all__ = ["EmulatedClients"]

CLIENT_MS = 3.0
"""One way between a client and its entry, in ms; the brief's for the utility."""
LEAST_RETRY_S = 0.02
"""Shortest pause before a client tries again, in seconds.

Without one, a refusal that asks for no wait would be retried at once; a longer one
would outlast short deadlines.
"""
RETRY_SHARE = 1 / 3
"""Part of the time left that a client is willing to wait before it tries again."""
LEAST_RATE = 1e-6
"""Requests a second at the bottom of a wave; 0 has no mean gap."""


class EmulatedClients:
    """The clients of one route in one region."""

    def __init__(
        self, site: EmulatedSite, load: LoadSpec, region: str, place: int
    ) -> None:
        """Create them; `start` lets the first request come.

        Args:
          site: the run's.
          load: what they request.
          region: where they are.
          place: number of the region, which shifts the peak of its wave.
        """
        self.site = site
        self.load = load
        self.route: Route = load_route(load)
        self._region = region
        self._phase = place / len(site.experiment.site.entries)
        self._rng = site.generator(f"clients {load.name} {region}")
        self._work_rng = site.generator(f"work {load.name} {region}")
        self._entry_rng = site.generator(f"directory {load.name} {region}")

    def start(self) -> None:
        """Let the first request come."""
        self.site.clock.after(self._gap_s(), self._arrive)

    def _gap_s(self) -> float:
        load = self.load
        turn = 2 * math.pi * (self.site.clock.now / load.period_s + self._phase)
        rate = load.rate * (1 + load.swing * math.sin(turn)) * self.site.burst_x
        return self._rng.expovariate(max(rate, LEAST_RATE))

    def _arrive(self) -> None:
        load = self.load
        key = f"{self._region}-{load.name}-{self._rng.randrange(load.keys)}"
        spread = math.exp(load.spread * self._work_rng.gauss(0.0, 1.0))
        work_s = load.work_ms / 1000 * spread
        _ClientRequest(self, key, work_s).send()
        for service in load.calls:
            self.site.call(service, key, work_s, self._work_rng)
        self.site.clock.after(self._gap_s(), self._arrive)

    def entry(self) -> EmulatedEntry | None:
        """Choose an entry."""
        return self.site.entry_for(self._region, self._entry_rng)


class _ClientRequest:
    """One request of a client, with its retries."""

    def __init__(self, clients: EmulatedClients, key: str, work_s: float) -> None:
        self._clients = clients
        self._site = clients.site
        self._load = clients.load
        self._key = key
        self._work_s = work_s
        self._began = clients.site.clock.now
        self._tries = 0

    def send(self) -> None:
        """Send it to an entry."""
        entry = self._clients.entry()
        if entry is None:
            self._end("failed", 0.0)
            return
        self._tries += 1
        request = self._placement_request()
        work = EmulatedRequest(request, self._work_s)
        self._site.clock.at(
            request.arrived_at, lambda: entry.serve(work, self._replied)
        )

    def _placement_request(self) -> PlacementRequest:
        load = self._load
        arrives = self._site.clock.now + CLIENT_MS / 1000
        until = self._began + load.deadline_ms / 1000
        if load.timeout_ms:
            until = min(until, arrives + load.timeout_ms / 1000)
        return PlacementRequest(
            request_id="",
            route=self._clients.route,
            service=load.service,
            key=self._key,
            version="1",
            arrived_at=arrives,
            expires_at=until,
        )

    def _replied(self, reply: EmulatedReply) -> None:
        self._site.clock.after(CLIENT_MS / 1000, lambda: self._take(reply))

    def _take(self, reply: EmulatedReply) -> None:
        load = self._load
        took_ms = self._took_ms()
        if reply.refusal is None:
            in_time = took_ms <= load.target_latency_ms
            earned = load.worth * (1.0 if in_time else load.late_worth)
            self._end("in_time" if in_time else "late", earned)
            return
        retry_after_ms = reply.refusal.retry_after_ms
        if not retry_after_ms:
            self._end("failed", 0.0)
            return
        self._site.result.refusals += 1
        left_s = load.deadline_ms / 1000 - took_ms / 1000
        if self._tries <= load.client_retries and left_s > LEAST_RETRY_S:
            wait_s = min(retry_after_ms / 1000, left_s * RETRY_SHARE)
            self._site.clock.after(max(LEAST_RETRY_S, wait_s), self.send)
            return
        self._end("refused", 0.0)

    def _took_ms(self) -> float:
        took_s: float = self._site.clock.now - self._began
        return took_s * 1000

    def _end(self, outcome: str, earned: float) -> None:
        worth = self._load.worth
        self._site.result.record(self._began, outcome, worth, earned, self._took_ms())
