# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Requests a grant from the limiter of a target before a request is sent to the target.

Grants bound the rate of requests to targets with a limit and to targets that warm up.
The client sends the grant request as one datagram and repeats it if the answer times
out. The timeouts add up to at most 0.3 s, a fraction of the time limit of a look-up. A
missing answer counts as a refusal, so an entry that is cut off from the limiter sends
nothing. Late answers are ignored.

Owns the pending grant requests, which are lost with the process. Relies on
`LimiterSelector` for the limiter of a target, on `Limiter` where this entry is the
limiter, and on the state of targets: it records a refusal there, and until the wait of
the refusal has passed no grant is requested at that priority.
"""

import asyncio
from collections.abc import Callable
from itertools import count
from random import Random

from leverdoor.entry.exchange.messages import PermitRequest, PermitResponse
from leverdoor.entry.limits.limiter import Limiter
from leverdoor.entry.limits.limiter_selector import LimiterSelector
from leverdoor.entry.membership.member import Member
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.limits.token_bucket import GrantDecision
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id

__all__ = ["LimiterClient"]

SAME_REGION_TIMEOUT_S = 0.03
"""Timeout of one attempt if the limiter is in the same region, in seconds."""
OTHER_REGION_TIMEOUT_S = 0.15
"""Timeout of one attempt if the limiter is in another region, in seconds.

It covers two one-way delays of up to 0.055 s and the delay of a busy event loop.
"""
MAX_ATTEMPTS = 2
"""Datagrams sent for one grant request, since datagrams may be lost."""
UNANSWERED_DECISION = GrantDecision(granted=False, wait_s=0.25, retry_after_s=0.5)
"""The decision when no answer arrives.

After a quarter of a second another entry may be the limiter.
"""
JITTER = 0.5
"""Relative jitter of the time until the next grant request.

Without it, entries that were refused at the same time would retry at the same time.
"""


class LimiterClient:
    """Requests grants from the limiters of targets."""

    def __init__(
        self,
        fleet: Fleet,
        selection: LimiterSelector,
        limiter: Limiter,
        send_request: Callable[[PermitRequest, str], None],
        rng: Random,
        metrics: EntryMetrics,
    ) -> None:
        """Create a client without pending requests.

        Args:
          fleet: the states and limits of targets.
          selection: selects the limiter of a target.
          limiter: decides for the targets that this entry limits.
          send_request: sends a grant request to an address.
          rng: source of randomness for request numbers and jitter.
          metrics: counts grant requests by outcome.
        """
        self._fleet = fleet
        self._selection = selection
        self._limiter = limiter
        self._send_request = send_request
        self._rng = rng
        self._metrics = metrics
        self._numbers = count(rng.getrandbits(62))
        """Request numbers; the random start keeps them distinct across restarts."""
        self._pending: dict[int, asyncio.Future[GrantDecision]] = {}

    async def acquire(self, request: PlacementRequest, target: Target) -> bool:
        """Return whether a request may be sent to the target it was placed on.

        A target that is neither limited nor in its warm-up needs no grant. A refusal is
        noted in the target's state.
        """
        now = asyncio.get_running_loop().time()
        per_s = self._fleet.effective_limit_per_s(target, now)
        if per_s is None:
            return True
        state = self._fleet.state_of(target, now)
        suppressed = state.room.take_skipped(request.priority)
        decision = await self._request_grant(
            target, per_s, request.priority, suppressed, now
        )
        if not decision.granted:
            now = asyncio.get_running_loop().time()
            jitter = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
            wait_s = decision.wait_s * jitter
            state.room.record_rejection(
                request.priority, wait_s, decision.retry_after_s, now
            )
        return decision.granted

    async def _request_grant(
        self, target: Target, per_s: float, priority: int, suppressed: int, now: float
    ) -> GrantDecision:
        limiter = self._selection.limiter(target, now)
        if limiter is None:
            # No entry serves, which counts like a missing answer.
            return self._count_outcome(UNANSWERED_DECISION, "unanswered")
        if limiter.name == self._selection.own.name:
            decision = self._limiter.decide(target, per_s, priority, suppressed, now)
            return self._count_outcome(decision)
        request = PermitRequest(
            self._selection.own.gossip,
            next(self._numbers),
            target_id(target.name),
            per_s,
            priority,
            suppressed,
        )
        return await self._request_from_peer(limiter, request)

    async def _request_from_peer(
        self, limiter: Member, request: PermitRequest
    ) -> GrantDecision:
        same_region = limiter.region == self._selection.own.region
        timeout_s = SAME_REGION_TIMEOUT_S if same_region else OTHER_REGION_TIMEOUT_S
        answer = asyncio.get_running_loop().create_future()
        self._pending[request.request_number] = answer
        try:
            for _ in range(MAX_ATTEMPTS):
                self._send_request(request, limiter.gossip)
                await asyncio.wait([answer], timeout=timeout_s)
                if answer.done():
                    return self._count_outcome(answer.result())
            return self._count_outcome(UNANSWERED_DECISION, "unanswered")
        finally:
            del self._pending[request.request_number]

    def handle_answer(self, answer: PermitResponse) -> None:
        """Handle another entry's answer; late and duplicate answers are ignored."""
        pending = self._pending.get(answer.request_number)
        if pending is not None and not pending.done():
            decision = GrantDecision(
                answer.granted,
                answer.retry_after_ms / 1000,
                answer.permit_expected_ms / 1000,
            )
            pending.set_result(decision)

    def _count_outcome(
        self, decision: GrantDecision, outcome: str = ""
    ) -> GrantDecision:
        outcome = outcome or ("granted" if decision.granted else "refused")
        self._metrics.room_requests.labels(outcome).inc()
        return decision
