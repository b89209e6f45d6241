# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Emulated entries: the product's own decisions, heartbeats and retry budgets.

State: each entry's membership, fleet, policy and budget, all lost when it restarts;
counts of its retries and bytes, kept over restarts for the result. Relies on the
product's own modules for every decision, and on the run's clock.
"""

from collections.abc import Callable
from random import Random

import msgspec

from leverdoor.codec import pack
from leverdoor.emulator.clock import EmulatedClock
from leverdoor.emulator.plan import Experiment
from leverdoor.emulator.targets import (
    EmulatedAnswer,
    EmulatedRun,
    EmulatedTarget,
    RunOutcome,
)
from leverdoor.entry.bounds import (
    INITIAL_RETRIES,
    MAX_SAVED_RETRIES,
    RETRY_FRACTION,
    SHARE_UPDATE_ROUNDS,
    SHIFT_FRACTION,
    SHIFT_WINDOW_S,
    WARM_KEY_REPORT_S,
)
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.exchange.exchange import Exchange
from leverdoor.entry.exchange.exchange_types import EntryStatus, PeerUpdate
from leverdoor.entry.exchange.messages import ExchangeMessage
from leverdoor.entry.membership.member import SERVING, Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.roles import Roles
from leverdoor.entry.placement.fleet import SUM_OF_PEERS, Fleet
from leverdoor.entry.placement.placement_request import (
    Placement,
    PlacementRequest,
)
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.requests.retries import may_retry
from leverdoor.errors import Code, Refusal, Rejection
from leverdoor.model.position import position_without_era
from leverdoor.retry_budget import RetryBudget

__all__ = ["EmulatedEntry", "EmulatedReply", "EmulatedRequest"]

CONFIGURED = position_without_era(1)
"""Position of the only state that entries have."""


class EmulatedRequest(msgspec.Struct, frozen=True):
    """A client's request as an entry takes it."""

    request: PlacementRequest
    work_s: float
    """Time of a cold run."""


class EmulatedReply(msgspec.Struct, frozen=True):
    """What a client gets."""

    refusal: Refusal | None
    """None for an answer."""


class EmulatedEntry:
    """One entry."""

    def __init__(
        self,
        member: Member,
        experiment: Experiment,
        clock: EmulatedClock,
        rng: Random,
        targets: dict[str, EmulatedTarget],
        fleet: Fleet | None = None,
    ) -> None:
        """Create it as a process that has just started.

        Args:
          member: the entry.
          experiment: what is played.
          clock: the run's.
          rng: where all chance of this entry comes from.
          targets: all targets, by name.
          fleet: one that all entries share; None for one of its own.
        """
        self._shared_fleet = fleet
        self.member = member
        self._experiment = experiment
        self._clock = clock
        self._rng = rng
        self._targets = targets
        self._rounds = 0
        self.repeats = 0
        """Retries at another target."""
        self.heartbeat_bytes = 0
        self.start()

    def start(self) -> None:
        """Begin with nothing in memory, as a new process."""
        site = self._experiment.site
        self.member = msgspec.structs.replace(
            self.member, incarnation=self.member.incarnation + 1
        )
        self.fleet = self._shared_fleet or Fleet()
        self._membership = Membership(self.member)
        roles = Roles(self._membership, self._rng)
        self._exchange = Exchange(self._membership, roles)
        self._budget = RetryBudget(
            site.repeat_ratio * RETRY_FRACTION, MAX_SAVED_RETRIES, INITIAL_RETRIES
        )
        self._policy = PlacementPolicy(
            self.member.region,
            self.member.domain,
            self.fleet,
            self._rng,
            site.max_shift * SHIFT_FRACTION / SHIFT_WINDOW_S,
            self._experiment.tuning,
        )

    def renew(self, catalog: Catalog, members: list[Member]) -> None:
        """Take targets, configuration and the other entries from the store."""
        self.fleet.renew(catalog.targets, self._clock.now)
        self._policy.renew(catalog)
        self._exchange.target_count_codec.renew(catalog.target_names_by_region)
        written = {m.name: pack(m) for m in members}
        self._membership.add_registered(written, self._clock.now)

    # Heartbeats.

    def round(self, send: Callable[[ExchangeMessage, list[str]], None]) -> None:
        """Send heartbeats and digests, move the regions' shares, as the daemon does."""
        now = self._clock.now
        self._rounds += 1
        sendings, update = self._exchange.round(self._report(now), now)
        for sending in sendings:
            size = len(pack(sending.message))
            self.heartbeat_bytes += size * len(sending.destinations)
            send(sending.message, sending.destinations)
        self._take_update(update)
        if self._rounds % SHARE_UPDATE_ROUNDS == 0:
            self._policy.shares.update([self._exchange.region_shares()], now)

    def _report(self, now: float) -> EntryStatus:
        counts = self._experiment.shares_load and self._shared_fleet is None
        warm = self._policy.warm_keys.queued_within(WARM_KEY_REPORT_S, now)
        return EntryStatus(
            SERVING,
            CONFIGURED,
            self.fleet.in_flight() if counts else {},
            self._policy.shares.shares_to_send(),
            -1,
            warm if self._experiment.shares_warmth else [],
        )

    def receive(self, message: ExchangeMessage) -> None:
        """Take another entry's message."""
        self._take_update(self._exchange.take(message, CONFIGURED, self._clock.now))

    def _take_update(self, update: PeerUpdate) -> None:
        now = self._clock.now
        if update.others_in_flight is not None and self._shared_fleet is None:
            self.fleet.receive(SUM_OF_PEERS, update.others_in_flight, now)
        self._policy.warm_keys.receive(update.warm_keys, now)

    # Requests.

    def serve(
        self, work: EmulatedRequest, reply: Callable[[EmulatedReply], None]
    ) -> None:
        """Serve a request; the reply comes when it ends."""
        self._budget.deposit(work.request.service)
        self._attempt(work, 1, None, reply)

    def _attempt(
        self,
        work: EmulatedRequest,
        attempt: int,
        lost: Refusal | None,
        reply: Callable[[EmulatedReply], None],
    ) -> None:
        decision = self._policy.place(work.request, self._clock.now)
        if isinstance(decision, Rejection):
            reply(EmulatedReply(lost or decision.refusal()))
            return
        work.request.tried_targets.add(decision.target.name)
        sending = _Sending(self, work, attempt, lost, decision, reply)
        sending.start()

    def retry(
        self,
        work: EmulatedRequest,
        attempt: int,
        refusal: Refusal,
        lost: Refusal | None,
        reached_target: bool,
        reply: Callable[[EmulatedReply], None],
    ) -> None:
        """Try another target, or give up."""
        route = work.request.route
        may = may_retry(
            route, attempt, refusal, reached_target=reached_target, replayable=True
        )
        if may and self._budget.try_withdraw(work.request.service):
            self.repeats += 1
            self._attempt(work, attempt + 1, lost, reply)
            return
        reply(EmulatedReply(lost or refusal))

    def delay_s(self, placement: Placement) -> float:
        """Return the time one way to a target, in seconds."""
        site = self._experiment.site
        if placement.target.region != self.member.region:
            return site.region_ms / 1000
        near = placement.target.domain == self.member.domain
        return 0.0 if near else site.domain_ms / 1000

    def emulated(self, placement: Placement) -> EmulatedTarget:
        """Return the target of a placement."""
        return self._targets[placement.target.name]

    @property
    def clock(self) -> EmulatedClock:
        """The clock of the run."""
        return self._clock

    @property
    def policy(self) -> PlacementPolicy:
        """The product's decisions."""
        return self._policy

    @property
    def uses_reported_load(self) -> bool:
        """Whether it uses the load that targets report with answers."""
        return self._experiment.reports_load and self._shared_fleet is None


class _Sending:
    """One attempt on its way to a target and back."""

    def __init__(
        self,
        entry: EmulatedEntry,
        work: EmulatedRequest,
        attempt: int,
        lost: Refusal | None,
        placement: Placement,
        reply: Callable[[EmulatedReply], None],
    ) -> None:
        self._entry = entry
        self._work = work
        self._attempt = attempt
        self._lost = lost
        self._placement = placement
        self._reply = reply
        self._policy = entry.policy
        self._fleet = entry.fleet
        self._began = entry.clock.now
        self._over = False

    def start(self) -> None:
        """Send it, and give it up at its time."""
        clock = self._entry.clock
        request = self._work.request
        sender = self._entry.member.name
        run = EmulatedRun(request.key, self._work.work_s, self._done, sender)
        delay_s = self._entry.delay_s(self._placement)
        target = self._entry.emulated(self._placement)
        clock.after(delay_s, lambda: target.take(run))
        clock.at(self._work.request.expires_at, self._give_up)

    def _done(self, answer: EmulatedAnswer) -> None:
        delay_s = self._entry.delay_s(self._placement)
        self._entry.clock.after(delay_s, lambda: self._ended(answer))

    def _ended(self, answer: EmulatedAnswer) -> None:
        if self._over:
            return
        self._over = True
        now = self._entry.clock.now
        report = answer.report
        if not self._entry.uses_reported_load:
            report = msgspec.structs.replace(report, load=None)
        if answer.outcome in (RunOutcome.ANSWERED, RunOutcome.SHED):
            self._policy.take_report(self._placement.target, report, now)
        self._policy.ended(self._placement, now)
        if answer.outcome is RunOutcome.ANSWERED:
            took_ms = (now - self._began) * 1000
            self._policy.answered(self._work.request, self._placement, took_ms, 0, now)
            self._reply(EmulatedReply(None))
            return
        self._failed(answer.outcome, now)

    def _failed(self, outcome: RunOutcome, now: float) -> None:
        state = self._fleet.state_of(self._placement.target, now)
        lost = self._lost
        if outcome is RunOutcome.SHED:
            state.record_rejection(now)
            refusal = Refusal(Code.TARGET_REFUSED)
        elif outcome is RunOutcome.UNREACHED:
            state.unreached(now)
            refusal = Refusal(Code.CONNECT_FAILED)
        else:
            state.lost(now)
            refusal = lost = Refusal(Code.ANSWER_LOST)
        reached_target = outcome is not RunOutcome.UNREACHED
        self._entry.retry(
            self._work, self._attempt, refusal, lost, reached_target, self._reply
        )

    def _give_up(self) -> None:
        if self._over:
            return
        self._over = True
        now = self._entry.clock.now
        self._policy.ended(self._placement, now)
        state = self._fleet.state_of(self._placement.target, now)
        took_ms = (now - self._began) * 1000
        state.overran(took_ms / max(self._placement.expected_ms, 1.0), now)
        self._reply(EmulatedReply(self._lost or Refusal(Code.DEADLINE_PASSED)))
