# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The order of targets for a key: weighted rendezvous hashing, alike at every entry.

Owns a cache of orders, dropped when the targets change. Relies on all entries having
the same names and slots of targets; where these differ, so does the order for a part of
the keys.
"""

import math

import xxhash

from leverdoor.model.resources import Target

__all__ = ["MIN_UNIT_HASH", "RendezvousRanking", "unit_hash"]

MAX_CACHED_KEYS = 4_096
"""Keys whose order is kept for each service and region; 1 MB at 20 targets.

More than the keys of a service that are in use at a time. Greater: more memory.
Smaller: the order is computed anew for each request.
"""
HASH_RANGE = float(1 << 64)
"""Count of the hash values, which are mapped to the unit interval."""
MIN_UNIT_HASH = 1e-18
"""Least place on the unit interval, so that logarithms stay finite."""


def unit_hash(key: str, salt: str = "") -> float:
    """Return where a key lies on the unit interval, alike at every entry."""
    return xxhash.xxh3_64_intdigest(f"{salt}|{key}".encode()) / HASH_RANGE


class RendezvousRanking:
    """The order of some targets for each key; it moves little as they change.

    The weight of a target is its slots: a target with twice as many is first
    for twice as many keys.
    """

    def __init__(self, targets: list[Target]) -> None:
        """Create it for a list of targets."""
        self._targets = targets
        self._cache: dict[str, list[Target]] = {}

    def __len__(self) -> int:
        """Count the targets."""
        return len(self._targets)

    def order(self, key: str) -> list[Target]:
        """Return the targets, the one that a key belongs to first."""
        found = self._cache.get(key)
        if found is None:
            if len(self._cache) >= MAX_CACHED_KEYS:
                self._cache.clear()
            found = sorted(self._targets, key=lambda t: self._score(key, t))
            self._cache[key] = found
        return found

    @staticmethod
    def _score(key: str, target: Target) -> float:
        """Return the weighted rendezvous score, smallest first."""
        place = max(unit_hash(key, target.name), MIN_UNIT_HASH)
        return -math.log(place) / target.slots

    def renew(self, targets: list[Target]) -> bool:
        """Return whether a list holds the same targets with the same weights.

        If so, its descriptions are taken, and the orders are kept where these are
        the same too.
        """
        mine = [(t.name, t.slots) for t in self._targets]
        if mine != [(t.name, t.slots) for t in targets]:
            return False
        if any(t != u for t, u in zip(self._targets, targets, strict=True)):
            self._cache.clear()
        self._targets = targets
        return True
