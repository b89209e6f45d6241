# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What share of a service's keys is served in other regions.

Keys lie on the unit interval, alike at every entry; those below the share go
elsewhere. The share follows the load of the region's targets and moves at a
bounded rate, so that no great part of a region's requests changes region from
one moment to the next, and caches elsewhere warm up key by key.
"""

from collections.abc import Iterable

__all__ = ["SpillShare"]

RISE_PER_S = 0.05
FALL_PER_S = 0.03
HIGH_PRESSURE = 0.75
LOW_PRESSURE = 0.55
PRESSURE_WEIGHT_S = 1.0
AGREEMENT = 0.3


class SpillShare:
    """The share of one service's keys that leaves this region."""

    def __init__(self, first: float, now: float) -> None:
        """Create it.

        Args:
          first: share to start from.
          now: monotonic time in seconds.
        """
        self.share = first
        self._pressure = -1.0
        self._at = now

    @property
    def pressure(self) -> float:
        """Smoothed load over slots of the region's targets; -1 if unknown."""
        return self._pressure

    def update(
        self, pressure: float, elsewhere: float, peers: Iterable[float], now: float
    ) -> None:
        """Move the share.

        Args:
          pressure: load over slots of the region's usable targets.
          elsewhere: the same for the least loaded other region.
          peers: the shares that other entries of the region use.
          now: monotonic time in seconds.
        """
        passed = min(now - self._at, 1.0)
        self._at = now
        if self._pressure < 0:
            self._pressure = pressure
        weight = min(1.0, passed / PRESSURE_WEIGHT_S)
        self._pressure += weight * (pressure - self._pressure)
        step = 0.0
        if self._pressure > HIGH_PRESSURE and elsewhere < self._pressure:
            step = RISE_PER_S
        elif self._pressure < LOW_PRESSURE:
            step = -FALL_PER_S
        told = list(peers)
        if told:
            mean = sum(told) / len(told)
            pull = AGREEMENT * (mean - self.share)
            step += max(-RISE_PER_S, min(RISE_PER_S, pull))
        step = max(-RISE_PER_S, min(RISE_PER_S, step))
        self.share = max(0.0, min(1.0, self.share + step * passed))


def first_share(region_slots: int, mean_slots: float) -> float:
    """Return the share to start from, before any load is known.

    A region with much less than the mean of slots will be short of them when
    its clients are as many as elsewhere.
    """
    if mean_slots <= 0:
        return 0.0
    return max(0.0, min(1.0, 1.0 - 2.0 * region_slots / mean_slots))
