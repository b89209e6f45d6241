# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Availability of targets as reported in their answers and by other entries."""

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

LEAVING = TargetReport(leaving=True)
ANSWERED = TargetReport()


def rest_report(seconds: float) -> TargetReport:
    return TargetReport(not_run=True, rest_s=seconds)


def deliver(harness: PlacementHarness, report: TargetReport, *targets: Target) -> None:
    """Deliver an answer with a report from each target to this entry."""
    for t in targets:
        state = harness.fleet.state_of(t, harness.now)
        state.record_sent(harness.now)
        state.record_report(report, Random(1), harness.now)
        state.record_end()


def test_a_leaving_target_receives_no_more_requests() -> None:
    one, two = target("t1"), target("t2")
    harness = PlacementHarness(one, two)
    first = {"t1": one, "t2": two}[harness.name("k")]
    deliver(harness, LEAVING, first)
    assert harness.name("k") != first.name
    deliver(harness, ANSWERED, first)
    harness.now += 1_000.0
    assert harness.name("k") != first.name
    assert not harness.placement.accepts_requests(first, harness.now)


def test_a_leaving_target_is_still_leaving_after_its_registration_returned() -> None:
    """A registration may expire in an outage and return as ready."""
    one, two = target("t1"), target("t2")
    harness = PlacementHarness(one, two)
    first = {"t1": one, "t2": two}[harness.name("k")]
    deliver(harness, LEAVING, first)
    harness.configure()
    harness.fleet.forget(harness.now)
    harness.now += 60.0
    harness.configure(one, two)
    assert harness.name("k") != first.name
    harness.configure()
    harness.now += AVAILABILITY_TTL_S + 1.0
    harness.fleet.forget(harness.now)
    harness.configure(one, two)
    assert harness.name("k") == first.name


def test_a_new_target_at_the_address_of_a_leaving_one_is_used() -> None:
    old = target("t1")
    harness = PlacementHarness(old)
    deliver(harness, LEAVING, old)
    harness.configure(target("t2"))
    assert harness.name("k") == "t2"


def test_requests_are_rejected_if_all_targets_are_leaving() -> None:
    one, two = target("t1"), target("t2", "b1")
    harness = PlacementHarness(one, two)
    deliver(harness, LEAVING, one, two)
    decision = harness.place()
    assert isinstance(decision, Rejection)
    assert decision.code is Code.NO_TARGET
    assert decision.retry_after_ms > 0


def test_a_resting_target_receives_no_requests_until_its_rest_ends() -> None:
    one, two = target("t1"), target("t2")
    harness = PlacementHarness(one, two)
    first = {"t1": one, "t2": two}[harness.name("k")]
    deliver(harness, rest_report(3.0), first)
    harness.now += 2.99
    assert harness.name("k") != first.name
    harness.now += REST_END_SPREAD_S + 0.01
    assert harness.name("k") == first.name


def test_a_later_rest_extends_and_never_shortens_a_rest() -> None:
    availability = Availability()
    availability.start_rest(3.0, 0.0, 0, 0.0)
    availability.start_rest(1.0, 0.0, 0, 1.0)
    assert availability.is_resting(2.99)
    availability.start_rest(3.0, 0.0, 0, 2.5)
    availability.record_answer(SLOTS, 2.6)
    assert availability.is_resting(5.49)
    assert not availability.is_resting(5.5)


@pytest.mark.parametrize("seconds", [1e9, math.inf])
def test_the_length_of_a_rest_is_limited(seconds: float) -> None:
    availability = Availability()
    availability.start_rest(seconds, 0.5, 0, 0.0)
    assert availability.open(MAX_REST_S + REST_END_SPREAD_S)


def test_requests_after_a_rest_start_low_and_double_with_each_answer() -> None:
    """All entries resume together, and each answer in the window doubles it."""
    only = target("t1", slots=32)
    harness = PlacementHarness(only)
    state = harness.fleet.state_of(only, harness.now)
    deliver(harness, rest_report(1.0), only)
    harness.now += 1.0 + REST_END_SPREAD_S
    sent = []
    for _ in range(4):
        before = state.in_flight
        while isinstance(harness.place(), Placement):
            pass
        sent.append(state.in_flight - before)
        for _ in range(state.in_flight):
            state.record_report(ANSWERED, Random(1), harness.now)
            state.record_end()
    assert sent[:2] == [INITIAL_WINDOW, INITIAL_WINDOW * 2**INITIAL_WINDOW]
    assert sent[-1] >= only.slots


def test_the_limit_after_a_rest_expires_without_an_answer() -> None:
    availability = Availability()
    availability.start_rest(1.0, 0.0, 0, 0.0)
    assert not availability.admits(0, INITIAL_WINDOW, 1.0 + RAMP_UP_S / 2)
    assert availability.admits(0, INITIAL_WINDOW, 1.0 + RAMP_UP_S)


def test_requests_sent_before_a_rest_do_not_use_up_the_window_after_it() -> None:
    """An upload may take longer than the rest period."""
    availability = Availability()
    availability.start_rest(1.0, 0.0, 3, 0.0)
    assert availability.admits(0, 3 + INITIAL_WINDOW - 1, 1.0)
    availability.record_end(2)
    assert not availability.admits(0, 3 + INITIAL_WINDOW - 1, 1.0)


def test_the_retry_time_is_spread_after_the_end_of_the_first_rest() -> None:
    one, two, far = target("t1"), target("t2"), target("t3", "b1")
    harness = PlacementHarness(one, two, far)
    deliver(harness, rest_report(4.0), one, far)
    deliver(harness, rest_report(2.0), two)
    times = []
    for _ in range(50):
        decision = harness.place()
        assert isinstance(decision, Rejection)
        assert decision.code is Code.TARGETS_RESTING
        times.append(decision.retry_after_ms)
    assert min(times) >= 2_000
    assert max(times) <= 2_000 + 1000 * REST_END_SPREAD_S + 500
    assert max(times) - min(times) > 100


def test_the_most_urgent_rejected_requests_are_sent_first_after_a_rest() -> None:
    availability = Availability()
    availability.start_rest(1.0, 0.0, 0, 0.0)
    availability.record_entry_rejection(2)
    availability.record_entry_rejection(1)
    assert availability.admits(1, 0, 1.0)
    assert not availability.admits(2, 0, 1.0)
    assert availability.admits(2, 0, 1.0 + URGENT_ONLY_S)


def test_further_targets_serve_a_key_while_its_first_candidates_rest() -> None:
    """Resting targets do not count towards the six candidates of a key."""
    targets = [target(f"t{i}") for i in range(MAX_CANDIDATES + 3)]
    harness = PlacementHarness(*targets)
    served = set()
    while len(served) < len(targets):
        decision = harness.place("k")
        assert isinstance(decision, Placement), served
        harness.placement.ended(decision, harness.now)
        served.add(decision.target.name)
        deliver(harness, rest_report(5.0), decision.target)


def test_the_slots_of_a_resting_target_do_not_count_for_its_region() -> None:
    one, two = target("t1"), target("t2")
    harness = PlacementHarness(one, two)
    deliver(harness, rest_report(2.0), one)
    assert harness.fleet.load([one, two], harness.now)[1] == SLOTS


def test_the_load_in_a_rejection_by_a_target_is_ignored() -> None:
    only = target("t1")
    harness = PlacementHarness(only)
    deliver(harness, TargetReport(not_run=True, load=TargetLoad(4, 4, 4)), only)
    assert harness.fleet.state_of(only, harness.now).load(harness.now) == 0.0


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 20.0),
            st.one_of(st.none(), st.floats(0.0, 5.0)),
        ),
        min_size=1,
    )
)
def test_no_request_is_admitted_during_a_requested_rest(
    answers: list[tuple[float, float | None]],
) -> None:
    """Answers and further rests in between do not end the rest."""
    availability = Availability()
    ends = 0.0
    for at, rest_s in sorted(answers, key=lambda one: one[0]):
        if at < ends:
            assert not availability.admits(0, 0, at)
        if rest_s is None:
            availability.record_answer(SLOTS, at)
        else:
            availability.start_rest(rest_s, 0.0, 0, at)
            ends = max(ends, at + rest_s)


def report_rests(harness: PlacementHarness, resting: Target, entries: int) -> None:
    """Report from other entries that a target requested a rest from each of them."""
    for number in range(entries):
        digests = WarmKeyDigests()
        PeerRests(digests, Random(number)).record_rest(resting, harness.now)
        recent = digests.queued_within(1.0, harness.now)
        harness.placement.warm_keys.receive(recent, harness.now)


def test_a_target_that_requested_rests_from_many_entries_is_avoided() -> None:
    """Without this, 195 entries rejected 1 in 30 requests although targets had room."""
    one, two = target("t1"), target("t2")
    harness = PlacementHarness(one, two)
    first = {"t1": one, "t2": two}[harness.name("k")]
    report_rests(harness, first, 2 * DIGESTS_PER_TARGET)
    assert harness.name("k") != first.name
    harness.now += REST_DIGEST_TTL_S + 0.01
    assert harness.name("k") == first.name


def test_a_rest_requested_from_one_entry_does_not_affect_other_entries() -> None:
    one, two = target("t1"), target("t2")
    harness = PlacementHarness(one, two)
    first = {"t1": one, "t2": two}[harness.name("k")]
    report_rests(harness, first, 1)
    assert harness.name("k") == first.name


def test_an_answer_to_this_entry_overrides_rests_reported_by_others() -> None:
    one, two = target("t1"), target("t2")
    harness = PlacementHarness(one, two)
    first = {"t1": one, "t2": two}[harness.name("k")]
    report_rests(harness, first, 2 * DIGESTS_PER_TARGET)
    deliver(harness, ANSWERED, first)
    assert harness.name("k") == first.name


def test_a_target_with_rests_reported_by_others_serves_if_no_other_can() -> None:
    only = target("t1")
    harness = PlacementHarness(only)
    report_rests(harness, only, 2 * DIGESTS_PER_TARGET)
    assert harness.name("k") == "t1"


def test_repeated_rests_of_a_target_queue_one_digest() -> None:
    only = target("t1")
    harness = PlacementHarness(only)
    for _ in range(3):
        harness.placement.take_report(only, rest_report(1.0), harness.now)
        harness.now += 0.1
    assert len(harness.placement.warm_keys.queued_within(1.0, harness.now)) == 1
