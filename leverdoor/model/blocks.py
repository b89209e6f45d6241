# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The map from client networks to home regions, as flat sorted arrays.

Arrays of 64-bit bounds, since 220,000 networks must fit beside all else into the 64 MB
of a node (docs/CAPACITY.md). Immutable once compiled; a changed resource recompiles
only its own chunk.
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
"""Number of the region of addresses that no block covers."""
HALF_BITS = 64
"""Bits of each half of an IPv6 address in the arrays."""

_Range: TypeAlias = tuple[int, int, int]


class CompiledBlocks(msgspec.Struct):
    """One resource's networks, compiled: bounds and region of each, by version."""

    regions: list[str]
    ranges: dict[int, list["array[int]"]]


class _Part(msgspec.Struct):
    """Disjoint ranges between two addresses, in the order of their starts."""

    first: int
    last: int
    starts: "array[int]"
    numbers: "array[int]"
    regions: list[str]

    def region(self, value: int) -> str:
        at = bisect_right(self.starts, value) - 1
        return self.regions[self.numbers[at]] if at >= 0 else ""


def compile_blocks(resource: ClientBlocks) -> CompiledBlocks:
    """Compile the networks of one resource."""
    regions = ["", *sorted(resource.networks)]
    ranges = {v: [array("Q"), array("Q"), array("H")] for v in (4, 6)}
    for number, region in enumerate(regions[1:], 1):
        for network in resource.networks[region]:
            version, first, last = _bounds(network)
            firsts, lasts, numbers = ranges[version]
            firsts.append(first)
            lasts.append(last)
            numbers.append(number)
    return CompiledBlocks(regions, ranges)


def without_networks(resource: ClientBlocks) -> ClientBlocks:
    """Return a resource without its networks, to check references by."""
    return ClientBlocks(
        name=resource.name, networks={region: [] for region in resource.networks}
    )


class ClientRegionMap:
    """Longest-prefix match by binary search.

    Each chunk is flattened by itself into disjoint ranges that have one answer
    each; a look-up bisects the chunks and then one chunk. Only chunks that
    overlap are flattened together. A v6 address is looked up by its
    upper 64 bits.
    """

    def __init__(
        self,
        chunks: Mapping[str, CompiledBlocks],
        before: "ClientRegionMap | None" = None,
    ) -> None:
        """Build the map.

        Args:
          chunks: compiled chunks by resource name.
          before: an earlier map, whose parts for unchanged chunks are reused.
        """
        self._known: dict[tuple[int, tuple[int, ...]], _Part] = {}
        known = before._known if before is not None else {}
        self._parts: dict[int, list[_Part]] = {}
        self._firsts: dict[int, list[int]] = {}
        for version in (4, 6):
            parts = []
            for group in _groups(chunks.values(), version):
                key = (version, tuple(id(c) for c in group))
                part = known.get(key) or _flatten(group, version)
                self._known[key] = part
                parts.append(part)
            self._parts[version] = parts
            self._firsts[version] = [p.first for p in parts]
        self._chunks = list(chunks.values())

    def region(self, address: str) -> str:
        """Return the home region of a client, or "" when none is known."""
        try:
            version = 6 if ":" in address else 4
            value = _number(address, version)
        except (OSError, ValueError):
            return ""
        at = bisect_right(self._firsts[version], value) - 1
        if at < 0:
            return ""
        part = self._parts[version][at]
        return part.region(value) if value <= part.last else ""


def _number(address: str, version: int) -> int:
    if version == 4:
        return int.from_bytes(socket.inet_pton(socket.AF_INET, address))
    packed = socket.inet_pton(socket.AF_INET6, address.split("%")[0])
    return int.from_bytes(packed[:8])


def _bounds(prefix: str) -> tuple[int, int, int]:
    """Return version, first and last address of a network."""
    network = ipaddress.ip_network(prefix)
    first = int(network.network_address)
    last = int(network.broadcast_address)
    if network.version == 6:
        return 6, first >> HALF_BITS, last >> HALF_BITS
    return 4, first, last


def _groups(
    chunks: Iterable[CompiledBlocks], version: int
) -> list[list[CompiledBlocks]]:
    """Put chunks together that overlap, in the order of their addresses."""
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


def _flatten(group: list[CompiledBlocks], version: int) -> _Part:
    """Cut nested networks into disjoint ranges; the longest prefix wins."""
    regions = ["", *sorted({r for c in group for r in c.regions if r})]
    numbers = {name: i for i, name in enumerate(regions)}
    networks: list[_Range] = []
    for chunk in group:
        firsts, lasts, which = chunk.ranges[version]
        mapped = [numbers[name] for name in chunk.regions]
        networks += [
            (f, e, mapped[w]) for f, e, w in zip(firsts, lasts, which, strict=True)
        ]
    networks.sort(key=lambda n: (n[0], -n[1]))
    starts, found = _cut(networks)
    last = max(n[1] for n in networks)
    return _Part(networks[0][0], last, starts, found, regions)


def _cut(networks: list[_Range]) -> "tuple[array[int], array[int]]":
    """Turn sorted networks into the starts of ranges and their regions."""
    starts, found = array("Q"), array("H")
    enclosing: list[tuple[int, int]] = []

    def emit(start: int, number: int) -> None:
        if starts and starts[-1] == start:
            found[-1] = number
        elif not found or found[-1] != number:
            starts.append(start)
            found.append(number)

    def close(before: int) -> None:
        while enclosing and enclosing[-1][0] < before:
            last, _ = enclosing.pop()
            if last + 1 < 1 << HALF_BITS:
                emit(last + 1, enclosing[-1][1] if enclosing else NO_REGION)

    for first, last, number in networks:
        close(first)
        emit(first, number)
        enclosing.append((last, number))
    close(1 << 65)
    return starts, found
