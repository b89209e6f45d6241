# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which of a region's targets answers a request first: by warmth, load and place."""

import msgspec

from leverdoor.entry.placement.fleet import Fleet, TargetState
from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
from leverdoor.entry.placement.times import DEFAULT_LATENCY_MS, RunTimes, TimeBook
from leverdoor.entry.placement.tuning import Tuning
from leverdoor.entry.placement.warmth import RANKS, SharedWarmth, WarmthBook
from leverdoor.model.resources import Target

__all__ = ["Option", "TargetChooser"]

LIKELY_COLD = 0.5
"""Share of cold runs from which on a choice counts as cold; chosen, not measured."""
SPREAD_X = 1.2
"""Times the mean warm run that is kept free for the run itself; runs vary by 15%."""
URGENT_PRIORITY = 1
"""Greatest priority number that counts as urgent; smaller is more urgent."""
OTHER_DOMAIN_MS = 8.0
"""What a target in another failure domain must be sooner by, in ms; saves bytes."""


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

    def __init__(self, region: str, domain: str, fleet: Fleet, tuning: Tuning) -> None:
        """Create it.

        Args:
          region: this entry's region.
          domain: this entry's failure domain.
          fleet: the states of targets.
          tuning: what is weighed.
        """
        self._tuning = tuning
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
            if len(options) >= self._tuning.targets_a_key:
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
        """Return whether any entry had an answer for a key from a target."""
        if state.saw(key):
            return True
        since = state.cold_until
        return self.shared_warmth.warm(state.target, key, since, now)

    def _admits(self, option: Option, now: float) -> bool:
        """Return whether a target may be asked for a key that is likely cold there.

        Only the first two of a key's targets may: all entries agree on them, so
        that a key costs few cold runs in all. Overflow to whatever has room costs
        one at each entry and target, and makes a loaded region slower still.
        """
        if option.rank == 0 or option.cold_share < LIKELY_COLD:
            return True
        state = option.state
        if self._warmth.forgets(state.target):
            return False
        return state.load(now) < self._tuning.cold_room * state.target.slots

    def _most_wait_ms(self, request: PlacementRequest, now: float) -> float:
        """Return the longest wait at a target that still makes sense."""
        times = self._times.of(request.route, request.service)
        aim = request.route.target_latency_ms or DEFAULT_LATENCY_MS
        spent = (now - request.arrived) * 1000
        least_ms = self._tuning.least_wait_share * aim
        wait = max(aim - spent - times.fast_ms * SPREAD_X, least_ms)
        if request.priority > URGENT_PRIORITY:
            wait *= self._tuning.less_urgent
        left = (request.until - now) * 1000 - times.fast_ms
        return min(wait, left)

    def run_times(self, request: PlacementRequest) -> RunTimes:
        """Return how long runs of such requests take."""
        times = self._times.of(request.route, request.service)
        return RunTimes(times.fast_ms / 1000, times.slow_ms / 1000)

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
        if request.route.affinity and self._tuning.learns_warmth:
            cold = times.is_cold(took_ms)
            self._warmth.learn(placement.target, placement.rank, placement.seen, cold)
        if placement.target.region == self._region:
            times.learn(took_ms)
