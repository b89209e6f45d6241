# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Exchange of the limits that targets report, along the path of digests.

An entry sends the limits that it received itself to the aggregators of its failure
domain. These send the limits of their failure domain to the region's other aggregators,
those of the region to other regions, and all limits to the entries of their failure
domain. A report therefore never returns to its sender, and reaches all entries within a
second. A changed limit is sent in each round for a while. All limits are repeated
periodically, so that entries that start or were partitioned learn them.

Owns the newest reports by scope and the times of their last change, both lost with the
process. Relies on the caller for recipients and time.
"""

from collections.abc import Iterable

import msgspec

from leverdoor.entry.exchange.messages import OWN_SCOPE, DigestScope, LimitUpdate
from leverdoor.limits.advertised import RETENTION_S, LimitAdvertisement
from leverdoor.limits.encoding import parse_limits, serialize_limits

__all__ = ["LimitExchange"]

RESEND_S = 0.7
"""Time for which a changed limit is sent in each round, in seconds.

Three rounds, since datagrams may be lost.
"""
FULL_RESEND_ROUNDS = 5
"""Interval at which all limits are sent, in rounds: a second."""
MAX_REPORTS_PER_MESSAGE = 64
"""Maximum number of reports in a message: 768 bytes, which fit into one packet.

If there are more, successive rounds that send all limits send different parts.
"""


class _KnownLimit(msgspec.Struct):
    """The newest report of a target and the time of the limit's last change."""

    report: LimitAdvertisement
    changed_at: float


class LimitExchange:
    """Records limit reports by scope and builds the messages that forward them."""

    def __init__(self, own_name: str) -> None:
        """Create the exchange for the entry with this name."""
        self._own_name = own_name
        self._known: dict[int, dict[int, _KnownLimit]] = {
            scope: {} for scope in (OWN_SCOPE, DigestScope.DOMAIN, DigestScope.REGION)
        }
        """By scope and target."""

    def receive(self, update: LimitUpdate, now: float) -> list[LimitAdvertisement]:
        """Record the reports of another entry and return them."""
        reports = parse_limits(update.reports, now)
        # Reports of scope ALL come from an aggregator and are not forwarded.
        if update.scope != DigestScope.ALL:
            self._record(update.scope, reports, now)
        return reports

    def record_own(self, reports: Iterable[LimitAdvertisement], now: float) -> None:
        """Record the newest reports that this entry received from targets."""
        self._record(OWN_SCOPE, reports, now)

    def _record(
        self, scope: int, reports: Iterable[LimitAdvertisement], now: float
    ) -> None:
        known = self._known.setdefault(scope, {})
        for report in reports:
            previous = known.get(report.target)
            if previous is not None and report.at <= previous.report.at:
                continue
            if previous is not None and previous.report.per_s == report.per_s:
                previous.report = report
            else:
                known[report.target] = _KnownLimit(report, now)

    def forget(self, now: float) -> None:
        """Remove reports that were not renewed for `RETENTION_S`."""
        for scope, known in self._known.items():
            self._known[scope] = {
                target: limit
                for target, limit in known.items()
                if now - limit.report.at <= RETENTION_S
            }

    def build_update(
        self, scope: int, round_number: int, now: float
    ) -> LimitUpdate | None:
        """Return the message of a round; None if there is nothing to send.

        Args:
          scope: include reports of this scope and of narrower ones.
          round_number: number of the round.
          now: monotonic time in seconds.
        """
        newest: dict[int, _KnownLimit] = {}
        for known_scope, known in self._known.items():
            if known_scope <= scope:
                _merge_newer(newest, known)
        due = [
            limit
            for limit in newest.values()
            if round_number % FULL_RESEND_ROUNDS == 0
            or now - limit.changed_at <= RESEND_S
        ]
        if not due:
            return None
        if len(due) > MAX_REPORTS_PER_MESSAGE:
            due.sort(key=lambda limit: limit.changed_at, reverse=True)
            start = (
                round_number // FULL_RESEND_ROUNDS * MAX_REPORTS_PER_MESSAGE % len(due)
            )
            due = [*due[start:], *due[:start]][:MAX_REPORTS_PER_MESSAGE]
        data = serialize_limits((limit.report for limit in due), now)
        return LimitUpdate(self._own_name, scope, data)


def _merge_newer(newest: dict[int, _KnownLimit], known: dict[int, _KnownLimit]) -> None:
    for target, limit in known.items():
        current = newest.get(target)
        if current is None or limit.report.at > current.report.at:
            newest[target] = limit
