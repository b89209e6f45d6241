# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selects the candidate with the lowest cost, by cold runs, load and distance.

Owns the run times by route and service (run_times.py), the rates of cold runs
(cold_run_rates.py) and the keys that are warm at a target other than their first one
(warm_key_digests.py). All are lost with the process and learned again from answers.

Relies on the states of targets (fleet.py), and on candidates in the order of the key,
which is identical at all entries (rendezvous.py).
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
"""Probability of a cold run at or above which a run counts as likely cold.

With a greater value, more cold runs at second targets slow down busy targets. With a
smaller one, requests are rejected although a warm run was likely.
"""
OTHER_DOMAIN_PENALTY_MS = 8.0
"""Cost added to a target in another failure domain, in ms.

Saves bytes between domains if targets are equally good. With a greater value, requests
wait for a target in their own domain. With a smaller one, the domain of the target is
arbitrary.
"""

MAX_ROOM_REQUESTS = 3
"""Maximum target limiters that are asked for permission for one request.

Each room request may take a round trip to another region, but a request without
permission is to be rejected quickly.
"""


class ScoredTarget(msgspec.Struct, frozen=True):
    """A target with its expected times and cost for a request."""

    state: TargetState
    rank: int
    """Index of the target among the usable, untried candidates of the key."""
    seen: bool
    """Whether any entry received an answer for the key from the target."""
    cold_share: float
    """Probability of a cold run."""
    slowness: float
    """Duration of work at the target now, relative to usual."""
    wait_ms: float
    """Expected wait in the target's queue."""
    response_ms: float
    """Expected duration of wait and run."""
    cost_ms: float
    """The value by which targets are compared; the lowest is selected."""


class TargetChooser:
    """Scores targets for requests, and learns from their answers."""

    def __init__(
        self,
        region: str,
        domain: str,
        fleet: Fleet,
        tuning: Tuning,
        single_region_tuning: Tuning,
    ) -> None:
        """Create it.

        Args:
          region: this entry's region.
          domain: this entry's failure domain.
          fleet: the states of targets.
          tuning: parameters of the rules.
          single_region_tuning: parameters of waits for requests that one region only
            may serve.
        """
        self._tuning = tuning
        self._single_region_tuning = single_region_tuning
        self._region = region
        self._domain = domain
        self._fleet = fleet
        self._run_times = RunTimeTable()
        self._cold_run_rates = ColdRunRates()
        self.warm_keys = WarmKeyDigests()

    def keep_only(self, routes: set[str], targets: set[str]) -> None:
        """Drop the learned values of routes and targets that are not listed."""
        self._run_times.keep_only(routes)
        self._cold_run_rates.keep_only(targets)

    def choose(
        self,
        request: PlacementRequest,
        candidates: list[Target],
        reason: PlacementReason,
        now: float,
    ) -> ScoredTarget | None:
        """Return the candidate with the lowest cost.

        Considers the first `Tuning.targets_a_key` usable candidates only.

        Args:
          request: the request to place.
          candidates: targets in the key's order.
          reason: "overflow" if this is not the key's region; all runs are then likely
            cold.
          now: monotonic time in seconds.
        Returns: None if no candidate is acceptable, or each has too long a wait.
        """
        acceptable = [
            scored
            for scored in self._score_candidates(request, candidates, reason, now)
            if scored.wait_ms <= self._max_wait_ms(request, scored, now)
            and self._is_acceptable(scored, now)
        ]
        return min(acceptable, key=lambda t: t.cost_ms, default=None)

    def time_to_room_ms(
        self, request: PlacementRequest, candidates: list[Target], now: float
    ) -> float | None:
        """Return the time until a candidate is expected to be acceptable, in ms.

        The wait for a slot shortens by a second each second, if no other request is
        sent to the target.

        Args:
          request: a request that `choose` has no target for.
          candidates: targets in the key's order.
          now: monotonic time in seconds.
        Returns: None if no candidate is acceptable at any load.
        """
        excess_ms = [
            scored.wait_ms - self._max_wait_ms(request, scored, now)
            for scored in self._score_candidates(request, candidates, "share", now)
            if self._is_acceptable(scored, now)
        ]
        return max(min(excess_ms), 0.0) if excess_ms else None

    def _max_wait_ms(
        self, request: PlacementRequest, scored: ScoredTarget, now: float
    ) -> float:
        """Return how long a request may wait for a slot of a target, in ms."""
        tuning = self._single_region_tuning if request.single_region else self._tuning
        cold_share = scored.cold_share if tuning.reserves_expected_run else 0.0
        run_ms = self._clusters(request).run_ms(cold_share) * scored.slowness
        return max_queue_wait_ms(request, run_ms, tuning, now)

    def _score_candidates(
        self,
        request: PlacementRequest,
        candidates: list[Target],
        reason: PlacementReason,
        now: float,
    ) -> list[ScoredTarget]:
        """Score the first usable candidates that are untried and not in warm-up."""
        scored: list[ScoredTarget] = []
        max_targets = 1 if request.first_target_only else self._tuning.targets_a_key
        for target in candidates:
            if target.name in request.tried_targets:
                continue
            state = self._fleet.state_of(target, now)
            if not state.admits(request.priority, now) or state.in_warm_up(now):
                continue
            if self.lacks_room(request, state, now):
                if not scored:
                    state.room.count_skipped(request.priority)
                continue
            rank = RANKS - 1 if reason == "overflow" else len(scored)
            scored.append(self._score_target(request, state, rank, now))
            if len(scored) >= max_targets:
                break
        return scored

    def lacks_room(
        self, request: PlacementRequest, state: TargetState, now: float
    ) -> bool:
        """Return whether a limited target is known to have no room for a request.

        This does not eject the target: it receives requests again as soon as its
        limiter grants room.
        """
        target = state.target
        if self._fleet.effective_limit_per_s(target, now) is None:
            return False
        if target.name in request.targets_without_room:
            return True
        if len(request.targets_without_room) >= MAX_ROOM_REQUESTS:
            return True
        return state.room.suppresses(request.priority, now)

    def _score_target(
        self, request: PlacementRequest, state: TargetState, rank: int, now: float
    ) -> ScoredTarget:
        """Score one target.

        The queue is the load beyond the slots, including this request. Queued runs are
        assumed to be cold at the target's eviction rate. The cost includes a likely
        cold run and the distance. All runs take the target's slowness.
        """
        target = state.target
        slowness = state.slowness(now)
        times = self._clusters(request)
        seen = not request.route.affinity or self._has_answered(request.key, state, now)
        cold_share = self._cold_run_rates.cold_run_probability(target, rank, seen)
        queued = max(state.load(now) - target.slots + 1, 0.0)
        run_ms = times.run_ms(self._cold_run_rates.eviction_rate(target))
        wait_ms = queued * run_ms * slowness / target.slots
        own_run_ms = times.run_ms(cold_share)
        response_ms = wait_ms + own_run_ms * slowness
        cost_ms = response_ms
        if rank == 0 and not seen:
            # An unseen key runs cold anywhere, so its first target has no extra cost.
            slow_ms = own_run_ms * (slowness - 1.0)
            cost_ms = wait_ms + times.warm_run_ms + slow_ms
        if target.domain != self._domain:
            cost_ms += OTHER_DOMAIN_PENALTY_MS
        return ScoredTarget(
            state=state,
            rank=rank,
            seen=seen,
            cold_share=cold_share,
            slowness=slowness,
            wait_ms=wait_ms,
            response_ms=response_ms,
            cost_ms=cost_ms,
        )

    def _has_answered(self, key: str, state: TargetState, now: float) -> bool:
        """Return whether a target has answered a key for any entry."""
        if state.has_answered(key):
            return True
        # Answers before the end of the last warm-up do not count.
        warm_since = state.warm_up_until
        return self.warm_keys.is_warm(state.target, key, warm_since, now)

    def _is_acceptable(self, scored: ScoredTarget, now: float) -> bool:
        """Return whether a likely cold run is acceptable at a target.

        It is acceptable at the key's first target, and at further ones while they have
        many free slots and do not evict keys. All entries use the same few targets for
        a key, which limits its cold runs. Using any target with free slots would cost a
        cold run for each entry and target, and slow down a loaded region further (see
        `Tuning.targets_a_key`).
        """
        if scored.rank == 0 or scored.cold_share < COLD_RUN_THRESHOLD:
            return True
        state = scored.state
        if self._cold_run_rates.evicts_keys(state.target):
            return False
        usual_slots = state.target.slots / scored.slowness
        return state.load(now) < self._tuning.cold_room * usual_slots

    def _clusters(self, request: PlacementRequest) -> RunTimeClusters:
        """Return the run times of such requests."""
        return self._run_times.clusters(request.route, request.service)

    def run_times(self, request: PlacementRequest) -> MeanRunTimes:
        """Return the mean durations of runs of such requests."""
        times = self._clusters(request)
        return MeanRunTimes(times.warm_run_ms / 1000, times.cold_run_ms / 1000)

    def score_target_in_warm_up(
        self, request: PlacementRequest, state: TargetState, now: float
    ) -> ScoredTarget:
        """Score a target in its warm-up; all its runs count as cold."""
        slowness = state.slowness(now)
        cold_run_ms = self._clusters(request).cold_run_ms * slowness
        return ScoredTarget(
            state=state,
            rank=RANKS,
            seen=False,
            cold_share=1.0,
            slowness=slowness,
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
        """Update run times, cold run rates and known keys from a complete answer.

        The run time that is learned is the usual one: the duration over the mean
        slowness of the target at the start and at the end of the run.

        Args:
          request: the request.
          placement: the target that answered it.
          took_ms: duration of the request at the target.
          now: monotonic time in seconds.
        """
        state = self._fleet.state_of(placement.target, now)
        if placement.load < placement.target.slots:
            slowness = (placement.slowness + state.slowness(now)) / 2
            self._learn_run(request, placement, took_ms / slowness)
        state.record_key(request.key)
        if request.route.affinity and placement.rank > 0:
            self.warm_keys.record_answer(placement.target, request.key, now)

    def _learn_run(
        self, request: PlacementRequest, placement: Placement, took_ms: float
    ) -> None:
        """Learn from the usual duration of a run that did not wait for a slot."""
        times = self._clusters(request)
        if request.route.affinity and self._tuning.learns_warmth:
            was_cold = times.is_cold(took_ms)
            self._cold_run_rates.record(
                placement.target, placement.rank, placement.seen, was_cold
            )
        if placement.target.region == self._region:
            times.learn(took_ms)
