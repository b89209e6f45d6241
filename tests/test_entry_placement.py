# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Where requests go: keys, loads, homes, drains, cold targets, weights."""

import pytest

from desk import ROUTE, SLOTS, PlacementHarness, target
from leverdoor.entry.placement.placement_request import Placement
from leverdoor.entry.placement.rendezvous import RendezvousRanking
from leverdoor.entry.placement.warm_key_digests import WarmKeyDigests
from leverdoor.errors import Code, Rejection
from leverdoor.model.resources import Drain, Resource, Route, WorkClass


def test_a_key_stays_with_its_target() -> None:
    desk = PlacementHarness(*(target(f"t{i}") for i in range(6)))
    first = {f"k{i}": desk.name(f"k{i}") for i in range(40)}
    again = {f"k{i}": desk.name(f"k{i}") for i in range(40)}
    assert first == again
    assert len(set(first.values())) == 6


def test_few_keys_move_when_a_target_goes() -> None:
    targets = [target(f"t{i}") for i in range(6)]
    before = RendezvousRanking(targets)
    after = RendezvousRanking(targets[:5])
    keys = [f"k{i}" for i in range(300)]
    moved = [k for k in keys if before.order(k)[0] != after.order(k)[0]]
    assert all(before.order(k)[0].name == "t5" for k in moved)


def test_keys_follow_slots() -> None:
    ranking = RendezvousRanking([target("small", slots=2), target("large", slots=8)])
    large = sum(ranking.order(f"k{i}")[0].name == "large" for i in range(2000))
    assert 0.75 < large / 2000 < 0.85


def test_a_full_target_is_not_queued_at_for_long() -> None:
    only = target("t")
    desk = PlacementHarness(only)
    desk.set_load(only, SLOTS * 4)
    found = desk.place()
    assert isinstance(found, Rejection)
    assert found.code is Code.QUEUE_FULL
    assert 0 < found.retry_after_ms <= 500


def test_an_unseen_key_is_not_spread_to_busy_targets() -> None:
    """Cold runs at second choices are what makes all targets slow."""
    targets = [target(f"t{i}") for i in range(3)]
    desk = PlacementHarness(*targets)
    home = RendezvousRanking(targets).order("k")[0]
    desk.set_load(home, SLOTS * 4)
    for other in targets:
        if other is not home:
            desk.set_load(other, SLOTS - 1)
    assert isinstance(desk.place("k"), Rejection)
    for other in targets:
        if other is not home:
            desk.set_load(other, 0)
    assert desk.name("k") != home.name


def test_a_second_choice_that_saw_the_key_is_used_while_busy() -> None:
    targets = [target(f"t{i}") for i in range(2)]
    desk = PlacementHarness(*targets)
    home, second = RendezvousRanking(targets).order("k")
    desk.set_load(home, SLOTS * 4)
    assert desk.place_and_answer("k", took_ms=600) == second.name
    desk.set_load(second, SLOTS)
    assert desk.name("k") == second.name


def test_a_key_is_asked_for_at_its_first_two_targets_only() -> None:
    """All entries agree on these two; others would run it cold at each entry."""
    targets = [target(f"t{i}") for i in range(4)]
    desk = PlacementHarness(*targets)
    first, second, third, _ = RendezvousRanking(targets).order("k")
    desk.set_load(first, SLOTS * 4)
    assert desk.name("k") == second.name
    desk.set_load(second, SLOTS * 4)
    assert isinstance(desk.place("k"), Rejection)
    desk.fleet.of(first, desk.now).unreached(desk.now)
    assert desk.name("k") == third.name, "one that is out does not count"


def test_a_second_target_that_another_entry_warmed_is_used_while_busy() -> None:
    targets = [target(f"t{i}") for i in range(2)]
    desk = PlacementHarness(*targets)
    home, second = RendezvousRanking(targets).order("k")
    desk.set_load(home, SLOTS * 4)
    desk.set_load(second, SLOTS)
    assert isinstance(desk.place("k"), Rejection)
    other = WarmKeyDigests()
    other.record_answer(second, "k", desk.now)
    desk.placement.warm_keys.receive(other.recent(1.0, desk.now), desk.now)
    assert desk.name("k") == second.name


def test_a_target_that_forgets_its_keys_is_given_no_new_ones() -> None:
    targets = [target(f"t{i}") for i in range(2)]
    desk = PlacementHarness(*targets)
    home, second = RendezvousRanking(targets).order("k")
    mine = [f"k{i}" for i in range(60)]
    mine = [
        k for k in mine if RendezvousRanking(targets).order(k)[0].name == second.name
    ]
    for _ in range(3):
        for key in mine[:10]:
            assert desk.place_and_answer(key, took_ms=900) == second.name
    desk.set_load(home, SLOTS * 4)
    assert isinstance(desk.place("k"), Rejection)


def test_waits_are_reckoned_with_the_runs_that_are_there() -> None:
    """A queue of cold runs moves more slowly than one of warm runs."""
    only = target("t")
    warm, cold = PlacementHarness(only), PlacementHarness(only)
    for _ in range(20):
        warm.place_and_answer("k", took_ms=200)
        cold.place_and_answer("k", took_ms=650)
    for desk in (warm, cold):
        desk.set_load(only, SLOTS + 2)
    ready, late = warm.place("k"), cold.place("k")
    assert isinstance(ready, Placement)
    assert isinstance(late, Rejection) or late.expected_ms > ready.expected_ms


def test_the_least_urgent_are_refused_first() -> None:
    only = target("t")
    desk = PlacementHarness(only)
    urgent = Route(
        **{f: getattr(ROUTE, f) for f in ROUTE.__struct_fields__}
        | {"name": "u", "priority": 0}
    )
    late = Route(
        **{f: getattr(ROUTE, f) for f in ROUTE.__struct_fields__}
        | {"name": "l", "priority": 5}
    )
    loads = range(SLOTS, SLOTS * 4)
    refused_at = {}
    for route in (urgent, late):
        for load in loads:
            desk.set_load(only, load)
            if isinstance(desk.place("k", route), Rejection):
                refused_at[route.name] = load
                break
        desk = PlacementHarness(only)
    assert refused_at["l"] < refused_at["u"]


def test_homes_bind() -> None:
    home = Route(
        **{f: getattr(ROUTE, f) for f in ROUTE.__struct_fields__}
        | {"name": "h", "homes": ["b"]}
    )
    away, at_home = target("away"), target("home", "b1")
    desk = PlacementHarness(away, at_home)
    assert {desk.name(f"k{i}", home) for i in range(20)} == {"home"}
    desk.set_load(at_home, SLOTS * 4)
    assert isinstance(desk.place("k", home), Rejection)
    desk.take(away)
    found = desk.place("k", home)
    assert isinstance(found, Rejection)
    assert found.code is Code.NO_TARGET


@pytest.mark.parametrize(
    "leaving",
    [
        pytest.param([target("t1", draining=True)], id="draining"),
        pytest.param(
            [target("t1", "a2"), Drain(name="a2", domain="a2")], id="evacuated"
        ),
        pytest.param([], id="gone"),
    ],
)
def test_what_leaves_gets_nothing_from_that_moment(leaving: list[Resource]) -> None:
    desk = PlacementHarness(target("t0"), target("t1", "a2"))
    keys = [f"k{i}" for i in range(30)]
    assert {desk.name(k) for k in keys} == {"t0", "t1"}
    desk.take(target("t0"), *leaving)
    assert {desk.name(k) for k in keys} == {"t0"}


def test_what_was_tried_is_not_tried_again() -> None:
    desk = PlacementHarness(target("t0"), target("t1"))
    asked = desk.new_request()
    for _ in range(2):
        found = desk.placement.place(asked, desk.now)
        assert isinstance(found, Placement)
        asked.tried_targets.add(found.target.name)
    assert isinstance(desk.placement.place(asked, desk.now), Rejection)
    assert asked.tried_targets == {"t0", "t1"}


def test_a_failed_target_is_ejected_and_comes_back() -> None:
    targets = [target("t0"), target("t1")]
    desk = PlacementHarness(*targets)
    home = RendezvousRanking(targets).order("k")[0]
    desk.fleet.of(home, desk.now).unreached(desk.now)
    assert desk.name("k") != home.name
    desk.now += 1.0
    assert desk.name("k") == home.name


def test_a_silent_target_is_ejected() -> None:
    targets = [target("t0"), target("t1")]
    desk = PlacementHarness(*targets)
    home = RendezvousRanking(targets).order("k")[0]
    for _ in range(3):
        desk.place("k")
    assert desk.fleet.of(home, desk.now).in_flight == 3
    desk.now += 1.5
    assert desk.name("k") != home.name


def test_slow_targets_serve_only_when_no_other_can() -> None:
    targets = [target("t0"), target("t1")]
    desk = PlacementHarness(*targets)
    home, second = RendezvousRanking(targets).order("k")
    for _ in range(10):
        desk.fleet.of(home, desk.now).overran(8.0, desk.now)
    assert desk.name("k") == second.name
    for _ in range(10):
        desk.fleet.of(second, desk.now).overran(8.0, desk.now)
    assert desk.name("k") == home.name


def test_a_cold_target_gets_nothing_while_others_have_room() -> None:
    desk = PlacementHarness(target("cold", cold_ms=60_000), target("warm"))
    assert {desk.name(f"k{i}") for i in range(30)} == {"warm"}


def test_who_may_not_warm_it_up_sends_nothing_to_a_cold_target() -> None:
    desk = PlacementHarness(target("t", cold_ms=60_000))
    desk.placement.may_warm_up_target = lambda _: False
    assert isinstance(desk.place(), Rejection)


def test_a_cold_target_without_room_gets_nothing() -> None:
    desk = PlacementHarness(target("t", cold_ms=60_000))
    asked = desk.new_request()
    found = desk.placement.place(asked, desk.now)
    assert isinstance(found, Placement)
    assert found.reason == "cold"
    desk.placement.ended(found, desk.now)
    state = desk.fleet.of(found.target, desk.now)
    state.room.refused(asked.priority, 0.5, 0.5, desk.now)
    assert isinstance(desk.place(), Rejection)
    desk.now += 0.6
    assert isinstance(desk.place(), Placement)


def test_a_region_without_targets_is_served_elsewhere_at_once() -> None:
    desk = PlacementHarness(target("t", "b1"))
    assert {desk.name(f"k{i}") for i in range(20)} == {"t"}


def test_weights_are_kept_to() -> None:
    split = Route(
        name="r",
        host="h",
        prefix="/",
        work=WorkClass.LOOKUP,
        services={"s": 90, "u": 10},
    )
    desk = PlacementHarness()
    picked = [desk.placement.pick_service(split) for _ in range(300)]
    assert abs(picked.count("u") - 30) <= 2


@pytest.mark.parametrize(
    ("each", "size", "own_only"),
    [(3, 50_000, False), (12, 400, False), (12, 50_000, True)],
)
def test_a_domain_with_many_targets_keeps_large_requests(
    each: int, size: int, own_only: bool
) -> None:
    targets = [
        target(f"{domain}-{i}", domain) for domain in ("a1", "a2") for i in range(each)
    ]
    desk = PlacementHarness(*targets)
    for i in range(30):
        asked = desk.new_request(f"k{i}")
        found = desk.placement.place(asked, desk.now)
        assert isinstance(found, Placement)
        desk.placement.ended(found, desk.now)
        desk.placement.answered(asked, found, 200.0, size, desk.now)
    used = {desk.name(f"k{i}").split("-")[0] for i in range(60)}
    assert used == ({"a1"} if own_only else {"a1", "a2"})


def test_a_domain_may_be_named_as_its_region() -> None:
    named_alike = target("t0", "a", region="a")
    desk = PlacementHarness(named_alike, target("t1", "a2"))
    assert {desk.name(f"k{i}") for i in range(30)} == {"t0", "t1"}
