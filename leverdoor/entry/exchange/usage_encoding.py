# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Encoding of workspace usage as pairs of workspace index and request count.

The index refers to the sorted names of the workspaces that have a quota. Sender and
receiver need the same list of names, which is identified by its hash; usage for an
unknown list is discarded. If there are many workspaces, messages omit those with little
usage.

Owns the lists of recent configurations. They are lost with the process and rebuilt from
the next configuration.
"""

import struct
from collections import OrderedDict
from collections.abc import Mapping
from itertools import chain

import xxhash

__all__ = ["Usage", "UsageCodec", "sum_usage"]

Usage = dict[str, int]
"""Requests in the quota window, by workspace."""

HEADER = struct.Struct("<IB")
"""Hash of the list, and percentage of a quota up to which usage is omitted."""
PAIR = struct.Struct("<HH")
"""Index of a workspace, and its requests."""
MAX_UINT16 = 65_535
"""Largest encodable count, and number of workspaces with an index; the usage of any
others is not reported."""
MAX_UNFILTERED_PAIRS = 300
"""Number of pairs up to which none is omitted: 1.2 kB, which fit into one packet."""
MAX_PAIRS = 2_000
"""Maximum number of pairs in a message: 8 kB.

If there are more, those with the highest usage relative to their quota are sent. With a
smaller maximum, quotas that are nearly used up are omitted; with a greater one,
datagrams grow and are lost more often.
"""
MAX_LISTS = 4
"""Maximum number of retained lists of workspaces.

Older lists are needed to parse messages of entries with an earlier configuration. The
number covers a few successive changes. With fewer, usage is discarded while changes
propagate.
"""


class UsageCodec:
    """Serializes and parses usage by the list of workspaces with quotas."""

    def __init__(self) -> None:
        """Create the codec without any workspace."""
        self._planned: Mapping[str, float] = {}
        self._hash = 0
        self._indexes: dict[str, int] = {}
        self._recent: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    def renew(self, planned: Mapping[str, float]) -> None:
        """Replace the workspaces with quotas by those of a new configuration.

        Args:
          planned: by workspace, requests of a window up to which all entries together
            admit.
        """
        names = tuple(sorted(planned))
        self._planned = planned
        self._hash = xxhash.xxh32_intdigest("\n".join(names).encode())
        self._indexes = {name: i for i, name in enumerate(names[:MAX_UINT16])}
        self._recent[self._hash] = names
        self._recent.move_to_end(self._hash)
        while len(self._recent) > MAX_LISTS:
            self._recent.popitem(last=False)

    def serialize(self, usage: Mapping[str, int], omission_percent: int = 0) -> bytes:
        """Serialize the usage of workspaces.

        Args:
          usage: requests by workspace.
          omission_percent: percentage of a quota up to which usage is omitted if there
            are many workspaces.
        """
        if not self._indexes:
            return b""
        if len(usage) <= MAX_UNFILTERED_PAIRS:
            omission_percent = 0
        omission_fraction = omission_percent / 100
        pairs = [
            (self._indexes[name], min(count, MAX_UINT16))
            for name, count in usage.items()
            if name in self._indexes and count > omission_fraction * self._planned[name]
        ]
        if len(pairs) > MAX_PAIRS:
            pairs = self._most_used(pairs)
        data = b"".join(PAIR.pack(index, count) for index, count in pairs)
        return HEADER.pack(self._hash, omission_percent) + data

    def _most_used(self, pairs: list[tuple[int, int]]) -> list[tuple[int, int]]:
        """Return the pairs with the highest usage relative to their quotas."""
        names = self._recent[self._hash]
        pairs.sort(key=lambda pair: -pair[1] / self._planned[names[pair[0]]])
        return pairs[:MAX_PAIRS]

    def parse_omission_fraction(self, data: bytes) -> float:
        """Return the fraction of a quota up to which a message omits usage."""
        if len(data) < HEADER.size:
            return 0.0
        _, omission_percent = HEADER.unpack_from(data)
        return float(omission_percent) / 100

    def parse(self, data: bytes) -> Usage | None:
        """Parse the usage of workspaces; None if the list of workspaces is unknown."""
        if len(data) < HEADER.size:
            return {}
        list_hash, _ = HEADER.unpack_from(data)
        names = self._recent.get(list_hash)
        if names is None:
            return None
        payload = data[HEADER.size :]
        complete_length = len(payload) - len(payload) % PAIR.size
        pairs = PAIR.iter_unpack(payload[:complete_length])
        return {names[index]: count for index, count in pairs if index < len(names)}


def sum_usage(*usages: Mapping[str, int]) -> Usage:
    """Return the sums of several usages by workspace."""
    total: Usage = {}
    for name, count in chain.from_iterable(usage.items() for usage in usages):
        total[name] = total.get(name, 0) + count
    return total
