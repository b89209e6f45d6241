# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Builds the refusal of a quarantined request. Owns no state."""

from leverdoor.errors import Code, Refusal
from leverdoor.quarantine.quarantine import Hold

__all__ = ["quarantine_refusal"]

MIN_RETRY_AFTER_S = 1.0
"""Least retry-after time of a refused request, in seconds.

If the next trial is due, another entry may be running it, and this is the time to
finish it. With a greater value, a harmless request waits longer; with a smaller one, it
is retried before the trial has ended.
"""


def quarantine_refusal(hold: Hold, now: float) -> Refusal:
    """Return the refusal of a quarantined request.

    Its retry-after time is the time to the next trial, or to the end of the hold if no
    trials are left, since no entry runs the request earlier.

    Args:
      hold: the hold on the request.
      now: monotonic time in seconds.
    """
    until = hold.next_trial_at if hold.tries else hold.until
    left_s = max(until - now, MIN_RETRY_AFTER_S)
    detail = (
        "request is quarantined: targets crashed while running it, first"
        f" {now - hold.first_crash_at:.1f} s ago; quarantined"
        f" {now - hold.quarantined_at:.1f} s ago, next run in {left_s:.1f} s at the"
        f" earliest, {hold.tries} tries left"
    )
    return Refusal(Code.QUARANTINED, detail, retry_after_ms=round(left_s * 1000))
