# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of burn rates of service level objectives."""

from leverdoor.model.burn import (
    LONG_WINDOW_S,
    SHORT_WINDOW_S,
    BurnRateMeter,
    merge_series,
    summarize,
)
from leverdoor.model.resources import ServiceLevel

LEVEL = ServiceLevel(name="l", service="s", tier="t", latency_ms=100, objective=0.9)


def make_meter(
    latencies_ms: list[float], unanswered: int = 0, now: float = 0.0
) -> BurnRateMeter:
    m = BurnRateMeter()
    for ms in latencies_ms:
        m.record("s", "t", ms, True, [LEVEL], now)
    for _ in range(unanswered):
        m.record("s", "t", 0.0, False, [LEVEL], now)
    return m


def test_burn_rate_of_one_at_exactly_the_objective() -> None:
    line = summarize(make_meter([50.0] * 9 + [150.0]).series(1.0), [LEVEL])[0]
    assert (line.fast_burn, line.slow_burn) == (1.0, 1.0)
    assert line.availability == 1.0


def test_unanswered_requests_lower_availability_and_raise_burn_rate() -> None:
    line = summarize(make_meter([50.0] * 8, unanswered=2).series(1.0), [LEVEL])[0]
    assert line.fast_burn == 2.0
    assert line.availability == 0.8


def test_old_requests_leave_the_windows() -> None:
    m = make_meter([150.0])
    line = summarize(m.series(SHORT_WINDOW_S + 60), [LEVEL])[0]
    assert (line.fast_burn, line.slow_burn) == (0.0, 10.0)
    assert summarize(m.series(LONG_WINDOW_S + 60), [LEVEL])[0].slow_burn == 0.0


def test_series_of_several_gates_are_merged() -> None:
    one, two = make_meter([10.0] * 99), make_meter([5000.0])
    line = summarize(merge_series(one.series(1.0) + two.series(1.0)), [LEVEL])[0]
    assert line.requests == 100
    assert line.fast_burn == 0.1
    assert 9 <= line.p50_ms <= 11


def test_tier_without_objective_is_reported() -> None:
    m = BurnRateMeter()
    m.record("s", "other", 5.0, True, [], 0.0)
    line = summarize(m.series(1.0), [LEVEL])[0]
    assert (line.tier, line.level) == ("other", "")
