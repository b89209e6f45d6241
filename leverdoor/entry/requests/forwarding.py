# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Forwards one request: place it, send it, and retry where that is safe.

The loop of attempts; its rules stand in `retries` (what may be retried), `deadlines`
(how long a target may take) and `retry_after` (when the client may come back).

Owns no state besides the requests it is serving; relies on placement for the target,
on `connections` for the exchange, on the retry budget and on quotas.
"""

import asyncio

from leverdoor.entry.events import Events
from leverdoor.entry.limits.asking import RoomAsking
from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.requests.connection import AnswerLost, NotSent, Withdrawn
from leverdoor.entry.requests.connection_pool import ConnectionPool
from leverdoor.entry.requests.deadlines import give_up_on_target_at
from leverdoor.entry.requests.entry_request import EntryRequest
from leverdoor.entry.requests.outcomes import OutcomeRecorder
from leverdoor.entry.requests.outgoing import outgoing
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.requests.retries import may_retry, says_not_run
from leverdoor.entry.requests.retry_after import NOT_RUN_MS
from leverdoor.entry.wire import Wire
from leverdoor.errors import Code, Refusal, Rejection, Run
from leverdoor.quarantine.crashes import LostRun
from leverdoor.quarantine.ended_targets import EndedTargets
from leverdoor.quarantine.quarantine import Quarantine
from leverdoor.retry_budget import RetryBudget
from leverdoor.workspaces.quota import Quotas

__all__ = ["Forwarder"]


class Forwarder:
    """Forwards the requests of one entry."""

    def __init__(
        self,
        wire: Wire,
        policy: PlacementPolicy,
        connections: ConnectionPool,
        outcomes: OutcomeRecorder,
        rooms: RoomAsking,
        budget: RetryBudget,
        quotas: Quotas,
        quarantine: Quarantine,
        ended_targets: EndedTargets,
        events: Events,
    ) -> None:
        """Create it from the entry's parts."""
        self._headers = wire.headers
        self._policy = policy
        self._connections = connections
        self._outcomes = outcomes
        self._rooms = rooms
        self._budget = budget
        self._quotas = quotas
        self._quarantine = quarantine
        self._ended_targets = ended_targets
        self._events = events

    async def serve(self, request: EntryRequest) -> TargetReply:
        """Get a whole answer of a target.

        Raises:
          Refusal: it was given up on; the code says whether it may have run.
        """
        self._budget.deposit(request.placement_request.service)
        attempt = 0
        maybe_ran: Refusal | None = None
        while True:
            attempt += 1
            try:
                return await self._attempt(request, attempt)
            except Withdrawn:
                attempt -= 1
            except _AttemptFailed as e:
                if e.refusal.run is not Run.NO:
                    maybe_ran = e.refusal
                if e.placed and self._may_retry(request, attempt, e):
                    continue
                # What an earlier attempt may have run outweighs the last failure.
                raise maybe_ran or e.refusal from None

    def _may_retry(
        self, request: EntryRequest, attempt: int, failed: "_AttemptFailed"
    ) -> bool:
        """Return whether another target is tried; take that from the budget."""
        placement_request = request.placement_request
        may = may_retry(
            placement_request.route,
            attempt,
            failed.refusal,
            reached_target=failed.reached_target,
            replayable=request.replayable,
        )
        now = asyncio.get_running_loop().time()
        if not may or not self._quarantine.may_retry(
            placement_request.fingerprint, now
        ):
            return False
        if not self._budget.try_withdraw(placement_request.service):
            return False
        workspace = placement_request.workspace
        if workspace is not None and failed.refusal.run is not Run.NO:
            self._quotas.count_retry(workspace, now)
        return True

    async def _attempt(self, request: EntryRequest, attempt: int) -> TargetReply:
        """Place a request and send it once.

        Raises:
          Withdrawn: the target stopped taking requests meanwhile; it is placed anew,
            which is no retry.
          _AttemptFailed: it was not placed, or its target gave no whole answer.
        """
        loop = asyncio.get_running_loop()
        placement_request = request.placement_request
        placement = await self._place(placement_request)
        placement_request.tried.add(placement.target.name)
        began = loop.time()
        outcome = "cancelled"
        try:
            reply = await self._send(request, placement)
            outcome = str(reply.status)
        except Withdrawn:
            outcome = "withdrawn"
            raise
        except _AttemptFailed as e:
            outcome = e.refusal.code.name
            raise
        finally:
            now = loop.time()
            took_s = now - began
            self._policy.ended(placement, now)
            self._events.attempt(placement_request, placement, attempt, outcome, took_s)
        self._outcomes.answered(request, placement, reply, loop.time() - began)
        self._quarantine.answered(placement_request.fingerprint, loop.time())
        return reply

    async def _place(self, request: PlacementRequest) -> Placement:
        """Choose a target that has room for one more request of all entries.

        A bound on all entries together can't be kept by each alone, so the limiter of
        a limited target is asked before every attempt, a retry or an upload too. One
        without room is left out, and the request is placed among the others.

        Raises:
          _AttemptFailed: no target can take it.
        """
        loop = asyncio.get_running_loop()
        while True:
            placement = self._policy.place(request, loop.time())
            if isinstance(placement, Rejection):
                raise _AttemptFailed(
                    placement.refusal(), placed=False, reached_target=False
                )
            granted = False
            try:
                granted = await self._rooms.acquire(request, placement.target)
            finally:
                if not granted:
                    self._policy.ended(placement, loop.time())
            if granted:
                return placement
            request.without_room.add(placement.target.name)

    async def _send(self, request: EntryRequest, placement: Placement) -> TargetReply:
        """Send a request to a target and wait for its whole answer.

        Raises:
          Withdrawn: the target takes no requests any more; nothing was sent.
          _AttemptFailed: there is no whole answer, or it says that nothing was run.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        sent = outgoing(request, placement.target, self._headers, began)
        give_up_at = give_up_on_target_at(request.placement_request.until)
        try:
            async with asyncio.timeout_at(give_up_at):
                reply = await self._connections.exchange(
                    placement.target,
                    sent,
                    lambda: self._policy.still_takes(placement.target, loop.time()),
                )
        except NotSent as e:
            self._outcomes.unreached(placement, "not reached")
            refusal = Refusal(Code.CONNECT_FAILED, str(e), retry_after_ms=NOT_RUN_MS)
            raise _AttemptFailed(refusal, reached_target=False) from None
        except AnswerLost as e:
            self._outcomes.lost(placement, e.unreachable)
            if e.closed:
                fingerprint = request.placement_request.fingerprint
                run = LostRun(fingerprint, began, loop.time())
                self._ended_targets.check(placement.target, run)
            raise _AttemptFailed(Refusal(Code.ANSWER_LOST, str(e))) from None
        except TimeoutError:
            self._outcomes.overran(placement, loop.time() - began)
            raise _AttemptFailed(Refusal(Code.DEADLINE_PASSED)) from None
        self._check_run(placement, reply)
        return reply

    def _check_run(self, placement: Placement, reply: TargetReply) -> None:
        """Check that a target's answer does not say that nothing was run.

        Raises:
          _AttemptFailed: it does.
        """
        marked = bool(reply.get(self._headers.not_run))
        if not says_not_run(reply.status, marked):
            return
        self._outcomes.not_run(placement, reply.status)
        detail = f"status {reply.status}"
        raise _AttemptFailed(
            Refusal(Code.TARGET_REFUSED, detail, retry_after_ms=NOT_RUN_MS)
        )


class _AttemptFailed(Exception):
    """One attempt failed.

    Attributes:
      refusal: what the client gets if no other attempt follows.
      placed: there was a target for it.
      arrived: the request may have reached the target.
    """

    def __init__(
        self, refusal: Refusal, *, placed: bool = True, reached_target: bool = True
    ) -> None:
        super().__init__(str(refusal))
        self.refusal = refusal
        self.placed = placed
        self.reached_target = reached_target
