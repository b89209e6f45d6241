# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What targets named as limits, told among entries along the way of digests.

An entry tells the aggregators of its failure domain what it received itself; these tell
the domain's to the region's other aggregators, the region's to other regions, and all
to the entries of their domain. A report so never comes back to whom it came from, and
within a second all know it. What is new is told in each round for a while, the rest in
turn, so that whoever starts or was cut off learns it.

Owns the newest words by whose they are, and when they were last new; lost with the
process. Relies on the caller for recipients and time.
"""

from collections.abc import Iterable

import msgspec

from leverdoor.entry.exchange.messages import OWN_SCOPE, DigestScope, LimitUpdate
from leverdoor.limits.named import KEPT_S, LimitWord
from leverdoor.limits.rows import parse_words, serialize_words

__all__ = ["LimitExchange"]

RESEND_S = 0.7
"""How long a word that is new is told in each round, in seconds: three rounds, since
datagrams are lost."""
FULL_RESEND_ROUNDS = 5
"""Rounds between two that tell all words, a second."""
MAX_REPORTS_PER_MESSAGE = 64
"""Words of one message: 768 bytes, which fit one packet. Of more, others in each
turn."""


class _KnownLimit(msgspec.Struct):
    """A word, and since when it is news."""

    report: LimitWord
    changed_at: float


class LimitExchange:
    """The words of targets that this entry tells, and whose they are."""

    def __init__(self, own: str) -> None:
        """Create it for an entry, by its name."""
        self._own = own
        self._known: dict[int, dict[int, _KnownLimit]] = {
            scope: {} for scope in (OWN_SCOPE, DigestScope.DOMAIN, DigestScope.REGION)
        }
        """By scope and target."""

    def receive(self, update: LimitUpdate, now: float) -> list[LimitWord]:
        """Take what another entry tells; return it for the other parts."""
        reports = parse_words(update.reports, now)
        if update.scope != DigestScope.ALL:
            self._record(update.scope, reports, now)
        return reports

    def record_own(self, reports: Iterable[LimitWord], now: float) -> None:
        """Take the newest words that this entry received itself."""
        self._record(OWN_SCOPE, reports, now)

    def _record(self, scope: int, reports: Iterable[LimitWord], now: float) -> None:
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
        """Drop words that nothing renewed."""
        for scope, known in self._known.items():
            self._known[scope] = {
                target: limit
                for target, limit in known.items()
                if now - limit.report.at <= KEPT_S
            }

    def build_update(
        self, scope: int, round_number: int, now: float
    ) -> LimitUpdate | None:
        """Return what to tell in a round; None if there is nothing.

        Args:
          scope: whose words: all up to this one.
          turn: number of the round.
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
        data = serialize_words((limit.report for limit in due), now)
        return LimitUpdate(self._own, scope, data)


def _merge_newer(newest: dict[int, _KnownLimit], known: dict[int, _KnownLimit]) -> None:
    for target, limit in known.items():
        current = newest.get(target)
        if current is None or limit.report.at > current.report.at:
            newest[target] = limit
