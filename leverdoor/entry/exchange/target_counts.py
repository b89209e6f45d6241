# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Encoding of request counts as one byte per target, ordered by target name.

A digest of hundreds of targets thereby fits into one packet. Sender and receiver need
the same list of names, which is identified by its hash; counts for an unknown list are
discarded.

Owns the lists of recent configurations. They are lost with the process and rebuilt from
the next configuration.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import xxhash

from leverdoor.entry.exchange.messages import RegionCounts

__all__ = ["TargetCountCodec"]

MAX_COUNT = 255
"""Largest encodable count of requests at a target."""
MAX_LISTS = 8
"""Maximum number of retained target lists, as an average per region.

Older lists are needed to parse messages of entries with an earlier configuration. The
number covers about one change each 0.1 s for 0.8 s. With fewer, counts are discarded
while changes propagate.
"""


class TargetCountCodec:
    """Serializes and parses counts by the target list of each region."""

    def __init__(self) -> None:
        """Create the codec without any target."""
        self._current_lists: dict[str, tuple[int, tuple[str, ...]]] = {}
        self._recent_lists: OrderedDict[tuple[str, int], tuple[str, ...]] = (
            OrderedDict()
        )

    def renew(self, names: Mapping[str, Iterable[str]]) -> None:
        """Replace the current target lists by those of a new configuration.

        Args:
          names: names of the targets by region.
        """
        self._current_lists = {}
        for region, region_names in names.items():
            ordered = tuple(sorted(region_names))
            list_hash = xxhash.xxh32_intdigest("\n".join(ordered).encode())
            self._current_lists[region] = (list_hash, ordered)
            self._recent_lists[(region, list_hash)] = ordered
            self._recent_lists.move_to_end((region, list_hash))
        while len(self._recent_lists) > MAX_LISTS * max(len(names), 1):
            self._recent_lists.popitem(last=False)

    def regions(self) -> list[str]:
        """Return the sorted names of the regions that have targets."""
        return sorted(self._current_lists)

    def serialize(self, region: str, counts: Mapping[str, int]) -> RegionCounts:
        """Serialize the counts at a region's targets."""
        list_hash, names = self._current_lists[region]
        region_counts = [counts.get(name, 0) for name in names]
        if (
            region_counts
            and not 0 <= min(region_counts) <= max(region_counts) <= MAX_COUNT
        ):
            region_counts = [min(max(count, 0), MAX_COUNT) for count in region_counts]
        return RegionCounts(region, list_hash, bytes(region_counts))

    def parse(self, loads: RegionCounts) -> dict[str, int] | None:
        """Return the nonzero counts by target; None if their target list is unknown."""
        names = self._recent_lists.get((loads.region, loads.hash))
        if names is None or len(names) != len(loads.counts):
            return None
        return {n: c for n, c in zip(names, loads.counts, strict=True) if c}
