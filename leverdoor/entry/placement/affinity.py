# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which targets a thing belongs to: rendezvous hashing, alike at every entry."""

import math

import xxhash

from leverdoor.model.resources import Target

__all__ = ["Ranking", "key_place"]

CACHED_KEYS = 4_096
"""Keys whose order is kept for each place; 1 MB at 20 targets. Chosen."""
PLACES = float(1 << 64)


def key_place(key: str, salt: str = "") -> float:
    """Return where a key lies on the unit interval, alike at every entry."""
    return xxhash.xxh3_64_intdigest(f"{salt}|{key}".encode()) / PLACES


class Ranking:
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
            if len(self._cache) >= CACHED_KEYS:
                self._cache.clear()
            found = sorted(self._targets, key=lambda t: self._score(key, t))
            self._cache[key] = found
        return found

    @staticmethod
    def _score(key: str, target: Target) -> float:
        """Return the weighted rendezvous score, smallest first."""
        place = max(key_place(key, target.name), 1e-18)
        return -math.log(place) / target.slots

    def same(self, targets: list[Target]) -> bool:
        """Return whether a list holds the same targets with the same weights."""
        mine = [(t.name, t.slots) for t in self._targets]
        if mine != [(t.name, t.slots) for t in targets]:
            return False
        if any(t != u for t, u in zip(self._targets, targets, strict=True)):
            self._cache.clear()
        self._targets = targets
        return True
