# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Slow start: limits requests to a target during its warm-up.

A target that reports a cold start (`cold_ms`) is in its warm-up for that period. It
receives a request only if no other target can take it. The target's limiter keeps the
total rate of all entries within the service's `warmup_per_s`, like the limits of
targets (entry/limits).

Owns the end of a target's warm-up, lost with the process: a restarted entry applies the
whole warm-up again.
"""

__all__ = ["SlowStart", "warm_up_limit_per_s"]

WARM_UP_LIMIT_FACTOR = 0.75
"""Fraction of the allowed warm-up rate that the limiter grants.

The allowed rate must hold in each single second. The remaining quarter covers bursts of
saved tokens and a change of the entry that runs the limiter.
"""


def warm_up_limit_per_s(allowed_per_s: float) -> float:
    """Return the limit on requests a second of all entries to a cold target.

    Args:
      allowed_per_s: requests a second that the target's service allows all entries.
    """
    return WARM_UP_LIMIT_FACTOR * allowed_per_s


class SlowStart:
    """The warm-up of one target."""

    def __init__(self, cold_ms: float, now: float) -> None:
        """Start the warm-up.

        Args:
          cold_ms: duration of the warm-up in ms, 0 for none.
          now: monotonic time in seconds.
        """
        self.warm_up_until = now + cold_ms / 1000

    def restart(self, cold_ms: float, now: float) -> None:
        """Start the warm-up again; never shortens a current one."""
        self.warm_up_until = max(self.warm_up_until, now + cold_ms / 1000)

    def in_warm_up(self, now: float) -> bool:
        """Return whether the target is in its warm-up."""
        return now < self.warm_up_until
