# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Passes the outcome of each attempt to the placement policy and the fleet.

The policy receives run times and warm keys, which are the affinity keys that a target
recently served. The fleet receives failures. Ejected targets are logged. Owns no state.
Relies on `placement.fleet` for the ejection rules.
"""

import asyncio
from collections.abc import Callable

from leverdoor.entry.events import Events
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.health import SLOW_EJECTION_S
from leverdoor.entry.placement.placement_request import Placement
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.requests.connection import ReplyLost
from leverdoor.entry.requests.entry_request import EntryRequest
from leverdoor.entry.requests.replies import ReplyFault, TargetReply
from leverdoor.entry.requests.retries import WRONG_INSTANCE_STATUS

__all__ = ["OutcomeRecorder"]

FIRST_ERROR_STATUS = 400
"""Replies with this or a greater HTTP status do not update run times or warm keys."""


class OutcomeRecorder:
    """Records the outcomes of attempts in the placement policy and the fleet."""

    def __init__(
        self,
        policy: PlacementPolicy,
        fleet: Fleet,
        events: Events,
        on_broken_reply: Callable[[str, ReplyFault], None] = lambda service, fault: (
            None
        ),
    ) -> None:
        """Initialize the recorder.

        Args:
          policy: receives run times and warm keys.
          fleet: receives failures.
          events: the event log.
          on_broken_reply: called with the service and the fault of each broken reply.
        """
        self._on_broken_reply = on_broken_reply
        self._policy = policy
        self._fleet = fleet
        self._events = events

    def record_reply(
        self,
        request: EntryRequest,
        placement: Placement,
        reply: TargetReply,
        took_s: float,
    ) -> None:
        """Record the run time and size of a request with a complete reply.

        Replies with an error status are ignored. A target that has become too slow is
        logged as ejected.
        """
        now = asyncio.get_running_loop().time()
        if reply.status >= FIRST_ERROR_STATUS:
            return
        size = len(reply.body) + request.min_body_size
        too_slow = self._policy.answered(
            request.placement_request, placement, took_s * 1000, size, now
        )
        if too_slow:
            self._log_slow_ejection(placement)

    def record_deadline_exceeded(self, placement: Placement, took_s: float) -> None:
        """Record a request that exceeded its deadline at a target.

        Args:
          placement: the placement of the request.
          took_s: time until the deadline, in seconds; its ratio to the expected run
            time measures how slow the target is.
        """
        now = asyncio.get_running_loop().time()
        if self._policy.timed_out(placement, took_s * 1000, now):
            self._log_slow_ejection(placement)

    def record_not_run(self, placement: Placement, status: int) -> None:
        """Record that a target did not run a request.

        Args:
          placement: the placement of the request.
          status: HTTP status of the reply; a reply from another instance counts as an
            unreachable target.
        """
        if status == WRONG_INSTANCE_STATUS:
            self.record_unreached(placement, "another instance")
            return
        now = asyncio.get_running_loop().time()
        self._fleet.state_of(placement.target, now).record_rejection(now)

    def record_unreached(self, placement: Placement, reason: str) -> None:
        """Eject an unreachable target and log the reason."""
        now = asyncio.get_running_loop().time()
        ejected_s = self._fleet.state_of(placement.target, now).unreached(now)
        self._events.target_ejected(placement.target.name, reason, ejected_s)

    def record_lost_link(self, placement: Placement) -> None:
        """Eject a target briefly to which no path is known."""
        now = asyncio.get_running_loop().time()
        ejected_s = self._fleet.state_of(placement.target, now).link_lost(now)
        self._events.target_ejected(placement.target.name, "link lost", ejected_s)

    def record_lost_reply(self, placement: Placement, error: ReplyLost) -> None:
        """Record a lost reply; a target with several lost replies is ejected.

        One reply that exceeds a bound suffices, as it costs what other replies need.
        Nothing else is recorded if the link to the target may be the cause.
        """
        if error.fault is not None:
            self._on_broken_reply(placement.target.service, error.fault)
            if error.fault.is_excess:
                self.record_unreached(placement, f"reply with {error.fault}")
                return
        if error.link_lost:
            return
        if error.unreachable:
            self.record_unreached(placement, "no acknowledgement")
            return
        target = placement.target
        now = asyncio.get_running_loop().time()
        ejected_s = self._fleet.state_of(target, now).lost(now)
        if ejected_s:
            self._events.target_ejected(target.name, "answers lost", ejected_s)

    def _log_slow_ejection(self, placement: Placement) -> None:
        self._events.target_ejected(placement.target.name, "slow", SLOW_EJECTION_S)
