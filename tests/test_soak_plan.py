# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What strikes in a soak is drawn from its seed alone."""

from leverdoor.standins.soak.plan import FaultKind, draw_plan


def test_a_seed_gives_the_same_plan_and_another_another() -> None:
    assert draw_plan(7, 20.0, 30) == draw_plan(7, 20.0, 30)
    assert draw_plan(7, 20.0, 30) != draw_plan(8, 20.0, 30)


def test_troubles_begin_in_time_and_in_order() -> None:
    plan = draw_plan(3, 20.0, 200)
    times = [t.at_s for t in plan]
    assert times == sorted(times)
    assert times[0] >= 0.0
    assert times[-1] <= 20.0


def test_every_kind_comes_and_some_overlap() -> None:
    plan = [t for seed in range(20) for t in draw_plan(seed, 20.0, 25)]
    assert {t.kind for t in plan} == set(FaultKind)
    one = draw_plan(1, 20.0, 25)
    assert any(b.at_s < a.at_s + a.for_s for a, b in zip(one, one[1:], strict=False))
