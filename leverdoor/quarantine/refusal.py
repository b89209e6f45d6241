# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The refusal of a quarantined request. Owns no state."""

from leverdoor.errors import Code, Refusal
from leverdoor.quarantine.quarantine import Hold

__all__ = ["quarantine_refusal"]

MIN_RETRY_AFTER_S = 1.0
"""Least retry-after time of a refused request, in seconds.

A trial of the request may be running at another entry. With a greater value, a harmless
request waits longer; with a smaller one, it is retried before the trial has ended.
"""


def quarantine_refusal(hold: Hold, now: float) -> Refusal:
    """Return the refusal of a quarantined request.

    Its retry-after time ends with the next trial, or with the hold if no trials are
    left. No entry would run the request before.

    Args:
      hold: the hold on the request.
      now: monotonic time in seconds.
    """
    until = hold.try_at if hold.tries else hold.until
    left_s = max(until - now, MIN_RETRY_AFTER_S)
    detail = (
        f"targets that ran it crashed, first {now - hold.first:.1f} s ago; quarantined"
        f" {now - hold.at:.1f} s ago, for {left_s:.1f} s more, {hold.tries} tries left"
    )
    return Refusal(Code.QUARANTINED, detail, retry_after_ms=round(left_s * 1000))
