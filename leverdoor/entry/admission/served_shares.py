# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Notices priorities that are hardly ever served while others are.

Order by urgency alone would refuse a less urgent priority for as long as more urgent
requests fill all slots.

Owns, by priority, decayed counts of the requests of one region of a service at this
entry. They are lost with the process.
"""

import math

import msgspec

__all__ = ["ServedShares"]

AVERAGING_S = 5.0
"""Averaging period of the counts, in seconds.

With a greater value, a priority starves for longer before it is noticed. With a smaller
one, single requests decide.
"""
MIN_SERVED_X = 0.4
"""Rate of served requests, relative to that of all, below which a priority starves.

Above a quarter, which every priority is to get, because entries count separately and
late. With a greater value, urgent requests are refused for less urgent ones.
"""
MIN_OFFERED = 4.0
"""Decayed requests of a priority from which its rate is considered."""


class _Counts(msgspec.Struct):
    """Decayed counts of one priority."""

    offered: float = 0.0
    served: float = 0.0


class ServedShares:
    """The rates at which the priorities are served."""

    def __init__(self, now: float) -> None:
        """Create it without requests.

        Args:
          now: monotonic time in seconds.
        """
        self._counts: dict[int, _Counts] = {}
        self._decayed_at = now

    def record_offered(self, priority: int, now: float) -> None:
        """Count a request."""
        self._decay(now)
        self._counts.setdefault(priority, _Counts()).offered += 1.0

    def record_served(self, priority: int) -> None:
        """Count a request that found a target."""
        self._counts.setdefault(priority, _Counts()).served += 1.0

    def starving(self) -> int | None:
        """Return the priority that is served least, if that is too little."""
        counts = self._counts
        offered = sum(c.offered for c in counts.values())
        served = sum(c.served for c in counts.values())
        if not served:
            return None
        rates = {
            priority: c.served / c.offered
            for priority, c in counts.items()
            if c.offered >= MIN_OFFERED
        }
        least = min(rates, key=rates.__getitem__, default=None)
        if least is None or rates[least] >= MIN_SERVED_X * served / offered:
            return None
        return least

    def _decay(self, now: float) -> None:
        """Reduce all counts by the time since they were last reduced."""
        factor = math.exp(-max(now - self._decayed_at, 0.0) / AVERAGING_S)
        self._decayed_at = now
        for counts in self._counts.values():
            counts.offered *= factor
            counts.served *= factor
