# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""When a refused caller should return: every Retry-After that a gate chooses.

Pure, with chance passed in; owns no state. The expected wait comes from
`scheduler.expected_wait_ms`, the code's own least time from `errors.DEFAULT_RETRY_MS`.
"""

from random import Random

from leverdoor.errors import Code

__all__ = ["LEAVING_RETRY_MS", "NOT_READY_RETRY_MS", "retry_after_ms"]

MIN_RETRY_MS = 50
"""Least Retry-After of a refused request, in ms, and the width of its random part.

About two runs of 20 ms. A smaller one brings callers back before a slot is free; a
greater one leaves slots idle after a short peak.
"""
MAX_RETRY_MS = 30_000
"""Greatest such Retry-After, in ms.

Bounds what an estimate from old heartbeats can do; a greater one keeps callers away
long after the load has gone.
"""
NO_TARGET_RETRY_MS = 1_000.0
"""Least wait that a NO_TARGET answer assumes, in ms, before its random part.

Drains and leaving VMs end in seconds, and nothing says when; a smaller one brings all
callers back for nothing.
"""
CAP_WINDOW_SHARE = 0.25
"""Part of a shift cap's window that a CAP_REACHED answer assumes as least wait.

Units come back evenly over a window, so one is likely to be free after a quarter of it;
the whole window would leave units unused.
"""
NOT_READY_RETRY_MS = 500
"""Retry-After in ms while a gate has no configuration, or serves no longer.

A start takes longer than that, and a caller has other gates meanwhile.
"""
LEAVING_RETRY_MS = MIN_RETRY_MS
"""Retry-After in ms of a gate that has closed.

Another gate can serve the request now, so the caller need not wait longer.
"""


def retry_after_ms(
    code: Code, wait_ms: float, cap_window_ms: float, rng: Random
) -> int:
    """Return the Retry-After of a refused request, in ms.

    One to two times the expected wait, so that callers don't return together.

    Args:
      code: why it is refused.
      wait_ms: expected wait of a request that came now.
      cap_window_ms: window of the shift cap into this region, 0 without one.
      rng: where the random part comes from.
    """
    if code is Code.CAP_REACHED:
        wait_ms = max(wait_ms, cap_window_ms * CAP_WINDOW_SHARE)
    if code is Code.NO_TARGET:
        wait_ms = max(wait_ms, NO_TARGET_RETRY_MS)
    spread = wait_ms * (1 + rng.random()) + MIN_RETRY_MS * rng.random()
    return int(min(max(spread, MIN_RETRY_MS), MAX_RETRY_MS))
