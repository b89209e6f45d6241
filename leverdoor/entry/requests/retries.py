# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Rules that decide whether a failed request may be retried at another target.

Pure functions; owns no state. The retry budget (`retry_budget.py`) limits retries
further. The loop of attempts is in `forwarding`.
"""

from leverdoor.errors import Code, Refusal, Run
from leverdoor.model.resources import Route, WorkClass

__all__ = ["WRONG_INSTANCE_STATUS", "may_retry", "reports_not_run"]

EXTRA_CONNECT_ATTEMPTS = 2
"""Additional attempts if a request did not reach its target.

A route's `attempts` limits how many targets may run a request. Attempts that did not
reach a target may exceed it by this number, which allows for one dead target and one
more. With a greater value, a request spends its deadline on connecting. With a smaller
one, it is refused while other targets for its affinity key are available.
"""
WRONG_INSTANCE_STATUS = 421
"""HTTP status of a reply from another instance at the address of the target."""
NOT_RUN_STATUSES = frozenset({400, 421, 429, 503})
"""HTTP statuses with which a target may report that it did not run a request.

All but 421 require the "not run" header. Replies with any other status are relayed even
if they carry the header.
"""


def may_retry(
    route: Route,
    attempt: int,
    refusal: Refusal,
    *,
    reached_target: bool,
    replayable: bool,
) -> bool:
    """Return whether a request may be retried, apart from retry budget and quarantine.

    Only look-ups and requests that were not run are retried. A request is not retried
    after its deadline, or once streaming of its body has started.

    Args:
      route: the route; its `attempts` limits how many targets may run the request.
      attempt: number of the failed attempt, counted from 1.
      refusal: the refusal that describes the failure.
      reached_target: whether the request may have reached the target.
      replayable: whether the body can be sent again.
    """
    safe = route.work is WorkClass.LOOKUP or refusal.run is Run.NO
    if not safe or not replayable or refusal.code is Code.DEADLINE_PASSED:
        return False
    max_attempts = (
        route.attempts if reached_target else route.attempts + EXTRA_CONNECT_ATTEMPTS
    )
    return attempt < max_attempts


def reports_not_run(status: int, not_run_header: bool) -> bool:
    """Return whether a reply reports that the target did not run the request.

    Args:
      status: the HTTP status of the reply.
      marked: whether the reply has the "not run" header.
    """
    not_run_header = not_run_header or status == WRONG_INSTANCE_STATUS
    return not_run_header and status in NOT_RUN_STATUSES
