# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The check of what targets said in answers finds what it is for, and nothing else."""

from leverdoor.standins.soak.report_promise import (
    LEAVE_S,
    MOST_IN_REST,
    UNDER_WAY_S,
    arrivals_by_entry,
    report_breaches,
)
from leverdoor.standins.upstreams import UpstreamArrival


def arrived(
    at: float, entry: str = "n", leaving: bool = False, rest_s: float = 0.0
) -> tuple[UpstreamArrival, str]:
    """Return a request that a target answered at once, and who sent it."""
    request_id = f"{entry}-{at}-{leaving}-{rest_s}"
    return UpstreamArrival(request_id, at, at, leaving, rest_s), entry


def breaches(*given: tuple[UpstreamArrival, str], excused: bool = False) -> list[str]:
    senders = {a.request_id: (entry, a.at) for a, entry in given}
    arrivals = arrivals_by_entry((a for a, _ in given), senders)
    return list(report_breaches("t", arrivals, lambda *_: excused))


def test_a_request_beyond_the_bound_on_leaving_breaks_the_promise() -> None:
    told = arrived(1.0, leaving=True)
    assert breaches(told, arrived(1.0 + LEAVE_S - 0.1, leaving=True)) == []
    late = arrived(1.0 + LEAVE_S + 0.1, leaving=True)
    found = breaches(told, late)
    assert len(found) == 1
    assert found[0].startswith("DRAIN t: 1 requests of n")
    assert breaches(told, late, excused=True) == []


def test_only_the_entry_that_was_told_is_bound() -> None:
    late = 1.0 + LEAVE_S + 0.1
    assert breaches(arrived(1.0, leaving=True), arrived(late, "other")) == []
    rests = [arrived(1.0, rest_s=3.0)]
    rests += [arrived(2.0 + i / 10, "other") for i in range(5)]
    assert breaches(*rests) == []


def test_more_than_a_few_requests_in_a_rest_break_the_promise() -> None:
    told = arrived(1.0, rest_s=3.0)
    few = [arrived(2.0 + i / 10) for i in range(MOST_IN_REST)]
    assert breaches(told, *few) == []
    found = breaches(told, *few, arrived(2.9))
    assert found == ["BUDGET t: 1 rests broken by n, up to 3 requests in one"]
    assert breaches(told, *few, arrived(2.9), excused=True) == []


def test_requests_on_their_way_and_after_the_rest_do_not_count() -> None:
    told = arrived(1.0, rest_s=3.0)
    on_their_way = [arrived(1.0 + UNDER_WAY_S * i / 10) for i in range(1, 10)]
    after = [arrived(4.0 + i / 10) for i in range(10)]
    assert breaches(told, *on_their_way, *after) == []
