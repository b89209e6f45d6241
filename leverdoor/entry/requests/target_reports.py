# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What targets say of themselves in answers, taken at this one place.

Each whole answer is looked at when it arrives, whatever its status and whatever becomes
of its request: whether the target leaves, the rest that it asks for, the limit that it
names, and its load. Owns which unreadable texts were logged, lost with the process.
Relies on the wire for the headers.
"""

import asyncio

from leverdoor.entry.events import Events
from leverdoor.entry.limits.named_limits import NamedLimits
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.requests.retries import WRONG_INSTANCE_STATUS, says_not_run
from leverdoor.entry.unreadable import UnreadableTexts
from leverdoor.entry.wire import UnreadableReport, Wire
from leverdoor.model.resources import Target

__all__ = ["TargetReports"]


class TargetReports:
    """Takes what answers report of their targets."""

    def __init__(
        self,
        wire: Wire,
        fleet: Fleet,
        named_limits: NamedLimits,
        events: Events,
        metrics: EntryMetrics,
    ) -> None:
        """Create it from the entry's parts."""
        self._wire = wire
        self._fleet = fleet
        self._named_limits = named_limits
        self._events = events
        self._metrics = metrics
        self._unreadable = UnreadableTexts()

    def take(self, target: Target, reply: TargetReply) -> None:
        """Take a whole answer to a request that still counts as in flight.

        An answer of another instance at the same address says nothing of this one.
        """
        if reply.status == WRONG_INSTANCE_STATUS:
            return
        now = asyncio.get_running_loop().time()
        self._named_limits.answered(target, reply, now)
        self._take_load(target, reply, now)
        self._take_leaving(target, reply)
        self._take_rest(target, reply)

    def _take_load(self, target: Target, reply: TargetReply, now: float) -> None:
        """Take the load; one that turned the request away counts as full anyway."""
        headers = self._wire.headers
        if says_not_run(reply.status, bool(reply.get(headers.not_run))):
            return
        load = self._wire.parse_load(reply.get(headers.load))
        if load is not None:
            self._fleet.of(target, now).reported(load, now, answered=1)

    def _take_leaving(self, target: Target, reply: TargetReply) -> None:
        values = reply.all(self._wire.headers.leaving)
        try:
            leaves = self._wire.parse_leaving(values)
        except UnreadableReport as e:
            self._note_unreadable(target, "leaving", str(e))
            return
        if leaves:
            self._events.target_leaving(target.name)

    def _take_rest(self, target: Target, reply: TargetReply) -> None:
        values = reply.all(self._wire.headers.rest)
        try:
            rest_s = self._wire.parse_rest(reply.status, values)
        except UnreadableReport as e:
            self._note_unreadable(target, "rest", str(e))
            return
        if rest_s:
            self._metrics.rests.labels(target.service).inc()
            self._events.target_rest(target.name, rest_s)

    def _note_unreadable(self, target: Target, what: str, text: str) -> None:
        self._metrics.reports_unreadable.labels(target.service, what).inc()
        if self._unreadable.is_new(target.name, text):
            self._events.report_unreadable(target.name, what, text)
