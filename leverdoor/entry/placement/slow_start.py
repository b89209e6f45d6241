# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Slow start: what a target bears while it is in its warm-up.

A target that says that it starts cold (`cold_ms`) is in its warm-up for that time. It
gets a request only when no other target can take it, and all entries together send it
at most what its service allows a second (`warmup_per_s`), handed out by its limiter as
limits of targets are (entry/limits).

Owns the end of a target's warm-up, lost with the process: a restarted entry has the
whole warm-up before it again.
"""

__all__ = ["SlowStart", "warm_up_limit_per_s"]

WARM_UP_LIMIT_FACTOR = 0.75
"""Part of what a cold target bears that is planned with. The bound on it is one of
single seconds; the rest is for what its limiter saves up, and for a limiter that
another
one has just followed."""


def warm_up_limit_per_s(allowed_per_s: float) -> float:
    """Return the requests a second that all entries may send to a cold target.

    Args:
      allowed_per_s: what the target's service allows all entries together.
    """
    return WARM_UP_LIMIT_FACTOR * allowed_per_s


class SlowStart:
    """The warm-up of one target."""

    def __init__(self, cold_ms: float, now: float) -> None:
        """Begin it.

        Args:
          cold_ms: how long the target is cold from now on; 0 for not at all.
          now: monotonic time in seconds.
        """
        self.cold_until = now + cold_ms / 1000

    def restart(self, cold_ms: float, now: float) -> None:
        """Begin again, without ending sooner than before."""
        self.cold_until = max(self.cold_until, now + cold_ms / 1000)

    def in_warm_up(self, now: float) -> bool:
        """Return whether the target is in its warm-up."""
        return now < self.cold_until
