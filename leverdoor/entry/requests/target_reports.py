# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Processes the report headers with which targets describe their own state.

The headers of every complete reply are processed on arrival, even if its request is
cancelled; only replies from another instance (status 421) are ignored. A target can
report that it is leaving, a rest period during which no requests may be sent, a rate
limit, and its load. Leaving and rest are stored in the target's state in the fleet,
which every choice of a target consults.

Owns the set of unreadable texts that were logged; lost with the process. Relies on
`wire` for the header names and their parsing.
"""

import asyncio
from collections.abc import Container

from leverdoor.entry.events import Events
from leverdoor.entry.limits.limit_collector import LimitCollector
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.requests.retries import WRONG_INSTANCE_STATUS, reports_not_run
from leverdoor.entry.unreadable_texts import UnreadableTextFilter
from leverdoor.entry.wire import (
    TargetLoad,
    TargetReport,
    UnreadableReport,
    Wire,
)
from leverdoor.model.resources import Target

__all__ = ["TargetReportHandler"]


class TargetReportHandler:
    """Applies the reports in replies to the state of their targets."""

    def __init__(
        self,
        wire: Wire,
        policy: PlacementPolicy,
        named_limits: LimitCollector,
        events: Events,
        metrics: EntryMetrics,
    ) -> None:
        """Initialize the handler.

        Args:
          wire: the header names and their parsers.
          policy: receives leaving, rest and load.
          named_limits: receives the rate limits that targets report.
          events: the event log.
          metrics: the metrics of the entry.
        """
        self._wire = wire
        self._policy = policy
        self._named_limits = named_limits
        self._events = events
        self._metrics = metrics
        self._unreadable = UnreadableTextFilter()

    def handle_reply(self, target: Target, reply: TargetReply) -> None:
        """Process a complete reply, while its request still counts as in flight.

        A reply from another instance at the same address is ignored, since it does not
        describe this target.
        """
        if reply.status == WRONG_INSTANCE_STATUS:
            return
        now = asyncio.get_running_loop().time()
        self._named_limits.record_response(target, reply, now)
        report = self._parse(target, reply)
        if report.leaving and not self._policy.is_leaving(target, now):
            self._events.target_leaving(target.name)
        if report.rest_s:
            self._metrics.rests.labels(target.service).inc()
            self._events.target_rest(target.name, report.rest_s)
        self._policy.take_report(target, report, now)

    def renew(self, targets: Container[str]) -> None:
        """Discard the records of targets that a new configuration does not contain."""
        self._unreadable.keep_only(targets)

    def _parse(self, target: Target, reply: TargetReply) -> TargetReport:
        """Parse the report headers; unreadable values count as absent."""
        not_run = bool(reply.get(self._wire.headers.not_run))
        return TargetReport(
            reports_not_run(reply.status, not_run),
            self._parse_leaving(target, reply),
            self._parse_rest(target, reply),
            self._parse_load(target, reply),
        )

    def _parse_load(self, target: Target, reply: TargetReply) -> TargetLoad | None:
        """Return the reported load; None if there is none."""
        text = reply.get(self._wire.headers.load)
        load = self._wire.parse_load(text)
        if text and load is None:
            self._record_unreadable(target, "load", text)
        return load

    def _parse_leaving(self, target: Target, reply: TargetReply) -> bool:
        """Return whether the target reports that it is leaving."""
        try:
            return self._wire.parse_leaving(reply.get_all(self._wire.headers.leaving))
        except UnreadableReport as e:
            self._record_unreadable(target, "leaving", str(e))
            return False

    def _parse_rest(self, target: Target, reply: TargetReply) -> float | None:
        """Return the reported rest in seconds; None if there is none."""
        values = reply.get_all(self._wire.headers.rest)
        try:
            return self._wire.parse_rest(reply.status, values)
        except UnreadableReport as e:
            self._record_unreadable(target, "rest", str(e))
            return None

    def _record_unreadable(self, target: Target, field: str, text: str) -> None:
        self._metrics.reports_unreadable.labels(target.service, field).inc()
        if self._unreadable.is_new(target.name, text):
            self._events.report_unreadable(target.name, field, text)
