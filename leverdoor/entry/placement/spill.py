# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""In which region the keys of a service are served.

Each region has a share of the keys that this region's clients use. Keys are dealt out
by weighted rendezvous hashing, alike at every entry: when a share changes, only keys of
that region move. The shares follow the load of each region's targets and move at a
bounded rate, so that no great part of a region's requests changes region from one
moment to the next, and caches elsewhere warm up key by key.

`RegionShares` owns the shares of one service and the smoothed utilization (load over
slots) of each region. Both are lost with the process; a start takes the shares of the
other entries of its region, or else computes them from slots (`first_shares`).

Relies on `update` being called several times a second with the utilization that this
entry estimates and with the shares that other entries of its region use.
"""

import math
from collections.abc import Iterable, Mapping

from leverdoor.entry.placement.affinity import LEAST_PLACE, key_place
from leverdoor.entry.placement.tuning import PRODUCTION, Tuning

__all__ = ["MOVE_PER_S", "NO_SLOTS_UTILIZATION", "RegionShares", "first_shares"]

MOVE_PER_S = 0.04
"""Most of a service's keys that change region in a second, in tests and benchmarks.

An entry passes the setting `max_shift` in place of it (0.04 is that of 0.15 in 2 s by
the same rule: entry/data_plane.py, entry/bounds.py). Agreement between entries may move
AGREEMENT_MOVE_PART as much besides.
"""
MARGIN = 0.1
"""Least difference of utilization for which the own region gives keys away.

No move for noise. Greater: keys stay in a region that is too full. Smaller: keys move
where it gains nothing, and run cold.
"""
IMBALANCE = 0.25
"""Difference of utilization between two other regions that moves keys between them.

They differ for certain. Greater and smaller: as for MARGIN.
"""
SMOOTHING_S = 1.0
"""Time over which utilization is smoothed, in seconds.

Several reports. Greater: shares follow a change of load late. Smaller: they follow
single reports, forth and back.
"""
AGREEMENT_PER_S = 0.3
"""Part of the gap to the region's mean shares that is closed in a second.

Entries agree in seconds without a jump. Greater: each follows the means of others that
are 1 to 2 s old. Smaller: entries send a key to different regions for longer, which
runs cold in each.
"""
AGREEMENT_MOVE_PART = 0.5
"""Part of the bound on moves by which agreement may move a share besides.

With entry/bounds.py:SHIFT_FRACTION both together stay within 0.8 of the operator's cap.
Greater: nearer to it. Smaller: a gap between entries stays longer.
"""
LONGEST_STEP_S = 1.0
"""Most time that one update makes up for, in seconds.

Guards against a jump of the shares after a pause of the process.
"""
NO_SLOTS_UTILIZATION = 9.0
"""Utilization of a region that has no usable slots, or about which nothing is known:
above any other, so that such a region gives all keys away."""
LEAST_SHARE = 1e-9
"""A share up to this counts as none; keeps divisions by it finite."""


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
          move_per_s: most that a share moves in a second, agreement aside.
          tuning: from which utilization on keys move.
        """
        self._tuning = tuning
        self.own = own
        self.begun = False
        """Whether there was any load yet; before, shares follow the slots alone."""
        self._move_per_s = move_per_s
        self.shares = dict(first)
        self._utilizations: dict[str, float] = {}
        """Smoothed load over slots, by region."""
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
        utilizations: Mapping[str, float],
        peers: Iterable[Mapping[str, float]],
        now: float,
    ) -> None:
        """Move the shares.

        Args:
          utilizations: by region, load over slots of its usable targets.
          peers: the shares that other entries of the region use.
          now: monotonic time in seconds.
        """
        elapsed_s = min(now - self._at, LONGEST_STEP_S)
        self._at = now
        loaded = any(0 < p < NO_SLOTS_UTILIZATION for p in utilizations.values())
        self.begun = self.begun or loaded
        if not self.begun:
            return
        self._smooth(utilizations, elapsed_s)
        self._agree([p for p in peers if p], elapsed_s)
        found = self._wanted_move()
        if found is not None:
            source, sink = found
            self._move(source, sink, self._move_per_s * elapsed_s)

    def _smooth(self, utilizations: Mapping[str, float], elapsed_s: float) -> None:
        """Take the utilization of each region into its mean."""
        weight = min(1.0, elapsed_s / SMOOTHING_S)
        smoothed = {}
        for region, utilization in utilizations.items():
            before = self._utilizations.get(region, utilization)
            smoothed[region] = before + weight * (utilization - before)
        self._utilizations = smoothed

    def _agree(self, peers: list[Mapping[str, float]], elapsed_s: float) -> None:
        """Go a part of the way to the mean of the region's entries, bounded."""
        if not peers:
            return
        for region in self.shares:
            mean = sum(p.get(region, 0.0) for p in peers) / len(peers)
            gap = mean - self.shares[region]
            most = self._move_per_s * elapsed_s * AGREEMENT_MOVE_PART
            step = AGREEMENT_PER_S * elapsed_s * gap
            self.shares[region] += max(-most, min(most, step))
        total = sum(self.shares.values())
        self.shares = {r: v / total for r, v in self.shares.items()}

    def _wanted_move(self) -> tuple[str, str] | None:
        """Return from which region to which some keys should move, if any.

        From the own region to the least loaded one while it is above the high bound;
        from the most loaded one back to it while it is below the low one; between two
        others while these differ by far.
        """
        known = {r: self._utilization(r) for r in self.shares}
        own = known.get(self.own, NO_SLOTS_UTILIZATION)
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

    def _utilization(self, region: str) -> float:
        return self._utilizations.get(region, NO_SLOTS_UTILIZATION)

    def _move(self, source: str, sink: str, share: float) -> None:
        """Move a share of all keys, or what is left of the source's."""
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
