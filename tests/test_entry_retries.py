# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Rules that decide which failed requests may be retried."""

import pytest

from leverdoor.entry.requests.retries import may_retry
from leverdoor.errors import Code, Refusal
from leverdoor.model.resources import Route, WorkClass


def route(work: WorkClass, attempts: int = 2) -> Route:
    return Route(
        name="r",
        host="h",
        prefix="/",
        work=work,
        services={"s": 1.0},
        attempts=attempts,
    )


@pytest.mark.parametrize(
    ("work", "code", "attempt", "arrived", "replayable", "expected"),
    [
        (WorkClass.LOOKUP, Code.ANSWER_LOST, 1, True, True, True),
        (WorkClass.LOOKUP, Code.ANSWER_LOST, 2, True, True, False),
        (WorkClass.LOOKUP, Code.ANSWER_LOST, 1, True, False, False),
        (WorkClass.LOOKUP, Code.DEADLINE_PASSED, 1, True, True, False),
        (WorkClass.ONCE, Code.ANSWER_LOST, 1, True, True, False),
        (WorkClass.ONCE, Code.TARGET_REFUSED, 1, True, True, True),
        (WorkClass.ONCE, Code.CONNECT_FAILED, 3, False, True, True),
        (WorkClass.ONCE, Code.CONNECT_FAILED, 4, False, True, False),
    ],
)
def test_only_safe_requests_are_retried_within_attempt_limit(
    work: WorkClass,
    code: Code,
    attempt: int,
    arrived: bool,
    replayable: bool,
    expected: bool,
) -> None:
    refusal = Refusal(code)
    result = may_retry(
        route(work), attempt, refusal, reached_target=arrived, replayable=replayable
    )
    assert result is expected
