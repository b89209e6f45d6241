# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Grants requests to the targets that this entry limits, for itself and other entries.

Owns one token bucket for each target that a grant was requested for, and the latest
answers, so that a duplicate message does not take a second token. Both are lost with
the process; a bucket starts empty if another limiter may just have granted requests.

Relies on the fleet for the limits of targets and on `LimiterSelector` for the share of
a limit that this entry may grant.
"""

import math
from collections import OrderedDict
from collections.abc import Callable

from leverdoor.entry.exchange.messages import PermitRequest, PermitResponse
from leverdoor.entry.limits.limiter_selector import LimiterSelector
from leverdoor.entry.pause_detector import PauseDetector
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.limits.token_bucket import (
    GrantDecision,
    PriorityTokenBucket,
    burst_tokens,
)
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id

__all__ = ["Limiter"]

NOT_LIMITER_DECISION = GrantDecision(granted=False, wait_s=0.1, retry_after_s=0.5)
"""The decision of an entry that is not the limiter of the target.

After the wait, the requesting entry may know the right limiter.
"""
MAX_ANSWERS = 4_096
"""Answers kept to detect duplicate requests."""


class Limiter:
    """Decides on grant requests for targets."""

    def __init__(
        self,
        fleet: Fleet,
        selection: LimiterSelector,
        pauses: PauseDetector,
        find_target: Callable[[int], Target | None],
    ) -> None:
        """Create a limiter without buckets.

        Args:
          fleet: the limits of targets.
          selection: the share of a target's limit that this entry may grant.
          pauses: measures how long this entry has run without a pause.
          find_target: returns the target with a `target_id`; None if there is none.
        """
        self._fleet = fleet
        self._selection = selection
        self._pauses = pauses
        self._find_target = find_target
        self._buckets: dict[int, PriorityTokenBucket] = {}
        self._answers: OrderedDict[tuple[str, int], PermitResponse] = OrderedDict()
        """By sender and request number, the oldest first."""

    def answer(self, request: PermitRequest, now: float) -> PermitResponse:
        """Return the answer to another entry's grant request.

        Args:
          request: the message; a duplicate gets the same answer again.
          now: monotonic time in seconds.
        """
        key = (request.sender, request.request_number)
        known_answer = self._answers.get(key)
        if known_answer is not None:
            return known_answer
        decision = self._decide_request(request, now)
        answer = PermitResponse(
            request.request_number,
            decision.granted,
            round(decision.wait_s * 1000),
            round(decision.retry_after_s * 1000),
        )
        self._answers[key] = answer
        if len(self._answers) > MAX_ANSWERS:
            self._answers.popitem(last=False)
        return answer

    def _decide_request(self, request: PermitRequest, now: float) -> GrantDecision:
        target = self._find_target(request.target)
        if target is None or not 0.0 <= request.per_s < math.inf:
            return NOT_LIMITER_DECISION
        return self.decide(
            target, request.per_s, request.priority, request.suppressed, now
        )

    def decide(
        self, target: Target, per_s: float, priority: int, suppressed: int, now: float
    ) -> GrantDecision:
        """Decide whether one request may be sent to a target.

        Args:
          target: the target.
          per_s: the target's limit as the requesting entry knows it, in requests per
            second. The smaller of this and the limit known here applies, since either
            entry may have missed a change.
          priority: priority of the request; smaller is more urgent.
          suppressed: requests of that priority that the requesting entry refused by
            itself since its previous grant request.
          now: monotonic time in seconds.
        """
        share = self._selection.own_share(target, now)
        if not share:
            return NOT_LIMITER_DECISION
        key = target_id(target.name)
        own_per_s = self._fleet.effective_limit_per_s(target, now)
        per_s = per_s if own_per_s is None else min(per_s, own_per_s)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = PriorityTokenBucket(
                self._initial_tokens(key, per_s, share, now), now
            )
            self._buckets[key] = bucket
        return bucket.acquire(per_s, share, priority, suppressed, now)

    def _initial_tokens(
        self, key: int, per_s: float, share: float, now: float
    ) -> float:
        """Return the initial tokens of a bucket.

        These are the tokens that accumulated since the limit last changed or this entry
        started; none if another entry may have granted them.
        """
        if share < 1.0:
            return 0.0
        unchanged_s = self._fleet.limits.unchanged_s(key, now)
        return min(
            min(unchanged_s, self._pauses.uninterrupted_s(now)) * per_s,
            burst_tokens(per_s),
        )

    def forget(self, now: float) -> None:
        """Drop the buckets of targets that were removed or have no limit any more."""
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if self._is_limited(key, now)
        }

    def _is_limited(self, key: int, now: float) -> bool:
        target = self._find_target(key)
        return (
            target is not None
            and self._fleet.effective_limit_per_s(target, now) is not None
        )
