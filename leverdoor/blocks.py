# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The map from client networks to home regions, as flat sorted arrays."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable
from typing import TypeAlias

from leverdoor.resources import Block, ClientBlocks

__all__ = ["BlockMap"]

NO_REGION = 0

_Ranges: TypeAlias = "tuple[array[int], array[int]]"


class BlockMap:
    """Longest-prefix match by binary search over disjoint ranges.

    Nested networks are flattened once, when the map is built, into ranges
    that each have one answer; a look-up is then one bisection. IPv4 and IPv6
    have a table each; a v6 range is told by the upper 64 bits of its address.
    """

    def __init__(self, resources: Iterable[ClientBlocks] = ()) -> None:
        """Build the map from its chunks."""
        self.regions: list[str] = [""]
        self._numbers: dict[str, int] = {"": NO_REGION}
        networks: dict[int, list[tuple[int, int, int]]] = {4: [], 6: []}
        for resource in resources:
            for block in resource.blocks:
                version, entry = self._entry(block)
                networks[version].append(entry)
        self._tables = {v: _flatten(n) for v, n in networks.items()}

    def _entry(self, block: Block) -> tuple[int, tuple[int, int, int]]:
        network = ipaddress.ip_network(block.prefix)
        number = self._numbers.setdefault(block.region, len(self.regions))
        if number == len(self.regions):
            self.regions.append(block.region)
        first = int(network.network_address)
        last = int(network.broadcast_address)
        if network.version == 6:
            first, last = first >> 64, last >> 64
        return network.version, (first, last, number)

    def __len__(self) -> int:
        """Count the ranges."""
        return sum(len(starts) for starts, _ in self._tables.values())

    def region(self, address: str) -> str:
        """Return the home region of a client, or "" when none is known."""
        try:
            ip = ipaddress.ip_address(address)
        except ValueError:
            return ""
        value = int(ip) if ip.version == 4 else int(ip) >> 64
        starts, numbers = self._tables[ip.version]
        at = bisect_right(starts, value) - 1
        return self.regions[numbers[at]] if at >= 0 else ""


def _flatten(networks: list[tuple[int, int, int]]) -> "_Ranges":
    """Cut nested networks into disjoint ranges; the longest prefix wins."""
    starts = array("Q")
    numbers = array("H")
    enclosing: list[tuple[int, int]] = []

    def emit(start: int, number: int) -> None:
        if starts and starts[-1] == start:
            numbers[-1] = number
        elif not numbers or numbers[-1] != number:
            starts.append(start)
            numbers.append(number)

    def close(before: int) -> None:
        while enclosing and enclosing[-1][0] < before:
            last, _ = enclosing.pop()
            emit(last + 1, enclosing[-1][1] if enclosing else NO_REGION)

    for first, last, number in sorted(networks, key=lambda n: (n[0], -n[1])):
        close(first)
        emit(first, number)
        enclosing.append((last, number))
    close(1 << 65)
    return starts, numbers
