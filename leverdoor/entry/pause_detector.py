# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whether this process stood still: frozen, or its VM suspended.

What it knows of others is then as old as the pause, though its steady clock may not
have counted it; it must not act on it as if it had been there all the time.

Owns when it last ran, lost with the process. Relies on a clock that counts suspended
time, and on being called in each round.
"""

import time
from collections.abc import Callable

__all__ = ["PauseDetector", "boot_time_s"]

MIN_PAUSE_S = 1.0
"""Time between two calls from which on the process counts as paused, in seconds: five
rounds, less than after which others take it for silent."""


def boot_time_s() -> float:
    """Return a time in seconds that counts while the VM is suspended.

    Where the system has no such clock, one that stands still then.
    """
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()


class PauseDetector:
    """When this process last resumed."""

    def __init__(self, now: float, clock: Callable[[], float] = boot_time_s) -> None:
        """Create it as the process starts.

        Args:
          now: monotonic time in seconds.
          clock: counts suspended time as well, in seconds.
        """
        self._clock = clock
        self._ran_at = clock()
        self._since = now

    def uninterrupted_s(self, now: float) -> float:
        """Note that the process runs; return for how long it has, without a pause.

        Args:
          now: monotonic time in seconds.
        """
        at = self._clock()
        if at - self._ran_at > MIN_PAUSE_S:
            self._since = now
        self._ran_at = at
        return now - self._since
