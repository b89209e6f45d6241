# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What targets say of themselves in answers, taken at this one place.

Each whole answer is looked at when it arrives, whatever its status and whatever becomes
of its request: whether the target leaves, the rest that it asks for, the limit that it
names, and its load. The first two are kept at the target's state in the fleet, which
all that chooses a target reads. Owns which unreadable texts were logged, lost with the
process. Relies on the wire for the headers.
"""

import asyncio
from collections.abc import Container

from leverdoor.entry.events import Events
from leverdoor.entry.limits.named_limits import NamedLimits
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.requests.retries import WRONG_INSTANCE_STATUS, says_not_run
from leverdoor.entry.unreadable_texts import UnreadableTextFilter
from leverdoor.entry.wire import TargetReport, UnreadableReport, Wire
from leverdoor.model.resources import Target

__all__ = ["TargetReports"]


class TargetReports:
    """Takes what answers report of their targets."""

    def __init__(
        self,
        wire: Wire,
        policy: PlacementPolicy,
        named_limits: NamedLimits,
        events: Events,
        metrics: EntryMetrics,
    ) -> None:
        """Create it from the entry's parts."""
        self._wire = wire
        self._policy = policy
        self._named_limits = named_limits
        self._events = events
        self._metrics = metrics
        self._unreadable = UnreadableTextFilter()

    def take(self, target: Target, reply: TargetReply) -> None:
        """Take a whole answer to a request that still counts as in flight.

        An answer of another instance at the same address says nothing of this one.
        """
        if reply.status == WRONG_INSTANCE_STATUS:
            return
        now = asyncio.get_running_loop().time()
        self._named_limits.answered(target, reply, now)
        report = self._parse(target, reply)
        if report.leaving and not self._policy.leaves(target, now):
            self._events.target_leaving(target.name)
        if report.rest_s:
            self._metrics.rests.labels(target.service).inc()
            self._events.target_rest(target.name, report.rest_s)
        self._policy.take_report(target, report, now)

    def renew(self, targets: Container[str]) -> None:
        """Take the names of the targets of a new configuration."""
        self._unreadable.keep_only(targets)

    def _parse(self, target: Target, reply: TargetReply) -> TargetReport:
        """Parse a report; what can't be read counts as not said."""
        wire, headers = self._wire, self._wire.headers
        return TargetReport(
            says_not_run(reply.status, bool(reply.get(headers.not_run))),
            self._parse_leaving(target, reply),
            self._parse_rest(target, reply),
            wire.parse_load(reply.get(headers.load)),
        )

    def _parse_leaving(self, target: Target, reply: TargetReply) -> bool:
        try:
            return self._wire.parse_leaving(reply.all(self._wire.headers.leaving))
        except UnreadableReport as e:
            self._note_unreadable(target, "leaving", str(e))
            return False

    def _parse_rest(self, target: Target, reply: TargetReply) -> float | None:
        values = reply.all(self._wire.headers.rest)
        try:
            return self._wire.parse_rest(reply.status, values)
        except UnreadableReport as e:
            self._note_unreadable(target, "rest", str(e))
            return None

    def _note_unreadable(self, target: Target, what: str, text: str) -> None:
        self._metrics.reports_unreadable.labels(target.service, what).inc()
        if self._unreadable.is_new(target.name, text):
            self._events.report_unreadable(target.name, what, text)
