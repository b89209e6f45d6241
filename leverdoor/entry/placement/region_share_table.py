# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Maintains the regions' shares of the keys of all services at one entry.

Owns the shares by service (region_shares.py) and the last logged shares; both are lost
with the process. Relies on the states of targets (fleet.py) for the utilization of
regions, and on digests (entry/exchange) for the shares of the region's other entries.
"""

from collections.abc import Container, Iterable, Mapping

from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.region_shares import (
    UNUSABLE_UTILIZATION,
    RegionShares,
    initial_shares,
)
from leverdoor.entry.placement.tuning import Tuning
from leverdoor.model.resources import Target

__all__ = ["RegionShareTable"]

REPORTED_DIGITS = 4
"""Decimal digits of a share in heartbeats.

The rounding is far smaller than any change of a share between two heartbeats.
"""
MIN_LOGGED_CHANGE = 0.05
"""Minimum change of a share that is logged.

Causes a few log lines a minute while shares change at the maximum rate.
"""
REFUSING_LOAD = 1.5
"""Least utilization that counts for a region that refuses keys.

Above that of a region that is full, so that keys leave it for one that is nearly full.
"""


class RegionShareTable:
    """Shares of regions by service, updated from the utilization of regions."""

    def __init__(
        self, region: str, fleet: Fleet, move_per_s: float, tuning: Tuning
    ) -> None:
        """Create a table without services.

        Args:
          region: this entry's region.
          fleet: the states of targets.
          move_per_s: maximum fraction of a service's keys that changes region in a
            second.
          tuning: parameters of the rules.
        """
        self._tuning = tuning
        self._region = region
        self._fleet = fleet
        self._move_per_s = move_per_s
        self._regions: list[str] = []
        self._targets: dict[tuple[str, str], list[Target]] = {}
        self._shares: dict[str, RegionShares] = {}
        self._logged_shares: dict[str, dict[str, float]] = {}

    def renew(
        self,
        regions: Iterable[str],
        targets: dict[tuple[str, str], list[Target]],
    ) -> None:
        """Apply a new configuration.

        Args:
          regions: the names of all regions.
          targets: the targets, by service and region.
        """
        self._regions = sorted(regions)
        self._targets = targets

    def region(self, service: str, key: str, allowed: list[str], now: float) -> str:
        """Return which of the allowed regions serves a key of a service."""
        return self._shares_of(service, [], now).region(key, allowed)

    def utilization(self, service: str, region: str, now: float) -> float:
        """Return the load over the slots of a region's usable targets.

        UNUSABLE_UTILIZATION if there are no usable slots.
        """
        load, slots = self.load_and_slots(service, region, now)
        return load / slots if slots else UNUSABLE_UTILIZATION

    def load_and_slots(
        self, service: str, region: str, now: float
    ) -> tuple[float, float]:
        """Return the total load and slots of a region's usable targets."""
        return self._fleet.load(self._targets.get((service, region), ()), now)

    def update(
        self,
        peers_shares: list[dict[str, dict[str, float]]],
        now: float,
        refusing: Container[tuple[str, str]] = (),
    ) -> None:
        """Update all shares; to be called several times a second.

        Args:
          peers_shares: the shares of each other entry of the region, by service.
          now: monotonic time in seconds.
          refusing: services and regions that refuse requests no other region may
            serve. Requests that other regions may serve leave them.
        """
        for service in {s for s, _ in self._targets}:
            peer_shares = [p[service] for p in peers_shares if service in p]
            state = self._shares_of(service, peer_shares, now)
            utilizations = {r: self.utilization(service, r, now) for r in state.shares}
            for region in state.shares:
                if (service, region) in refusing:
                    utilizations[region] = max(utilizations[region], REFUSING_LOAD)
            if not state.load_observed and not peer_shares:
                # Targets may have been added or removed since the shares were computed.
                state.replace(initial_shares(self._region, self._slots(service)))
            state.update(utilizations, peer_shares, now)

    def _shares_of(
        self, service: str, peer_shares: list[dict[str, float]], now: float
    ) -> RegionShares:
        """Return the shares of a service; new ones adopt those of the first peer."""
        state = self._shares.get(service)
        if state is None:
            shares = initial_shares(self._region, self._slots(service))
            if peer_shares:
                shares |= peer_shares[0]
            state = RegionShares(
                self._region, shares, now, self._move_per_s, self._tuning
            )
            self._shares[service] = state
        return state

    def _slots(self, service: str) -> dict[str, int]:
        """Return the number of slots of a service in each region."""
        return {
            region: sum(t.slots for t in self._targets.get((service, region), ()))
            for region in self._regions
        }

    def shares_to_send(self) -> dict[str, dict[str, float]]:
        """Return the shares to be sent in heartbeats."""
        return {
            service: {r: round(v, REPORTED_DIGITS) for r, v in state.shares.items()}
            for service, state in self._shares.items()
            if state.load_observed
        }

    def take_shares_to_log(self) -> Mapping[str, dict[str, float]]:
        """Return the shares that changed by more than MIN_LOGGED_CHANGE.

        The change is relative to the shares that were returned before.
        """
        changed = {}
        for service, state in self._shares.items():
            before = self._logged_shares.get(service, {})
            if _differ(before, state.shares):
                changed[service] = self._logged_shares[service] = dict(state.shares)
        return changed


def _differ(before: Mapping[str, float], after: Mapping[str, float]) -> bool:
    """Return whether any share changed enough to be logged."""
    return any(
        abs(v - before.get(r, 0.0)) > MIN_LOGGED_CHANGE for r, v in after.items()
    )
