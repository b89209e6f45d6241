# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What is believed of targets: load, health, rests, warm-up, allowance."""

from desk import SLOTS, Desk, target
from leverdoor.entry.dialect import TargetLoad
from leverdoor.entry.fleet import PEER_TRUST_S, Allowance, Fleet


def test_a_slow_target_rests() -> None:
    only = target("t")
    state = Fleet().of(only, 0.0)
    rested = [state.answered(6.0, 1.0) for _ in range(10)]
    assert True in rested
    assert state.slow(1.0)
    assert not state.slow(4.0)


def test_requests_whose_time_was_over_show_a_slow_target() -> None:
    state = Fleet().of(target("t"), 0.0)
    assert not any(state.overran(0.5, 1.0) for _ in range(50))
    assert any(state.overran(8.0, 1.0) for _ in range(4))
    assert state.usable(1.0)


def test_a_target_rests_after_several_lost_answers_in_a_row_only() -> None:
    state = Fleet().of(target("t"), 0.0)
    for _ in range(10):
        assert state.lost(1.0) == state.lost(1.0) == 0.0
        state.answered(1.0, 1.0)
    assert [state.lost(1.0) > 0 for _ in range(3)] == [False, False, True]
    assert not state.usable(1.0)
    assert state.usable(2.0)


def test_told_load_counts_what_others_have_there() -> None:
    state = Fleet().of(target("t"), 0.0)
    state.sent(0.0)
    state.told(TargetLoad(3, 2, SLOTS), 1.0)
    assert state.load(1.1) == 5
    state.sent(1.1)
    assert state.load(1.1) == 6
    assert state.load(2.0) == 2


def test_peers_counts_age() -> None:
    state = Fleet().of(target("t"), 0.0)
    state.told_by_peer("p", 3, 10.0)
    state.told_by_peer("q", 2, 10.5)
    assert state.load(10.6) == 5
    assert state.load(10.2 + PEER_TRUST_S) == 2
    assert state.load(10.6 + PEER_TRUST_S) == 0


def test_what_a_peer_no_longer_names_it_no_longer_has() -> None:
    fleet = Fleet()
    t0, t1 = target("t0"), target("t1")
    for t in (t0, t1):
        fleet.of(t, 0.0)
    fleet.hear("p", {"t0": 2, "t1": 1, "unknown": 5}, 0.0)
    fleet.hear("p", {"t1": 3}, 0.1)
    assert [fleet.of(t, 0.1).load(0.1) for t in (t0, t1)] == [0, 3]


def test_an_allowance_saves_up_one() -> None:
    allowance = Allowance(10.0, 0.0)
    assert [allowance.spend(5.0) for _ in range(3)] == [True, False, False]
    assert allowance.spend(5.11)


def test_a_target_that_goes_cold_again_is_cold_from_then() -> None:
    desk = Desk(target("t"))
    assert desk.name() == "t"
    desk.take(target("t", cold_ms=3_000))
    state = desk.fleet.of(target("t"), desk.now)
    assert state.cold(desk.now)
    assert not state.cold(desk.now + 3.1)
