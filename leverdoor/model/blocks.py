# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The map from client networks to home regions, as flat sorted arrays.

The arrays hold 64-bit bounds because 220,000 networks must fit, together with all other
data, into the 64 MB of a node (docs/CAPACITY.md). A compiled map is immutable. When a
resource changes, only its networks are recompiled. The state is held in memory and is
lost with the process; the map is rebuilt from the stored resources.
"""

import ipaddress
import socket
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Mapping
from typing import TypeAlias

import msgspec

from leverdoor.model.resources import ClientBlocks

__all__ = ["ClientRegionMap", "CompiledBlocks", "compile_blocks", "without_networks"]

NO_REGION = 0
"""Region number of addresses that no network covers."""
ADDRESS_BITS = 64
"""Bits of a bound in the arrays; of an IPv6 address only the upper half is stored."""

_NetworkRange: TypeAlias = tuple[int, int, int]
"""First address, last address and region number of a network."""


class CompiledBlocks(msgspec.Struct):
    """The compiled networks of one resource.

    `ranges` maps the IP version to parallel arrays of first addresses, last addresses
    and region numbers, which are indexes into `regions`; `NO_REGION` has an empty name.
    """

    regions: list[str]
    ranges: dict[int, list["array[int]"]]


class _DisjointRanges(msgspec.Struct):
    """Disjoint address ranges from `first` to `last`, sorted by start address.

    A range ends before the next start. `region_numbers` are indexes into `regions`.
    """

    first: int
    last: int
    starts: "array[int]"
    region_numbers: "array[int]"
    regions: list[str]

    def region(self, value: int) -> str:
        at = bisect_right(self.starts, value) - 1
        return self.regions[self.region_numbers[at]] if at >= 0 else ""


def compile_blocks(resource: ClientBlocks) -> CompiledBlocks:
    """Compile the networks of one resource.

    Raises:
      ValueError: a network is not in CIDR notation.
    """
    regions = ["", *sorted(resource.networks)]
    ranges = {v: [array("Q"), array("Q"), array("H")] for v in (4, 6)}
    for number, region in enumerate(regions[1:], 1):
        for network in resource.networks[region]:
            version, first, last = _network_bounds(network)
            firsts, lasts, region_numbers = ranges[version]
            firsts.append(first)
            lasts.append(last)
            region_numbers.append(number)
    return CompiledBlocks(regions, ranges)


def without_networks(resource: ClientBlocks) -> ClientBlocks:
    """Return a copy that names the same regions but has no networks.

    The copy is sufficient for checking references to regions.
    """
    return ClientBlocks(
        name=resource.name, networks={region: [] for region in resource.networks}
    )


class ClientRegionMap:
    """Longest-prefix match by binary search.

    The networks of each resource are flattened into disjoint ranges with one region
    each. Resources whose address spans overlap are flattened together. A look-up
    bisects the groups and then the ranges of one group. An IPv6 address is looked up by
    its upper 64 bits, so a network longer than /64 applies to its whole /64.
    """

    def __init__(
        self,
        chunks: Mapping[str, CompiledBlocks],
        previous: "ClientRegionMap | None" = None,
    ) -> None:
        """Build the map.

        Args:
          chunks: compiled networks by resource name.
          previous: an earlier map; the ranges of unchanged resources are reused.
        """
        self._ranges_by_group: dict[tuple[int, tuple[int, ...]], _DisjointRanges] = {}
        reusable = previous._ranges_by_group if previous is not None else {}
        self._parts: dict[int, list[_DisjointRanges]] = {}
        self._firsts: dict[int, list[int]] = {}
        for version in (4, 6):
            parts = []
            for group in _group_overlapping(chunks.values(), version):
                key = (version, tuple(id(c) for c in group))
                part = reusable.get(key) or _flatten(group, version)
                self._ranges_by_group[key] = part
                parts.append(part)
            self._parts[version] = parts
            self._firsts[version] = [p.first for p in parts]
        # Keeps the objects alive, so that the ids in `_ranges_by_group` stay unique.
        self._chunks = list(chunks.values())

    def region(self, address: str) -> str:
        """Return the home region of a client address, or "" if it has none.

        Text that is not an IP address has no home region.
        """
        try:
            version = 6 if ":" in address else 4
            value = _parse_address(address, version)
        except (OSError, ValueError):
            return ""
        at = bisect_right(self._firsts[version], value) - 1
        if at < 0:
            return ""
        part = self._parts[version][at]
        return part.region(value) if value <= part.last else ""


def _parse_address(address: str, version: int) -> int:
    if version == 4:
        return int.from_bytes(socket.inet_pton(socket.AF_INET, address))
    packed = socket.inet_pton(socket.AF_INET6, address.split("%")[0])
    return int.from_bytes(packed[:8])


def _network_bounds(prefix: str) -> tuple[int, int, int]:
    """Return the IP version and the first and last address of a network.

    Of IPv6 addresses only the upper 64 bits are returned.
    """
    network = ipaddress.ip_network(prefix)
    first = int(network.network_address)
    last = int(network.broadcast_address)
    if network.version == 6:
        return 6, first >> ADDRESS_BITS, last >> ADDRESS_BITS
    return 4, first, last


def _group_overlapping(
    chunks: Iterable[CompiledBlocks], version: int
) -> list[list[CompiledBlocks]]:
    """Group resources whose address spans overlap, sorted by address."""
    spans = sorted(
        (
            (min(c.ranges[version][0]), max(c.ranges[version][1]), c)
            for c in chunks
            if c.ranges[version][0]
        ),
        key=lambda s: (s[0], s[1]),
    )
    groups: list[list[CompiledBlocks]] = []
    end = -1
    for first, last, chunk in spans:
        if first > end:
            groups.append([])
        groups[-1].append(chunk)
        end = max(end, last)
    return groups


def _flatten(group: list[CompiledBlocks], version: int) -> _DisjointRanges:
    """Flatten nested networks into disjoint ranges; the longest prefix wins."""
    regions = ["", *sorted({r for c in group for r in c.regions if r})]
    region_numbers = {name: i for i, name in enumerate(regions)}
    networks: list[_NetworkRange] = []
    for chunk in group:
        firsts, lasts, chunk_numbers = chunk.ranges[version]
        mapped = [region_numbers[name] for name in chunk.regions]
        networks += [
            (f, e, mapped[w])
            for f, e, w in zip(firsts, lasts, chunk_numbers, strict=True)
        ]
    networks.sort(key=lambda n: (n[0], -n[1]))
    starts, found = _split_disjoint(networks)
    last = max(n[1] for n in networks)
    return _DisjointRanges(networks[0][0], last, starts, found, regions)


def _split_disjoint(networks: list[_NetworkRange]) -> "tuple[array[int], array[int]]":
    """Convert sorted networks to range starts and the region number of each range."""
    starts, found = array("Q"), array("H")
    enclosing: list[tuple[int, int]] = []

    def emit(start: int, number: int) -> None:
        if starts and starts[-1] == start:
            found[-1] = number
        elif not found or found[-1] != number:
            starts.append(start)
            found.append(number)

    def close(next_start: int) -> None:
        while enclosing and enclosing[-1][0] < next_start:
            last, _ = enclosing.pop()
            if last + 1 < 1 << ADDRESS_BITS:
                emit(last + 1, enclosing[-1][1] if enclosing else NO_REGION)

    for first, last, number in networks:
        close(first)
        emit(first, number)
        enclosing.append((last, number))
    close(1 << 65)  # Greater than every address.
    return starts, found
