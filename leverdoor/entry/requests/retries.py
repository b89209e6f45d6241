# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whether a request that failed may be sent to another target."""

from leverdoor.errors import Code, Refusal, Run
from leverdoor.model.resources import Route, WorkClass

__all__ = ["may_retry"]

UNREACHED_ATTEMPTS = 2
"""Further attempts of a request that reached no target; none of these can run it."""


def may_retry(
    route: Route, attempt: int, refusal: Refusal, *, arrived: bool, replayable: bool
) -> bool:
    """Return whether another target may be tried, the budget of repeats aside.

    Args:
      route: the request's.
      attempt: number of the attempt that failed, from 1.
      refusal: why it failed.
      arrived: whether the request may have reached the target.
      replayable: whether its body can be sent again.
    """
    safe = route.work is WorkClass.LOOKUP or refusal.run is Run.NO
    if not safe or not replayable or refusal.code is Code.DEADLINE_PASSED:
        return False
    most = route.attempts if arrived else route.attempts + UNREACHED_ATTEMPTS
    return attempt < most
