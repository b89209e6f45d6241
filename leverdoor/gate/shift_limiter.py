# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Limits requests from other regions by the shift caps into this region.

Owns the ramps of these caps, which are lost when the process ends. Relies on
`row_units.py` for units; a unit counts as used for one window after its request ended.
"""

import math

from leverdoor.gate.cap_ramp import Ramp
from leverdoor.gate.row_units import HeldUnits
from leverdoor.membership.ownership import cap_row_name
from leverdoor.storage.view import View

__all__ = ["ShiftLimiter", "shift_rate_per_s"]


class ShiftLimiter:
    """Acquires and releases the cap units of requests from other regions."""

    def __init__(self, region: str, held_units: HeldUnits) -> None:
        """Create a limiter.

        Args:
          region: this gate's region, which receives the requests.
          held_units: the units of this process.
        """
        self._region = region
        self._held_units = held_units
        self._ramps: dict[str, Ramp] = {}

    def acquire_unit(self, view: View, service: str, now: float) -> str | None:
        """Acquire a unit for one request of another region.

        Returns: the row of the unit, "" if no cap limits the service here, or None
          if no unit is available.
        """
        cap = view.caps.get((service, self._region))
        if cap is None:
            return ""
        row = cap_row_name(service, self._region)
        ramp = self._ramps.get(row)
        if ramp is None:
            start = cap.ramp_percent / 100
            ramp = self._ramps[row] = Ramp(start, cap.window_ms / 1000, now)
        held = self._held_units.held(row)
        used = held - self._held_units.free(row, now)
        if used >= ramp.allowed(held, now) or not self._held_units.acquire(row, now):
            return None
        ramp.use()
        return row

    def release_units(
        self, view: View, service: str, row: str, now: float, cooldown_s: float
    ) -> None:
        """Release a unit, which counts as used for another window.

        Args:
          view: the configuration in force.
          service: the service of the request.
          row: row of the unit, as returned by `acquire_unit`; not "".
          now: monotonic time in seconds.
          cooldown_s: time in which the target may still run the request, in
            seconds; added to the window.
        """
        cap = view.caps.get((service, self._region))
        window_s = cap.window_ms / 1000 if cap else 0.0
        self._held_units.release(row, now, window_s + cooldown_s)

    def free(self, now: float) -> dict[str, int]:
        """Return the free units of each cap into this region, by row."""
        return {
            row: max(self._held_units.free(row, now), 0)
            for row in self._held_units.rows
            if row.startswith("c:")
        }


def shift_rate_per_s(view: View, service: str, home: str, mean_ms: float) -> float:
    """Return the rate at which caps admit requests out of a region, per second.

    Infinite if another region with targets has no cap, or if the total rate is 0, as
    without targets in other regions.
    """
    total = 0.0
    for region in view.regions:
        if region == home or (service, region) not in view.targets_by_location:
            continue
        cap = view.caps.get((service, region))
        if cap is None:
            return math.inf
        # Each unit is used for the run and one window.
        total += 1000 * cap.units / (cap.window_ms + mean_ms)
    return total or math.inf
