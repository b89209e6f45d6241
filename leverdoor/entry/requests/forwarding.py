# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Forwards a request: places it, sends it and retries it where that is safe.

Contains the loop of attempts. Its rules are in `retries` (which requests may be
retried), `deadlines` (how long a target may take) and `retry_after` (when the client
may retry).

Owns no state besides the requests in flight. Relies on placement for the choice of a
target, on `connection_pool` for the HTTP exchange, on the retry budget and on quotas.
"""

import asyncio

from leverdoor.entry.admission.admission import Admission
from leverdoor.entry.events import Events
from leverdoor.entry.limits.limiter_client import LimiterClient
from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.requests.connection import (
    ReplyLost,
    RequestNotSent,
    TargetWithdrawn,
)
from leverdoor.entry.requests.connection_pool import ConnectionPool
from leverdoor.entry.requests.deadlines import target_deadline
from leverdoor.entry.requests.entry_request import EntryRequest
from leverdoor.entry.requests.outcomes import OutcomeRecorder
from leverdoor.entry.requests.outgoing_request import build_outgoing_request
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.requests.retries import may_retry, reports_not_run
from leverdoor.entry.requests.retry_after import NOT_RUN_RETRY_MS
from leverdoor.entry.wire import Wire
from leverdoor.errors import Code, Refusal, Rejection, Run
from leverdoor.quarantine.crash_checker import CrashChecker
from leverdoor.quarantine.crashes import LostRun
from leverdoor.quarantine.quarantine import Quarantine
from leverdoor.retry_budget import RetryBudget
from leverdoor.workspaces.quota import Quotas

__all__ = ["Forwarder"]


class Forwarder:
    """Forwards the requests of an entry to targets."""

    def __init__(
        self,
        wire: Wire,
        policy: PlacementPolicy,
        connections: ConnectionPool,
        outcomes: OutcomeRecorder,
        permits: LimiterClient,
        budget: RetryBudget,
        quotas: Quotas,
        quarantine: Quarantine,
        ended_targets: CrashChecker,
        events: Events,
        admission: Admission | None = None,
    ) -> None:
        """Initialize the forwarder.

        Args:
          wire: the header names.
          policy: chooses targets.
          connections: the connections to targets.
          outcomes: records the outcomes of attempts.
          permits: requests permits for targets with a rate limit.
          budget: limits retries.
          quotas: counts retries of requests that may have run.
          quarantine: prevents retries of requests that may have crashed a target.
          ended_targets: probes targets that closed a connection without a reply.
          events: the event log.
          admission: lets requests wait for room; None to reject them at once.
        """
        self._headers = wire.headers
        self._policy = policy
        self._connections = connections
        self._outcomes = outcomes
        self._permits = permits
        self._budget = budget
        self._quotas = quotas
        self._quarantine = quarantine
        self._ended_targets = ended_targets
        self._events = events
        self._admission = admission

    async def forward(self, request: EntryRequest) -> TargetReply:
        """Return the complete reply of a target.

        Raises:
          Refusal: all attempts failed; its code indicates whether the request may
            have run.
        """
        self._budget.deposit(request.placement_request.service)
        attempt = 0
        may_have_run: Refusal | None = None
        while True:
            attempt += 1
            try:
                return await self._attempt(request, attempt)
            except TargetWithdrawn:
                attempt -= 1
            except _AttemptFailed as e:
                if e.refusal.run is not Run.NO:
                    may_have_run = e.refusal
                if e.placed and self._try_retry(request, attempt, e):
                    continue
                # An attempt that may have run determines the response, even if a
                # later attempt failed without running.
                raise may_have_run or e.refusal from None

    def _try_retry(
        self, request: EntryRequest, attempt: int, failure: "_AttemptFailed"
    ) -> bool:
        """Return whether to retry at another target.

        Charges the retry budget, and the quota if the failed attempt may have run.
        """
        placement_request = request.placement_request
        safe = may_retry(
            placement_request.route,
            attempt,
            failure.refusal,
            reached_target=failure.reached_target,
            replayable=request.replayable,
        )
        now = asyncio.get_running_loop().time()
        if not safe or not self._quarantine.may_retry(
            placement_request.fingerprint, now
        ):
            return False
        if not self._budget.try_withdraw(placement_request.service):
            return False
        workspace = placement_request.workspace
        if workspace is not None and failure.refusal.run is not Run.NO:
            self._quotas.count_retry(workspace, now)
        return True

    async def _attempt(self, request: EntryRequest, attempt: int) -> TargetReply:
        """Place a request and send it once.

        Raises:
          TargetWithdrawn: the target stopped accepting requests before the request
            was sent; placing it again does not count as a retry.
          _AttemptFailed: the request was not placed, or no complete reply arrived.
        """
        loop = asyncio.get_running_loop()
        placement_request = request.placement_request
        placement = await self._place(placement_request)
        placement_request.tried_targets.add(placement.target.name)
        started_at = loop.time()
        outcome, via = "cancelled", ""
        try:
            reply = await self._send(request, placement)
            outcome, via = str(reply.status), reply.via
        except TargetWithdrawn:
            outcome = "withdrawn"
            raise
        except _AttemptFailed as e:
            outcome, via = e.refusal.code.name, e.via
            raise
        finally:
            now = loop.time()
            took_s = now - started_at
            self._policy.ended(placement, now)
            self._events.attempt(
                placement_request, placement, attempt, outcome, took_s, via
            )
        self._outcomes.record_reply(request, placement, reply, loop.time() - started_at)
        self._quarantine.answered(placement_request.fingerprint, loop.time())
        return reply

    async def _place(self, request: PlacementRequest) -> Placement:
        """Choose a target whose rate limit admits one more request.

        A rate limit applies to all entries together and cannot be enforced by each
        entry alone. Every attempt, including retries and uploads, therefore requests
        a permit from the limiter of a limited target. If the limiter rejects it, the
        request is placed among the remaining targets.

        Raises:
          _AttemptFailed: no target can accept the request.
        """
        loop = asyncio.get_running_loop()
        while True:
            if self._admission is None:
                placement = self._policy.place(request, loop.time())
            else:
                placement = await self._admission.place(request)
            if isinstance(placement, Rejection):
                raise _AttemptFailed(
                    placement.refusal(), placed=False, reached_target=False
                )
            granted = False
            try:
                granted = await self._permits.acquire(request, placement.target)
            finally:
                # Without a permit, the placement no longer counts as in flight.
                if not granted:
                    self._policy.ended(placement, loop.time())
            if granted:
                return placement
            request.targets_without_room.add(placement.target.name)

    async def _send(self, request: EntryRequest, placement: Placement) -> TargetReply:
        """Send a request to a target and wait for its complete reply.

        Raises:
          TargetWithdrawn: the target no longer accepts requests; nothing was sent.
          _AttemptFailed: no complete reply arrived, or it reports that the request
            was not run.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        outgoing_request = build_outgoing_request(
            request, placement.target, self._headers, started_at
        )
        deadline_at = target_deadline(request.placement_request.expires_at)
        try:
            async with asyncio.timeout_at(deadline_at):
                reply = await self._connections.exchange(
                    placement.target,
                    outgoing_request,
                    lambda: self._policy.accepts_requests(
                        placement.target, loop.time()
                    ),
                    request.placement_request.may_run_in,
                    request.placement_request.priority,
                )
        except RequestNotSent as e:
            raise self._not_reached(placement, e) from None
        except ReplyLost as e:
            self._outcomes.record_lost_reply(placement, e)
            if e.closed:
                # The request may have crashed the target.
                fingerprint = request.placement_request.fingerprint
                run = LostRun(fingerprint, started_at, loop.time())
                self._ended_targets.check(placement.target, run)
            refusal = Refusal(Code.ANSWER_LOST, str(e))
            raise _AttemptFailed(refusal, via=e.via) from None
        except TimeoutError:
            self._outcomes.record_deadline_exceeded(placement, loop.time() - started_at)
            raise _AttemptFailed(Refusal(Code.DEADLINE_PASSED)) from None
        self._raise_if_not_run(placement, reply)
        return reply

    def _not_reached(
        self, placement: Placement, error: RequestNotSent
    ) -> "_AttemptFailed":
        """Record that no connection could be opened; return the failure to raise."""
        if error.link_lost:
            self._outcomes.record_lost_link(placement)
            code = Code.TARGETS_UNREACHABLE
        else:
            self._outcomes.record_unreached(placement, "not reached")
            code = Code.CONNECT_FAILED
        refusal = Refusal(code, str(error), retry_after_ms=NOT_RUN_RETRY_MS)
        return _AttemptFailed(refusal, reached_target=False)

    def _raise_if_not_run(self, placement: Placement, reply: TargetReply) -> None:
        """Raise an error if a reply reports that the request was not run.

        Raises:
          _AttemptFailed: the target did not run the request.
        """
        not_run_header = bool(reply.get(self._headers.not_run))
        if not reports_not_run(reply.status, not_run_header):
            return
        self._outcomes.record_not_run(placement, reply.status)
        detail = f"status {reply.status}"
        refusal = Refusal(Code.TARGET_REFUSED, detail, retry_after_ms=NOT_RUN_RETRY_MS)
        raise _AttemptFailed(refusal, via=reply.via)


class _AttemptFailed(Exception):
    """An attempt failed.

    Attributes:
      refusal: the refusal sent to the client unless another attempt follows.
      placed: whether a target was chosen.
      reached_target: whether the request may have reached the target.
      via: name of the peer that carried the connection; "" if it was direct.
    """

    def __init__(
        self,
        refusal: Refusal,
        *,
        placed: bool = True,
        reached_target: bool = True,
        via: str = "",
    ) -> None:
        super().__init__(str(refusal))
        self.via = via
        self.refusal = refusal
        self.placed = placed
        self.reached_target = reached_target
