# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Limits the time that a request may wait for a slot of a target.

Owns no state; relies on the route's latency target and on the learned run times
(run_times.py).
"""

from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.entry.placement.run_times import DEFAULT_LATENCY_MS
from leverdoor.entry.placement.tuning import Tuning

__all__ = ["URGENT_PRIORITY", "max_queue_wait_ms"]

RUN_TIME_MARGIN_X = 1.2
"""Time reserved for the run, as a multiple of its mean.

Run times vary by 15%. With a greater value, requests are rejected that would be in
time. With a smaller one, more of the requests that waited are late.
"""
URGENT_PRIORITY = 1
"""Greatest priority number that counts as urgent; a lower number is more urgent.

With a greater value, nearly all requests count as urgent. With a smaller one, only one
priority is urgent.
"""
MS_PER_S = 1000
"""Milliseconds in a second: times of requests are in s, run times in ms."""


def max_queue_wait_ms(
    request: PlacementRequest, run_ms: float, tuning: Tuning, now: float
) -> float:
    """Return the maximum time that a request may wait at a target, in ms.

    This is the latency target less the elapsed time and RUN_TIME_MARGIN_X runs. It is
    at least `least_wait_share` of the latency target, because a rejected request is
    retried against the same load. Less urgent requests may wait less, and are therefore
    rejected first. The wait never exceeds the caller's deadline; if it is negative, no
    target can serve the request.

    Args:
      request: the request to place.
      run_ms: duration to expect of the run; the mean of warm runs, unless
        `Tuning.reserves_expected_run`.
      tuning: `least_wait_share`, `entry_wait_share` and `less_urgent`.
      now: monotonic time in seconds.
    """
    latency_target_ms = request.route.target_latency_ms or DEFAULT_LATENCY_MS
    elapsed_ms = max(
        (now - request.arrived_at) * MS_PER_S,
        tuning.entry_wait_share * latency_target_ms,
    )
    min_wait_ms = tuning.least_wait_share * latency_target_ms
    wait_ms = max(
        latency_target_ms - elapsed_ms - run_ms * RUN_TIME_MARGIN_X, min_wait_ms
    )
    if request.priority > URGENT_PRIORITY:
        wait_ms *= tuning.less_urgent
    until_deadline_ms = (request.expires_at - now) * MS_PER_S - run_ms
    return min(wait_ms, until_deadline_ms)
