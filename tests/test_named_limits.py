# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Advertised limits of targets: the newest one is in force, in any order of arrival."""

from hypothesis import given
from hypothesis import strategies as st

from leverdoor.limits.advertised import (
    REORDER_WINDOW_S,
    RETENTION_S,
    LimitAdvertisement,
    LimitTable,
)


def limit(per_s: float | None, at: float, target: int = 7) -> LimitAdvertisement:
    return LimitAdvertisement(target, per_s, at)


def test_a_limit_is_set_changed_and_ended() -> None:
    table = LimitTable()
    assert table.take(limit(None, 0.0)) is None
    assert not list(table.newest())
    changes = [
        table.take(limit(3.5, 1.0)),
        table.take(limit(3.5, 2.0)),
        table.take(limit(0.0, 3.0)),
        table.take(limit(None, 4.0)),
        table.take(limit(5.0, 5.0)),
    ]
    assert [c.change if c else "" for c in changes] == [
        "named",
        "",
        "changed",
        "ended",
        "named",
    ]
    assert table.per_s(7) == 5.0
    assert table.per_s(8) is None


def test_a_reordered_response_without_a_limit_does_not_end_the_limit() -> None:
    table = LimitTable()
    table.take(limit(3.5, 1.0))
    assert table.take(limit(None, 1.0 + REORDER_WINDOW_S / 2)) is None
    assert table.per_s(7) == 3.5
    assert table.take(limit(None, 1.01 + REORDER_WINDOW_S)) is not None
    assert table.per_s(7) is None


def test_a_limit_that_is_not_renewed_is_dropped() -> None:
    table = LimitTable()
    table.take(limit(3.5, 1.0))
    table.forget(1.0 + RETENTION_S)
    assert table.targets_with_limit() == [7]
    table.forget(1.5 + RETENTION_S)
    assert table.targets_with_limit() == []


@given(
    st.lists(
        st.tuples(st.sampled_from([None, 0.0, 0.5, 3.5]), st.integers(0, 50)),
        min_size=1,
        unique_by=lambda pair: pair[1],
    ),
    st.randoms(use_true_random=False),
)
def test_the_newest_limit_is_in_force_in_any_order_of_arrival(
    advertised: list[tuple[float | None, int]], rng: object
) -> None:
    """Advertisements are whole seconds apart, so none is taken for a reordered one."""
    newest = max(advertised, key=lambda pair: pair[1])
    in_order, shuffled = LimitTable(), LimitTable()
    for per_s, at in sorted(advertised, key=lambda pair: pair[1]):
        in_order.take(limit(per_s, float(at)))
    mixed = list(advertised)
    rng.shuffle(mixed)  # type: ignore[attr-defined]
    for per_s, at in mixed:
        shuffled.take(limit(per_s, float(at)))
    assert in_order.per_s(7) == newest[0]
    if newest[0] is not None:
        assert shuffled.per_s(7) == newest[0]
