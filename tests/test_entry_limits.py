# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Placement of requests if some targets have limits for all entries together."""

from desk import SLOTS, PlacementHarness, target
from leverdoor.entry.placement.placement_request import Placement
from leverdoor.entry.placement.target_chooser import MAX_ROOM_REQUESTS
from leverdoor.errors import Code, Rejection
from leverdoor.limits.advertised import LimitAdvertisement
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id


def limit(desk: PlacementHarness, per_s: float, *targets: Target) -> None:
    """Let targets advertise a limit."""
    for t in targets:
        desk.fleet.limits.take(LimitAdvertisement(target_id(t.name), per_s, desk.now))


def refuse_grants(
    desk: PlacementHarness, retry_after_s: float, priority: int, *targets: Target
) -> None:
    """Record a refusal of the limiter at each target."""
    for t in targets:
        room = desk.fleet.state_of(t, desk.now).room
        room.record_rejection(priority, retry_after_s, retry_after_s, desk.now)


def test_a_target_whose_limiter_refused_is_skipped_and_not_ejected() -> None:
    one, two = target("t1"), target("t2")
    desk = PlacementHarness(one, two)
    home = {"t1": one, "t2": two}[desk.name("k")]
    limit(desk, 0.5, home)
    assert desk.name("k") == home.name
    refuse_grants(desk, 1.0, 0, home)
    assert desk.name("k") != home.name
    assert desk.fleet.state_of(home, desk.now).is_usable(desk.now)
    desk.now += 1.1
    assert desk.name("k") == home.name
    refuse_grants(desk, 1.0, 0, home)
    desk.now += 0.5
    end = LimitAdvertisement(target_id(home.name), None, desk.now)
    assert desk.fleet.limits.take(end) is not None
    assert desk.name("k") == home.name


def test_a_request_is_refused_with_a_retry_time_if_all_limiters_refused() -> None:
    one, two = target("t1"), target("t2")
    desk = PlacementHarness(one, two)
    limit(desk, 0.5, one, two)
    refuse_grants(desk, 2.0, 0, one)
    refuse_grants(desk, 3.0, 0, two)
    for _ in range(20):
        found = desk.place()
        assert isinstance(found, Rejection)
        assert found.code is Code.TARGETS_LIMITED
        assert 1_990 <= found.retry_after_ms <= 4_000


def test_a_refusal_does_not_apply_to_more_urgent_requests() -> None:
    only = target("t1")
    desk = PlacementHarness(only)
    limit(desk, 0.5, only)
    urgent = desk.new_request().route.priority
    refuse_grants(desk, 2.0, urgent + 1, only)
    assert isinstance(desk.place(), Placement)
    refuse_grants(desk, 2.0, urgent, only)
    assert isinstance(desk.place(), Rejection)


def test_a_request_asks_for_a_bounded_number_of_grants() -> None:
    targets = [target(f"t{i}") for i in range(6)]
    desk = PlacementHarness(*targets)
    limit(desk, 0.5, *targets)
    request = desk.new_request()
    grant_requests = 0
    while isinstance(found := desk.placement.place(request, desk.now), Placement):
        desk.placement.ended(found, desk.now)
        request.targets_without_room.add(found.target.name)
        grant_requests += 1
    assert grant_requests == MAX_ROOM_REQUESTS


def test_a_limit_reduces_the_capacity_to_the_slots_that_it_keeps_busy() -> None:
    """A limited target has the slots that its limit can use: rate times latency.

    Keys then leave a region whose targets are limited, at a bounded rate.
    """
    only = target("t1")
    desk = PlacementHarness(only)
    desk.place_and_answer("k", 200.0)
    assert desk.fleet.load([only], desk.now)[1] == SLOTS
    limit(desk, 1.0, only)
    assert 0.0 < desk.fleet.load([only], desk.now)[1] < 1.0
