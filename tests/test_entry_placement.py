# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Placement by key, load, home, drain, warm-up and weight."""

import pytest

from desk import ROUTE, SLOTS, PlacementHarness, target
from leverdoor.entry.placement.placement_request import Placement
from leverdoor.entry.placement.rendezvous import RendezvousRanking
from leverdoor.entry.placement.warm_key_digests import WarmKeyDigests
from leverdoor.errors import Code, Rejection
from leverdoor.model.resources import Drain, Resource, Route, WorkClass


def test_a_key_keeps_its_target_across_requests() -> None:
    harness = PlacementHarness(*(target(f"t{i}") for i in range(6)))
    first = {f"k{i}": harness.name(f"k{i}") for i in range(40)}
    again = {f"k{i}": harness.name(f"k{i}") for i in range(40)}
    assert first == again
    assert len(set(first.values())) == 6


def test_only_keys_of_a_removed_target_move() -> None:
    targets = [target(f"t{i}") for i in range(6)]
    before = RendezvousRanking(targets)
    after = RendezvousRanking(targets[:5])
    keys = [f"k{i}" for i in range(300)]
    moved = [k for k in keys if before.order(k)[0] != after.order(k)[0]]
    assert all(before.order(k)[0].name == "t5" for k in moved)


def test_keys_are_distributed_in_proportion_to_slots() -> None:
    ranking = RendezvousRanking([target("small", slots=2), target("large", slots=8)])
    large = sum(ranking.order(f"k{i}")[0].name == "large" for i in range(2000))
    assert 0.75 < large / 2000 < 0.85


def test_a_request_for_a_full_target_is_rejected_with_a_short_retry_time() -> None:
    only = target("t")
    harness = PlacementHarness(only)
    harness.set_load(only, SLOTS * 4)
    decision = harness.place()
    assert isinstance(decision, Rejection)
    assert decision.code is Code.QUEUE_FULL
    assert 0 < decision.retry_after_ms <= 500


def test_a_key_is_not_run_cold_at_a_busy_second_target() -> None:
    """Cold runs at second targets slow down all targets."""
    targets = [target(f"t{i}") for i in range(3)]
    harness = PlacementHarness(*targets)
    first = RendezvousRanking(targets).order("k")[0]
    harness.set_load(first, SLOTS * 4)
    for other in targets:
        if other is not first:
            harness.set_load(other, SLOTS - 1)
    assert isinstance(harness.place("k"), Rejection)
    for other in targets:
        if other is not first:
            harness.set_load(other, 0)
    assert harness.name("k") != first.name


def test_a_busy_second_target_serves_a_key_that_it_has_answered() -> None:
    targets = [target(f"t{i}") for i in range(2)]
    harness = PlacementHarness(*targets)
    first, second = RendezvousRanking(targets).order("k")
    harness.set_load(first, SLOTS * 4)
    assert harness.place_and_answer("k", took_ms=600) == second.name
    harness.set_load(second, SLOTS)
    assert harness.name("k") == second.name


def test_a_key_is_served_by_its_first_two_usable_targets_only() -> None:
    """Further targets would run the key cold for each entry."""
    targets = [target(f"t{i}") for i in range(4)]
    harness = PlacementHarness(*targets)
    first, second, third, _ = RendezvousRanking(targets).order("k")
    harness.set_load(first, SLOTS * 4)
    assert harness.name("k") == second.name
    harness.set_load(second, SLOTS * 4)
    assert isinstance(harness.place("k"), Rejection)
    harness.fleet.state_of(first, harness.now).unreached(harness.now)
    assert harness.name("k") == third.name, "an ejected target does not count"


def test_a_busy_second_target_serves_a_key_answered_for_another_entry() -> None:
    targets = [target(f"t{i}") for i in range(2)]
    harness = PlacementHarness(*targets)
    first, second = RendezvousRanking(targets).order("k")
    harness.set_load(first, SLOTS * 4)
    harness.set_load(second, SLOTS)
    assert isinstance(harness.place("k"), Rejection)
    other = WarmKeyDigests()
    other.record_answer(second, "k", harness.now)
    harness.placement.warm_keys.receive(
        other.queued_within(1.0, harness.now), harness.now
    )
    assert harness.name("k") == second.name


def test_a_target_that_evicts_keys_receives_no_new_ones() -> None:
    targets = [target(f"t{i}") for i in range(2)]
    harness = PlacementHarness(*targets)
    first, second = RendezvousRanking(targets).order("k")
    keys = [f"k{i}" for i in range(60)]
    keys = [
        k for k in keys if RendezvousRanking(targets).order(k)[0].name == second.name
    ]
    for _ in range(3):
        for key in keys[:10]:
            assert harness.place_and_answer(key, took_ms=900) == second.name
    harness.set_load(first, SLOTS * 4)
    assert isinstance(harness.place("k"), Rejection)


def test_the_expected_wait_includes_the_cold_runs_in_the_queue() -> None:
    """A queue of cold runs is processed more slowly than one of warm runs."""
    only = target("t")
    warm, cold = PlacementHarness(only), PlacementHarness(only)
    for _ in range(20):
        warm.place_and_answer("k", took_ms=200)
        cold.place_and_answer("k", took_ms=650)
    for harness in (warm, cold):
        harness.set_load(only, SLOTS + 2)
    with_warm_queue, with_cold_queue = warm.place("k"), cold.place("k")
    assert isinstance(with_warm_queue, Placement)
    assert (
        isinstance(with_cold_queue, Rejection)
        or with_cold_queue.expected_ms > with_warm_queue.expected_ms
    )


def test_less_urgent_requests_are_rejected_at_a_lower_load() -> None:
    only = target("t")
    harness = PlacementHarness(only)
    urgent = Route(
        **{f: getattr(ROUTE, f) for f in ROUTE.__struct_fields__}
        | {"name": "u", "priority": 0}
    )
    less_urgent = Route(
        **{f: getattr(ROUTE, f) for f in ROUTE.__struct_fields__}
        | {"name": "l", "priority": 5}
    )
    loads = range(SLOTS, SLOTS * 4)
    refused_at = {}
    for route in (urgent, less_urgent):
        for load in loads:
            harness.set_load(only, load)
            if isinstance(harness.place("k", route), Rejection):
                refused_at[route.name] = load
                break
        harness = PlacementHarness(only)
    assert refused_at["l"] < refused_at["u"]


def test_requests_are_placed_in_home_regions_only() -> None:
    home_route = Route(
        **{f: getattr(ROUTE, f) for f in ROUTE.__struct_fields__}
        | {"name": "h", "homes": ["b"]}
    )
    away, at_home = target("away"), target("home", "b1")
    harness = PlacementHarness(away, at_home)
    assert {harness.name(f"k{i}", home_route) for i in range(20)} == {"home"}
    harness.set_load(at_home, SLOTS * 4)
    assert isinstance(harness.place("k", home_route), Rejection)
    harness.configure(away)
    decision = harness.place("k", home_route)
    assert isinstance(decision, Rejection)
    assert decision.code is Code.NO_TARGET


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
def test_a_target_taken_out_of_service_receives_no_requests(
    leaving: list[Resource],
) -> None:
    harness = PlacementHarness(target("t0"), target("t1", "a2"))
    keys = [f"k{i}" for i in range(30)]
    assert {harness.name(k) for k in keys} == {"t0", "t1"}
    harness.configure(target("t0"), *leaving)
    assert {harness.name(k) for k in keys} == {"t0"}


def test_a_retry_skips_targets_that_were_tried() -> None:
    harness = PlacementHarness(target("t0"), target("t1"))
    request = harness.new_request()
    for _ in range(2):
        decision = harness.placement.place(request, harness.now)
        assert isinstance(decision, Placement)
        request.tried_targets.add(decision.target.name)
    assert isinstance(harness.placement.place(request, harness.now), Rejection)
    assert request.tried_targets == {"t0", "t1"}


def test_an_unreachable_target_is_ejected_for_a_limited_time() -> None:
    targets = [target("t0"), target("t1")]
    harness = PlacementHarness(*targets)
    first = RendezvousRanking(targets).order("k")[0]
    harness.fleet.state_of(first, harness.now).unreached(harness.now)
    assert harness.name("k") != first.name
    harness.now += 1.0
    assert harness.name("k") == first.name


def test_a_silent_target_receives_no_requests() -> None:
    targets = [target("t0"), target("t1")]
    harness = PlacementHarness(*targets)
    first = RendezvousRanking(targets).order("k")[0]
    for _ in range(3):
        harness.place("k")
    assert harness.fleet.state_of(first, harness.now).in_flight == 3
    harness.now += 1.5
    assert harness.name("k") != first.name


def test_a_slow_target_serves_only_if_no_other_can() -> None:
    targets = [target("t0"), target("t1")]
    harness = PlacementHarness(*targets)
    first, second = RendezvousRanking(targets).order("k")
    for _ in range(10):
        harness.fleet.state_of(first, harness.now).overran(8.0, harness.now)
    assert harness.name("k") == second.name
    for _ in range(10):
        harness.fleet.state_of(second, harness.now).overran(8.0, harness.now)
    assert harness.name("k") == first.name


def test_a_cold_target_receives_no_requests_while_others_have_slots() -> None:
    harness = PlacementHarness(target("cold", cold_ms=60_000), target("warm"))
    assert {harness.name(f"k{i}") for i in range(30)} == {"warm"}


def test_an_entry_that_may_not_warm_up_a_cold_target_rejects_the_request() -> None:
    harness = PlacementHarness(target("t", cold_ms=60_000))
    harness.placement.may_warm_up_target = lambda _: False
    assert isinstance(harness.place(), Rejection)


def test_a_cold_target_is_skipped_after_its_limiter_rejected_a_room_request() -> None:
    harness = PlacementHarness(target("t", cold_ms=60_000))
    request = harness.new_request()
    decision = harness.placement.place(request, harness.now)
    assert isinstance(decision, Placement)
    assert decision.reason == "cold"
    harness.placement.ended(decision, harness.now)
    state = harness.fleet.state_of(decision.target, harness.now)
    state.room.record_rejection(request.priority, 0.5, 0.5, harness.now)
    assert isinstance(harness.place(), Rejection)
    harness.now += 0.6
    assert isinstance(harness.place(), Placement)


def test_another_region_serves_the_keys_of_a_region_without_targets() -> None:
    harness = PlacementHarness(target("t", "b1"))
    assert {harness.name(f"k{i}") for i in range(20)} == {"t"}


def test_services_are_picked_in_proportion_to_their_weights() -> None:
    split = Route(
        name="r",
        host="h",
        prefix="/",
        work=WorkClass.LOOKUP,
        services={"s": 90, "u": 10},
    )
    harness = PlacementHarness()
    picked = [harness.placement.pick_service(split) for _ in range(300)]
    assert abs(picked.count("u") - 30) <= 2


@pytest.mark.parametrize(
    ("each", "size", "own_only"),
    [(3, 50_000, False), (12, 400, False), (12, 50_000, True)],
)
def test_only_large_requests_stay_in_a_domain_and_only_if_it_has_many_targets(
    each: int, size: int, own_only: bool
) -> None:
    targets = [
        target(f"{domain}-{i}", domain) for domain in ("a1", "a2") for i in range(each)
    ]
    harness = PlacementHarness(*targets)
    for i in range(30):
        request = harness.new_request(f"k{i}")
        decision = harness.placement.place(request, harness.now)
        assert isinstance(decision, Placement)
        harness.placement.ended(decision, harness.now)
        harness.placement.answered(request, decision, 200.0, size, harness.now)
    used = {harness.name(f"k{i}").split("-")[0] for i in range(60)}
    assert used == ({"a1"} if own_only else {"a1", "a2"})


def test_a_domain_may_have_the_name_of_its_region() -> None:
    named_alike = target("t0", "a", region="a")
    harness = PlacementHarness(named_alike, target("t1", "a2"))
    assert {harness.name(f"k{i}") for i in range(30)} == {"t0", "t1"}
