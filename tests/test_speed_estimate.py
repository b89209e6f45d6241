# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The slowness of targets: bounds, age, what entries tell each other, and its bytes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from leverdoor.entry.exchange.speed_encoding import (
    MAX_SPEEDS,
    SLOWNESS_STEP,
    parse_speeds,
    serialize_speeds,
)
from leverdoor.entry.placement.speed_estimate import (
    AS_USUAL,
    LIFETIME_S,
    MAX_SLOWNESS,
    TRUSTED_AGE_S,
    SlownessChange,
    SpeedTable,
    TargetSpeed,
)

T = 7
REPORTS = st.lists(
    st.tuples(st.floats(0.0, 1.0), st.integers(0, 10**9)), min_size=1, max_size=40
)


def table_with(slowness: float, at: float = 0.0) -> SpeedTable:
    table = SpeedTable()
    table.record_answer(T, "t", slowness, at)
    return table


@settings(derandomize=True, deadline=None)
@given(REPORTS, st.floats(0.0, 3.0))
def test_no_report_leaves_the_bounds_or_outlasts_its_lifetime(
    reports: list[tuple[float, int]], later_s: float
) -> None:
    """Nobody can make a target look better than usual, or unusable for good."""
    table, now = SpeedTable(), 0.0
    for pause_s, percent in reports:
        now += pause_s
        table.record_answer(T, "t", percent / 100, now)
        assert AS_USUAL <= table.slowness(T, now) <= MAX_SLOWNESS
    assert AS_USUAL <= table.slowness(T, now + later_s) <= MAX_SLOWNESS
    assert table.slowness(T, now + LIFETIME_S) == AS_USUAL


def test_a_report_counts_fully_while_digests_carry_it_and_then_less() -> None:
    table = table_with(2.5)
    assert table.slowness(T, TRUSTED_AGE_S) == 2.5
    assert 1.0 < table.slowness(T, (TRUSTED_AGE_S + LIFETIME_S) / 2) < 2.5
    table.forget(LIFETIME_S + 0.01)
    assert table.slow_count(0.0) == 0


def test_figures_that_alternate_faster_than_digests_count_as_their_mean() -> None:
    table, peer = SpeedTable(), SpeedTable()
    for i in range(200):
        now = i * 0.02
        table.record_answer(T, "t", 4.0 if i % 2 else 1.0, now)
        if i % 10 == 9:
            peer.receive(parse_speeds(serialize_speeds(table.to_tell(now))), now + 0.2)
    assert 2.2 < table.slowness(T, now) < 2.8
    assert 2.2 < peer.slowness(T, now) < 2.8


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=60))
def test_estimates_told_in_a_circle_do_not_grow_younger(
    messages: list[tuple[int, int]],
) -> None:
    """Only one answer arrives; it is told on and on."""
    tables = [table_with(4.0), SpeedTable(), SpeedTable()]
    now = 0.0
    for sender, recipient in messages:
        now += 0.05
        told = [
            TargetSpeed(T, e.slowness, now - e.at)
            for e in tables[sender]._estimates.values()
        ]
        tables[recipient].receive(parse_speeds(serialize_speeds(told)), now)
    for table in tables:
        assert table.slowness(T, LIFETIME_S) == AS_USUAL
        assert all(e.at <= 0.0 for e in table._estimates.values())


def test_only_slow_targets_and_those_just_back_to_usual_are_told() -> None:
    table = SpeedTable()
    table.record_answer(1, "usual", 1.0, 0.0)
    table.record_answer(2, "hardly", 1.1, 0.0)
    table.record_answer(3, "slow", 2.5, 0.0)
    assert [s.target for s in table.to_tell(0.1)] == [3]
    for i in range(6):
        table.record_answer(3, "slow", 1.0, 0.5 + i * 0.1)
    [back] = table.to_tell(1.1)
    assert back.slowness < 1.25
    for i in range(20):
        table.record_answer(3, "slow", 1.0, 1.1 + i * 0.1)
    assert table.to_tell(3.0) == []


def test_a_target_heard_of_from_peers_only_is_not_told_on() -> None:
    peer = SpeedTable()
    peer.receive(table_with(2.5).to_tell(0.1), 0.1)
    assert peer.slowness(T, 0.2) == 2.5
    assert peer.to_tell(0.2) == []


def test_a_newer_answer_outweighs_what_peers_tell_later() -> None:
    table = table_with(1.1, 1.0)
    table.receive([TargetSpeed(T, 8.0, 0.5)], 1.2)
    assert table.slowness(T, 1.2) == 1.1


def test_changes_are_returned_once_for_the_log() -> None:
    table = table_with(2.5)
    assert table.take_changes(0.1) == [SlownessChange("t", 2.5)]
    assert table.take_changes(0.2) == []
    later = LIFETIME_S + 1.0
    assert table.take_changes(later) == [SlownessChange("t", AS_USUAL)]
    table.forget(later)
    assert table.take_changes(later) == []


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.builds(
            TargetSpeed,
            st.integers(0, 2**32 - 1),
            st.floats(AS_USUAL, MAX_SLOWNESS),
            st.floats(0.0, LIFETIME_S),
        ),
        max_size=100,
        unique_by=lambda s: s.target,
    ),
    st.binary(max_size=5),
)
def test_parsed_speeds_are_close_and_never_younger(
    speeds: list[TargetSpeed], truncated: bytes
) -> None:
    data = serialize_speeds(speeds)
    assert len(data) <= 6 * MAX_SPEEDS
    sent = {s.target: s for s in speeds}
    parsed = parse_speeds(data + truncated)
    assert len(parsed) == min(len(speeds), MAX_SPEEDS)
    for speed in parsed:
        assert abs(speed.slowness - sent[speed.target].slowness) <= SLOWNESS_STEP / 2
        assert speed.age_s >= sent[speed.target].age_s - 1e-9
    left_out = sent.keys() - {s.target for s in parsed}
    oldest = max((sent[s.target].age_s for s in parsed), default=0.0)
    assert all(sent[t].age_s >= oldest for t in left_out), "the newest are sent"
