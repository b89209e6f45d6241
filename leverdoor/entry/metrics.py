# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Prometheus metrics of an entry.

Owns the counters, gauges and histograms; they are lost with the process.
"""

from collections.abc import Mapping

from leverdoor.exposition import Counter, Gauge, Histogram, Registry
from leverdoor.process_memory import resident_bytes

__all__ = ["EntryMetrics"]

LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 2.0, 4.0)
"""Bucket bounds of the latency histogram in seconds, near the routes' latency targets.
"""
WAIT_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4)
"""Bucket bounds of waits for room in seconds, up to a fifth of slow latency targets."""
MAX_LABELLED_WORKSPACES = 100
"""Maximum number of workspaces with a label of their own.

The first workspaces to exceed a quota get a label, which bounds the series. With a
greater value, scrapes grow with the workspaces. With a smaller value, more workspaces
are counted as "other".
"""


class EntryMetrics:
    """Counters, gauges and latency histograms of one entry."""

    def __init__(self) -> None:
        """Create the metrics in a separate registry."""
        self.registry = Registry()
        self._requests = Histogram(
            "leverdoor_entry_request_seconds",
            "Time from a request's head to the end of its answer.",
            ["service", "outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.lookups = Counter(
            "leverdoor_entry_lookups",
            "Questions of clients where to go.",
            registry=self.registry,
        )
        self.revision = Gauge(
            "leverdoor_entry_revision",
            "Revision of the store in force.",
            registry=self.registry,
        )
        self.store_era = Gauge(
            "leverdoor_entry_store_era",
            "Era of the store's history in its newest response to this entry.",
            registry=self.registry,
        )
        self._retained = Gauge(
            "leverdoor_entry_retained_records",
            "Records in force that the restored store does not hold.",
            ["kind"],
            registry=self.registry,
        )
        self._replica_bytes = Gauge(
            "leverdoor_entry_replica_bytes",
            "Bytes of the values that the copy of the store keeps, by what for.",
            ["part"],
            registry=self.registry,
        )
        self._resident_bytes = Gauge(
            "leverdoor_entry_resident_bytes",
            "Resident memory of the process.",
            registry=self.registry,
        )
        self.confirmed_age = Gauge(
            "leverdoor_entry_confirmed_age_seconds",
            "Age of the store's newest answer that the state rests on.",
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "leverdoor_entry_in_flight", "Requests in flight.", registry=self.registry
        )
        self.peers = Gauge(
            "leverdoor_entry_live_peers",
            "Other entries heard from lately.",
            registry=self.registry,
        )
        self._quota_refusals = Counter(
            "leverdoor_entry_quota_refusals",
            "Requests beyond the quota of their workspace.",
            ["workspace"],
            registry=self.registry,
        )
        self.quarantine_refusals = Counter(
            "leverdoor_entry_quarantine_refusals",
            "Requests held back, since targets end when they run them.",
            ["service"],
            registry=self.registry,
        )
        self.quarantined = Gauge(
            "leverdoor_entry_quarantined",
            "Requests that are held back.",
            registry=self.registry,
        )
        self.targets_ended = Counter(
            "leverdoor_entry_targets_ended",
            "Targets that ended while they ran requests of this entry.",
            ["service"],
            registry=self.registry,
        )
        self.limited_targets = Gauge(
            "leverdoor_entry_limited_targets",
            "Targets that have set a limit for all entries together.",
            registry=self.registry,
        )
        self.room_requests = Counter(
            "leverdoor_entry_room_requests",
            "Requests for room at targets with a limit, by what came of them.",
            ["outcome"],
            registry=self.registry,
        )
        self.limits_unreadable = Counter(
            "leverdoor_entry_limits_unreadable",
            "Answers whose limit is no number of requests a second.",
            ["service"],
            registry=self.registry,
        )
        self.leaving_targets = Gauge(
            "leverdoor_entry_leaving_targets",
            "Targets that said in an answer to this entry that they leave.",
            registry=self.registry,
        )
        self.resting_targets = Gauge(
            "leverdoor_entry_resting_targets",
            "Targets that want rest of this entry.",
            registry=self.registry,
        )
        self.slow_targets = Gauge(
            "leverdoor_entry_slow_targets",
            "Targets at which work takes longer than usual, by their own reports.",
            registry=self.registry,
        )
        self.connects = Counter(
            "leverdoor_entry_connects",
            "Connections to targets that were opened or failed, by result.",
            ["service", "result"],
            registry=self.registry,
        )
        self.lost_links = Gauge(
            "leverdoor_entry_lost_links",
            "Targets that this entry does not reach directly.",
            registry=self.registry,
        )
        self.relayed_streams = Gauge(
            "leverdoor_entry_relayed_streams",
            "Streams between other entries and targets that this entry carries.",
            registry=self.registry,
        )
        self.relayed_bytes = Gauge(
            "leverdoor_entry_relayed_bytes",
            "Bytes passed on for other entries since the start, in both directions.",
            registry=self.registry,
        )
        self.stream_requests = Counter(
            "leverdoor_entry_stream_requests",
            "Requests of other entries for streams, by what came of them.",
            ["outcome"],
            registry=self.registry,
        )
        self.rests = Counter(
            "leverdoor_entry_rests",
            "Answers by which targets asked this entry for rest.",
            ["service"],
            registry=self.registry,
        )
        self.reports_unreadable = Counter(
            "leverdoor_entry_reports_unreadable",
            "Answers in which targets say of themselves what can't be read.",
            ["service", "what"],
            registry=self.registry,
        )
        self.waiting = Gauge(
            "leverdoor_entry_waiting",
            "Requests that wait for room at targets.",
            ["service", "region"],
            registry=self.registry,
        )
        self._waited = Histogram(
            "leverdoor_entry_waited_seconds",
            "Time for which requests waited for room, by what came of them.",
            ["service", "outcome"],
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.shed_level = Gauge(
            "leverdoor_entry_shed_level",
            "Least urgent priorities that are refused at once.",
            ["service", "region"],
            registry=self.registry,
        )
        self.admitted_keys = Gauge(
            "leverdoor_entry_admitted_keys",
            "Fraction of keys served in a region that is the only home.",
            ["service", "region"],
            registry=self.registry,
        )
        self.overlapping_requests = Counter(
            "leverdoor_entry_overlapping_requests",
            "Requests that started beside an earlier one of their connection.",
            registry=self.registry,
        )
        self.unread_pauses = Counter(
            "leverdoor_entry_unread_pauses",
            "Times a connection paused because its client did not read its answers.",
            registry=self.registry,
        )
        self.evicted_connections = Counter(
            "leverdoor_entry_evicted_connections",
            "Connections of clients that gave way to others, by what was short.",
            ["cause"],
            registry=self.registry,
        )
        self.broken_replies = Counter(
            "leverdoor_entry_broken_replies",
            "Replies of targets that were not whole replies, by what was wrong.",
            ["service", "fault"],
            registry=self.registry,
        )
        self.reply_bytes = Gauge(
            "leverdoor_entry_reply_bytes",
            "Bytes received of replies that are not complete.",
            registry=self.registry,
        )
        self._left_out = Gauge(
            "leverdoor_entry_registrations_left_out",
            "Registrations that name no target to use, by what is wrong with them.",
            ["cause"],
            registry=self.registry,
        )
        self._workspaces: set[str] = set()
        """Workspaces that have a label of their own."""

    def count_quota_refusal(self, workspace: str) -> None:
        """Count a request over quota under its workspace's label, or "other"."""
        if len(self._workspaces) < MAX_LABELLED_WORKSPACES:
            self._workspaces.add(workspace)
        label = workspace if workspace in self._workspaces else "other"
        self._quota_refusals.labels(label).inc()

    def set_left_out_registrations(self, causes: Mapping[str, int]) -> None:
        """Set the number of left-out registrations by cause."""
        self._left_out.clear()
        for cause, count in causes.items():
            self._left_out.labels(cause).set(count)

    def set_retained_records(self, kinds: Mapping[str, int]) -> None:
        """Set the number of records in force that the store does not hold, by kind."""
        self._retained.clear()
        for kind, count in kinds.items():
            self._retained.labels(kind).set(count)

    def set_memory(self, replica_bytes: Mapping[str, int]) -> None:
        """Set the resident memory, and the bytes that the replica keeps by part."""
        for part, size in replica_bytes.items():
            self._replica_bytes.labels(part).set(size)
        self._resident_bytes.set(resident_bytes())

    def request(self, service: str, outcome: str, took_s: float) -> None:
        """Record the latency and outcome of a request.

        Args:
          service: the service it was routed to, "" if no route matched.
          outcome: the target's HTTP status, or the name of the refusal code.
          took_s: latency in seconds.
        """
        self._requests.labels(service, outcome).observe(took_s)

    def waited(self, service: str, outcome: str, waited_s: float) -> None:
        """Record for how long a request waited for room.

        Args:
          service: the service it was routed to.
          outcome: "placed", "refused" or "left".
          waited_s: time in seconds.
        """
        self._waited.labels(service, outcome).observe(waited_s)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self.registry.text()
