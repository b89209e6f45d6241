# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whether a request that failed may be sent to another target.

Pure rules; the retry budget comes on top of them (`retry_budget.py`), and the loop of
attempts stands in `forwarding`.
"""

from leverdoor.errors import Code, Refusal, Run
from leverdoor.model.resources import Route, WorkClass

__all__ = ["WRONG_INSTANCE_STATUS", "may_retry", "says_not_run"]

UNREACHED_ATTEMPTS = 2
"""Further attempts of a request that reached no target.

A route's `attempts` bounds the targets that may run a request; one that was not reached
can't run it. One dead target and one more. Greater, a request spends its deadline on
connecting; smaller, it is refused while other targets of its key serve.
"""
WRONG_INSTANCE_STATUS = 421
"""HTTP status of a target at whose address another instance now serves."""
NOT_RUN_STATUSES = frozenset({400, 421, 429, 503})
"""HTTP statuses of a target that did not run a request, if it says so.

A mark of "not run" on any other status is not trusted: the answer is passed on.
"""


def may_retry(
    route: Route,
    attempt: int,
    refusal: Refusal,
    *,
    reached_target: bool,
    replayable: bool,
) -> bool:
    """Return whether another target may be tried, the retry budget aside.

    Only look-ups and what was not run are retried, never after the deadline and never
    with a streamed body that was begun.

    Args:
      route: the request's; its `attempts` is the most targets that may get it.
      attempt: number of the attempt that failed, from 1.
      refusal: why it failed.
      arrived: whether the request may have reached the target.
      replayable: whether its body can be sent again.
    """
    safe = route.work is WorkClass.LOOKUP or refusal.run is Run.NO
    if not safe or not replayable or refusal.code is Code.DEADLINE_PASSED:
        return False
    most = route.attempts if reached_target else route.attempts + UNREACHED_ATTEMPTS
    return attempt < most


def says_not_run(status: int, marked: bool) -> bool:
    """Return whether a target's answer says that it did not run the request.

    Args:
      status: the HTTP status.
      marked: whether the answer has the header that says so.
    """
    marked = marked or status == WRONG_INSTANCE_STATUS
    return marked and status in NOT_RUN_STATUSES
