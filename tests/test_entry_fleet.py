# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""State of targets at an entry: load, health, ejection and warm-up."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from desk import SLOTS, PlacementHarness, target
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.health import SILENCE_COLD_RUNS, SILENCE_MIN_REQUESTS
from leverdoor.entry.placement.load_estimate import PEER_LOAD_TTL_S
from leverdoor.entry.placement.run_times import MeanRunTimes
from leverdoor.entry.wire import TargetLoad


def test_a_slow_target_is_ejected() -> None:
    only = target("t")
    state = Fleet().state_of(only, 0.0)
    ejected = [state.record_answer(6.0, 1.0) for _ in range(10)]
    assert True in ejected
    assert state.is_slow(1.0)
    assert not state.is_slow(4.0)


def test_timed_out_requests_eject_a_slow_target() -> None:
    state = Fleet().state_of(target("t"), 0.0)
    assert not any(state.overran(0.5, 1.0) for _ in range(50))
    assert any(state.overran(8.0, 1.0) for _ in range(4))
    assert state.is_usable(1.0)


def test_only_consecutive_lost_answers_eject_a_target() -> None:
    state = Fleet().state_of(target("t"), 0.0)
    for _ in range(10):
        assert state.lost(1.0) == state.lost(1.0) == 0.0
        state.record_answer(1.0, 1.0)
    assert [state.lost(1.0) > 0 for _ in range(3)] == [False, False, True]
    assert not state.is_usable(1.0)
    assert state.is_usable(2.0)


def test_a_new_report_includes_the_requests_of_other_entries() -> None:
    state = Fleet().state_of(target("t"), 0.0)
    state.record_sent(0.0)
    state.record_load(TargetLoad(3, 2, SLOTS), 1.0)
    assert state.load(1.0) == 5
    state.record_sent(1.0)
    assert state.load(1.0) == 6


def test_the_weight_of_a_report_decreases_with_its_age() -> None:
    state = Fleet().state_of(target("t"), 0.0)
    state.record_peer_count("p", 2, 0.0)
    state.record_load(TargetLoad(6, 0, SLOTS), 0.0)
    loads = [state.load(at) for at in (0.0, 0.1, 0.5)]
    assert loads == sorted(loads, reverse=True)
    assert loads[0] == 6
    assert 2 < loads[-1] < 6, "the load missing from heartbeats is kept"


def test_the_load_estimate_has_no_upward_bias() -> None:
    """The maximum of report and counts would be too high and cause rejections."""
    rng = Random(1)
    state = Fleet().state_of(target("t"), 0.0)
    errors = []
    for turn in range(2000):
        now = turn * 0.05
        state.record_peer_count("p", rng.randint(0, 4), now)
        state.record_load(TargetLoad(rng.randint(0, 4), 0, SLOTS), now)
        errors.append(state.load(now + 0.04) - 2.0)
    assert abs(sum(errors) / len(errors)) < 0.25


def test_the_counts_of_peers_expire() -> None:
    state = Fleet().state_of(target("t"), 0.0)
    state.record_peer_count("p", 3, 10.0)
    state.record_peer_count("q", 2, 10.5)
    assert state.load(10.6) == 5
    assert state.load(10.2 + PEER_LOAD_TTL_S) == 2
    assert state.load(10.6 + PEER_LOAD_TTL_S) == 0


def test_a_target_omitted_by_a_peer_has_none_of_its_requests() -> None:
    fleet = Fleet()
    t0, t1 = target("t0"), target("t1")
    for t in (t0, t1):
        fleet.state_of(t, 0.0)
    fleet.receive("p", {"t0": 2, "t1": 1, "unknown": 5}, 0.0)
    fleet.receive("p", {"t1": 3}, 0.1)
    assert [fleet.state_of(t, 0.1).load(0.1) for t in (t0, t1)] == [0, 3]


def test_a_restarted_target_starts_a_new_warm_up() -> None:
    harness = PlacementHarness(target("t"))
    assert harness.name() == "t"
    harness.configure(target("t", cold_ms=3_000))
    state = harness.fleet.state_of(target("t"), harness.now)
    assert state.in_warm_up(harness.now)
    assert not state.in_warm_up(harness.now + 3.1)


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["report", "peer", "send", "end", "wait"]),
            st.integers(0, 12),
        ),
        max_size=60,
    )
)
def test_the_load_is_never_below_the_own_requests(
    steps: list[tuple[str, int]],
) -> None:
    state = Fleet().state_of(target("t"), 0.0)
    now = 0.0
    for step, number in steps:
        if step == "report":
            state.record_load(TargetLoad(number, number // 3, SLOTS), now)
        elif step == "peer":
            state.record_peer_count(f"p{number % 3}", number, now)
        elif step == "send":
            state.record_sent(now)
        elif step == "end" and state.in_flight:
            state.record_end()
        now += number * 0.05
        assert state.load(now) >= state.in_flight


def test_a_target_with_cold_runs_does_not_count_as_silent() -> None:
    """The silence limit grows with the mean cold run, here 3.5 s."""
    state = Fleet().state_of(target("t"), 0.0)
    for _ in range(SILENCE_MIN_REQUESTS):
        state.record_sent(0.0, MeanRunTimes(1.1, 3.5))
    assert not state.is_silent(3.6)
    assert state.is_silent(SILENCE_COLD_RUNS * 3.5 + 0.1)


def test_a_report_decays_with_the_duration_of_a_warm_run() -> None:
    """After 0.3 s, most of the reported requests are still running."""
    state = Fleet().state_of(target("t"), 0.0)
    state.record_sent(0.0, MeanRunTimes(1.1, 3.5))
    state.record_end()
    state.record_load(TargetLoad(4, 0, SLOTS), 1.0)
    assert state.load(1.3) > 3.0
