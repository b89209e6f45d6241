# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Limits that targets report reach all entries, including those that start later."""

from hypothesis import given
from hypothesis import strategies as st

from leverdoor.entry.exchange.exchange_types import PeerUpdate
from leverdoor.entry.exchange.limit_exchange import (
    MAX_REPORTS_PER_MESSAGE,
    LimitExchange,
)
from leverdoor.entry.exchange.messages import OWN_SCOPE, DigestScope, LimitUpdate
from leverdoor.limits.advertised import LimitAdvertisement, LimitTable
from leverdoor.limits.encoding import parse_limits, serialize_limits
from test_entry_exchange import FakeCluster

NAMES = [f"{d}-{i}" for d in ("a1", "a2", "b1", "b2") for i in range(4)]
PROPAGATION_ROUNDS = 8
"""Rounds until a report has reached all entries: three hops, and rotation."""


class FakeClusterWithLimits(FakeCluster):
    """Entries that retain only the limits they receive."""

    def __init__(self) -> None:
        self.books = {name: LimitTable() for name in NAMES}
        super().__init__(NAMES)

    def _record_update(self, name: str, update: PeerUpdate) -> None:
        for limit_report in update.limits:
            self.books[name].take(limit_report)

    def report_limit(self, name: str, per_s: float | None) -> None:
        """Let a target report a limit in a response to an entry."""
        limit_report = LimitAdvertisement(7, per_s, self.now)
        self.books[name].take(limit_report)
        self.set_status(name, limits=[limit_report])

    def limits(self) -> set[float | None]:
        return {book.per_s(7) for book in self.books.values()}


def test_a_limit_reported_to_one_entry_reaches_all_others() -> None:
    cluster = FakeClusterWithLimits()
    cluster.round(3)
    cluster.report_limit("b2-3", 3.5)
    cluster.round(PROPAGATION_ROUNDS)
    assert cluster.limits() == {3.5}
    cluster.report_limit("a1-2", None)
    cluster.round(PROPAGATION_ROUNDS)
    assert cluster.limits() == {None}
    cluster.report_limit("a2-1", 0.5)
    cluster.round(PROPAGATION_ROUNDS)
    assert cluster.limits() == {0.5}


def test_unchanged_limits_are_sent_again_each_second() -> None:
    """FakeCluster that start or were partitioned learn them."""
    exchange = LimitExchange("n1")
    exchange.record_own([LimitAdvertisement(7, 3.5, 0.0)], 0.0)
    sent = [
        exchange.build_update(OWN_SCOPE, round_number, round_number * 0.2)
        for round_number in range(1, 21)
    ]
    # Three rounds after the change and four rounds that send all limits.
    assert sum(limit_update is not None for limit_update in sent) == 3 + 4
    exchange.forget(61.0)
    assert exchange.build_update(OWN_SCOPE, 5, 61.0) is None


def test_a_report_is_not_sent_back_to_its_origin() -> None:
    exchange = LimitExchange("n1")
    encoded_reports = serialize_limits([LimitAdvertisement(7, 3.5, 0.0)], 0.0)
    exchange.receive(LimitUpdate("n2", DigestScope.REGION, encoded_reports), 0.0)
    assert exchange.build_update(DigestScope.DOMAIN, 5, 0.1) is None
    assert exchange.build_update(DigestScope.REGION, 5, 0.1) is not None
    exchange = LimitExchange("n1")
    exchange.receive(LimitUpdate("n2", DigestScope.ALL, encoded_reports), 0.0)
    assert exchange.build_update(DigestScope.REGION, 5, 0.1) is None


def test_each_of_many_limits_is_sent_within_twenty_rounds() -> None:
    exchange = LimitExchange("n1")
    exchange.record_own(
        [LimitAdvertisement(i, 1.0, 0.0) for i in range(3 * MAX_REPORTS_PER_MESSAGE)],
        0.0,
    )
    targets: set[int] = set()
    for round_number in range(10, 30):
        limit_update = exchange.build_update(
            OWN_SCOPE, round_number, round_number * 0.2
        )
        if limit_update is not None:
            parsed_reports = parse_limits(limit_update.reports, 0.0)
            assert len(parsed_reports) <= MAX_REPORTS_PER_MESSAGE
            targets |= {w.target for w in parsed_reports}
    assert len(targets) == 3 * MAX_REPORTS_PER_MESSAGE


@given(st.binary(max_size=200))
def test_parsing_arbitrary_bytes_yields_only_valid_reports(data: bytes) -> None:
    for limit_report in parse_limits(data, 100.0):
        assert limit_report.per_s is None or limit_report.per_s >= 0.0
