# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Detects that the process was frozen or its VM suspended.

After a pause, what the process knows of other entries is as old as the pause, although
the monotonic clock may not have counted it. The process must not treat that knowledge
as continuous.

Owns the time of the last call and of the last resumption; both are lost with the
process. Relies on a clock that counts suspended time, and on a call in each heartbeat
round.
"""

import time
from collections.abc import Callable

__all__ = ["PauseDetector", "boot_time_s"]

MIN_PAUSE_S = 1.0
"""Time between two calls above which the process counts as paused, in seconds.

It equals five heartbeat rounds, less than the time after which other entries consider
this one silent.
"""


def boot_time_s() -> float:
    """Return a time in seconds that advances while the VM is suspended.

    Systems without such a clock use one that stops during suspension.
    """
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()


class PauseDetector:
    """Tracks when this process last resumed after a pause."""

    def __init__(self, now: float, clock: Callable[[], float] = boot_time_s) -> None:
        """Create the detector when the process starts.

        Args:
          now: monotonic time in seconds.
          clock: returns a time in seconds that includes suspended time.
        """
        self._clock = clock
        self._ran_at = clock()
        self._since = now

    def uninterrupted_s(self, now: float) -> float:
        """Record that the process runs; return the time in s since its last pause.

        Args:
          now: monotonic time in seconds.
        """
        at = self._clock()
        if at - self._ran_at > MIN_PAUSE_S:
            self._since = now
        self._ran_at = at
        return now - self._since
