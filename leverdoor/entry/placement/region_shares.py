# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Determines which region serves each key of a service.

Each region has a share of the keys requested by the clients of this entry's region.
Weighted rendezvous hashing assigns the keys, identically at every entry; a change of a
region's share moves keys only to or from that region. The shares follow the load of
each region's targets and change at a limited rate. This prevents a large part of a
region's requests from changing region at the same time, and fills the caches of other
regions gradually.

`RegionShares` owns the shares of one service and the smoothed utilization (load over
slots) of each region. Both are lost with the process. At the start, an entry adopts the
shares of the other entries of its region, or else computes them from slots
(`initial_shares`).

Relies on `update` being called several times a second with the utilization estimated by
this entry and the shares used by the other entries of its region.
"""

import math
from collections.abc import Iterable, Mapping

from leverdoor.entry.placement.rendezvous import MIN_UNIT_HASH, unit_hash
from leverdoor.entry.placement.tuning import PRODUCTION, Tuning

__all__ = ["MOVE_PER_S", "UNUSABLE_UTILIZATION", "RegionShares", "initial_shares"]

MOVE_PER_S = 0.04
"""Maximum fraction of keys that changes region in a second, in tests and benchmarks.

An entry uses the setting `max_shift` instead (a setting of 0.15 in 2 s corresponds to
0.04, see entry/data_plane.py and entry/bounds.py). Convergence to the shares of other
entries may change a share by AGREEMENT_MOVE_PART * MOVE_PER_S in addition.
"""
MIN_OWN_DIFFERENCE = 0.1
"""Minimum difference of utilization at which the client region moves keys away.

Prevents moves because of noise. With a greater value, keys stay in an overloaded
region. With a smaller one, keys move without benefit and run cold.
"""
MIN_REMOTE_DIFFERENCE = 0.25
"""Difference of utilization between two other regions above which keys move.

Such a difference is not noise. With a greater value, keys stay in an overloaded region.
With a smaller one, keys move without benefit and run cold.
"""
UTILIZATION_SMOOTHING_S = 1.0
"""Averaging period of utilization in seconds.

Covers several reports. With a greater value, shares follow a change of load late. With
a smaller one, they follow single reports back and forth.
"""
AGREEMENT_PER_S = 0.3
"""Rate at which shares approach the mean of the region's entries, per second.

Entries agree within seconds without a jump. With a greater value, entries follow
outdated means, which are 1 to 2 s old. With a smaller one, entries send a key to
different regions for longer, and it runs cold in each.
"""
AGREEMENT_MOVE_PART = 0.5
"""Maximum change of a share by convergence, as a fraction of the limit on moves.

Together with entry/bounds.py:SHIFT_FRACTION, the sum of both changes stays within 0.8
of the operator's cap. With a greater value, it comes closer to the cap. With a smaller
one, a difference between entries lasts longer.
"""
MAX_STEP_S = 1.0
"""Maximum elapsed time that one update accounts for, in seconds.

Prevents a jump of the shares after a pause of the process.
"""
UNUSABLE_UTILIZATION = 9.0
"""Utilization of a region without usable slots or of unknown utilization.

Exceeds any other utilization, so that such a region moves all keys to others.
"""
MIN_SHARE = 1e-9
"""Minimum share that counts as used; keeps divisions by a share finite."""


class RegionShares:
    """The shares of one service's keys, by region."""

    def __init__(
        self,
        client_region: str,
        initial: Mapping[str, float],
        now: float,
        move_per_s: float = MOVE_PER_S,
        tuning: Tuning = PRODUCTION,
    ) -> None:
        """Create it with initial shares.

        Args:
          client_region: the region whose clients request the keys.
          initial: the initial shares, which sum to one.
          now: monotonic time in seconds.
          move_per_s: maximum change of a share in a second, without agreement.
          tuning: the utilization thresholds at which keys move.
        """
        self._tuning = tuning
        self.client_region = client_region
        self.load_observed = False
        """Whether any region has had load; until then, shares depend only on slots."""
        self._move_per_s = move_per_s
        self.shares = dict(initial)
        self._utilizations: dict[str, float] = {}
        """Smoothed load over slots, by region."""
        self._updated_at = now

    def region(self, key: str, allowed: Iterable[str]) -> str:
        """Return which of the allowed regions serves a key."""

        def score(region: str) -> float:
            share = max(self.shares.get(region, 0.0), MIN_SHARE)
            return -math.log(max(unit_hash(key, region), MIN_UNIT_HASH)) / share

        return min(allowed, key=score)

    def replace(self, shares: Mapping[str, float]) -> None:
        """Replace the shares; only valid until load is observed."""
        self.shares = dict(shares)

    def update(
        self,
        utilizations: Mapping[str, float],
        peer_shares: Iterable[Mapping[str, float]],
        now: float,
    ) -> None:
        """Update the shares.

        Args:
          utilizations: load over slots of the usable targets, by region.
          peer_shares: the shares used by the other entries of the region.
          now: monotonic time in seconds.
        """
        elapsed_s = min(now - self._updated_at, MAX_STEP_S)
        self._updated_at = now
        has_load = any(0 < u < UNUSABLE_UTILIZATION for u in utilizations.values())
        self.load_observed = self.load_observed or has_load
        if not self.load_observed:
            return
        self._smooth(utilizations, elapsed_s)
        self._converge([p for p in peer_shares if p], elapsed_s)
        move = self._next_move()
        if move is not None:
            source, destination = move
            self._move(source, destination, self._move_per_s * elapsed_s)

    def _smooth(self, utilizations: Mapping[str, float], elapsed_s: float) -> None:
        """Update the smoothed utilization of each region."""
        weight = min(1.0, elapsed_s / UTILIZATION_SMOOTHING_S)
        smoothed = {}
        for region, utilization in utilizations.items():
            before = self._utilizations.get(region, utilization)
            smoothed[region] = before + weight * (utilization - before)
        self._utilizations = smoothed

    def _converge(
        self, peer_shares: list[Mapping[str, float]], elapsed_s: float
    ) -> None:
        """Change the shares towards the mean of the region's entries."""
        if not peer_shares:
            return
        for region in self.shares:
            mean = sum(p.get(region, 0.0) for p in peer_shares) / len(peer_shares)
            difference = mean - self.shares[region]
            max_step = self._move_per_s * elapsed_s * AGREEMENT_MOVE_PART
            step = AGREEMENT_PER_S * elapsed_s * difference
            self.shares[region] += max(-max_step, min(max_step, step))
        total = sum(self.shares.values())
        self.shares = {r: v / total for r, v in self.shares.items()}

    def _next_move(self) -> tuple[str, str] | None:
        """Return the source and destination region of the next move, if any.

        - From the client region to the least loaded one, if the utilization of the
          client region is above the high threshold.
        - From the most loaded other region to the client region, if the utilization of
          the client region is below the low threshold.
        - Between two other regions, if their utilization differs widely.
        """
        known = {r: self._utilization(r) for r in self.shares}
        own_utilization = known.get(self.client_region, UNUSABLE_UTILIZATION)
        others = {r: u for r, u in known.items() if r != self.client_region}
        if not others:
            return None
        least = min(others, key=lambda r: others[r])
        if (
            own_utilization > self._tuning.high_pressure
            and others[least] + MIN_OWN_DIFFERENCE < own_utilization
        ):
            return self.client_region, least
        used = [r for r in others if self.shares[r] > MIN_SHARE]
        if not used:
            return None
        most = max(used, key=lambda r: others[r])
        if own_utilization < self._tuning.low_pressure:
            return most, self.client_region
        if others[most] - others[least] > MIN_REMOTE_DIFFERENCE:
            return most, least
        return None

    def _utilization(self, region: str) -> float:
        """Return the smoothed utilization of a region."""
        return self._utilizations.get(region, UNUSABLE_UTILIZATION)

    def _move(self, source: str, destination: str, share: float) -> None:
        """Move a share of all keys, limited to the source's share."""
        moved = min(share, self.shares[source])
        self.shares[source] -= moved
        self.shares[destination] += moved


def initial_shares(client_region: str, slots: Mapping[str, int]) -> dict[str, float]:
    """Return the shares used before any load is known.

    All regions are assumed to have equally many clients. A region with fewer slots than
    the mean therefore keeps only slots/mean of its keys. The remainder is distributed
    to the other regions in proportion to their slots.

    Args:
      client_region: the region whose clients request the keys.
      slots: the number of slots, by region.
    """
    mean = sum(slots.values()) / max(len(slots), 1)
    others = sum(v for r, v in slots.items() if r != client_region)
    kept = min(1.0, slots.get(client_region, 0) / mean) if mean else 1.0
    if not others:
        kept = 1.0
    shares = {client_region: kept}
    for region, count in slots.items():
        if region != client_region:
            shares[region] = (1.0 - kept) * count / others if others else 0.0
    return shares
