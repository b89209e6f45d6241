# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What targets named reaches all entries, also those that come later."""

from hypothesis import given
from hypothesis import strategies as st

from leverdoor.entry.exchange.exchange_types import PeerUpdate
from leverdoor.entry.exchange.limit_exchange import (
    MAX_REPORTS_PER_MESSAGE,
    LimitExchange,
)
from leverdoor.entry.exchange.messages import OWN_SCOPE, DigestScope, LimitUpdate
from leverdoor.limits.named import LimitBook, LimitWord
from leverdoor.limits.rows import parse_words, serialize_words
from test_entry_exchange import Entries

NAMES = [f"{d}-{i}" for d in ("a1", "a2", "b1", "b2") for i in range(4)]
ROUNDS = 8
"""A second and a half: own news, three digests, and turns."""


class Books(Entries):
    """Entries that keep what they are told."""

    def __init__(self) -> None:
        self.books = {name: LimitBook() for name in NAMES}
        super().__init__(NAMES)

    def _note(self, name: str, heard: PeerUpdate) -> None:
        for word in heard.limits:
            self.books[name].take(word)

    def name_limit(self, name: str, per_s: float | None) -> None:
        """Let a target's answer to an entry name a limit."""
        word = LimitWord(7, per_s, self.now)
        self.books[name].take(word)
        self.report(name, limits=[word])

    def limits(self) -> set[float | None]:
        return {book.per_s(7) for book in self.books.values()}


def test_a_limit_that_one_entry_heard_of_reaches_all_others() -> None:
    entries = Books()
    entries.round(3)
    entries.name_limit("b2-3", 3.5)
    entries.round(ROUNDS)
    assert entries.limits() == {3.5}
    entries.name_limit("a1-2", None)
    entries.round(ROUNDS)
    assert entries.limits() == {None}
    entries.name_limit("a2-1", 0.5)
    entries.round(ROUNDS)
    assert entries.limits() == {0.5}


def test_what_is_not_new_is_told_again_each_second() -> None:
    """Whoever starts, or was cut off, learns it."""
    exchange = LimitExchange("n1")
    exchange.record_own([LimitWord(7, 3.5, 0.0)], 0.0)
    sent = [
        exchange.build_update(OWN_SCOPE, round_number, round_number * 0.2)
        for round_number in range(1, 21)
    ]
    assert sum(news is not None for news in sent) == 3 + 4
    exchange.forget(61.0)
    assert exchange.build_update(OWN_SCOPE, 5, 61.0) is None


def test_a_word_is_not_told_back_to_where_it_came_from() -> None:
    exchange = LimitExchange("n1")
    words = serialize_words([LimitWord(7, 3.5, 0.0)], 0.0)
    exchange.receive(LimitUpdate("n2", DigestScope.REGION, words), 0.0)
    assert exchange.build_update(DigestScope.DOMAIN, 5, 0.1) is None
    assert exchange.build_update(DigestScope.REGION, 5, 0.1) is not None
    exchange = LimitExchange("n1")
    exchange.receive(LimitUpdate("n2", DigestScope.ALL, words), 0.0)
    assert exchange.build_update(DigestScope.REGION, 5, 0.1) is None


def test_of_many_limits_each_is_told_within_some_turns() -> None:
    exchange = LimitExchange("n1")
    exchange.record_own(
        [LimitWord(i, 1.0, 0.0) for i in range(3 * MAX_REPORTS_PER_MESSAGE)], 0.0
    )
    seen: set[int] = set()
    for round_number in range(10, 30):
        news = exchange.build_update(OWN_SCOPE, round_number, round_number * 0.2)
        if news is not None:
            words = parse_words(news.reports, 0.0)
            assert len(words) <= MAX_REPORTS_PER_MESSAGE
            seen |= {w.target for w in words}
    assert len(seen) == 3 * MAX_REPORTS_PER_MESSAGE


@given(st.binary(max_size=200))
def test_any_bytes_are_words_or_nothing(data: bytes) -> None:
    for word in parse_words(data, 100.0):
        assert word.per_s is None or word.per_s >= 0.0
