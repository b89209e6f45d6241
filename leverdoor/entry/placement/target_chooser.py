# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which of some targets answers a request first: by warmth, load and distance.

Owns the run times by route and service (times.py), the shares of cold runs
(warmth.py) and the keys that are warm at a second target (warm_keys.py); all are
lost with the process and learned again from answers.

Relies on the states of targets (fleet.py), and on candidates in the key's order, which
all entries agree on (affinity.py).
"""

import msgspec

from leverdoor.entry.placement.cold_run_rates import RANKS, ColdRunRates
from leverdoor.entry.placement.fleet import Fleet, TargetState
from leverdoor.entry.placement.placement_request import (
    Placement,
    PlacementReason,
    PlacementRequest,
)
from leverdoor.entry.placement.queue_wait import max_queue_wait_ms
from leverdoor.entry.placement.run_times import (
    MeanRunTimes,
    RunTimeClusters,
    RunTimeTable,
)
from leverdoor.entry.placement.tuning import Tuning
from leverdoor.entry.placement.warm_key_digests import WarmKeyDigests
from leverdoor.model.resources import Target

__all__ = ["ScoredTarget", "TargetChooser"]

COLD_RUN_THRESHOLD = 0.5
"""Share of cold runs from which on a choice counts as cold.

The likelier of two. Greater: more cold runs at second targets, which make busy targets
slower. Smaller: refusals where a warm run was likely.
"""
OTHER_DOMAIN_PENALTY_MS = 8.0
"""What a target in another failure domain must be sooner by, in ms.

Saves bytes between domains where targets are equally good. Greater: requests wait for a
target that is near. Smaller: chance decides between domains.
"""

MAX_ROOM_REQUESTS = 3
"""Limited targets that are asked for room for one request. Each question may take a
way to another region and back; a request that finds none is to be refused at once."""


class ScoredTarget(msgspec.Struct, frozen=True):
    """One target for a request, weighed."""

    state: TargetState
    rank: int
    """Place of the target in the key's order, among those that are usable."""
    seen: bool
    """Whether an entry had an answer for the key from there."""
    cold_share: float
    """Likelihood of a cold run."""
    wait_ms: float
    """Expected time in the target's queue."""
    response_ms: float
    """Wait and run, as expected."""
    cost_ms: float
    """What options are compared by."""


class TargetChooser:
    """Weighs targets for requests, and learns from their answers."""

    def __init__(self, region: str, domain: str, fleet: Fleet, tuning: Tuning) -> None:
        """Create it.

        Args:
          region: this entry's region.
          domain: this entry's failure domain.
          fleet: the states of targets.
          tuning: bounds and switches of the rules.
        """
        self._tuning = tuning
        self._region = region
        self._domain = domain
        self._fleet = fleet
        self._times = RunTimeTable()
        self._warmth = ColdRunRates()
        self.warm_keys = WarmKeyDigests()

    def keep_only(self, routes: set[str], targets: set[str]) -> None:
        """Forget routes and targets that are gone."""
        self._times.keep_only(routes)
        self._warmth.keep_only(targets)

    def choose(
        self,
        request: PlacementRequest,
        candidates: list[Target],
        reason: PlacementReason,
        now: float,
    ) -> ScoredTarget | None:
        """Return the best of some targets; None if the wait is too long at each.

        Only the key's first targets that are usable count (`Tuning.targets_a_key`).

        Args:
          request: what is to be placed.
          candidates: targets in the key's order.
          reason: "overflow" if it is not the key's region: all are likely cold then.
          now: monotonic time in seconds.
        """
        times = self._times_of(request)
        most_ms = max_queue_wait_ms(request, times.warm_run_ms, self._tuning, now)
        fitting = [
            option
            for option in self._score_candidates(request, candidates, reason, now)
            if option.wait_ms <= most_ms and self._is_acceptable(option, now)
        ]
        return min(fitting, key=lambda o: o.cost_ms, default=None)

    def _score_candidates(
        self,
        request: PlacementRequest,
        candidates: list[Target],
        reason: PlacementReason,
        now: float,
    ) -> list[ScoredTarget]:
        """Weigh the first usable, warm targets that were not tried."""
        options: list[ScoredTarget] = []
        for target in candidates:
            if target.name in request.tried_targets:
                continue
            state = self._fleet.of(target, now)
            if not state.admits(request.priority, now) or state.in_warm_up(now):
                continue
            if self.lacks_room(request, state, now):
                if not options:
                    state.room.count_skipped(request.priority)
                continue
            rank = RANKS - 1 if reason == "overflow" else len(options)
            options.append(self._score_target(request, state, rank, now))
            if len(options) >= self._tuning.targets_a_key:
                break
        return options

    def lacks_room(
        self, request: PlacementRequest, state: TargetState, now: float
    ) -> bool:
        """Return whether a target is known to have no room within what bounds it.

        It is neither slow nor failed, and takes what its limiter grants again at once.
        """
        target = state.target
        if self._fleet.room_per_s(target, now) is None:
            return False
        if target.name in request.targets_without_room:
            return True
        if len(request.targets_without_room) >= MAX_ROOM_REQUESTS:
            return True
        return state.room.suppresses(request.priority, now)

    def _score_target(
        self, request: PlacementRequest, state: TargetState, rank: int, now: float
    ) -> ScoredTarget:
        """Weigh one target.

        Its queue is the load beyond its slots, this request included, served at the
        mean time of its runs; the price adds what a cold run and distance cost.
        """
        target = state.target
        times = self._times_of(request)
        seen = not request.route.affinity or self._has_answered(request.key, state, now)
        cold_share = self._warmth.cold_share(target, rank, seen)
        ahead = max(state.load(now) - target.slots + 1, 0.0)
        run_ms = times.run_ms(self._warmth.eviction_rate(target))
        wait_ms = ahead * run_ms / target.slots
        response_ms = wait_ms + times.run_ms(cold_share)
        cost_ms = response_ms
        if rank == 0 and not seen:
            # It must become warm somewhere: a cold run here is no reason to go on.
            cost_ms = wait_ms + times.warm_run_ms
        if target.domain != self._domain:
            cost_ms += OTHER_DOMAIN_PENALTY_MS
        return ScoredTarget(
            state=state,
            rank=rank,
            seen=seen,
            cold_share=cold_share,
            wait_ms=wait_ms,
            response_ms=response_ms,
            cost_ms=cost_ms,
        )

    def _has_answered(self, key: str, state: TargetState, now: float) -> bool:
        """Return whether any entry had an answer for a key from a target."""
        if state.has_answered(key):
            return True
        since = state.cold_until
        return self.warm_keys.is_warm(state.target, key, since, now)

    def _is_acceptable(self, option: ScoredTarget, now: float) -> bool:
        """Return whether a request may run there, its likely cold run considered.

        A likely cold run is allowed at the key's first target, and at its second one
        while that has many free slots and doesn't forget keys. All entries agree on
        these two, so that a key costs few cold runs in all. Overflow to whatever has
        free slots costs one at each entry and target, and makes a loaded region slower
        still (six targets a key: worth 0.584 beside 0.678, 65 entries).
        """
        if option.rank == 0 or option.cold_share < COLD_RUN_THRESHOLD:
            return True
        state = option.state
        if self._warmth.evicts_keys(state.target):
            return False
        return state.load(now) < self._tuning.cold_room * state.target.slots

    def _times_of(self, request: PlacementRequest) -> RunTimeClusters:
        return self._times.of(request.route, request.service)

    def run_times(self, request: PlacementRequest) -> MeanRunTimes:
        """Return how long runs of such requests take."""
        times = self._times_of(request)
        return MeanRunTimes(times.warm_run_ms / 1000, times.cold_run_ms / 1000)

    def score_cold_target(
        self, request: PlacementRequest, state: TargetState
    ) -> ScoredTarget:
        """Return the option of a target in its warm-up, where all runs are cold."""
        cold_run_ms = self._times_of(request).cold_run_ms
        return ScoredTarget(
            state=state,
            rank=RANKS,
            seen=False,
            cold_share=1.0,
            wait_ms=0.0,
            response_ms=cold_run_ms,
            cost_ms=cold_run_ms,
        )

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
        self._fleet.of(placement.target, now).record_key(request.key)
        if request.route.affinity and placement.rank > 0:
            self.warm_keys.record_answer(placement.target, request.key, now)

    def _learn_run(
        self, request: PlacementRequest, placement: Placement, took_ms: float
    ) -> None:
        """Learn from the time of a run that had a slot at once."""
        times = self._times_of(request)
        if request.route.affinity and self._tuning.learns_warmth:
            cold = times.is_cold(took_ms)
            self._warmth.record(placement.target, placement.rank, placement.seen, cold)
        if placement.target.region == self._region:
            times.learn(took_ms)
