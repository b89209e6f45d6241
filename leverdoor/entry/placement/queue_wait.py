# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How long a request may wait at a target for a slot.

Owns no state; relies on the route's latency target and on the run times that were
learned (times.py).
"""

from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.entry.placement.run_times import DEFAULT_LATENCY_MS
from leverdoor.entry.placement.tuning import Tuning

__all__ = ["URGENT_PRIORITY", "max_queue_wait_ms"]

RUN_TIME_MARGIN_X = 1.2
"""Times the mean warm run that is kept free for the run itself.

Runs vary by 15%. Greater: requests are refused that would be in time. Smaller: more of
those that waited are late.
"""
URGENT_PRIORITY = 1
"""Greatest priority number that counts as urgent; smaller is more urgent.

Greater: nearly all may wait to the last. Smaller: only one priority is urgent.
"""
MS_PER_S = 1000
"""Milliseconds in a second: times of requests are in s, run times in ms."""


def max_queue_wait_ms(
    request: PlacementRequest, warm_run_ms: float, tuning: Tuning, now: float
) -> float:
    """Return the longest wait at a target that still makes sense, in ms.

    What is left of the latency target after a warm run, but at least a share of it: a
    request that is refused comes back to the same load. Less for less urgent requests,
    which are so refused first. Never past the time at which the caller gives up; below
    0, no target is fit.

    Args:
      request: what is to be placed.
      warm_run_ms: mean time of a warm run of such requests.
      tuning: `least_wait_share` and `less_urgent`.
      now: monotonic time in seconds.
    """
    aim_ms = request.route.target_latency_ms or DEFAULT_LATENCY_MS
    spent_ms = (now - request.arrived_at) * MS_PER_S
    least_ms = tuning.least_wait_share * aim_ms
    wait_ms = max(aim_ms - spent_ms - warm_run_ms * RUN_TIME_MARGIN_X, least_ms)
    if request.priority > URGENT_PRIORITY:
        wait_ms *= tuning.less_urgent
    left_ms = (request.expires_at - now) * MS_PER_S - warm_run_ms
    return min(wait_ms, left_ms)
