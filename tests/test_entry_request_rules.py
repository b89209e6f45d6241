# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Rules of the request path: deadlines, "not run" replies, Retry-After, warm-ups."""

import pytest

from desk import target
from leverdoor.codec import pack
from leverdoor.entry.membership.member import Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.requests.deadlines import (
    remaining_ms,
    request_deadline,
    target_deadline,
)
from leverdoor.entry.requests.retries import reports_not_run
from leverdoor.entry.requests.retry_after import format_retry_after
from leverdoor.entry.warm_up import may_warm_up
from leverdoor.model.resources import Route, WorkClass


def route(timeout_ms: int) -> Route:
    return Route(
        name="r",
        host="h",
        prefix="/",
        work=WorkClass.LOOKUP,
        services={"s": 1.0},
        timeout_ms=timeout_ms,
    )


@pytest.mark.parametrize(
    ("deadline_ms", "timeout_ms", "expected_s"),
    [
        (1_000, 0, 0.98),
        (1_000, 400, 0.38),
        (400, 1_000, 0.38),
        (20, 0, 0.001),
        (0, 0, 0.001),
    ],
)
def test_request_deadline_is_minimum_of_deadline_and_timeout(
    deadline_ms: int, timeout_ms: int, expected_s: float
) -> None:
    until = request_deadline(5.0, deadline_ms, route(timeout_ms))
    assert until == pytest.approx(5.0 + expected_s)


def test_target_deadline_precedes_request_deadline() -> None:
    assert target_deadline(5.0) == pytest.approx(4.97)


def test_remaining_ms_is_whole_and_at_least_one() -> None:
    assert remaining_ms(5.0, 4.5) == 500
    assert remaining_ms(5.0, 4.9985) == 1
    assert remaining_ms(5.0, 6.0) == 1


@pytest.mark.parametrize(
    ("status", "marked", "expected"),
    [
        (503, True, True),
        (503, False, False),
        (429, True, True),
        (400, True, True),
        (421, False, True),
        (421, True, True),
        (200, True, False),
        (500, True, False),
    ],
)
def test_reports_not_run_by_status_and_header(
    status: int, marked: bool, expected: bool
) -> None:
    assert reports_not_run(status, marked) is expected


@pytest.mark.parametrize(
    ("status", "retry_after_ms", "expected"),
    [(503, 250, "0.250"), (429, 1_500, "1.500"), (503, 0, None), (408, 100, None)],
)
def test_retry_after_value_by_status(
    status: int, retry_after_ms: int, expected: str | None
) -> None:
    assert format_retry_after(status, retry_after_ms) == expected


def member(name: str, region: str, domain: str) -> Member:
    return Member(name, region, domain, "", name, "", 1)


def test_entry_warms_up_targets_without_a_closer_entry() -> None:
    membership = Membership(member("n1", "a", "a1"))
    assert may_warm_up(membership, target("t", domain="a1"))
    assert may_warm_up(membership, target("t", domain="a2"))
    assert may_warm_up(membership, target("t", domain="b1"))


def test_entry_leaves_warm_up_to_closer_entries() -> None:
    membership = Membership(member("n1", "a", "a1"))
    others = [member("n2", "a", "a2"), member("n3", "b", "b1")]
    membership.add_registered({m.name: pack(m) for m in others}, 0.0)
    assert may_warm_up(membership, target("t", domain="a2"))
    assert not may_warm_up(membership, target("t", domain="b2"))
    assert may_warm_up(membership, target("t", domain="c1"))
