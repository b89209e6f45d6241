# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Enforces the limits that targets set for all entries together.

Owns the targets by `target_id`, rebuilt from each configuration. Its components own the
known limits, the token buckets and the pending grant requests. All of it is lost with
the process. Relies on the fleet for the states of targets and on the membership for the
other entries.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from leverdoor.entry.context import EntryContext
from leverdoor.entry.exchange.messages import (
    PermitMessage,
    PermitRequest,
    PermitResponse,
)
from leverdoor.entry.limits.limit_collector import LimitCollector
from leverdoor.entry.limits.limiter import Limiter
from leverdoor.entry.limits.limiter_client import LimiterClient
from leverdoor.entry.limits.limiter_selector import LimiterSelector
from leverdoor.entry.membership.member import EntryState
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.pause_detector import PauseDetector
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.limits.advertised import LimitAdvertisement
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id

__all__ = ["TargetLimits"]


class TargetLimits:
    """Collects the limits of targets, and requests and decides on grants."""

    def __init__(
        self,
        context: EntryContext,
        membership: Membership,
        fleet: Fleet,
        state: Callable[[], EntryState],
        send_request: Callable[[PermitRequest, str], None],
        metrics: EntryMetrics,
    ) -> None:
        """Create all components.

        Args:
          context: the dependencies that the components of the entry share.
          membership: the known entries.
          fleet: the states of targets and the table of their limits.
          state: returns the state of this entry.
          send_request: sends a grant request to an address.
          metrics: counts grant requests and unreadable limits.
        """
        self._targets: dict[int, Target] = {}
        self.collector = LimitCollector(
            context.wire, fleet.limits, context.events, metrics
        )
        self._pauses = PauseDetector(asyncio.get_running_loop().time())
        selection = LimiterSelector(membership, state, self._pauses)
        self._limiter = Limiter(fleet, selection, self._pauses, self._targets.get)
        self.grant_client = LimiterClient(
            fleet, selection, self._limiter, send_request, context.rng, metrics
        )

    def renew(self, targets: Mapping[str, Target]) -> None:
        """Replace the targets by those of a new configuration."""
        self._targets.clear()
        self._targets.update((target_id(t.name), t) for t in targets.values())
        self.collector.renew(targets)

    def round(self, now: float) -> list[LimitAdvertisement]:
        """Return the limits to send in this round; call it in each round."""
        # The call records that the process runs.
        self._pauses.uninterrupted_s(now)
        return self.collector.received_here()

    def receive_from_peers(self, limits: Iterable[LimitAdvertisement]) -> None:
        """Store the limits that other entries received from targets."""
        self.collector.receive_from_peers(limits)

    def take(self, message: PermitMessage, now: float) -> PermitResponse | None:
        """Handle another entry's grant request, or an answer to this entry's request.

        Returns: the answer if the message is a grant request, otherwise None.
        """
        if isinstance(message, PermitRequest):
            return self._limiter.answer(message, now)
        self.grant_client.handle_answer(message)
        return None

    def forget(self, now: float) -> None:
        """Drop limits and token buckets that are out of date."""
        self.collector.forget(now)
        self._limiter.forget(now)
