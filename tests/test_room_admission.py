# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Requests that find no room, played at several entries on a fake clock."""

import pytest

from admission_play import (
    BULK,
    CAPACITY_PER_S,
    DEADLINE_MS,
    TARGETS,
    URGENT,
    Outcome,
    Play,
    Sent,
)
from leverdoor.entry.admission.wait_queue import MAX_WAITING, Waiter
from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
from leverdoor.errors import Code, Rejection


def fill(play: Play) -> list[Sent]:
    """Send requests until none is placed."""
    sent = [play.send(URGENT, DEADLINE_MS)]
    while sent[-1].outcomes and isinstance(sent[-1].outcomes[0][1], Placement):
        sent.append(play.send(URGENT, DEADLINE_MS))
    return sent


@pytest.mark.parametrize(
    ("callers_return", "at_once"), [(True, False), (True, True), (False, False)]
)
def test_burst_of_ten_times_the_capacity_in_one_second(
    callers_return: bool, at_once: bool
) -> None:
    """Refused callers return as told at any entry, too early, or never."""
    play = Play(callers_return=callers_return, at_once=at_once)
    play.load(URGENT, 0.5 * CAPACITY_PER_S, 100.0, 110.0)
    play.load(URGENT, 9.5 * CAPACITY_PER_S, 103.0, 104.0)
    play.run(112.0)
    play.check()
    after = [s for s in play.sent if s.request.arrived_at > 106.0]
    assert all(isinstance(s.outcomes[0][1], Placement) for s in after)
    times = play.answer_times(URGENT)
    assert len(times) >= 0.9 * (CAPACITY_PER_S + 0.5 * CAPACITY_PER_S * 9)


def test_a_region_that_stays_full_answers_in_time_what_it_admits() -> None:
    """Queues at targets that are filled up to the latency target make most late."""
    play = Play()
    play.load(URGENT, 1.5 * CAPACITY_PER_S, 100.0, 110.0)
    play.run(112.0)
    play.check()
    times = play.answer_times(URGENT)
    assert len(times) >= 0.95 * CAPACITY_PER_S * 10
    late = [t for t in times if t > URGENT.target_latency_ms / 1000]
    assert len(late) <= 0.2 * len(times)


def test_requests_that_return_are_placed_before_new_ones() -> None:
    play = Play()
    play.load(URGENT, 1.5 * CAPACITY_PER_S, 100.0, 110.0)
    play.run(112.0)
    assert play.rate(URGENT, returned=True) > 1.2 * play.rate(URGENT, returned=False)


def test_less_urgent_requests_are_refused_first_and_never_all() -> None:
    """Urgent ones alone exceed the capacity; the others get a quarter at least."""
    for urgent_x in (0.75, 1.5):
        play = Play()
        play.load(URGENT, urgent_x * CAPACITY_PER_S, 100.0, 120.0)
        play.load(BULK, 0.75 * CAPACITY_PER_S, 100.0, 120.0)
        play.run(122.0)
        play.check()
        answered = {r.name: len(play.answer_times(r)) for r in (URGENT, BULK)}
        asked = {
            r.name: sum(s.request.route is r and not s.returned for s in play.sent)
            for r in (URGENT, BULK)
        }
        of_all = sum(answered.values()) / sum(asked.values())
        assert answered["urgent"] / asked["urgent"] > of_all
        assert answered["bulk"] / asked["bulk"] >= 0.25 * of_all


def test_entries_agree_on_the_shed_level_again_after_a_cut() -> None:
    """The entry that is cut off sees only its own requests, and admits more."""
    play = Play()
    play.load(URGENT, 0.75 * CAPACITY_PER_S, 100.0, 116.0)
    play.load(BULK, 0.75 * CAPACITY_PER_S, 100.0, 116.0)
    cut = play.entries[0]
    play.at(104.0, lambda: setattr(cut, "cut", True))
    play.at(109.0, lambda: setattr(cut, "cut", False))
    play.run(112.0)
    assert len({_level(play, number) for number in range(4)}) == 1
    play.run(120.0)
    play.check()


def _level(play: Play, number: int) -> int:
    return [level for _, entry, level in play.levels if entry == number][-1]


def test_an_entry_that_starts_during_an_overload_decides_like_the_others() -> None:
    play = Play()
    play.load(URGENT, 0.75 * CAPACITY_PER_S, 100.0, 110.0)
    play.load(BULK, 0.75 * CAPACITY_PER_S, 100.0, 110.0)

    def start() -> None:
        play.entries.append(type(play.entries[0])(play, len(play.entries)))

    play.at(105.0, start)
    play.run(108.0)
    assert {_level(play, number) for number in range(5)} == {1}
    play.run(113.0)
    play.check()


def test_one_end_places_one_waiting_request() -> None:
    """Placing all that wait would fill a target beyond its slots."""
    play = Play(1, callers_return=False)
    *placed, first = fill(play)
    waiting = [first, play.send(URGENT, DEADLINE_MS)]
    assert not any(s.outcomes for s in waiting)
    ended = placed[0].outcomes[0][1]
    assert isinstance(ended, Placement)
    play.entries[0].policy.ended(ended, play.now)
    assert [len(s.outcomes) for s in waiting] == [1, 0]


def test_a_digest_places_this_entrys_share_of_the_free_slots() -> None:
    """All entries learn of free slots at once, and would fill targets beyond them."""
    for others, placed in ((0, 4), (7, 1)):
        play = Play(1, callers_return=False)
        entry = play.entries[0]
        play.entries += [entry] * others
        entry.fleet.receive("other", {t.name: 7 for t in TARGETS}, play.now)
        waiters = [
            Waiter(_request(play), "a", False, play.now, lambda _: None)
            for _ in range(5)
        ]
        queue = entry.queue
        for waiter in waiters:
            queue.add(waiter)
        entry.fleet.receive("other", {t.name: 2 for t in TARGETS}, play.now)
        entry.policy.announce_room(None)
        assert len(queue) == len(waiters) - placed


def test_a_new_request_does_not_take_room_before_one_that_waits() -> None:
    """Estimates of load fall with time, without an event."""
    play = Play(1, callers_return=False)
    entry = play.entries[0]
    entry.fleet.receive("other", {t.name: 7 for t in TARGETS}, play.now)
    waiting = play.send(URGENT, DEADLINE_MS)
    assert not waiting.outcomes
    entry.fleet.receive("other", {"t0": 7, "t1": 6}, play.now)
    new = play.send(URGENT, DEADLINE_MS)
    assert isinstance(waiting.outcomes[0][1], Placement)
    assert not new.outcomes or isinstance(new.outcomes[0][1], Rejection)


def _request(play: Play) -> PlacementRequest:
    return PlacementRequest("x", URGENT, "s", "x", "v", play.now, play.now + 2.0)


def test_hopeless_requests_are_refused_at_once() -> None:
    play = Play(1, callers_return=False)
    sent = [play.send(URGENT, DEADLINE_MS) for _ in range(3 * MAX_WAITING)]
    entry = play.entries[0].admission
    waiting = sum(entry.waiting_counts().values())
    in_time = CAPACITY_PER_S * 0.2 * URGENT.target_latency_ms / 1000
    assert 0 < waiting <= in_time
    last = sent[-1].outcomes[0][1]
    assert isinstance(last, Rejection) and last.code is Code.QUEUE_FULL
    assert last.retry_after_ms <= DEADLINE_MS / 3


def test_a_planned_stop_decides_all_waiting_requests_at_once() -> None:
    play = Play(1, callers_return=False)
    sent = fill(play)
    entry = play.entries[0].admission
    assert sum(entry.waiting_counts().values()) == 1
    entry.stop(play.now)
    sent.append(play.send(URGENT, DEADLINE_MS))
    assert all(len(s.outcomes) == 1 for s in sent)
    play.run(101.0)
    play.check()


def test_a_request_that_waits_while_its_service_is_removed_is_refused() -> None:
    play = Play(1, callers_return=False)
    waiting = fill(play)[-1]
    assert not waiting.outcomes
    entry = play.entries[0]
    entry.remove_targets(play.now)
    entry.policy.announce_room(TARGETS[0])
    play.run(101.0)
    assert isinstance(waiting.outcomes[0][1], Rejection)


def test_no_place_is_lost_when_callers_leave() -> None:
    play = Play(1, callers_return=False)
    fill(play)
    entry = play.entries[0]
    request = _request(play)
    decisions: list[Outcome] = []
    waiter = entry.admission.offer(request, play.now, decisions.append)
    if isinstance(waiter, Waiter):
        entry.admission.withdraw(waiter)
    play.run(102.0)
    play.check()
    assert decisions == [] and not entry.fleet.in_flight()
