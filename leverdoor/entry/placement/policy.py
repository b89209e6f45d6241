# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selects the target of a request at one entry, or rejects the request.

`PlacementPolicy.place` applies the rules in order; each rule has a module of its own.
Nothing here does I/O or waits.

Owns the state of the rules: the candidates (candidates.py), the chooser with run times
and warm keys (target_chooser.py), the shares of regions (region_share_table.py), the
overflow budget (overflow_budget.py), the round-robin credit of services
(service_weights.py), the rests reported by other entries (peer_rests.py) and, if it has
one, the keys that full regions serve (key_admission.py). Rejections are built by
rejections.py. Nothing is persisted.

Relies on the configuration (a `Catalog`), on the states of targets (fleet.py), and on
calls of `answered` and `ended` for placed requests.
"""

from collections.abc import Callable
from random import Random

from leverdoor.entry.configuration.catalog import EMPTY_CATALOG, Catalog
from leverdoor.entry.placement.candidates import CandidateSelector
from leverdoor.entry.placement.fleet import Fleet, TargetState
from leverdoor.entry.placement.key_admission import KeyAdmissionTable
from leverdoor.entry.placement.overflow_budget import OverflowBudget
from leverdoor.entry.placement.peer_rests import REST_DIGEST_TTL_S, PeerRests
from leverdoor.entry.placement.placement_request import (
    Placement,
    PlacementReason,
    PlacementRequest,
    RoomEstimate,
)
from leverdoor.entry.placement.region_share_table import RegionShareTable
from leverdoor.entry.placement.region_shares import MOVE_PER_S, UNUSABLE_UTILIZATION
from leverdoor.entry.placement.rejections import Rejections
from leverdoor.entry.placement.service_weights import ServiceWeights
from leverdoor.entry.placement.target_chooser import ScoredTarget, TargetChooser
from leverdoor.entry.placement.tuning import PRODUCTION, Tuning
from leverdoor.entry.placement.warm_key_digests import WarmKeyDigests
from leverdoor.entry.wire import TargetReport
from leverdoor.errors import Rejection
from leverdoor.model.resources import Route, Target

__all__ = ["PlacementPolicy"]

MIN_EXPECTED_MS = 1.0
"""Lower bound of an expected duration in ms; prevents a division by zero."""


class PlacementPolicy:
    """Selects targets by key, location and load."""

    def __init__(
        self,
        region: str,
        domain: str,
        fleet: Fleet,
        rng: Random,
        move_per_s: float = MOVE_PER_S,
        tuning: Tuning = PRODUCTION,
        key_admission: KeyAdmissionTable | None = None,
        single_region_tuning: Tuning | None = None,
    ) -> None:
        """Create a policy without a configuration.

        Args:
          region: this entry's region.
          domain: this entry's failure domain.
          fleet: the states of targets.
          rng: the source of all random numbers.
          move_per_s: maximum fraction of a service's keys that changes region in a
            second.
          tuning: parameters of the rules.
          key_admission: decides which keys a full region serves; None to serve all.
          single_region_tuning: parameters of waits for requests that one region only
            may serve; None for the same as for others.
        """
        self._tuning = tuning
        self._key_admission = key_admission
        self._region = region
        self._fleet = fleet
        self._rng = rng
        self._catalog = EMPTY_CATALOG
        self._candidates = CandidateSelector(region, domain)
        self._chooser = TargetChooser(
            region, domain, fleet, tuning, single_region_tuning or tuning
        )
        self._rejections = Rejections(fleet, self._candidates, self._chooser, rng)
        self._rests = PeerRests(self._chooser.warm_keys, rng)
        self._overflow = OverflowBudget(tuning.overflow_earn)
        self._weights = ServiceWeights(rng)
        self.shares = RegionShareTable(region, fleet, move_per_s, tuning)
        self.room_changes: list[Callable[[Target | None], None]] = []
        """Called with the target at which a request of this entry ended.

        Called with None if other entries reported newer counts, of any targets.
        """
        self.may_warm_up_target: Callable[[Target], bool] = lambda _: True
        """Returns whether this entry may send requests to a cold target.

        Set by entry/data_plane.py, where the rule depends on the live members.
        """

    def renew(self, catalog: Catalog) -> None:
        """Apply a new configuration."""
        self._catalog = catalog
        self._candidates.renew(catalog)
        self.shares.renew(catalog.regions, self._candidates.targets_by_region)
        self._chooser.keep_only(catalog.route_names, set(catalog.targets))
        if self._key_admission is not None:
            self._key_admission.keep_only(catalog.services)

    def pick_service(self, route: Route) -> str:
        """Select a service of a route by the route's weights."""
        return self._weights.pick(route)

    @property
    def warm_keys(self) -> WarmKeyDigests:
        """Digests of warm keys and of rests, to be exchanged in heartbeats."""
        return self._chooser.warm_keys

    def place(self, request: PlacementRequest, now: float) -> Placement | Rejection:
        """Select a target for a request and count the request there, or reject it.

        Tries, in this order: targets in the region of the key; targets in another
        region, for a limited number of requests; targets in their warm-up, within its
        limit.

        Args:
          request: the request to place.
          now: monotonic time in seconds.
        """
        self._overflow.refill()
        regions = self._candidates.regions(request)
        if not regions:
            return self._rejections.without_region(request)
        request.single_region = len(regions) == 1
        if self._refuses_key(request, regions, now):
            return self._rejections.by_key(request, regions[0])
        key_region = self.shares.region(request.service, request.key, regions, now)
        others = [region for region in regions if region != key_region]
        placement = (
            self._place_in(request, key_region, "share", now)
            or self._place_in_overflow(request, key_region, others, now)
            or self._place_in_warm_up(request, [key_region, *others], now)
        )
        if placement is None:
            return self._rejections.without_target(request, regions, key_region, now)
        return placement

    def update_shares(
        self,
        peers_shares: list[dict[str, dict[str, float]]],
        admitted_keys: dict[str, dict[str, float]],
        now: float,
    ) -> None:
        """Update the shares of regions and the fractions of keys that they admit.

        Args:
          peers_shares: as for `RegionShareTable.update`.
          admitted_keys: by service and region, the mean of the admitted fractions at
            this region's entries.
          now: monotonic time in seconds.
        """
        table = self._key_admission
        if table is None:
            self.shares.update(peers_shares, now)
            return
        utilization = {
            (service, region): self.shares.utilization(service, region, now)
            for service, region in table.regions()
        }
        table.update(utilization, admitted_keys, now)
        self.shares.update(peers_shares, now, table.restricted())

    def key_fractions(self) -> dict[tuple[str, str], float]:
        """Return the admitted fractions of keys by service and region, for metrics."""
        return {} if self._key_admission is None else self._key_admission.fractions()

    def admitted_keys(self) -> dict[str, dict[str, float]]:
        """Return the admitted fractions of keys, for heartbeats; {} for all keys."""
        return {} if self._key_admission is None else self._key_admission.to_send()

    # Requests that wait for room.

    def announce_room(self, target: Target | None) -> None:
        """Call `room_changes`: a target may have room; None for any target."""
        for on_room in self.room_changes:
            on_room(target)

    def key_region(self, request: PlacementRequest, now: float) -> str | None:
        """Return the region that serves the key of a request; None without any."""
        regions = self._candidates.regions(request)
        if not regions:
            return None
        return self.shares.region(request.service, request.key, regions, now)

    def place_waiting(
        self, request: PlacementRequest, region: str, now: float
    ) -> Placement | None:
        """Place a request that `place` rejected for lack of room, if there is room now.

        Considers neither overflow nor targets in their warm-up, whose budgets count
        each request once.

        Args:
          request: the request.
          region: the region of its key.
          now: monotonic time in seconds.
        """
        scored = self._chooser.choose(
            request, self._unlimited(request, region, now), "share", now
        )
        return None if scored is None else self._commit(request, scored, "share", now)

    def estimate_room(
        self, request: PlacementRequest, region: str, now: float
    ) -> RoomEstimate | None:
        """Estimate when a request that was rejected for lack of room will find some.

        Args:
          request: the request.
          region: the region of its key.
          now: monotonic time in seconds.
        Returns: None if no target of its key in the region may serve it then.
        """
        candidates = self._unlimited(request, region, now)
        time_to_room_ms = self._chooser.time_to_room_ms(request, candidates, now)
        _, slots = self.shares.load_and_slots(request.service, region, now)
        if time_to_room_ms is None or not slots:
            return None
        run_s = self._chooser.run_times(request).warm_s
        return RoomEstimate(time_to_room_ms / 1000, run_s, run_s / slots)

    def _unlimited(
        self, request: PlacementRequest, region: str, now: float
    ) -> list[Target]:
        """Return the candidates of a region that are not known to be at their limit.

        Limiters count each request that asks for room, or would have, once.
        """
        if region not in self._candidates.regions(request):
            # The configuration has changed since the request began to wait.
            return []
        candidates = self._candidates.select(
            request, region, lambda target: self._is_open(target, now)
        )
        states = [self._fleet.state_of(target, now) for target in candidates]
        return [
            state.target
            for state in states
            if not self._is_avoided(state.target, now)
            and not self._chooser.lacks_room(request, state, now)
        ]

    def is_leaving(self, target: Target, now: float) -> bool:
        """Return whether a target reported that it is leaving."""
        return self._fleet.state_of(target, now).availability.leaving

    def accepts_requests(self, target: Target, now: float) -> bool:
        """Return whether a target that was selected earlier still accepts requests.

        In the meantime, it may have been taken out of service, or have reported that it
        is leaving or needs a rest.
        """
        if target.name not in self._catalog.usable_target_names:
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
        """Place a request at the best target of a region.

        Targets that are ejected as slow, or recently requested rests of other entries,
        serve only if no other target can.
        """
        candidates = self._candidates.select(
            request, region, lambda target: self._is_open(target, now)
        )
        preferred = [t for t in candidates if not self._is_avoided(t, now)]
        scored = self._chooser.choose(request, preferred, reason, now)
        if scored is None and len(preferred) < len(candidates):
            scored = self._chooser.choose(request, candidates, reason, now)
        return None if scored is None else self._commit(request, scored, reason, now)

    def _is_open(self, target: Target, now: float) -> bool:
        """Return whether a target is neither leaving nor resting."""
        return self._fleet.state_of(target, now).availability.open(now)

    def _is_avoided(self, target: Target, now: float) -> bool:
        """Return whether a target is to serve only if no other can.

        A recent answer to this entry overrides the rests reported by other entries.
        """
        state = self._fleet.state_of(target, now)
        if self._tuning.avoids_slow and state.is_slow(now):
            return True
        if now - state.availability.answered_at <= REST_DIGEST_TTL_S:
            return False
        return self._rests.is_reported_resting(target, now)

    def _place_in_overflow(
        self, request: PlacementRequest, key_region: str, others: list[str], now: float
    ) -> Placement | None:
        """Place a request outside its key's region, least loaded regions first."""
        if not others or not self._may_overflow(request, key_region, now):
            return None

        def utilization(region: str) -> float:
            return self.shares.utilization(request.service, region, now)

        for region in sorted(others, key=utilization):
            placement = self._place_in(request, region, "overflow", now)
            if placement is not None:
                return placement
        return None

    def _may_overflow(
        self, request: PlacementRequest, key_region: str, now: float
    ) -> bool:
        """Return whether a request may be placed outside its key's region.

        Always true if that region has no usable slots, otherwise limited by the budget.
        """
        if (
            self.shares.utilization(request.service, key_region, now)
            >= UNUSABLE_UTILIZATION
        ):
            return True
        return self._overflow.take()

    def _place_in_warm_up(
        self, request: PlacementRequest, regions: list[str], now: float
    ) -> Placement | None:
        """Place a request at a target in its warm-up.

        The caller must still ask the target's limiter for permission. Tries this
        entry's region first, then the other regions in order.
        """
        for region in sorted(regions, key=lambda r: r != self._region):
            for target in self._candidates.order(request, region):
                state = self._fleet.state_of(target, now)
                if not self._may_warm_up(request, state, now):
                    continue
                scored = self._chooser.score_target_in_warm_up(request, state, now)
                return self._commit(request, scored, "cold", now)
        return None

    def _may_warm_up(
        self, request: PlacementRequest, state: TargetState, now: float
    ) -> bool:
        """Return whether a target is in its warm-up and may take the request."""
        target = state.target
        if not state.in_warm_up(now) or not state.admits(request.priority, now):
            return False
        if target.name in request.tried_targets or state.load(now) >= target.slots:
            return False
        if self._chooser.lacks_room(request, state, now):
            return False
        return self.may_warm_up_target(target)

    def refuses_keys(self, service: str, region: str) -> bool:
        """Return whether a region refuses keys of requests that it alone may serve."""
        table = self._key_admission
        return table is not None and (service, region) in table.restricted()

    def _refuses_key(
        self, request: PlacementRequest, regions: list[str], now: float
    ) -> bool:
        """Return whether the only region that may serve a request refuses its key."""
        table = self._key_admission
        return table is not None and table.refuses(request, regions, now)

    def _commit(
        self,
        request: PlacementRequest,
        scored: ScoredTarget,
        reason: PlacementReason,
        now: float,
    ) -> Placement:
        """Add a request to those in flight at its target, and return the placement."""
        state = scored.state
        load = state.load(now)
        age_ms = state.load_age_ms(now)
        state.record_sent(now, self._chooser.run_times(request))
        return Placement(
            target=state.target,
            rank=scored.rank,
            seen=scored.seen,
            cold_share=scored.cold_share,
            expected_ms=scored.response_ms,
            load=load,
            load_age_ms=age_ms,
            reason=reason,
            limit_per_s=self._fleet.reported_limit_per_s(state.target),
            slowness=scored.slowness,
        )

    # Results of placed requests.

    def take_report(self, target: Target, report: TargetReport, now: float) -> None:
        """Apply the report in an answer of a target.

        Args:
          target: the target that answered.
          report: the report; the answered request still counts as in flight.
          now: monotonic time in seconds.
        """
        self._fleet.state_of(target, now).record_report(report, self._rng, now)
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
        """Learn sizes, health, run times and warm keys from a complete answer.

        Args:
          request: the request.
          placement: the target that answered it.
          took_ms: duration of the request at the target.
          size: bytes of the request and its answer.
          now: monotonic time in seconds.
        Returns: whether the target is now ejected as slow.
        """
        self._candidates.record_size(request.service, size)
        state = self._fleet.state_of(placement.target, now)
        expected_ms = self._expected_ms(placement, state.slowness(now))
        ejected = state.record_answer(took_ms / expected_ms, now)
        self._chooser.learn(request, placement, took_ms, now)
        return ejected

    def timed_out(self, placement: Placement, took_ms: float, now: float) -> bool:
        """Record a request that timed out before the target answered.

        Args:
          placement: the target.
          took_ms: duration until the time-out.
          now: monotonic time in seconds.
        Returns: whether the target is now ejected as slow.
        """
        state = self._fleet.state_of(placement.target, now)
        expected_ms = self._expected_ms(placement, state.slowness(now))
        return state.overran(took_ms / expected_ms, now)

    def _expected_ms(self, placement: Placement, slowness: float) -> float:
        """Return the duration by which a target's answer is judged.

        A target that reports that it is slow is avoided by its cost already; it must
        not be ejected for the same. The report may have arrived after the request was
        placed.

        Args:
          placement: the target and the expected duration.
          slowness: slowness of the target at the end of the request.
        """
        later = max(slowness / placement.slowness, 1.0)
        return max(placement.expected_ms * later, MIN_EXPECTED_MS)

    def ended(self, placement: Placement, now: float) -> None:
        """Remove an ended request from those in flight, successful or not."""
        self._fleet.state_of(placement.target, now).record_end()
        self.announce_room(placement.target)
