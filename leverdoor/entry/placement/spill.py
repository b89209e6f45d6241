# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""In which region the keys of a service are served.

Each region has a share of the keys that this region's clients ask for. Keys
are dealt by weighted rendezvous, alike at every entry: when a share changes,
only keys of that region move. The shares follow the load of each region's
targets and move at a bounded rate, so that no great part of a region's
requests changes region from one moment to the next, and caches elsewhere warm
up key by key.
"""

import math
from collections.abc import Iterable, Mapping

from leverdoor.entry.placement.affinity import key_place
from leverdoor.entry.placement.tuning import PRODUCTION, Tuning

__all__ = ["RegionShares", "first_shares"]

MOVE_PER_S = 0.04
"""Most of a service's keys that change region in a second, where no bound is set."""
MARGIN = 0.1
"""Least difference of load over slots for which keys are given away; chosen."""
IMBALANCE = 0.25
"""Difference between two other regions that moves keys between them; chosen."""
PRESSURE_WEIGHT_S = 1.0
"""Seconds over which load over slots is smoothed; chosen."""
AGREEMENT_PER_S = 0.3
"""Part of the gap to the region's mean shares that is closed in a second; chosen."""
UNKNOWN_PRESSURE = 9.0
"""Stands for a region of which nothing is known, or that has no slots."""
LEAST_SHARE = 1e-9
"""Stands for no share, so that logarithms stay finite."""
LEAST_PLACE = 1e-18
"""Stands for the start of the unit interval, for the same reason."""


class RegionShares:
    """The shares of one service's keys, by region."""

    def __init__(
        self,
        own: str,
        first: Mapping[str, float],
        now: float,
        move_per_s: float = MOVE_PER_S,
        tuning: Tuning = PRODUCTION,
    ) -> None:
        """Create it.

        Args:
          own: the region whose clients' keys are dealt.
          first: shares to start from, which add up to one.
          now: monotonic time in seconds.
          move_per_s: most that a share moves in a second.
          tuning: from which load on keys move.
        """
        self._tuning = tuning
        self.own = own
        self.begun = False
        """Whether there was any load yet; before, nothing is learnt from it."""
        self._move_per_s = move_per_s
        self.shares = dict(first)
        self.pressures: dict[str, float] = {}
        self._at = now

    def region(self, key: str, allowed: Iterable[str]) -> str:
        """Return the region that a key belongs to, among those allowed."""

        def score(region: str) -> float:
            share = max(self.shares.get(region, 0.0), LEAST_SHARE)
            return -math.log(max(key_place(key, region), LEAST_PLACE)) / share

        return min(allowed, key=score)

    def begin_from(self, shares: Mapping[str, float]) -> None:
        """Start from other shares, while there was no load."""
        self.shares = dict(shares)

    def update(
        self,
        pressures: Mapping[str, float],
        peers: Iterable[Mapping[str, float]],
        now: float,
    ) -> None:
        """Move the shares.

        Args:
          pressures: by region, load over slots of its usable targets.
          peers: the shares that other entries of the region use.
          now: monotonic time in seconds.
        """
        passed = min(now - self._at, 1.0)
        self._at = now
        loaded = any(0 < p < UNKNOWN_PRESSURE for p in pressures.values())
        self.begun = self.begun or loaded
        if not self.begun:
            return
        self._smooth(pressures, passed)
        self._agree([p for p in peers if p], passed)
        found = self._wanted_move()
        if found is not None:
            source, sink = found
            self._move(source, sink, self._move_per_s * passed)

    def _smooth(self, pressures: Mapping[str, float], passed: float) -> None:
        weight = min(1.0, passed / PRESSURE_WEIGHT_S)
        smoothed = {}
        for region, pressure in pressures.items():
            before = self.pressures.get(region, pressure)
            smoothed[region] = before + weight * (pressure - before)
        self.pressures = smoothed

    def _agree(self, peers: list[Mapping[str, float]], passed: float) -> None:
        """Go a part of the way to the mean of the region's entries."""
        if not peers:
            return
        for region in self.shares:
            mean = sum(p.get(region, 0.0) for p in peers) / len(peers)
            gap = mean - self.shares[region]
            most = self._move_per_s * passed / 2
            step = AGREEMENT_PER_S * passed * gap
            self.shares[region] += max(-most, min(most, step))
        total = sum(self.shares.values())
        self.shares = {r: v / total for r, v in self.shares.items()}

    def _wanted_move(self) -> tuple[str, str] | None:
        """Return from which region to which some keys should move, if any."""
        known = {r: self._pressure(r) for r in self.shares}
        own = known.get(self.own, UNKNOWN_PRESSURE)
        others = {r: p for r, p in known.items() if r != self.own}
        if not others:
            return None
        least = min(others, key=lambda r: others[r])
        if own > self._tuning.high_pressure and others[least] + MARGIN < own:
            return self.own, least
        used = [r for r in others if self.shares[r] > LEAST_SHARE]
        if not used:
            return None
        most = max(used, key=lambda r: others[r])
        if own < self._tuning.low_pressure:
            return most, self.own
        if others[most] - others[least] > IMBALANCE:
            return most, least
        return None

    def _pressure(self, region: str) -> float:
        return self.pressures.get(region, UNKNOWN_PRESSURE)

    def _move(self, source: str, sink: str, share: float) -> None:
        moved = min(share, self.shares[source])
        self.shares[source] -= moved
        self.shares[sink] += moved


def first_shares(own: str, slots: Mapping[str, int]) -> dict[str, float]:
    """Return the shares to start from, before any load is known.

    A region with less than the mean of slots will be short of them when its
    clients are as many as elsewhere; what goes beyond goes where slots are.
    """
    mean = sum(slots.values()) / max(len(slots), 1)
    others = sum(v for r, v in slots.items() if r != own)
    kept = min(1.0, slots.get(own, 0) / mean) if mean else 1.0
    if not others:
        kept = 1.0
    found = {own: kept}
    for region, count in slots.items():
        if region != own:
            found[region] = (1.0 - kept) * count / others if others else 0.0
    return found
