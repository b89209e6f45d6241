# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Weighted rendezvous hashing: orders targets by key, identically at every entry.

Owns a cache of the orders, which is cleared when a target changes. Relies on all
entries having the same target names and slots; if these differ, the order of targets
differs for some keys.
"""

import math

import xxhash

from leverdoor.model.resources import Target

__all__ = ["MIN_UNIT_HASH", "RendezvousRanking", "unit_hash"]

MAX_CACHED_KEYS = 4_096
"""Maximum cached keys of one ranking; 1 MB at 20 targets.

Exceeds the number of keys of a service that are in use at a time. A greater value uses
more memory. With a smaller one, the order is computed for each request.
"""
HASH_RANGE = float(1 << 64)
"""Number of hash values; divides a hash to map it to the unit interval."""
MIN_UNIT_HASH = 1e-18
"""Lower bound of a hash in the unit interval, which keeps its logarithm finite."""


def unit_hash(key: str, salt: str = "") -> float:
    """Hash a key to the unit interval, identically at every entry."""
    return xxhash.xxh3_64_intdigest(f"{salt}|{key}".encode()) / HASH_RANGE


class RendezvousRanking:
    """Ranks a set of targets for each key.

    The weight of a target is its number of slots: a target with twice as many slots is
    the first target of twice as many keys. Adding or removing a target changes the
    first target of few keys.
    """

    def __init__(self, targets: list[Target]) -> None:
        """Create a ranking of the given targets."""
        self._targets = targets
        self._cache: dict[str, list[Target]] = {}

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._targets)

    def order(self, key: str) -> list[Target]:
        """Return all targets for a key, the first target of the key first."""
        order = self._cache.get(key)
        if order is None:
            if len(self._cache) >= MAX_CACHED_KEYS:
                self._cache.clear()
            order = sorted(self._targets, key=lambda t: self._score(key, t))
            self._cache[key] = order
        return order

    @staticmethod
    def _score(key: str, target: Target) -> float:
        """Return the weighted rendezvous score; the lowest score ranks first."""
        value = max(unit_hash(key, target.name), MIN_UNIT_HASH)
        return -math.log(value) / target.slots

    def update(self, targets: list[Target]) -> bool:
        """Replace the target descriptions if names and slots are unchanged.

        Clears the cached orders, which hold the old descriptions, if any other field of
        a target changed.

        Returns: whether names and slots are unchanged; if not, nothing is replaced.
        """
        current = [(t.name, t.slots) for t in self._targets]
        if current != [(t.name, t.slots) for t in targets]:
            return False
        if any(t != u for t, u in zip(self._targets, targets, strict=True)):
            self._cache.clear()
        self._targets = targets
        return True
