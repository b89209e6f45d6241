# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The refusal of a request that is held back. Owns no state."""

from leverdoor.errors import Code, Refusal
from leverdoor.quarantine.quarantine import Hold

__all__ = ["held_refusal"]


def held_refusal(hold: Hold, now: float) -> Refusal:
    """Return the refusal of a request that is held back.

    It may come back when the hold is over, and not before: no entry would run it.

    Args:
      hold: how it is held back.
      now: monotonic time in seconds.
    """
    age_s = now - hold.at
    left_s = hold.until - now
    detail = (
        f"targets ended under it from {now - hold.first:.1f} s ago on;"
        f" held back {age_s:.1f} s ago, for {left_s:.0f} s more"
    )
    return Refusal(Code.QUARANTINED, detail, retry_after_ms=round(left_s * 1000))
