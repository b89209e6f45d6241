# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Who gets the next request of a limit: never too much, the most urgent first."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from leverdoor.limits.token_bucket import RENEWAL_S, Room, burst
from windows import allowed, most_in_a_window


def play(
    per_s: float, asked_per_s: float, seconds: float, seed: int = 1
) -> list[float]:
    """Let requests of one priority ask at random; return when they were granted."""
    rng = Random(seed)
    room = Room(burst(per_s), 0.0)
    now, granted = 0.0, []
    while now < seconds:
        now += rng.expovariate(asked_per_s)
        if room.ask(per_s, 1.0, 0, 0, now).granted:
            granted.append(now)
    return granted


@given(
    st.floats(0.0, 60.0),
    st.lists(st.tuples(st.floats(0.0, 2.0), st.integers(0, 3)), max_size=300),
)
def test_no_window_has_more_than_is_allowed(
    per_s: float, asked: list[tuple[float, int]]
) -> None:
    room = Room(burst(per_s), 0.0)
    now, granted = 0.0, []
    for pause_s, priority in asked:
        now += pause_s
        if room.ask(per_s, 1.0, priority, 0, now).granted:
            granted.append(now)
    assert most_in_a_window(granted) <= allowed(per_s)


def test_all_room_is_used_where_there_is_demand() -> None:
    for per_s in (0.5, 3.5, 50.0):
        granted = play(per_s, 5 * per_s, 200.0)
        assert len(granted) >= 0.95 * per_s * 200.0


def test_the_most_urgent_are_served_first() -> None:
    """Three times the limit is asked for, a third of it by the most urgent."""
    rng = Random(1)
    room = Room(0.0, 0.0)
    now = 0.0
    asked = {0: 0, 2: 0}
    granted = {0: 0, 2: 0}
    while now < 200.0:
        now += rng.expovariate(3 * 3.5)
        priority = 0 if rng.random() < 0.25 else 2
        asked[priority] += 1
        granted[priority] += room.ask(3.5, 1.0, priority, 0, now).granted
    assert granted[0] >= 0.95 * asked[0]
    assert sum(granted.values()) >= 0.95 * 3.5 * 200.0


def test_down_to_the_last_request_a_second_only_the_most_urgent_go() -> None:
    rng = Random(1)
    room = Room(0.0, 0.0)
    now = 0.0
    granted = {0: 0, 2: 0}
    while now < 200.0:
        now += rng.expovariate(10.0)
        priority = 0 if rng.random() < 0.5 else 2
        granted[priority] += room.ask(1.0, 1.0, priority, 0, now).granted
    assert granted[0] >= 0.95 * 200.0
    assert granted[2] <= 0.05 * 200.0


def test_a_limit_of_zero_is_asked_now_and_then_whether_it_holds() -> None:
    """Only an answer can end it; it gets one request in some seconds, no more."""
    granted = play(0.0, 20.0, 60.0)
    assert 60.0 / RENEWAL_S - 2 <= len(granted) <= 60.0 / RENEWAL_S


def test_a_limit_of_zero_holds_for_less_urgent_requests_too() -> None:
    """Nothing is kept for more urgent ones where nothing is saved up."""
    room = Room(0.0, 0.0)
    assert not room.ask(0.0, 1.0, 0, 0, 0.1).granted
    assert not room.ask(0.0, 1.0, 2, 0, 0.2).granted


def test_who_may_hand_out_nothing_grants_nothing() -> None:
    room = Room(0.0, 0.0)
    assert not any(room.ask(3.5, 0.0, 0, 0, float(t)).granted for t in range(30))


def test_a_refusal_says_when_to_ask_again() -> None:
    room = Room(1.0, 0.0)
    assert room.ask(2.0, 1.0, 0, 0, 0.0).granted
    refused = room.ask(2.0, 1.0, 0, 0, 0.0)
    assert not refused.granted
    assert refused.wait_s == 0.5
    assert refused.retry_after_s >= refused.wait_s


def test_the_more_ask_the_longer_each_waits_to_ask_again() -> None:
    """A limiter of thousands of entries is not flooded."""
    room = Room(0.0, 0.0)
    for _ in range(2_000):
        refused = room.ask(3.5, 1.0, 0, 0, 0.0)
    assert refused.wait_s == 2.0
