# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What targets say in answers decides where requests go."""

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from desk import SLOTS, PlacementHarness, target
from leverdoor.entry.placement.availability import (
    INITIAL_WINDOW,
    MAX_REST_S,
    RAMP_UP_S,
    REST_END_SPREAD_S,
    URGENT_ONLY_S,
    Availability,
)
from leverdoor.entry.placement.candidates import MAX_CANDIDATES
from leverdoor.entry.placement.fleet import AVAILABILITY_TTL_S
from leverdoor.entry.placement.peer_rests import (
    DIGESTS_PER_TARGET,
    REST_DIGEST_TTL_S,
    PeerRests,
)
from leverdoor.entry.placement.placement_request import Placement
from leverdoor.entry.placement.warm_key_digests import WarmKeyDigests
from leverdoor.entry.wire import TargetLoad, TargetReport
from leverdoor.errors import Code, Rejection
from leverdoor.model.resources import Target

LEAVES = TargetReport(leaving=True)
ANSWERED = TargetReport()


def rest(seconds: float) -> TargetReport:
    return TargetReport(not_run=True, rest_s=seconds)


def hear(desk: PlacementHarness, report: TargetReport, *targets: Target) -> None:
    """Let targets answer a request of this entry."""
    for t in targets:
        state = desk.fleet.of(t, desk.now)
        state.sent(desk.now)
        state.apply_report(report, Random(1), desk.now)
        state.ended()


def test_a_target_that_said_that_it_leaves_gets_nothing_and_others_serve() -> None:
    one, two = target("t1"), target("t2")
    desk = PlacementHarness(one, two)
    home = {"t1": one, "t2": two}[desk.name("k")]
    hear(desk, LEAVES, home)
    assert desk.name("k") != home.name
    hear(desk, ANSWERED, home)
    desk.now += 1_000.0
    assert desk.name("k") != home.name
    assert not desk.placement.accepts_requests(home, desk.now)


def test_a_target_that_leaves_still_does_after_its_registration_was_gone() -> None:
    """Registrations expire in an outage, and are back as ready."""
    one, two = target("t1"), target("t2")
    desk = PlacementHarness(one, two)
    home = {"t1": one, "t2": two}[desk.name("k")]
    hear(desk, LEAVES, home)
    desk.take()
    desk.fleet.forget(desk.now)
    desk.now += 60.0
    desk.take(one, two)
    assert desk.name("k") != home.name
    desk.take()
    desk.now += AVAILABILITY_TTL_S + 1.0
    desk.fleet.forget(desk.now)
    desk.take(one, two)
    assert desk.name("k") == home.name


def test_another_target_at_the_address_of_one_that_left_is_used() -> None:
    old = target("t1")
    desk = PlacementHarness(old)
    hear(desk, LEAVES, old)
    desk.take(target("t2"))
    assert desk.name("k") == "t2"


def test_where_all_targets_leave_requests_are_refused_at_once() -> None:
    one, two = target("t1"), target("t2", "b1")
    desk = PlacementHarness(one, two)
    hear(desk, LEAVES, one, two)
    found = desk.place()
    assert isinstance(found, Rejection)
    assert found.code is Code.NO_TARGET
    assert found.retry_after_ms > 0


def test_a_resting_target_gets_nothing_until_its_rest_is_over() -> None:
    one, two = target("t1"), target("t2")
    desk = PlacementHarness(one, two)
    home = {"t1": one, "t2": two}[desk.name("k")]
    hear(desk, rest(3.0), home)
    desk.now += 2.99
    assert desk.name("k") != home.name
    desk.now += REST_END_SPREAD_S + 0.01
    assert desk.name("k") == home.name


def test_a_later_rest_prolongs_and_a_shorter_one_does_not_shorten() -> None:
    availability = Availability()
    availability.start_rest(3.0, 0.0, 0, 0.0)
    availability.start_rest(1.0, 0.0, 0, 1.0)
    assert availability.is_resting(2.99)
    availability.start_rest(3.0, 0.0, 0, 2.5)
    availability.answered(SLOTS, 2.6)
    assert availability.is_resting(5.49)
    assert not availability.is_resting(5.5)


@pytest.mark.parametrize("seconds", [1e9, math.inf])
def test_an_absurd_rest_shuts_no_target_out_for_good(seconds: float) -> None:
    availability = Availability()
    availability.start_rest(seconds, 0.5, 0, 0.0)
    assert availability.open(MAX_REST_S + REST_END_SPREAD_S)


def test_after_a_rest_few_are_sent_first_and_more_with_each_answer() -> None:
    """All entries return at about the same moment."""
    only = target("t1", slots=32)
    desk = PlacementHarness(only)
    state = desk.fleet.of(only, desk.now)
    hear(desk, rest(1.0), only)
    desk.now += 1.0 + REST_END_SPREAD_S
    sent = []
    for _ in range(4):
        before = state.in_flight
        while isinstance(desk.place(), Placement):
            pass
        sent.append(state.in_flight - before)
        for _ in range(state.in_flight):
            state.apply_report(ANSWERED, Random(1), desk.now)
            state.ended()
    assert sent[:2] == [INITIAL_WINDOW, INITIAL_WINDOW * 2**INITIAL_WINDOW]
    assert sent[-1] >= only.slots


def test_one_that_does_not_answer_at_once_returns_in_full_after_a_while() -> None:
    availability = Availability()
    availability.start_rest(1.0, 0.0, 0, 0.0)
    assert not availability.admits(0, INITIAL_WINDOW, 1.0 + RAMP_UP_S / 2)
    assert availability.admits(0, INITIAL_WINDOW, 1.0 + RAMP_UP_S)


def test_requests_sent_before_a_rest_do_not_keep_others_from_returning() -> None:
    """An upload may run for longer than the rest lasts."""
    availability = Availability()
    availability.start_rest(1.0, 0.0, 3, 0.0)
    assert availability.admits(0, 3 + INITIAL_WINDOW - 1, 1.0)
    availability.ended(2)
    assert not availability.admits(0, 3 + INITIAL_WINDOW - 1, 1.0)


def test_where_all_rest_refusals_say_when_the_first_rest_ends() -> None:
    one, two, far = target("t1"), target("t2"), target("t3", "b1")
    desk = PlacementHarness(one, two, far)
    hear(desk, rest(4.0), one, far)
    hear(desk, rest(2.0), two)
    times = []
    for _ in range(50):
        found = desk.place()
        assert isinstance(found, Rejection)
        assert found.code is Code.TARGETS_RESTING
        times.append(found.retry_after_ms)
    assert min(times) >= 2_000
    assert max(times) <= 2_000 + 1000 * REST_END_SPREAD_S + 500
    assert max(times) - min(times) > 100


def test_the_most_urgent_that_were_refused_return_first() -> None:
    availability = Availability()
    availability.start_rest(1.0, 0.0, 0, 0.0)
    availability.rejected(2)
    availability.rejected(1)
    assert availability.admits(1, 0, 1.0)
    assert not availability.admits(2, 0, 1.0)
    assert availability.admits(2, 0, 1.0 + URGENT_ONLY_S)


def test_targets_beyond_the_usual_candidates_serve_while_those_rest() -> None:
    """Six targets of a key are looked at; all of them may rest at once."""
    targets = [target(f"t{i}") for i in range(MAX_CANDIDATES + 3)]
    desk = PlacementHarness(*targets)
    served = set()
    while len(served) < len(targets):
        found = desk.place("k")
        assert isinstance(found, Placement), served
        desk.placement.ended(found, desk.now)
        served.add(found.target.name)
        hear(desk, rest(5.0), found.target)


def test_a_resting_target_counts_no_slots_for_its_region() -> None:
    one, two = target("t1"), target("t2")
    desk = PlacementHarness(one, two)
    hear(desk, rest(2.0), one)
    assert desk.fleet.load([one, two], desk.now)[1] == SLOTS


def test_an_answer_that_turned_a_request_away_reports_no_load() -> None:
    only = target("t1")
    desk = PlacementHarness(only)
    hear(desk, TargetReport(not_run=True, load=TargetLoad(4, 4, 4)), only)
    assert desk.fleet.of(only, desk.now).load(desk.now) == 0.0


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 20.0),
            st.one_of(st.none(), st.floats(0.0, 5.0)),
        ),
        min_size=1,
    )
)
def test_in_no_rest_that_was_asked_for_is_anything_admitted(
    answers: list[tuple[float, float | None]],
) -> None:
    """Whatever answers, good or not, come in between."""
    availability = Availability()
    ends = 0.0
    for at, rest_s in sorted(answers, key=lambda one: one[0]):
        if at < ends:
            assert not availability.admits(0, 0, at)
        if rest_s is None:
            availability.answered(SLOTS, at)
        else:
            availability.start_rest(rest_s, 0.0, 0, at)
            ends = max(ends, at + rest_s)


def tell_of_rests(desk: PlacementHarness, told: Target, entries: int) -> None:
    """Let other entries tell that a target asked each of them for rest."""
    for number in range(entries):
        digests = WarmKeyDigests()
        PeerRests(digests, Random(number)).record_rest(told, desk.now)
        recent = digests.recent(1.0, desk.now)
        desk.placement.warm_keys.receive(recent, desk.now)


def test_a_target_that_turns_many_entries_away_is_not_tried_by_each_of_the_others() -> (
    None
):
    """At 195 entries one in thirty requests was refused beside targets with room."""
    one, two = target("t1"), target("t2")
    desk = PlacementHarness(one, two)
    home = {"t1": one, "t2": two}[desk.name("k")]
    tell_of_rests(desk, home, 2 * DIGESTS_PER_TARGET)
    assert desk.name("k") != home.name
    desk.now += REST_DIGEST_TTL_S + 0.01
    assert desk.name("k") == home.name


def test_one_entry_that_is_turned_away_keeps_no_other_from_a_target() -> None:
    one, two = target("t1"), target("t2")
    desk = PlacementHarness(one, two)
    home = {"t1": one, "t2": two}[desk.name("k")]
    tell_of_rests(desk, home, 1)
    assert desk.name("k") == home.name


def test_what_a_target_answers_here_counts_for_more_than_what_others_tell() -> None:
    one, two = target("t1"), target("t2")
    desk = PlacementHarness(one, two)
    home = {"t1": one, "t2": two}[desk.name("k")]
    tell_of_rests(desk, home, 2 * DIGESTS_PER_TARGET)
    hear(desk, ANSWERED, home)
    assert desk.name("k") == home.name


def test_where_no_other_target_can_serve_one_that_others_tell_of_does() -> None:
    only = target("t1")
    desk = PlacementHarness(only)
    tell_of_rests(desk, only, 2 * DIGESTS_PER_TARGET)
    assert desk.name("k") == "t1"


def test_a_rest_asked_of_this_entry_is_told_to_others_once_a_moment() -> None:
    only = target("t1")
    desk = PlacementHarness(only)
    for _ in range(3):
        desk.placement.take_report(only, rest(1.0), desk.now)
        desk.now += 0.1
    assert len(desk.placement.warm_keys.recent(1.0, desk.now)) == 1
