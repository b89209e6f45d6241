# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Collects the limits that targets advertise in responses, and logs their changes.

Owns the limits that this entry received itself, which it sends to the other entries,
and the unreadable header values that were already logged. Both are lost with the
process. Relies on the wire format for the header, and on `limits.advertised` for the
limit in force.
"""

from collections.abc import Collection, Iterable

from leverdoor.entry.events import Events
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.unreadable_texts import UnreadableTextFilter
from leverdoor.entry.wire import Wire
from leverdoor.limits.advertised import (
    RETENTION_S,
    LimitAdvertisement,
    LimitChange,
    LimitTable,
    UnreadableLimit,
)
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id

__all__ = ["LimitCollector"]


class LimitCollector:
    """Records the limits that targets advertise in their responses."""

    def __init__(
        self, wire: Wire, table: LimitTable, events: Events, metrics: EntryMetrics
    ) -> None:
        """Create a collector that fills a table of limits."""
        self._wire = wire
        self._table = table
        self._events = events
        self._metrics = metrics
        self._names: dict[int, str] = {}
        """Names of targets by `target_id`."""
        self._received_here: dict[int, LimitAdvertisement] = {}
        """By target, the limit in force if this entry received it itself."""
        self._unreadable = UnreadableTextFilter()

    def renew(self, targets: Collection[str]) -> None:
        """Replace the names of targets by those of a new configuration."""
        self._names = {target_id(name): name for name in targets}
        self._unreadable.keep_only(targets)

    def record_response(self, target: Target, reply: TargetReply, now: float) -> None:
        """Record the limit in a complete response, or that the response has none.

        An unreadable limit changes nothing: the last readable one stays in force.
        """
        try:
            per_s = self._wire.parse_limit(reply.get_all(self._wire.headers.limit))
        except UnreadableLimit as e:
            self._log_unreadable(target, str(e))
            return
        advertisement = LimitAdvertisement(target_id(target.name), per_s, now)
        self._log_change(self._table.take(advertisement), "answer")
        if self._table.newest_of(advertisement.target) is advertisement:
            self._received_here[advertisement.target] = advertisement

    def received_here(self) -> list[LimitAdvertisement]:
        """Return the limits that this entry received itself, for the other entries."""
        return list(self._received_here.values())

    def receive_from_peers(self, advertisements: Iterable[LimitAdvertisement]) -> None:
        """Record the limits that other entries received from targets."""
        for advertisement in advertisements:
            self._log_change(self._table.take(advertisement), "peer")

    def forget(self, now: float) -> None:
        """Drop limits past their retention, and set the gauge of limited targets."""
        self._table.forget(now)
        self._received_here = {
            target: advertisement
            for target, advertisement in self._received_here.items()
            if now - advertisement.at <= RETENTION_S
        }
        self._metrics.limited_targets.set(len(self._table.targets_with_limit()))

    def _log_unreadable(self, target: Target, text: str) -> None:
        self._metrics.limits_unreadable.labels(target.service).inc()
        if self._unreadable.is_new(target.name, text):
            self._events.limit_unreadable(target.name, text)

    def _log_change(self, change: LimitChange | None, source: str) -> None:
        if change is None:
            return
        # A target that is unknown here is logged by its id.
        advertisement = change.advertisement
        name = self._names.get(advertisement.target, f"{advertisement.target:08x}")
        self._events.target_limit(name, change.change, advertisement.per_s, source)
