# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Entries, targets and callers on a fake clock, for tests of admission.

Targets serve first in, first out. Entries learn the counts of others at intervals.
Callers return once after a refusal, at any entry.
"""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

import msgspec

from desk import REGIONS, ROUTE, target
from leverdoor.entry.admission.room_admission import RoomAdmission
from leverdoor.entry.admission.wait_queue import Waiter, WaitQueue
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.placement.fleet import SUM_OF_PEERS, Fleet
from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.placement.tuning import WAITING
from leverdoor.errors import Rejection
from leverdoor.model.resources import Resource, Route, Service, WorkClass

URGENT = msgspec.structs.replace(ROUTE, name="urgent", prefix="/u/", affinity=False)
BULK = msgspec.structs.replace(URGENT, name="bulk", prefix="/b/", priority=2)
TARGETS = [target("t0"), target("t1")]
RUN_S = 0.2
"""A warm run, as assumed before any is measured."""
DEADLINE_MS = 2000
CAPACITY_PER_S = sum(t.slots for t in TARGETS) / RUN_S
DIGEST_INTERVAL_S = 0.2

Outcome = Placement | Rejection


class Sent(msgspec.Struct, eq=False):
    """One try of a caller."""

    request: PlacementRequest
    returned: bool
    outcomes: list[tuple[float, Outcome]] = []
    """The decisions on it, with their times; there must be one."""
    answered_at: float = 0.0


class PlayedEntry:
    """One entry: its decisions and what it knows."""

    def __init__(self, play: "Play", number: int) -> None:
        self.fleet = Fleet()
        rng = Random(number)
        self.policy = PlacementPolicy(
            "a", "a1", self.fleet, rng, single_region_tuning=WAITING
        )
        self.admission = RoomAdmission(self.policy, rng, lambda: len(play.entries))
        self.policy.room_changes.append(lambda t: self.admission.on_room(t, play.now))
        self.cut = False
        service = Service(name="s", work=WorkClass.ONCE)
        self._configure([URGENT, BULK, service, *TARGETS], play.now)

    @property
    def queue(self) -> WaitQueue:
        """The queue of the only service in the only region."""
        return self.admission._group("s", "a", 100.0).queue

    def remove_targets(self, now: float) -> None:
        self._configure([URGENT, BULK], now)

    def _configure(self, resources: list[Resource], now: float) -> None:
        catalog = Catalog(1, "v", [*REGIONS, *resources])
        self.fleet.renew(catalog.targets, now, catalog.services.values())
        self.policy.renew(catalog)
        self.admission.renew(catalog)


class Play:
    """Plays requests at some entries."""

    def __init__(
        self, entries: int = 4, *, callers_return: bool = True, at_once: bool = False
    ) -> None:
        self.now = 100.0
        self.rng = Random(7)
        self.sent: list[Sent] = []
        self.levels: list[tuple[float, int, int]] = []
        """Time, entry and level of each change of a shed level."""
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._busy = {t.name: 0 for t in TARGETS}
        self._queues: dict[str, list[Callable[[], None]]] = {
            t.name: [] for t in TARGETS
        }
        self._callers_return = callers_return
        self._callers_return_at_once = at_once
        self.entries: list[PlayedEntry] = []
        self.entries += [PlayedEntry(self, i) for i in range(entries)]
        self.at(self.now, self._exchange)

    def at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def load(self, route: Route, per_s: float, begin: float, end: float) -> None:
        """Send new requests of a route to random entries, at random times."""
        time = begin
        while (time := time + self.rng.expovariate(per_s)) < end:
            self.at(time, lambda: self.send(route, DEADLINE_MS))

    def send(self, route: Route, deadline_ms: int, returned: bool = False) -> Sent:
        entry = self.rng.choice(self.entries)
        number = str(next(self._order))
        expires_at = self.now + deadline_ms / 1000 - 0.02
        request = PlacementRequest(
            number,
            route,
            "s",
            number,
            "v",
            self.now,
            expires_at,
            deadline_ms=deadline_ms,
        )
        sent = Sent(request, returned, [])
        self.sent.append(sent)
        decision = entry.admission.offer(
            request, self.now, lambda d: self._decided(entry, sent, d)
        )
        if isinstance(decision, Waiter):
            self.at(decision.until, lambda: entry.admission.expire(decision, self.now))
        else:
            self._decided(entry, sent, decision)
        return sent

    def _decided(self, entry: PlayedEntry, sent: Sent, decision: Outcome) -> None:
        sent.outcomes.append((self.now, decision))
        if isinstance(decision, Placement):
            self._start(entry, sent, decision)
            return
        request = sent.request
        left_ms = request.deadline_ms - (self.now - request.arrived_at) * 1000
        wait_ms = min(decision.retry_after_ms, left_ms / 3)
        if self._callers_return_at_once:
            wait_ms = 0.0
        if self._callers_return and not sent.returned:
            left = int(left_ms - wait_ms)
            again = self.now + wait_ms / 1000
            self.at(again, lambda: self.send(request.route, left, True) and None)

    def _start(self, entry: PlayedEntry, sent: Sent, placement: Placement) -> None:
        name = placement.target.name
        if self._busy[name] >= placement.target.slots:
            self._queues[name].append(lambda: self._start(entry, sent, placement))
            return
        self._busy[name] += 1

        def end() -> None:
            self._busy[name] -= 1
            if self._queues[name]:
                self._queues[name].pop(0)()
            sent.answered_at = self.now
            entry.policy.ended(placement, self.now)

        self.at(self.now + RUN_S, end)

    def _exchange(self) -> None:
        """Tell each entry the counts of the others; update the shed levels."""
        counts = [entry.fleet.in_flight() for entry in self.entries]
        for number, entry in enumerate(self.entries):
            others = [c for i, c in enumerate(counts) if i != number]
            if not entry.cut:
                names = {t.name for t in TARGETS}
                total = {n: sum(c.get(n, 0) for c in others) for n in names}
                entry.fleet.receive(SUM_OF_PEERS, total, self.now)
                entry.policy.announce_room(None)
            for change in entry.admission.update(self.now):
                self.levels.append((self.now, number, change.level))
        self.at(self.now + DIGEST_INTERVAL_S, self._exchange)

    # What callers got.

    def rate(self, route: Route, returned: bool | None = None) -> float:
        """Return the share of a route's tries that were placed."""
        tries = [
            s
            for s in self.sent
            if s.request.route is route and returned in (None, s.returned)
        ]
        placed = [s for s in tries if isinstance(s.outcomes[0][1], Placement)]
        return len(placed) / len(tries)

    def answer_times(self, route: Route) -> list[float]:
        """Return the times from the arrival of a route's requests to their answers."""
        return sorted(
            s.answered_at - s.request.arrived_at
            for s in self.sent
            if s.answered_at and s.request.route is route
        )

    def check(self) -> None:
        """Each try was decided exactly once, and refused within a quarter."""
        for sent in self.sent:
            assert len(sent.outcomes) == 1, sent
            at, decision = sent.outcomes[0]
            if isinstance(decision, Rejection):
                assert decision.retry_after_ms > 0
                aim_s = sent.request.route.target_latency_ms / 1000
                assert at - sent.request.arrived_at <= aim_s / 4
        for entry in self.entries:
            assert sum(entry.admission.waiting_counts().values()) == 0
