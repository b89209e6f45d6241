# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Builds the rejections of requests that no target serves: code, reason, retry delay.

Owns no state; relies on the states of targets (fleet.py), on the candidates of a
request (candidates.py) and on the random source of placement for the retry delays
(retry_delays.py).
"""

from random import Random

from leverdoor.entry.placement.candidates import CandidateSelector
from leverdoor.entry.placement.fleet import Fleet, TargetState
from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.entry.placement.queue_wait import URGENT_PRIORITY
from leverdoor.entry.placement.retry_delays import (
    describe_loads,
    limited_retry_after_ms,
    refused_key_retry_after_ms,
    resting_retry_after_ms,
    retry_after_ms,
)
from leverdoor.entry.placement.target_chooser import TargetChooser
from leverdoor.errors import Code, Rejection
from leverdoor.model.resources import Target

__all__ = ["Rejections"]

MAX_LOGGED_TARGETS = 3
"""Maximum targets in the log detail of a request that no target can take.

Keeps the line readable; covers the first three targets in the order of the key.
"""


class Rejections:
    """Rejects requests that placement found no target for."""

    def __init__(
        self,
        fleet: Fleet,
        candidates: CandidateSelector,
        chooser: TargetChooser,
        rng: Random,
    ) -> None:
        """Create it.

        Args:
          fleet: the states of targets.
          candidates: the regions and targets that may serve a request.
          chooser: knows which targets lack room within their limits.
          rng: random source of retry delays.
        """
        self._fleet = fleet
        self._candidates = candidates
        self._chooser = chooser
        self._rng = rng

    def by_key(self, request: PlacementRequest, region: str) -> Rejection:
        """Reject a request because of its key."""
        wait_ms = refused_key_retry_after_ms(self._rng.random())
        reason = f"{request.service} in {region} serves other keys"
        return Rejection(Code.REGION_FULL, wait_ms, reason)

    def without_region(self, request: PlacementRequest) -> Rejection:
        """Reject a request without a home region or without a target there."""
        if self._candidates.has_home(request):
            return self._at_random(
                Code.NO_TARGET,
                f"service {request.service} has no target in any home of the request",
            )
        return self._at_random(
            Code.NO_COMMON_HOME,
            f"no region is a home of route {request.route.name} and the workspace",
        )

    def without_target(
        self, request: PlacementRequest, regions: list[str], key_region: str, now: float
    ) -> Rejection:
        """Reject a request that no target can take."""
        targets = [
            target
            for region in regions
            for target in self._candidates.targets_by_region[request.service, region]
        ]
        states = [self._fleet.state_of(target, now) for target in targets]
        open_states = [state for state in states if state.availability.open(now)]
        if open_states and all(state.is_ejected(now) for state in open_states):
            return self._at_random(
                Code.TARGETS_UNREACHABLE,
                f"service {request.service}: {len(open_states)} targets are ejected",
            )
        if open_states:
            return self._as_full(request, key_region, now)
        resting = [state for state in states if not state.availability.leaving]
        if not resting:
            return self._at_random(
                Code.NO_TARGET,
                f"all targets of service {request.service} are leaving",
            )
        return self._as_resting(request, resting, now)

    def _as_resting(
        self, request: PlacementRequest, states: list[TargetState], now: float
    ) -> Rejection:
        """Reject a request during a rest; urgent requests get shorter retry delays."""
        for state in states:
            state.availability.record_entry_rejection(request.priority)
        rest_s = min(state.availability.remaining_rest_s(now) for state in states)
        urgent = request.priority <= URGENT_PRIORITY
        wait_ms = resting_retry_after_ms(rest_s, urgent, self._rng.random())
        reason = (
            f"service {request.service}: {len(states)} targets are resting,"
            f" the shortest rest ends in {rest_s:.2f} s"
        )
        return Rejection(Code.TARGETS_RESTING, wait_ms, reason)

    def _as_full(
        self, request: PlacementRequest, key_region: str, now: float
    ) -> Rejection:
        """Reject a request for which no open target has capacity."""
        targets = self._candidates.order(request, key_region)
        loads = describe_loads(targets[:MAX_LOGGED_TARGETS], self._fleet, now)
        reason = f"{request.service} in {key_region}: {loads}"
        room_s = self._time_to_room_s(request, targets, now)
        if room_s is None:
            return self._at_random(Code.QUEUE_FULL, reason)
        wait_ms = limited_retry_after_ms(room_s, self._rng.random())
        return Rejection(Code.TARGETS_LIMITED, wait_ms, reason)

    def _time_to_room_s(
        self, request: PlacementRequest, targets: list[Target], now: float
    ) -> float | None:
        """Return the time until a limiter should grant the request, in seconds.

        Args:
          request: the request that found no target.
          targets: the targets in the region of its key.
          now: monotonic time in seconds.
        Returns: None unless there are usable targets outside their warm-up and all of
          them are at their limit.
        """
        if self._fleet.limits.is_empty:
            return None
        states = [self._fleet.state_of(t, now) for t in targets]
        usable = [s for s in states if s.is_usable(now) and not s.in_warm_up(now)]
        limited = [s for s in usable if self._chooser.lacks_room(request, s, now)]
        if not usable or len(limited) < len(usable):
            return None
        return min(s.room.time_to_room_s(now) for s in limited)

    def _at_random(self, code: Code, reason: str) -> Rejection:
        """Return a rejection with a random retry time."""
        return Rejection(code, retry_after_ms(self._rng.random()), reason)
