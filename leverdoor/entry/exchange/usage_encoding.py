# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Usage of workspaces in messages: pairs of place and count, as far as they matter.

A place is the index in the sorted names of the workspaces that have a quota. Both
sides need the same list of names, which a hash of it shows; usage by a list that is not
known is dropped.

Owns the lists of the newest configurations, lost with the process and made again from
the next one.
"""

import struct
from collections import OrderedDict
from collections.abc import Mapping
from itertools import chain

import xxhash

__all__ = ["Usage", "UsageCodec", "sum_usage"]

Usage = dict[str, int]
"""Requests in the window of quotas, by workspace."""

HEADER = struct.Struct("<IB")
"""Hash of the list; percentage of a quota below which its usage is left out."""
PAIR = struct.Struct("<HH")
"""Place of a workspace, and its requests."""
MAX_COUNT = 65_535
"""Greatest count, and greatest place, that a pair holds."""
MAX_UNFILTERED_PAIRS = 300
"""Pairs up to which none is left out: 1.2 kB, which fit one packet."""
MAX_PAIRS = 2_000
"""Pairs of a message at most: those with the greatest part of their quota.

8 kB. Fewer, and quotas that are nearly used up are left out; more, and large datagrams
are lost more often.
"""
MAX_LISTS = 4
"""Lists kept for messages of entries that have not yet, or already, taken a change.

A few changes in a row. Fewer, and usage is dropped while changes spread.
"""


class UsageCodec:
    """The names of the workspaces with quotas, in the order of their places."""

    def __init__(self) -> None:
        """Create it without any workspace."""
        self._planned: Mapping[str, float] = {}
        self._hash = 0
        self._indexes: dict[str, int] = {}
        self._recent: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    def renew(self, planned: Mapping[str, float]) -> None:
        """Take the workspaces with quotas of a new configuration.

        Args:
          planned: for each, the planned requests of a window.
        """
        names = tuple(sorted(planned))
        self._planned = planned
        self._hash = xxhash.xxh32_intdigest("\n".join(names).encode())
        self._indexes = {name: i for i, name in enumerate(names[:MAX_COUNT])}
        self._recent[self._hash] = names
        self._recent.move_to_end(self._hash)
        while len(self._recent) > MAX_LISTS:
            self._recent.popitem(last=False)

    def serialize(self, usage: Mapping[str, int], min_percent: int = 0) -> bytes:
        """Serialize the usage of workspaces.

        Args:
          usage: requests by workspace.
          min_percent: of a quota, below which its usage is left out if there are
            many workspaces.
        """
        if not self._indexes:
            return b""
        if len(usage) <= MAX_UNFILTERED_PAIRS:
            min_percent = 0
        min_fraction = min_percent / 100
        pairs = [
            (self._indexes[name], min(count, MAX_COUNT))
            for name, count in usage.items()
            if name in self._indexes and count > min_fraction * self._planned[name]
        ]
        if len(pairs) > MAX_PAIRS:
            pairs = self._most_used(pairs)
        data = b"".join(PAIR.pack(index, count) for index, count in pairs)
        return HEADER.pack(self._hash, min_percent) + data

    def _most_used(self, pairs: list[tuple[int, int]]) -> list[tuple[int, int]]:
        """Return the pairs with the greatest parts of their quotas."""
        names = self._recent[self._hash]
        pairs.sort(key=lambda pair: -pair[1] / self._planned[names[pair[0]]])
        return pairs[:MAX_PAIRS]

    def omission_threshold(self, data: bytes) -> float:
        """Return the part of a quota below which a message leaves out its usage."""
        if len(data) < HEADER.size:
            return 0.0
        _, min_percent = HEADER.unpack_from(data)
        return float(min_percent) / 100

    def parse(self, data: bytes) -> Usage | None:
        """Parse the usage of workspaces; None if it refers to an unknown list."""
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
    """Return the sums of several uses."""
    total: Usage = {}
    for name, count in chain.from_iterable(usage.items() for usage in usages):
        total[name] = total.get(name, 0) + count
    return total
