# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Where requests go beside targets that take only so many from all entries."""

from desk import SLOTS, PlacementHarness, target
from leverdoor.entry.placement.placement_request import Placement
from leverdoor.entry.placement.target_chooser import MAX_ROOM_REQUESTS
from leverdoor.errors import Code, Rejection
from leverdoor.limits.named import LimitWord
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id


def limit(desk: PlacementHarness, per_s: float, *targets: Target) -> None:
    """Let targets name a limit."""
    for t in targets:
        desk.fleet.limits.take(LimitWord(target_id(t.name), per_s, desk.now))


def close_room(
    desk: PlacementHarness, room_s: float, priority: int, *targets: Target
) -> None:
    """Let the limiter of targets refuse a request."""
    for t in targets:
        room = desk.fleet.state_of(t, desk.now).room
        room.record_rejection(priority, room_s, room_s, desk.now)


def test_a_limited_target_without_room_is_passed_over_and_not_ejected() -> None:
    one, two = target("t1"), target("t2")
    desk = PlacementHarness(one, two)
    home = {"t1": one, "t2": two}[desk.name("k")]
    limit(desk, 0.5, home)
    assert desk.name("k") == home.name
    close_room(desk, 1.0, 0, home)
    assert desk.name("k") != home.name
    assert desk.fleet.state_of(home, desk.now).is_usable(desk.now)
    desk.now += 1.1
    assert desk.name("k") == home.name
    close_room(desk, 1.0, 0, home)
    desk.now += 0.5
    end = LimitWord(target_id(home.name), None, desk.now)
    assert desk.fleet.limits.take(end) is not None
    assert desk.name("k") == home.name


def test_what_limits_leave_no_room_for_is_refused_with_when_there_is() -> None:
    one, two = target("t1"), target("t2")
    desk = PlacementHarness(one, two)
    limit(desk, 0.5, one, two)
    close_room(desk, 2.0, 0, one)
    close_room(desk, 3.0, 0, two)
    for _ in range(20):
        found = desk.place()
        assert isinstance(found, Rejection)
        assert found.code is Code.TARGETS_LIMITED
        assert 1_990 <= found.retry_after_ms <= 4_000


def test_a_more_urgent_request_asks_where_a_less_urgent_one_was_refused() -> None:
    only = target("t1")
    desk = PlacementHarness(only)
    limit(desk, 0.5, only)
    urgent = desk.new_request().route.priority
    close_room(desk, 2.0, urgent + 1, only)
    assert isinstance(desk.place(), Placement)
    close_room(desk, 2.0, urgent, only)
    assert isinstance(desk.place(), Rejection)


def test_a_request_asks_at_a_few_limited_targets_only() -> None:
    targets = [target(f"t{i}") for i in range(6)]
    desk = PlacementHarness(*targets)
    limit(desk, 0.5, *targets)
    asked = desk.new_request()
    questions = 0
    while isinstance(found := desk.placement.place(asked, desk.now), Placement):
        desk.placement.ended(found, desk.now)
        asked.targets_without_room.add(found.target.name)
        questions += 1
    assert questions == MAX_ROOM_REQUESTS


def test_a_limit_counts_as_the_slots_that_it_keeps_busy() -> None:
    """So that keys leave a region whose targets are limited, at the bounded rate."""
    only = target("t1")
    desk = PlacementHarness(only)
    desk.place_and_answer("k", 200.0)
    assert desk.fleet.load([only], desk.now)[1] == SLOTS
    limit(desk, 1.0, only)
    assert 0.0 < desk.fleet.load([only], desk.now)[1] < 1.0
