# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Lets requests that find no room wait at an entry: futures, timers, events, metrics.

The decisions are in room_admission.py. A request is waiting while `Admission.place`
waits; it has not been sent to any target.

Owns a future and a timer for each waiting request; they are lost with the process.
Relies on `PlacementPolicy.room_changes`.
"""

import asyncio
from collections.abc import Callable
from random import Random

from leverdoor.entry.admission.room_admission import RoomAdmission
from leverdoor.entry.admission.wait_queue import Waiter
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.events import Events
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.errors import Rejection
from leverdoor.model.resources import Target

__all__ = ["Admission"]


class Admission:
    """Places the requests of an entry, some of them after a short wait."""

    def __init__(
        self,
        policy: PlacementPolicy,
        rng: Random,
        entries: Callable[[], int],
        events: Events,
        metrics: EntryMetrics,
    ) -> None:
        """Create it without requests.

        Args:
          policy: chooses targets.
          rng: the source of all random numbers.
          entries: returns the number of entries of this entry's region, at least 1.
          events: the event log.
          metrics: the entry's metrics.
        """
        self._policy = policy
        self._events = events
        self._metrics = metrics
        self._decisions = RoomAdmission(policy, rng, entries)
        policy.room_changes.append(self._on_room)

    def renew(self, catalog: Catalog) -> None:
        """Apply a new configuration."""
        self._decisions.renew(catalog)

    async def place(self, request: PlacementRequest) -> Placement | Rejection:
        """Place a request or refuse it, at once or after it waited for room."""
        loop = asyncio.get_running_loop()
        decided: asyncio.Future[Placement | Rejection] = loop.create_future()
        started_at = loop.time()
        waiter = self._decisions.offer(
            request, started_at, lambda decision: self._decide(decided, decision)
        )
        if not isinstance(waiter, Waiter):
            return waiter
        timer = loop.call_at(waiter.until, self._expire, waiter)
        outcome = "left"
        try:
            decision = await decided
            outcome = "placed" if isinstance(decision, Placement) else "refused"
            return decision
        except asyncio.CancelledError:
            if decided.done() and not decided.cancelled():
                self._give_back(decided.result())
            raise
        finally:
            timer.cancel()
            self._decisions.withdraw(waiter)
            waited_s = loop.time() - started_at
            self._metrics.waited(request.service, outcome, waited_s)

    def update(self) -> None:
        """Adapt the shed levels; log and count what changed."""
        now = asyncio.get_running_loop().time()
        for change in self._decisions.update(now):
            self._events.shed_level(change)
            self._metrics.shed_level.labels(change.service, change.region).set(
                change.level
            )
        for (service, region), count in self._decisions.waiting_counts().items():
            self._metrics.waiting.labels(service, region).set(count)

    def stop(self) -> None:
        """Decide on all waiting requests; from now on, none waits."""
        self._decisions.stop(asyncio.get_running_loop().time())

    def _on_room(self, target: Target | None) -> None:
        self._decisions.on_room(target, asyncio.get_running_loop().time())

    def _expire(self, waiter: Waiter) -> None:
        self._decisions.expire(waiter, asyncio.get_running_loop().time())

    def _decide(
        self,
        decided: asyncio.Future[Placement | Rejection],
        decision: Placement | Rejection,
    ) -> None:
        """Pass on a decision, unless the caller left in the meantime."""
        if decided.done():
            self._give_back(decision)
            return
        decided.set_result(decision)

    def _give_back(self, decision: Placement | Rejection) -> None:
        """End a placement that is not used."""
        if isinstance(decision, Placement):
            self._policy.ended(decision, asyncio.get_running_loop().time())
