# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What targets name as their limits: the newest word counts, in any order."""

from hypothesis import given
from hypothesis import strategies as st

from leverdoor.limits.advertised import (
    REORDERED_S,
    RETENTION_S,
    AdvertisedLimit,
    LimitTable,
)


def word(per_s: float | None, at: float, target: int = 7) -> AdvertisedLimit:
    return AdvertisedLimit(target, per_s, at)


def test_a_limit_is_named_changed_and_ended() -> None:
    book = LimitTable()
    assert book.take(word(None, 0.0)) is None
    assert not list(book.newest())
    changes = [
        book.take(word(3.5, 1.0)),
        book.take(word(3.5, 2.0)),
        book.take(word(0.0, 3.0)),
        book.take(word(None, 4.0)),
        book.take(word(5.0, 5.0)),
    ]
    assert [c.change if c else "" for c in changes] == [
        "named",
        "",
        "changed",
        "ended",
        "named",
    ]
    assert book.per_s(7) == 5.0
    assert book.per_s(8) is None


def test_an_answer_sent_before_the_limit_was_named_does_not_end_it() -> None:
    book = LimitTable()
    book.take(word(3.5, 1.0))
    assert book.take(word(None, 1.0 + REORDERED_S / 2)) is None
    assert book.per_s(7) == 3.5
    assert book.take(word(None, 1.01 + REORDERED_S)) is not None
    assert book.per_s(7) is None


def test_a_word_that_nothing_renews_is_forgotten() -> None:
    book = LimitTable()
    book.take(word(3.5, 1.0))
    book.forget(1.0 + RETENTION_S)
    assert book.limited() == [7]
    book.forget(1.5 + RETENTION_S)
    assert book.limited() == []


@given(
    st.lists(
        st.tuples(st.sampled_from([None, 0.0, 0.5, 3.5]), st.integers(0, 50)),
        min_size=1,
        unique_by=lambda pair: pair[1],
    ),
    st.randoms(use_true_random=False),
)
def test_the_newest_limit_counts_in_any_order(
    words: list[tuple[float | None, int]], rng: object
) -> None:
    """Whole seconds apart, so that no answer can have overtaken another."""
    newest = max(words, key=lambda pair: pair[1])
    in_order, shuffled = LimitTable(), LimitTable()
    for per_s, at in sorted(words, key=lambda pair: pair[1]):
        in_order.take(word(per_s, float(at)))
    mixed = list(words)
    rng.shuffle(mixed)  # type: ignore[attr-defined]
    for per_s, at in mixed:
        shuffled.take(word(per_s, float(at)))
    assert in_order.per_s(7) == newest[0]
    if newest[0] is not None:
        assert shuffled.per_s(7) == newest[0]
