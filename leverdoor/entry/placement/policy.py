# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which target serves a request, or why none does: the decisions of one entry.

`PlacementPolicy.place` is the list of rules in order; each rule stands in a module of
its own. Nothing here does I/O or waits.

Owns the parts that the rules keep state in: the candidates (candidates.py), the
chooser with run times and warm keys (choice.py), the shares of regions (sharing.py),
the overflow budget (overflow.py), the credit of services (service_weights.py) and the
rests of targets that other entries tell of (shared_rests.py). All is lost with the
process.

Relies on the configuration (a `Catalog`), on the states of targets (fleet.py), and on
`answered` and `ended` being called for what was placed.
"""

from collections.abc import Callable
from random import Random

from leverdoor.entry.configuration.catalog import EMPTY, Catalog
from leverdoor.entry.placement.candidates import CandidateSelector
from leverdoor.entry.placement.fleet import Fleet, TargetState
from leverdoor.entry.placement.overflow_budget import OverflowBudget
from leverdoor.entry.placement.peer_rests import REST_DIGEST_TTL_S, PeerRests
from leverdoor.entry.placement.placement_request import (
    Placement,
    PlacementReason,
    PlacementRequest,
)
from leverdoor.entry.placement.queue_wait import URGENT_PRIORITY
from leverdoor.entry.placement.refusals import (
    describe_loads,
    limited_retry_after_ms,
    resting_retry_after_ms,
    retry_after_ms,
)
from leverdoor.entry.placement.region_share_table import RegionShareTable
from leverdoor.entry.placement.region_shares import MOVE_PER_S, NO_SLOTS_UTILIZATION
from leverdoor.entry.placement.service_weights import ServiceWeights
from leverdoor.entry.placement.target_chooser import ScoredTarget, TargetChooser
from leverdoor.entry.placement.tuning import PRODUCTION, Tuning
from leverdoor.entry.placement.warm_key_digests import WarmKeyDigests
from leverdoor.entry.wire import TargetReport
from leverdoor.errors import Code, Rejection
from leverdoor.model.resources import Route, Target

__all__ = ["PlacementPolicy"]

MAX_LOGGED_TARGETS = 3
"""Targets that the log names when none could take a request.

A line that can be read, with the two that may serve the key and the next.
"""


class PlacementPolicy:
    """Chooses targets by key, place and load."""

    def __init__(
        self,
        region: str,
        domain: str,
        fleet: Fleet,
        rng: Random,
        move_per_s: float = MOVE_PER_S,
        tuning: Tuning = PRODUCTION,
    ) -> None:
        """Create it.

        Args:
          region: this entry's region.
          domain: this entry's failure domain.
          fleet: the states of targets.
          rng: where all chance comes from.
          move_per_s: most of a service's keys that change region in a second, as a
            share of 1.
          tuning: bounds and switches of the rules.
        """
        self._tuning = tuning
        self._region = region
        self._fleet = fleet
        self._rng = rng
        self._catalog = EMPTY
        self._candidates = CandidateSelector(region, domain)
        self._chooser = TargetChooser(region, domain, fleet, tuning)
        self._rests = PeerRests(self._chooser.warm_keys, rng)
        self._overflow = OverflowBudget(tuning.overflow_earn)
        self._weights = ServiceWeights(rng)
        self.shares = RegionShareTable(region, fleet, move_per_s, tuning)
        self.may_warm_up_target: Callable[[Target], bool] = lambda _: True
        """Whether this entry may use a cold target. The entry sets it to its rule,
        which knows the members."""

    def renew(self, catalog: Catalog) -> None:
        """Take a new configuration."""
        self._catalog = catalog
        self._candidates.renew(catalog)
        self.shares.renew(catalog.regions, self._candidates.targets_by_region)
        self._chooser.keep_only(catalog.route_names, set(catalog.targets))

    def pick_service(self, route: Route) -> str:
        """Choose among the services of a route so that their weights hold."""
        return self._weights.pick(route)

    @property
    def warm_keys(self) -> WarmKeyDigests:
        """The keys that are warm at a second target, exchanged by heartbeats."""
        return self._chooser.warm_keys

    def place(self, request: PlacementRequest, now: float) -> Placement | Rejection:
        """Choose a target for a request and count it there, or refuse it at once.

        In this order: a target in the region of the key; one in another region, for
        a few requests; one in its warm-up, within what it bears.

        Args:
          request: what is to be placed.
          now: monotonic time in seconds.
        """
        self._overflow.earn()
        regions = self._candidates.regions(request)
        if not regions:
            return self._refuse_without_region(request)
        first = self.shares.region(request.service, request.key, regions, now)
        others = [region for region in regions if region != first]
        placement = (
            self._place_in(request, first, "share", now)
            or self._place_in_overflow(request, first, others, now)
            or self._place_in_warm_up(request, [first, *others], now)
        )
        if placement is None:
            return self._refuse_unplaced(request, regions, first, now)
        return placement

    def is_leaving(self, target: Target, now: float) -> bool:
        """Return whether a target reported that it leaves."""
        return self._fleet.of(target, now).availability.leaving

    def accepts_requests(self, target: Target, now: float) -> bool:
        """Return whether a target that was chosen before takes requests now.

        It may have left service, or said that it leaves or wants rest, meanwhile.
        """
        if target.name not in self._catalog.in_service:
            return False
        return self._is_open(target, now)

    # The rules.

    def _place_in(
        self,
        request: PlacementRequest,
        region: str,
        reason: PlacementReason,
        now: float,
    ) -> Placement | None:
        """Place in a region, where the answer is expected first.

        Targets that are ejected as slow, or lately asked other entries for rest, serve
        only if no other can.
        """
        candidates = self._candidates.candidates(
            request, region, lambda target: self._is_open(target, now)
        )
        sound = [t for t in candidates if not self._avoided(t, now)]
        found = self._chooser.choose(request, sound, reason, now)
        if found is None and len(sound) < len(candidates):
            found = self._chooser.choose(request, candidates, reason, now)
        return None if found is None else self._take(request, found, reason, now)

    def _is_open(self, target: Target, now: float) -> bool:
        """Return whether a target neither leaves nor rests, by its reports."""
        return self._fleet.of(target, now).availability.open(now)

    def _avoided(self, target: Target, now: float) -> bool:
        state = self._fleet.of(target, now)
        if self._tuning.avoids_slow and state.is_slow(now):
            return True
        if now - state.availability.answered_at <= REST_DIGEST_TTL_S:
            return False
        return self._rests.is_resting(target, now)

    def _place_in_overflow(
        self, request: PlacementRequest, first: str, others: list[str], now: float
    ) -> Placement | None:
        """Place in another region than the key's, the least loaded first."""
        if not others or not self._may_overflow(request, first, now):
            return None

        def utilization(region: str) -> float:
            return self.shares.utilization(request.service, region, now)

        for region in sorted(others, key=utilization):
            found = self._place_in(request, region, "overflow", now)
            if found is not None:
                return found
        return None

    def _may_overflow(self, request: PlacementRequest, first: str, now: float) -> bool:
        """Return whether a request may leave its key's region.

        All may while that has no usable target; else a few, within the budget.
        """
        if self.shares.utilization(request.service, first, now) >= NO_SLOTS_UTILIZATION:
            return True
        return self._overflow.spend()

    def _place_in_warm_up(
        self, request: PlacementRequest, regions: list[str], now: float
    ) -> Placement | None:
        """Use a cold target; its limiter has to grant the request.

        Targets of the own region come first, then those of the others in order.
        """
        for region in sorted(regions, key=lambda r: r != self._region):
            for target in self._candidates.order(request, region):
                state = self._fleet.of(target, now)
                if not self._may_warm_up(request, state, now):
                    continue
                option = self._chooser.score_cold_target(request, state)
                return self._take(request, option, "cold", now)
        return None

    def _may_warm_up(
        self, request: PlacementRequest, state: TargetState, now: float
    ) -> bool:
        """Return whether a target is cold, has a slot, and may have room."""
        target = state.target
        if not state.in_warm_up(now) or not state.admits(request.priority, now):
            return False
        if target.name in request.tried_targets or state.load(now) >= target.slots:
            return False
        if self._chooser.lacks_room(request, state, now):
            return False
        return self.may_warm_up_target(target)

    def _refuse_without_region(self, request: PlacementRequest) -> Rejection:
        """Refuse what no region may serve, or none has a target for."""
        if self._candidates.has_home(request):
            return self._refuse(Code.NO_TARGET, "no target may serve it")
        return self._refuse(Code.NO_COMMON_HOME, f"of route {request.route.name}")

    def _refuse_unplaced(
        self, request: PlacementRequest, regions: list[str], first: str, now: float
    ) -> Rejection:
        """Refuse what no target takes, by whether they rest, leave or are full."""
        targets = [
            target
            for region in regions
            for target in self._candidates.targets_by_region[request.service, region]
        ]
        if any(self._is_open(target, now) for target in targets):
            return self._refuse_as_full(request, first, now)
        states = [self._fleet.of(target, now) for target in targets]
        resting = [state for state in states if not state.availability.leaving]
        if not resting:
            return self._refuse(Code.NO_TARGET, "all that may serve it leave")
        return self._refuse_as_resting(request, resting, now)

    def _refuse_as_resting(
        self, request: PlacementRequest, states: list[TargetState], now: float
    ) -> Rejection:
        """Refuse what targets take after a rest only; urgent ones come back first."""
        for state in states:
            state.availability.rejected(request.priority)
        rest_s = min(state.availability.remaining_rest_s(now) for state in states)
        urgent = request.priority <= URGENT_PRIORITY
        wait_ms = resting_retry_after_ms(rest_s, urgent, self._rng.random())
        reason = f"{request.service}: {len(states)} targets, {rest_s:.2f} s left"
        return Rejection(Code.TARGETS_RESTING, wait_ms, reason)

    def _refuse_as_full(
        self, request: PlacementRequest, first: str, now: float
    ) -> Rejection:
        """Refuse what no target can take, with the loads in the key's region."""
        targets = self._candidates.order(request, first)
        loads = describe_loads(targets[:MAX_LOGGED_TARGETS], self._fleet, now)
        reason = f"{request.service} in {first}: {loads}"
        room_s = self._limited_room_s(request, targets, now)
        if room_s is None:
            return self._refuse(Code.QUEUE_FULL, reason)
        wait_ms = limited_retry_after_ms(room_s, self._rng.random())
        return Rejection(Code.TARGETS_LIMITED, wait_ms, reason)

    def _limited_room_s(
        self, request: PlacementRequest, targets: list[Target], now: float
    ) -> float | None:
        """Return when any of some targets should have room, if limits are why not.

        Args:
          request: what found no target.
          targets: of the region that it belongs to.
          now: monotonic time in seconds.
        Returns: None if any that can be used has no limit, or room within it.
        """
        if self._fleet.limits.is_empty:
            return None
        states = [self._fleet.of(t, now) for t in targets]
        usable = [s for s in states if s.is_usable(now) and not s.in_warm_up(now)]
        limited = [s for s in usable if self._chooser.lacks_room(request, s, now)]
        if not usable or len(limited) < len(usable):
            return None
        return min(s.room.room_s(now) for s in limited)

    def _refuse(self, code: Code, reason: str) -> Rejection:
        return Rejection(code, retry_after_ms(self._rng.random()), reason)

    def _take(
        self,
        request: PlacementRequest,
        option: ScoredTarget,
        reason: PlacementReason,
        now: float,
    ) -> Placement:
        """Count a request at its target."""
        state = option.state
        load = state.load(now)
        age_ms = state.load_age_ms(now)
        state.sent(now, self._chooser.run_times(request))
        return Placement(
            target=state.target,
            rank=option.rank,
            seen=option.seen,
            cold_share=option.cold_share,
            expected_ms=option.response_ms,
            load=load,
            load_age_ms=age_ms,
            reason=reason,
            limit_per_s=self._fleet.limit_per_s(state.target),
        )

    # What came of it.

    def take_report(self, target: Target, report: TargetReport, now: float) -> None:
        """Take what an answer reports of its target.

        Args:
          target: which answered.
          report: of an answer whose request still counts as in flight.
          now: monotonic time in seconds.
        """
        self._fleet.of(target, now).apply_report(report, self._rng, now)
        if report.rest_s:
            self._rests.record_rest(target, now)

    def answered(
        self,
        request: PlacementRequest,
        placement: Placement,
        took_ms: float,
        size: int,
        now: float,
    ) -> bool:
        """Learn from a whole answer.

        Args:
          request: the request.
          placement: where it was sent.
          took_ms: how long it took there.
          size: its bytes and its answer's.
          now: monotonic time in seconds.
        Returns: whether the target is so slow that it is ejected now.
        """
        self._candidates.record_size(request.service, size)
        state = self._fleet.of(placement.target, now)
        ejected = state.answered(took_ms / max(placement.expected_ms, 1.0), now)
        self._chooser.learn(request, placement, took_ms, now)
        return ejected

    def ended(self, placement: Placement, now: float) -> None:
        """Count a request that ended, however it did."""
        self._fleet.of(placement.target, now).ended()
