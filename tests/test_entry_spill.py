# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Shares of a service's keys by region."""

from random import Random

import pytest

from desk import PlacementHarness, target
from leverdoor.entry.placement.region_shares import (
    MOVE_PER_S,
    RegionShares,
    initial_shares,
)


def utilizations(own: float, other: float = 0.2) -> dict[str, float]:
    return {"a": own, "b": other, "c": other + 0.05}


def test_shares_follow_utilization_at_a_limited_rate() -> None:
    state = RegionShares("a", {"a": 1.0, "b": 0.0, "c": 0.0}, 0.0)
    now = 0.0
    before = 1.0
    for _ in range(100):
        now += 0.3
        state.update(utilizations(1.2), [], now)
        assert abs(before - state.shares["a"]) <= MOVE_PER_S * 0.3 + 1e-9
        before = state.shares["a"]
    assert state.shares["a"] < 0.2
    for _ in range(200):
        now += 0.3
        state.update(utilizations(0.3), [], now)
    assert state.shares["a"] > 0.99


def test_shares_sum_to_one() -> None:
    rng = Random(7)
    state = RegionShares("a", {"a": 0.5, "b": 0.3, "c": 0.2}, 0.0)
    for i in range(300):
        reported = {r: rng.random() for r in "abc"}
        total = sum(reported.values())
        peers = [{r: v / total for r, v in reported.items()}] if i % 3 else []
        state.update({r: 2 * rng.random() for r in "abc"}, peers, i * 0.3)
        assert sum(state.shares.values()) == pytest.approx(1.0)
        assert all(v >= 0 for v in state.shares.values())


def test_the_shares_of_entries_of_a_region_converge() -> None:
    one = RegionShares("a", {"a": 0.9, "b": 0.1}, 0.0)
    other = RegionShares("a", {"a": 0.4, "b": 0.6}, 0.0)
    for i in range(1, 300):
        reported = dict(one.shares), dict(other.shares)
        one.update({"a": 0.7, "b": 0.7}, [reported[1]], i * 0.3)
        other.update({"a": 0.7, "b": 0.7}, [reported[0]], i * 0.3)
    assert abs(one.shares["a"] - other.shares["a"]) < 0.05


def test_a_share_change_moves_only_keys_of_the_changed_regions() -> None:
    keys = [f"k{i}" for i in range(2000)]
    regions = ["a", "b", "c"]
    before = RegionShares("a", {"a": 0.6, "b": 0.2, "c": 0.2}, 0.0)
    after = RegionShares("a", {"a": 0.5, "b": 0.3, "c": 0.2}, 0.0)
    moves = [(before.region(k, regions), after.region(k, regions)) for k in keys]
    moved = [(x, y) for x, y in moves if x != y]
    assert 0.05 < len(moved) / len(keys) < 0.16
    assert all(y == "b" or x == "a" for x, y in moved)


def test_initial_shares_are_computed_from_slots() -> None:
    shares = initial_shares("a", {"a": 18, "b": 99, "c": 99})
    kept_share = 18 / 72
    assert shares["a"] == pytest.approx(kept_share)
    assert shares["b"] == shares["c"] == pytest.approx((1 - kept_share) / 2)
    assert initial_shares("a", {"a": 9, "b": 0})["a"] == 1.0
    assert initial_shares("a", {"a": 0, "b": 9})["b"] == 1.0


def test_initial_shares_do_not_depend_on_the_order_in_which_targets_appear() -> None:
    """Targets are added one by one before there is any load."""
    harness = PlacementHarness(target("b0", "b1"))
    for _ in range(20):
        harness.now += 0.3
        harness.placement.shares.update([], harness.now)
    harness.configure(
        target("b0", "b1"), target("a0"), target("a1"), target("c0", "c1")
    )
    harness.now += 0.3
    harness.placement.shares.update([], harness.now)
    assert harness.placement.shares.shares_to_send() == {}
    keys = [f"k{i}" for i in range(40)]
    assert all(harness.name(k).startswith("a") for k in keys)
