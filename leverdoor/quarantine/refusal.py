# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The refusal of a request that is held back. Owns no state."""

from leverdoor.errors import Code, Refusal
from leverdoor.quarantine.quarantine import Hold

__all__ = ["quarantine_refusal"]

LEAST_RETRY_AFTER_S = 1.0
"""Least time after which a request that may run once more should come back, in seconds.

Its try may be under way at another entry. Greater: a harmless one waits longer.
Smaller: it comes back before the try has ended.
"""


def quarantine_refusal(hold: Hold, now: float) -> Refusal:
    """Return the refusal of a request that is held back.

    It may come back when the hold is over, or when it is tried once more, and not
    before: no entry would run it.

    Args:
      hold: how it is held back.
      now: monotonic time in seconds.
    """
    until = hold.try_at if hold.tries else hold.until
    left_s = max(until - now, LEAST_RETRY_AFTER_S)
    detail = (
        f"targets ended under it from {now - hold.first:.1f} s ago on; held back"
        f" {now - hold.at:.1f} s ago, for {left_s:.1f} s more, {hold.tries} tries left"
    )
    return Refusal(Code.QUARANTINED, detail, retry_after_ms=round(left_s * 1000))
