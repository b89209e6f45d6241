# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What placement learns from the outcome of each attempt at a target.

Run times and warm keys go to the placement policy, failures to the fleet; a target
that they eject is logged. Owns no state; relies on `placement.fleet` for all rules of
ejection.
"""

import asyncio

from leverdoor.entry.events import Events
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.health import SLOW_EJECTION_S
from leverdoor.entry.placement.placement_request import Placement
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.requests.entry_request import EntryRequest
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.requests.retries import WRONG_INSTANCE_STATUS

__all__ = ["OutcomeRecorder"]

LEAST_EXPECTED_MS = 1.0
"""Least expected time by which an overrun is divided, in ms; guards the division."""
FAILED_STATUS = 400
"""HTTP statuses from here on say nothing about run times or warm keys."""


class OutcomeRecorder:
    """Passes the outcomes of attempts to placement."""

    def __init__(
        self,
        policy: PlacementPolicy,
        fleet: Fleet,
        events: Events,
    ) -> None:
        """Create it from the entry's parts."""
        self._policy = policy
        self._fleet = fleet
        self._events = events

    def answered(
        self,
        request: EntryRequest,
        placement: Placement,
        reply: TargetReply,
        took_s: float,
    ) -> None:
        """Learn how long the run of an answer took."""
        now = asyncio.get_running_loop().time()
        if reply.status >= FAILED_STATUS:
            return
        size = len(reply.body) + request.body_size
        too_slow = self._policy.answered(
            request.placement_request, placement, took_s * 1000, size, now
        )
        if too_slow:
            self._log_slow(placement)

    def overran(self, placement: Placement, took_s: float) -> None:
        """Learn from a request that ran until it was given up on.

        Args:
          placement: where it ran.
          took_s: how long it ran, in seconds; against what was expected, it shows how
            slow the target is.
        """
        now = asyncio.get_running_loop().time()
        ratio = took_s * 1000 / max(placement.expected_ms, LEAST_EXPECTED_MS)
        if self._fleet.of(placement.target, now).overran(ratio, now):
            self._log_slow(placement)

    def not_run(self, placement: Placement, status: int) -> None:
        """Learn from a target that did not run a request, by its HTTP status."""
        if status == WRONG_INSTANCE_STATUS:
            self.unreached(placement, "another instance")
            return
        now = asyncio.get_running_loop().time()
        self._fleet.of(placement.target, now).refused(now)

    def unreached(self, placement: Placement, reason: str) -> None:
        """Eject a target that was not reached; the reason is for the log."""
        now = asyncio.get_running_loop().time()
        ejected_s = self._fleet.of(placement.target, now).unreached(now)
        self._events.target_ejected(placement.target.name, reason, ejected_s)

    def lost(self, placement: Placement, unreachable: bool) -> None:
        """Learn from a lost answer; a target that loses several is ejected.

        Args:
          placement: where the request was sent.
          unreachable: the target did not even acknowledge what was sent.
        """
        if unreachable:
            self.unreached(placement, "no acknowledgement")
            return
        target = placement.target
        now = asyncio.get_running_loop().time()
        ejected_s = self._fleet.of(target, now).lost(now)
        if ejected_s:
            self._events.target_ejected(target.name, "answers lost", ejected_s)

    def _log_slow(self, placement: Placement) -> None:
        self._events.target_ejected(placement.target.name, "slow", SLOW_EJECTION_S)
