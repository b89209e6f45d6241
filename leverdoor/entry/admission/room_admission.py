# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides on requests that find no room: who waits, who is placed next, who is refused.

`RoomAdmission.offer` places a request, lets it wait or refuses it. Nothing here does
I/O, waits or reads a clock; `Waiter.decide` is called with the decision on a request
that waits.

Owns, for each region of a service, the waiting requests, the shed level, the rates at
which priorities are served, and the turns of returns; also the usual deadlines of
routes. All of it is lost with the process.

Relies on placement for room and on calls of `on_room`, `expire` and `update`.
"""

from collections.abc import Callable
from random import Random

import msgspec

from leverdoor.entry.admission.return_times import ReturnTimes
from leverdoor.entry.admission.returning import UsualDeadlines
from leverdoor.entry.admission.served_shares import ServedShares
from leverdoor.entry.admission.shedding import ShedLevel
from leverdoor.entry.admission.wait_bounds import expected_wait_s, wait_until
from leverdoor.entry.admission.wait_queue import Waiter, WaitQueue
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.placement.retry_delays import retry_after_ms
from leverdoor.errors import Code, Rejection
from leverdoor.model.resources import Target

__all__ = ["RoomAdmission", "ShedChange"]

MAX_TRIED = 8
"""Maximum waiting requests that are tried when room appears.

With a greater value, a busy entry spends its time on requests that do not fit. With a
smaller one, room is left free because the first requests need other targets.
"""


class ShedChange(msgspec.Struct, frozen=True):
    """A change of the shed level of a region of a service."""

    service: str
    region: str
    level: int
    refused: list[int]
    """The priorities that are refused at once."""
    utilization: float
    """Load over slots of the region's usable targets."""


class _Group:
    """The state of one region of a service."""

    def __init__(self, rng: Random, now: float) -> None:
        self.queue = WaitQueue()
        self.shares = ServedShares(now)
        self.shed = ShedLevel(now)
        self.returns = ReturnTimes(rng)


class RoomAdmission:
    """The decisions of one entry on requests that find no room."""

    def __init__(
        self, policy: PlacementPolicy, rng: Random, entries: Callable[[], int]
    ) -> None:
        """Create it without requests.

        Args:
          policy: chooses targets.
          rng: the source of all random numbers.
          entries: returns the number of entries of this entry's region, at least 1.
        """
        self._policy = policy
        self._rng = rng
        self._entries = entries
        self._deadlines = UsualDeadlines()
        self._groups: dict[tuple[str, str], _Group] = {}
        self._priorities: dict[str, list[int]] = {}
        self._stopped = False

    def renew(self, catalog: Catalog) -> None:
        """Apply a new configuration."""
        self._deadlines.keep_only(catalog.route_names)
        self._priorities = catalog.priorities_by_service()
        self._groups = {
            (service, region): group
            for (service, region), group in self._groups.items()
            if service in catalog.services or len(group.queue)
        }

    def offer(
        self,
        request: PlacementRequest,
        now: float,
        decide: Callable[[Placement | Rejection], None],
    ) -> Placement | Rejection | Waiter:
        """Place, refuse or enqueue a request.

        Args:
          request: the request.
          now: monotonic time in seconds.
          decide: called with the decision on a request that waits.
        Returns: the waiting request, if it waits.
        """
        region = self._policy.key_region(request, now)
        if region is None:
            return self._policy.place(request, now)
        group = self._group(request.service, region, now)
        returning = self._deadlines.record(request)
        waiter = Waiter(request, region, returning, now, decide)
        group.shares.record_offered(request.priority, now)
        if self._is_shed(group, request):
            reason = f"priority {request.priority} of {request.service} in {region}"
            return self._refuse(waiter, Code.SHED_BY_TIER, reason, now)
        if group.queue.count_before(waiter):
            self._place_next(group, now)
        decision = self._policy.place(request, now)
        if isinstance(decision, Placement):
            group.shares.record_served(request.priority)
            return decision
        if decision.code is not Code.QUEUE_FULL:
            return decision
        group.shed.record_without_room(request.priority, now)
        return self._enqueue(group, waiter, decision, now)

    def on_room(self, target: Target | None, now: float) -> None:
        """Place the first waiting requests that fit.

        One if a request of this entry ended. After a digest, this entry's share of the
        free slots, since the other entries of the region know of them too.

        Args:
          target: the target that may have room; None for any.
          now: monotonic time in seconds.
        """
        if target is not None:
            group = self._groups.get((target.service, target.region))
            if group is not None:
                self._place_next(group, now)
            return
        for (service, region), group in self._groups.items():
            if not len(group.queue):
                continue
            load, slots = self._policy.shares.load_and_slots(service, region, now)
            count = max(int((slots - load) / self._entries()), 1)
            while count and self._place_next(group, now):
                count -= 1

    def expire(self, waiter: Waiter, now: float) -> None:
        """Refuse a request that still waits when its time is over."""
        group = self._group_of(waiter)
        if waiter in group.queue:
            group.queue.discard(waiter)
            waiter.decide(self._refuse_full(waiter, "no room in time", now))

    def withdraw(self, waiter: Waiter) -> None:
        """Remove a request, if it waits, without a decision."""
        self._group_of(waiter).queue.discard(waiter)

    def stop(self, now: float) -> None:
        """Decide on all waiting requests; from now on, none waits."""
        self._stopped = True
        for group in self._groups.values():
            for waiter in group.queue.in_order():
                if not self._try_place(group, waiter, now):
                    group.queue.discard(waiter)
                    waiter.decide(self._refuse_full(waiter, "the entry leaves", now))

    def update(self, now: float) -> list[ShedChange]:
        """Adapt the shed levels and return the changes."""
        changes = []
        for (service, region), group in self._groups.items():
            load, slots = self._policy.shares.load_and_slots(service, region, now)
            # Without usable slots, no priority could keep room.
            utilization = load / slots if slots else 0.0
            priorities = self._priorities.get(service, [])
            if self._policy.refuses_keys(service, region):
                # The keys that it admits fit its slots.
                priorities = []
            if group.shed.update(utilization, priorities, now):
                refused = list(group.shed.refused(priorities))
                changes.append(
                    ShedChange(service, region, group.shed.level, refused, utilization)
                )
        return changes

    def waiting_counts(self) -> dict[tuple[str, str], int]:
        """Return the number of waiting requests by service and region."""
        return {key: len(group.queue) for key, group in self._groups.items()}

    # Steps.

    def _enqueue(
        self, group: _Group, waiter: Waiter, rejection: Rejection, now: float
    ) -> Rejection | Waiter:
        """Let a request wait if room is expected in time, else refuse it."""
        entries = self._entries()
        room = self._policy.estimate_room(waiter.request, waiter.region, now)
        if room is None:
            return rejection
        waiter.until = wait_until(waiter.request, room.warm_run_s)
        before = group.queue.count_before(waiter)
        if (
            self._stopped
            or now + expected_wait_s(room, before, entries) >= waiter.until
        ):
            return self._refuse_full(waiter, rejection.reason, now)
        removed = group.queue.add(waiter)
        if removed is waiter:
            return self._refuse_full(waiter, rejection.reason, now)
        if removed is not None:
            removed.decide(self._refuse_full(removed, "more urgent ones wait", now))
        return waiter

    def _place_next(self, group: _Group, now: float) -> bool:
        """Place the first waiting request that fits; return whether one does."""
        if not len(group.queue):
            return False
        waiters = group.queue.in_order(group.shares.starving())
        return any(self._try_place(group, w, now) for w in waiters[:MAX_TRIED])

    def _try_place(self, group: _Group, waiter: Waiter, now: float) -> bool:
        """Place a waiting request if there is room for it; return whether it is."""
        placement = self._policy.place_waiting(waiter.request, waiter.region, now)
        if placement is None:
            return False
        group.queue.discard(waiter)
        group.shares.record_served(waiter.request.priority)
        waiter.decide(placement)
        return True

    def _is_shed(self, group: _Group, request: PlacementRequest) -> bool:
        """Return whether a priority is refused at once; not if it starves."""
        refused = group.shed.refused(self._priorities.get(request.service, []))
        if not refused or request.priority < refused[0]:
            return False
        return request.priority != group.shares.starving()

    def _refuse_full(self, waiter: Waiter, reason: str, now: float) -> Rejection:
        """Refuse a request for which there is no room."""
        waited_ms = round((now - waiter.since) * 1000)
        text = f"{reason}; waited {waited_ms} ms"
        return self._refuse(waiter, Code.QUEUE_FULL, text, now)

    def _refuse(self, waiter: Waiter, code: Code, reason: str, now: float) -> Rejection:
        """Refuse a request, and give it a turn to return if one can be estimated."""
        room = self._policy.estimate_room(waiter.request, waiter.region, now)
        if room is None:
            return Rejection(code, retry_after_ms(self._rng.random()), reason)
        returns = self._group_of(waiter).returns
        turn_ms = returns.retry_after_ms(waiter.request, room, self._entries(), now)
        return Rejection(code, turn_ms, reason)

    def _group_of(self, waiter: Waiter) -> _Group:
        return self._group(waiter.request.service, waiter.region, waiter.since)

    def _group(self, service: str, region: str, now: float) -> _Group:
        """Return the state of a region of a service, created if necessary."""
        group = self._groups.get((service, region))
        if group is None:
            group = self._groups[service, region] = _Group(self._rng, now)
        return group
