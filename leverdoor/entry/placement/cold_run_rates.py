# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How likely a run is cold, as earlier run times show.

A target answers about three times sooner when it has lately seen a request's key. No
target says so, and one entry sees only a part of what a target gets. Run times fall
into two clusters, though (times.py), so each answer shows afterwards whether the run
was cold. From that an entry learns how often a target forgets keys that it was sent
before, and how often the first, second, ... target of a key is cold for an entry that
has not sent the key there itself.

Owns these shares of cold runs, by target and by rank; lost with the process and learned
again from the next ten runs of each.
"""

from leverdoor.model.resources import Target

__all__ = ["RANKS", "ColdRunRates"]

RANKS = 4
"""Ranks of targets for a key with a share each; further ones count as the last.

The two that may serve a key, one spare, and the last for overflow and warm-up.
"""
TARGET_RATE_WEIGHT = 0.1
"""Weight of one run in a target's share: about the last ten runs.

Greater: one cold run in two stops new keys. Smaller: a target that has started again,
or got more keys, is noticed late.
"""
RANK_RATE_WEIGHT = 0.1
"""Weight of one run in a rank's share: about the last ten runs."""
MAX_EVICTION_RATE = 0.3
"""Share of cold runs among known keys from which on a target is given no new ones.

It then gets more keys than it keeps. Between the share of a target that keeps
all (0) and one that gets twice as many as it keeps, in turn (near 1). Greater: such a
target goes on running cold. Smaller: a few late runs close a second target.
"""


class ColdRunRates:
    """Shares of cold runs, by target and by rank."""

    def __init__(self) -> None:
        """Create an empty book."""
        self._targets: dict[str, float] = {}
        self._ranks: dict[tuple[str, str], list[float]] = {}

    def keep_only(self, names: set[str]) -> None:
        """Forget the targets that are gone."""
        for name in self._targets.keys() - names:
            del self._targets[name]

    def eviction_rate(self, target: Target) -> float:
        """Return the share of cold runs among keys sent to a target before."""
        return self._targets.get(target.name, 0.0)

    def evicts_keys(self, target: Target) -> bool:
        """Return whether a target gets more keys than it keeps."""
        return self.eviction_rate(target) > MAX_EVICTION_RATE

    def cold_share(self, target: Target, rank: int, seen: bool) -> float:
        """Return how likely a run is cold.

        Args:
          target: where it would run.
          rank: place of the target in the order of its region for the key.
          seen: whether an entry had an answer for the key from there.
        """
        if seen:
            return self.eviction_rate(target)
        return self._of_ranks(target)[min(rank, RANKS - 1)]

    def learn(self, target: Target, rank: int, seen: bool, cold: bool) -> None:
        """Take a run whose time shows whether it was cold."""
        if seen:
            before = self.eviction_rate(target)
            self._targets[target.name] = before + TARGET_RATE_WEIGHT * (cold - before)
            return
        shares = self._of_ranks(target)
        place = min(rank, RANKS - 1)
        shares[place] += RANK_RATE_WEIGHT * (cold - shares[place])

    def _of_ranks(self, target: Target) -> list[float]:
        """Return the shares by rank of a target's service and region.

        All ranks but the first count as cold until runs show otherwise.
        """
        place = (target.service, target.region)
        found = self._ranks.get(place)
        if found is None:
            found = self._ranks[place] = [0.0] + [1.0] * (RANKS - 1)
        return found
