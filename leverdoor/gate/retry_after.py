# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Computes the Retry-After of the requests that a gate refuses.

Pure functions that receive their source of randomness; owns no state. Relies on
`Scheduler.expected_wait_ms` for the expected wait. `errors.DEFAULT_RETRY_MS` applies to
refusals without a Retry-After of their own.
"""

from random import Random

from leverdoor.errors import Code

__all__ = ["LEAVING_RETRY_MS", "NOT_READY_RETRY_MS", "retry_after_ms"]

MIN_RETRY_MS = 50
"""Minimum Retry-After of a refused request and width of its jitter, in ms.

More than two runs of 20 ms. With a smaller value callers retry before a slot is free; a
greater one leaves slots idle after a short peak.
"""
MAX_RETRY_MS = 30_000
"""Maximum Retry-After of a refused request, in ms.

Limits the effect of estimates from old heartbeats. A greater value keeps callers away
long after the load has dropped.
"""
NO_TARGET_RETRY_MS = 1_000.0
"""Minimum wait assumed for NO_TARGET, in ms, before jitter.

A drain or the leaving of a VM takes seconds and ends at an unknown time. With a smaller
value callers retry without success.
"""
CAP_WINDOW_SHARE = 0.25
"""Minimum wait assumed for CAP_REACHED, as a share of the shift cap's window.

Units are released evenly over a window, so that one is likely to be free after a
quarter of it. The whole window would leave units unused.
"""
NOT_READY_RETRY_MS = 500
"""Retry-After of NOT_READY and of failed readiness checks, in ms.

Startup takes longer than this, but the caller can use other gates in the meantime.
"""
LEAVING_RETRY_MS = MIN_RETRY_MS
"""Retry-After of requests refused after the gate has closed, in ms.

Another gate can serve the request at once, so the caller need not wait longer.
"""


def retry_after_ms(
    code: Code, wait_ms: float, cap_window_ms: float, rng: Random
) -> int:
    """Return the Retry-After of a refused request, in ms.

    One to two times the expected wait plus jitter up to MIN_RETRY_MS, within the
    limits, so that callers do not retry simultaneously.

    Args:
      code: the reason of the refusal.
      wait_ms: expected wait of a new request, in ms.
      cap_window_ms: window of the shift cap into this region, in ms; 0 without one.
      rng: source of the jitter.
    """
    if code is Code.CAP_REACHED:
        wait_ms = max(wait_ms, cap_window_ms * CAP_WINDOW_SHARE)
    if code is Code.NO_TARGET:
        wait_ms = max(wait_ms, NO_TARGET_RETRY_MS)
    spread = wait_ms * (1 + rng.random()) + MIN_RETRY_MS * rng.random()
    return int(min(max(spread, MIN_RETRY_MS), MAX_RETRY_MS))
