# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of service-level burn."""

from leverdoor.model.burn import FAST_S, SLOW_S, BurnRateMeter, merge_series, summarize
from leverdoor.model.resources import ServiceLevel

LEVEL = ServiceLevel(name="l", service="s", tier="t", latency_ms=100, objective=0.9)


def meter(took: list[float], lost: int = 0, at: float = 0.0) -> BurnRateMeter:
    m = BurnRateMeter()
    for ms in took:
        m.record("s", "t", ms, True, [LEVEL], at)
    for _ in range(lost):
        m.record("s", "t", 0.0, False, [LEVEL], at)
    return m


def test_a_burn_of_one_uses_the_budget_just_in_time() -> None:
    line = summarize(meter([50.0] * 9 + [150.0]).series(1.0), [LEVEL])[0]
    assert (line.fast_burn, line.slow_burn) == (1.0, 1.0)
    assert line.availability == 1.0


def test_requests_without_an_answer_count_against_both() -> None:
    line = summarize(meter([50.0] * 8, lost=2).series(1.0), [LEVEL])[0]
    assert line.fast_burn == 2.0
    assert line.availability == 0.8


def test_windows_forget() -> None:
    m = meter([150.0])
    slow = summarize(m.series(FAST_S + 60), [LEVEL])[0]
    assert (slow.fast_burn, slow.slow_burn) == (0.0, 10.0)
    assert summarize(m.series(SLOW_S + 60), [LEVEL])[0].slow_burn == 0.0


def test_gates_merge() -> None:
    one, two = meter([10.0] * 99), meter([5000.0])
    line = summarize(merge_series(one.series(1.0) + two.series(1.0)), [LEVEL])[0]
    assert line.requests == 100
    assert line.fast_burn == 0.1
    assert 9 <= line.p50_ms <= 11


def test_a_tier_without_an_objective_is_shown_all_the_same() -> None:
    m = BurnRateMeter()
    m.record("s", "other", 5.0, True, [], 0.0)
    line = summarize(m.series(1.0), [LEVEL])[0]
    assert (line.tier, line.level) == ("other", "")
