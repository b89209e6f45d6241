# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The ramp of a shift cap: how much of it may be used, rising with use.

Owns the level of one cap and the use of the present window; both start anew with the
process, since the caches it protects are as likely to be cold then.
"""

import math

__all__ = ["Ramp"]

RAISE_USE_SHARE = 0.5
"""Part of what was allowed that a window must use for the level to rise.

Half. A smaller part raises the level before the receiving caches are warm; a greater
one keeps it low when requests come unevenly.
"""


class Ramp:
    """One (service, receiving region) ramp within its cap.

    The level starts at `start` of the cap, doubles after a window that used
    at least half of what was allowed, and halves after one that used nothing,
    since the receiving caches go cold again.
    """

    def __init__(self, start: float, window_s: float, now: float) -> None:
        """Create a ramp.

        Args:
          start: first level, as a share of the cap in (0, 1].
          window_s: the cap's window, in seconds.
          now: monotonic time in seconds.
        """
        self._start = start
        self._window_s = window_s
        self._level = start
        self._began = now
        self._used = 0

    def allowed(self, units: int, now: float) -> int:
        """Return how many of `units` may be in use now; at least one."""
        self._advance_window(units, now)
        return min(units, max(1, math.ceil(self._level * units)))

    def use(self) -> None:
        """Record that a unit was used."""
        self._used += 1

    def _advance_window(self, units: int, now: float) -> None:
        passed = int((now - self._began) / self._window_s)
        if passed <= 0:
            return
        allowed = max(1, math.ceil(self._level * units))
        if self._used >= RAISE_USE_SHARE * allowed:
            self._level = min(1.0, self._level * 2)
            passed -= 1
        if passed > 0 and self._used == 0:
            self._level = max(self._start, self._level / 2 ** min(passed, 30))
        self._began = now
        self._used = 0
