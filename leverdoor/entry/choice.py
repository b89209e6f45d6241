# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which of a region's targets answers a request first: by warmth, load and place."""

import msgspec

from leverdoor.entry.fleet import Fleet, TargetState
from leverdoor.entry.requests import Placement, PlacementRequest
from leverdoor.entry.times import DEFAULT_LATENCY_MS, TimeBook
from leverdoor.entry.warmth import RANKS, SharedWarmth, WarmthBook
from leverdoor.model.resources import Target

__all__ = ["Option", "TargetChooser"]

LIKELY_COLD = 0.5
"""Share of cold runs from which on a choice counts as cold; chosen, not measured."""
COLD_ROOM = 0.5
"""Load over slots up to which a key's second target may be asked for it cold.

A cold run takes about three times as long: where targets are busy, it makes all
of them slower.
"""
LEAST_WAIT_SHARE = 0.8
"""Longest wait that is always accepted, as a share of the target latency.

Measured on the new site (scale-1, load estimated without bias): 0.3 gives 0.756,
0.8 gives 0.767. A request that is refused comes back to the same load, and its
second refusal earns nothing; one that waits is late at worst.
"""
URGENT_PRIORITY = 1
"""Greatest priority number that counts as urgent; smaller is more urgent."""
LESS_URGENT = 0.7
"""Part of the longest wait that is left to less urgent routes.

With 1.0 for it and for `LEAST_WAIT_SHARE` scale-1 gave 0.763 in place of 0.784.
"""
OTHER_DOMAIN_MS = 8.0
"""What a target in another failure domain must be sooner by, in ms; saves bytes."""
SECOND = 1
"""Rank of the further target that a key is kept warm at."""


class Option(msgspec.Struct, frozen=True):
    """One target for a request, weighed."""

    state: TargetState
    rank: int
    seen: bool
    cold_share: float
    wait_ms: float
    """Expected time in the target's queue."""
    takes_ms: float
    """Wait and run, as expected."""
    price_ms: float
    """What options are compared by."""


class TargetChooser:
    """Weighs targets for requests, and learns from their answers."""

    def __init__(self, region: str, domain: str, fleet: Fleet) -> None:
        """Create it.

        Args:
          region: this entry's region.
          domain: this entry's failure domain.
          fleet: the states of targets.
        """
        self._region = region
        self._domain = domain
        self._fleet = fleet
        self._times = TimeBook()
        self._warmth = WarmthBook()
        self.shared_warmth = SharedWarmth()

    def keep_only(self, routes: set[str], targets: set[str]) -> None:
        """Forget routes and targets that are gone."""
        self._times.keep_only(routes)
        self._warmth.keep_only(targets)

    def quickest(
        self,
        request: PlacementRequest,
        candidates: list[Target],
        reason: str,
        now: float,
    ) -> Option | None:
        """Return the best of a region's targets for a key, if one has room.

        Args:
          request: what is to be placed.
          candidates: targets in the key's order.
          reason: "overflow" if it is not the key's region.
          now: monotonic time in seconds.
        """
        options: list[Option] = []
        for target in candidates:
            if target.name in request.tried:
                continue
            state = self._fleet.of(target, now)
            if not state.usable(now) or state.cold(now):
                continue
            rank = RANKS - 1 if reason == "overflow" else len(options)
            options.append(self._option(request, state, rank, now))
            if len(options) > SECOND:
                break
        most_ms = self._most_wait_ms(request, now)
        fitting = [o for o in options if o.wait_ms <= most_ms and self._admits(o, now)]
        if not fitting:
            return None
        return min(fitting, key=lambda o: o.price_ms)

    def _option(
        self, request: PlacementRequest, state: TargetState, rank: int, now: float
    ) -> Option:
        """Weigh one target."""
        target = state.target
        times = self._times.of(request.route, request.service)
        seen = not request.route.affinity or self._seen(request.key, state, now)
        cold_share = self._warmth.cold_share(target, rank, seen)
        over = max(state.load(now) - target.slots + 1, 0.0)
        run_ms = times.run_ms(self._warmth.forgotten_share(target))
        wait_ms = over * run_ms / target.slots
        takes_ms = wait_ms + times.run_ms(cold_share)
        price_ms = takes_ms
        if rank == 0 and not seen:
            # It must become warm somewhere: a cold run here is no reason to go on.
            price_ms = wait_ms + times.fast_ms
        if target.domain != self._domain:
            price_ms += OTHER_DOMAIN_MS
        return Option(state, rank, seen, cold_share, wait_ms, takes_ms, price_ms)

    def _seen(self, key: str, state: TargetState, now: float) -> bool:
        """Say whether this entry or another had an answer for a key from a target."""
        if state.saw(key):
            return True
        since = state.cold_until
        return self.shared_warmth.warm(state.target, key, since, now)

    def _admits(self, option: Option, now: float) -> bool:
        """Say whether a target may be asked for a key that is likely cold there.

        Only the first two of a key's targets may: all entries agree on them, so
        that a key costs few cold runs in all. Overflow to whatever has room costs
        one at each entry and target, and makes a loaded region slower still.
        """
        if option.rank == 0 or option.cold_share < LIKELY_COLD:
            return True
        state = option.state
        if self._warmth.forgets(state.target):
            return False
        return state.load(now) < COLD_ROOM * state.target.slots

    def _most_wait_ms(self, request: PlacementRequest, now: float) -> float:
        """Return the longest wait at a target that still makes sense."""
        times = self._times.of(request.route, request.service)
        aim = request.route.target_latency_ms or DEFAULT_LATENCY_MS
        spent = (now - request.arrived) * 1000
        wait = max(aim - spent - times.fast_ms * 1.2, LEAST_WAIT_SHARE * aim)
        if request.route.priority > URGENT_PRIORITY:
            wait *= LESS_URGENT
        left = (request.until - now) * 1000 - times.fast_ms
        return min(wait, left)

    def warm_up_option(self, request: PlacementRequest, state: TargetState) -> Option:
        """Return the option of a target in its warm-up, where all runs are cold."""
        slow_ms = self._times.of(request.route, request.service).slow_ms
        return Option(state, RANKS, False, 1.0, 0.0, slow_ms, slow_ms)

    def learn(
        self,
        request: PlacementRequest,
        placement: Placement,
        took_ms: float,
        now: float,
    ) -> None:
        """Learn from a whole answer."""
        if placement.load < placement.target.slots:
            self._learn_run(request, placement, took_ms)
        self._fleet.of(placement.target, now).remember(request.key)
        if request.route.affinity and placement.rank > 0:
            self.shared_warmth.note(placement.target, request.key, now)

    def _learn_run(
        self, request: PlacementRequest, placement: Placement, took_ms: float
    ) -> None:
        """Learn from the time of a run that had a slot at once."""
        times = self._times.of(request.route, request.service)
        if request.route.affinity:
            cold = times.is_cold(took_ms)
            self._warmth.learn(placement.target, placement.rank, placement.seen, cold)
        if placement.target.region == self._region:
            times.learn(took_ms)
