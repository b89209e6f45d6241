# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Estimates the probability of a cold run from earlier run times.

A run is warm if the target has the request's key in its cache, and then takes about a
third of the time of a cold run. Targets do not report which it was, and one entry sees
only part of a target's requests. The run time indicates it afterwards (run_times.py).
From this, an entry learns how often a target evicts keys that it was sent before, and
how often a run at the first, second, ... target of a key is cold if the entry has not
yet sent the key there.

Owns these rates by target and by rank. They are lost with the process and learned again
from the next ten runs of each target and rank.
"""

from leverdoor.model.resources import Target

__all__ = ["RANKS", "ColdRunRates"]

RANKS = 4
"""Number of ranks with a rate of their own; further ranks use the last rate.

Covers the two targets that may serve a key, one spare, and the last rank for overflow
and warm-up.
"""
TARGET_RATE_WEIGHT = 0.1
"""Weight of one run in a target's rate, which covers about the last ten runs.

With a greater weight, a target receives no new keys if every second run is cold. With a
smaller one, a target that restarted or received more keys is detected late.
"""
RANK_RATE_WEIGHT = 0.1
"""Weight of one run in a rank's rate, which covers about the last ten runs."""
MAX_EVICTION_RATE = 0.3
"""Rate of cold runs among known keys above which a target gets no new keys.

Such a target receives more keys than its cache holds. The threshold lies between the
rate of a target that keeps all keys (0) and of one that cyclically receives twice as
many keys as it holds (near 1). With a greater value, an overfilled target continues to
run keys cold. With a smaller one, a few delayed runs exclude a second target.
"""


class ColdRunRates:
    """Rates of cold runs, by target and by rank."""

    def __init__(self) -> None:
        """Create it without rates."""
        self._by_target: dict[str, float] = {}
        self._by_service_and_region: dict[tuple[str, str], list[float]] = {}
        """Rates by rank, for each service and region."""

    def keep_only(self, names: set[str]) -> None:
        """Remove the rates of all other targets; rates by rank remain."""
        for name in self._by_target.keys() - names:
            del self._by_target[name]

    def eviction_rate(self, target: Target) -> float:
        """Return the rate of cold runs among keys that the target has answered."""
        return self._by_target.get(target.name, 0.0)

    def evicts_keys(self, target: Target) -> bool:
        """Return whether a target receives more keys than its cache holds."""
        return self.eviction_rate(target) > MAX_EVICTION_RATE

    def cold_run_probability(self, target: Target, rank: int, seen: bool) -> float:
        """Return the probability that a run is cold.

        Args:
          target: the target that would run the request.
          rank: index of the target among the usable, untried candidates of the key.
          seen: whether any entry received an answer for the key from the target.
        """
        if seen:
            return self.eviction_rate(target)
        return self._rates_by_rank(target)[min(rank, RANKS - 1)]

    def record(self, target: Target, rank: int, seen: bool, cold: bool) -> None:
        """Record whether a run was cold; arguments as for `cold_run_probability`."""
        if seen:
            rate = self.eviction_rate(target)
            self._by_target[target.name] = rate + TARGET_RATE_WEIGHT * (cold - rate)
            return
        rates = self._rates_by_rank(target)
        index = min(rank, RANKS - 1)
        rates[index] += RANK_RATE_WEIGHT * (cold - rates[index])

    def _rates_by_rank(self, target: Target) -> list[float]:
        """Return the rates by rank for a target's service and region.

        Initially, the rate is 0 for the first rank and 1 for all others.
        """
        group = (target.service, target.region)
        rates = self._by_service_and_region.get(group)
        if rates is None:
            rates = self._by_service_and_region[group] = [0.0] + [1.0] * (RANKS - 1)
        return rates
