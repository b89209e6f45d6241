# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The regions' shares of every service's keys, as one entry keeps them.

Owns the shares by service (spill.py) and those that were logged last; lost with the
process. Relies on the states of targets (fleet.py) for the utilization of regions, and
on digests (entry/exchange) for the shares of the region's other entries.
"""

from collections.abc import Iterable, Mapping

from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.region_shares import (
    NO_SLOTS_UTILIZATION,
    RegionShares,
    initial_shares,
)
from leverdoor.entry.placement.tuning import Tuning
from leverdoor.model.resources import Target

__all__ = ["RegionShareTable"]

REPORTED_DIGITS = 4
"""Decimal digits of a share in heartbeats: far below any move of a round."""
MIN_LOGGED_CHANGE = 0.05
"""Change of a share that is worth a line in the log: some lines a minute while keys
move at the bounded rate."""


class RegionShareTable:
    """Shares by service, and the utilization that moves them."""

    def __init__(
        self, region: str, fleet: Fleet, move_per_s: float, tuning: Tuning
    ) -> None:
        """Create it without any service.

        Args:
          region: this entry's region.
          fleet: the states of targets.
          move_per_s: most of a service's keys that change region in a second.
          tuning: bounds and switches of the rules.
        """
        self._tuning = tuning
        self._region = region
        self._fleet = fleet
        self._move_per_s = move_per_s
        self._names: list[str] = []
        self._targets: dict[tuple[str, str], list[Target]] = {}
        self._shares: dict[str, RegionShares] = {}
        self._logged: dict[str, dict[str, float]] = {}

    def renew(
        self,
        regions: Iterable[str],
        targets: dict[tuple[str, str], list[Target]],
    ) -> None:
        """Take a new configuration.

        Args:
          regions: the names of all regions.
          targets: those in service, by service and region.
        """
        self._names = sorted(regions)
        self._targets = targets

    def region(self, service: str, key: str, allowed: list[str], now: float) -> str:
        """Return the region that a key of a service belongs to, among those allowed."""
        return self._of(service, [], now).region(key, allowed)

    def utilization(self, service: str, region: str, now: float) -> float:
        """Return load over slots of a region's usable targets."""
        load, slots = self._fleet.load(self._targets.get((service, region), ()), now)
        return load / slots if slots else NO_SLOTS_UTILIZATION

    def update(self, peers: list[dict[str, dict[str, float]]], now: float) -> None:
        """Move the shares; call several times a second.

        Args:
          peers: the shares of the other entries of the region, by service.
          now: monotonic time in seconds.
        """
        for service in {s for s, _ in self._targets}:
            reported = [p[service] for p in peers if service in p]
            state = self._of(service, reported, now)
            utilizations = {r: self.utilization(service, r, now) for r in state.shares}
            if not state.has_seen_load and not reported:
                # Targets may have come or gone since it was created.
                state.replace(initial_shares(self._region, self._slots(service)))
            state.update(utilizations, reported, now)

    def _of(
        self, service: str, reported: list[dict[str, float]], now: float
    ) -> RegionShares:
        """Return the shares of a service; new ones start from a reported one."""
        found = self._shares.get(service)
        if found is None:
            first = initial_shares(self._region, self._slots(service))
            if reported:
                first |= reported[0]
            found = RegionShares(
                self._region, first, now, self._move_per_s, self._tuning
            )
            self._shares[service] = found
        return found

    def _slots(self, service: str) -> dict[str, int]:
        return {
            region: sum(t.slots for t in self._targets.get((service, region), ()))
            for region in self._names
        }

    def reported(self) -> dict[str, dict[str, float]]:
        """Return the shares as heartbeats carry them."""
        return {
            service: {r: round(v, REPORTED_DIGITS) for r, v in state.shares.items()}
            for service, state in self._shares.items()
            if state.has_seen_load
        }

    def take_changed(self) -> Mapping[str, dict[str, float]]:
        """Return the shares that moved noticeably since the last call."""
        found = {}
        for service, state in self._shares.items():
            before = self._logged.get(service, {})
            if _differ(before, state.shares):
                found[service] = self._logged[service] = dict(state.shares)
        return found


def _differ(before: Mapping[str, float], after: Mapping[str, float]) -> bool:
    return any(
        abs(v - before.get(r, 0.0)) > MIN_LOGGED_CHANGE for r, v in after.items()
    )
