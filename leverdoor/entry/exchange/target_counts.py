# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Counts of requests at targets as one byte each, in the order of the targets' names.

A digest of hundreds of targets so fits one packet. Both sides need the same list of
names, which a hash of it shows; counts of a list that is not known are dropped.

Owns the lists of the newest configurations, lost with the process and made again from
the next one.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import xxhash

from leverdoor.entry.exchange.messages import RegionCounts

__all__ = ["TargetCountCodec"]

MAX_COUNT = 255
"""Greatest count of requests at a target that a byte holds."""
MAX_LISTS = 8
"""Lists of a region's targets that are kept.

For messages of entries that have not yet, or already, taken a change: about one
change each 0.1 s for 0.8 s. With fewer, counts are dropped while changes spread.
"""


class TargetCountCodec:
    """The names of each region's targets, in the order of their counts."""

    def __init__(self) -> None:
        """Create it without any target."""
        self._current: dict[str, tuple[int, tuple[str, ...]]] = {}
        self._recent: OrderedDict[tuple[str, int], tuple[str, ...]] = OrderedDict()

    def renew(self, names: Mapping[str, Iterable[str]]) -> None:
        """Take the targets' names of a new configuration, by region."""
        self._current = {}
        for region, region_names in names.items():
            ordered = tuple(sorted(region_names))
            list_hash = xxhash.xxh32_intdigest("\n".join(ordered).encode())
            self._current[region] = (list_hash, ordered)
            self._recent[(region, list_hash)] = ordered
            self._recent.move_to_end((region, list_hash))
        while len(self._recent) > MAX_LISTS * max(len(names), 1):
            self._recent.popitem(last=False)

    def regions(self) -> list[str]:
        """Return the regions that have targets, by name."""
        return sorted(self._current)

    def serialize(self, region: str, counts: Mapping[str, int]) -> RegionCounts:
        """Serialize the counts at a region's targets."""
        list_hash, names = self._current[region]
        region_counts = [counts.get(name, 0) for name in names]
        if (
            region_counts
            and not 0 <= min(region_counts) <= max(region_counts) <= MAX_COUNT
        ):
            region_counts = [min(max(count, 0), MAX_COUNT) for count in region_counts]
        return RegionCounts(region, list_hash, bytes(region_counts))

    def parse(self, loads: RegionCounts) -> dict[str, int] | None:
        """Return counts by target, zeros left out; None if their list is not known."""
        names = self._recent.get((loads.region, loads.hash))
        if names is None or len(names) != len(loads.counts):
            return None
        return {n: c for n, c in zip(names, loads.counts, strict=True) if c}
