# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The priority token bucket: it keeps the limit and grants urgent requests first."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from leverdoor.limits.token_bucket import (
    PROBE_INTERVAL_S,
    PriorityTokenBucket,
    burst_tokens,
)
from windows import allowed, most_in_a_window


def run_bucket(
    per_s: float, demand_per_s: float, seconds: float, seed: int = 1
) -> list[float]:
    """Send random requests of one priority; return the times of the grants."""
    rng = Random(seed)
    bucket = PriorityTokenBucket(burst_tokens(per_s), 0.0)
    now, granted = 0.0, []
    while now < seconds:
        now += rng.expovariate(demand_per_s)
        if bucket.acquire(per_s, 1.0, 0, 0, now).granted:
            granted.append(now)
    return granted


@given(
    st.floats(0.0, 60.0),
    st.lists(st.tuples(st.floats(0.0, 2.0), st.integers(0, 3)), max_size=300),
)
def test_no_window_has_more_grants_than_the_limit_allows(
    per_s: float, requested: list[tuple[float, int]]
) -> None:
    bucket = PriorityTokenBucket(burst_tokens(per_s), 0.0)
    now, granted = 0.0, []
    for pause_s, priority in requested:
        now += pause_s
        if bucket.acquire(per_s, 1.0, priority, 0, now).granted:
            granted.append(now)
    assert most_in_a_window(granted) <= allowed(per_s)


def test_the_whole_limit_is_used_if_there_is_demand() -> None:
    for per_s in (0.5, 3.5, 50.0):
        granted = run_bucket(per_s, 5 * per_s, 200.0)
        assert len(granted) >= 0.95 * per_s * 200.0


def test_urgent_requests_are_granted_first() -> None:
    """The demand is three times the limit; a quarter of it is urgent."""
    rng = Random(1)
    bucket = PriorityTokenBucket(0.0, 0.0)
    now = 0.0
    requested = {0: 0, 2: 0}
    granted = {0: 0, 2: 0}
    while now < 200.0:
        now += rng.expovariate(3 * 3.5)
        priority = 0 if rng.random() < 0.25 else 2
        requested[priority] += 1
        granted[priority] += bucket.acquire(3.5, 1.0, priority, 0, now).granted
    assert granted[0] >= 0.95 * requested[0]
    assert sum(granted.values()) >= 0.95 * 3.5 * 200.0


def test_a_limit_of_one_per_second_goes_to_urgent_requests_only() -> None:
    rng = Random(1)
    bucket = PriorityTokenBucket(0.0, 0.0)
    now = 0.0
    granted = {0: 0, 2: 0}
    while now < 200.0:
        now += rng.expovariate(10.0)
        priority = 0 if rng.random() < 0.5 else 2
        granted[priority] += bucket.acquire(1.0, 1.0, priority, 0, now).granted
    assert granted[0] >= 0.95 * 200.0
    assert granted[2] <= 0.05 * 200.0


def test_a_limit_of_zero_is_probed_at_intervals() -> None:
    """Only a response can end the limit, so one request per interval is granted."""
    granted = run_bucket(0.0, 20.0, 60.0)
    assert 60.0 / PROBE_INTERVAL_S - 2 <= len(granted) <= 60.0 / PROBE_INTERVAL_S


def test_a_limit_of_zero_applies_to_all_priorities() -> None:
    """With no tokens, none can be reserved for more urgent requests."""
    bucket = PriorityTokenBucket(0.0, 0.0)
    assert not bucket.acquire(0.0, 1.0, 0, 0, 0.1).granted
    assert not bucket.acquire(0.0, 1.0, 2, 0, 0.2).granted


def test_a_bucket_with_a_share_of_zero_grants_nothing() -> None:
    bucket = PriorityTokenBucket(0.0, 0.0)
    assert not any(bucket.acquire(3.5, 0.0, 0, 0, float(t)).granted for t in range(30))


def test_a_refusal_has_the_wait_until_the_next_grant_request() -> None:
    bucket = PriorityTokenBucket(1.0, 0.0)
    assert bucket.acquire(2.0, 1.0, 0, 0, 0.0).granted
    refused = bucket.acquire(2.0, 1.0, 0, 0, 0.0)
    assert not refused.granted
    assert refused.wait_s == 0.5
    assert refused.retry_after_s >= refused.wait_s


def test_the_wait_after_a_refusal_grows_with_the_demand() -> None:
    """The limiter of thousands of entries is not flooded with requests."""
    bucket = PriorityTokenBucket(0.0, 0.0)
    for _ in range(2_000):
        refused = bucket.acquire(3.5, 1.0, 0, 0, 0.0)
    assert refused.wait_s == 2.0
