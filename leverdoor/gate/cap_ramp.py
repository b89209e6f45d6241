# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Raises the usable share of a shift cap with its use, to protect cold caches.

Owns the level of one cap and its use in the current window. Both are lost when the
process ends. A new process begins at the initial level, since the receiving caches are
likely to be cold by then.
"""

import math

__all__ = ["Ramp"]

RAISE_USE_SHARE = 0.5
"""The level rises if at least this share of the allowed units was used in a window.

A smaller share raises the level before the receiving caches are warm; a greater one
keeps it low when requests arrive unevenly.
"""


class Ramp:
    """Ramp of the shift cap of one service into one region.

    The level is a share of the cap. It starts at `start`, doubles after a window that
    used at least half of the allowed units, and halves after an unused window, in
    which the receiving caches cool down.
    """

    def __init__(self, start: float, window_s: float, now: float) -> None:
        """Create a ramp.

        Args:
          start: initial level, as a share of the cap in (0, 1].
          window_s: the cap's window, in seconds.
          now: monotonic time in seconds.
        """
        self._start = start
        self._window_s = window_s
        self._level = start
        self._began = now
        self._used = 0

    def allowed(self, units: int, now: float) -> int:
        """Return how many of `units` may be in use, at least one.

        Updates the level first if the current window has passed.
        """
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
        unused = passed - 1 if self._used else passed
        if unused > 0:
            self._level = max(self._start, self._level / 2 ** min(unused, 30))
        self._began = now
        self._used = 0
