# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Descriptions and states of entries, and the order in which they take roles.

Owns no state. The order and the hashes are identical on every entry, so that each entry
computes the same roles without coordination.
"""

from typing import TypeAlias

import msgspec
import xxhash

from leverdoor.settings import Address

__all__ = [
    "LEAVING",
    "SERVING",
    "STARTING",
    "EntryState",
    "Member",
    "DigestRow",
    "link_sort_key",
    "member_id",
    "relay_address",
]

EntryState: TypeAlias = int

STARTING = 0
"""State of an entry that has no configuration yet."""
SERVING = 1
"""State of an entry that look-ups may return to clients."""
LEAVING = 2
"""State of an entry that completes its remaining requests before it exits."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Description of an entry, which it publishes in the store and in heartbeats."""

    name: str
    region: str
    domain: str
    front: str
    """Address for client requests, as `ip:port`."""
    gossip: str
    """UDP address for heartbeats, as `ip:port`."""
    pull: str
    """HTTP address from which other entries fetch the state, as `ip:port`."""
    incarnation: int
    """Start time of its process, in microseconds since the epoch."""
    link_mbps: int = 0
    """Bandwidth of the link of its VM, in Mbit/s; 0 if unknown."""


class DigestRow(msgspec.Struct, frozen=True, array_like=True):
    """Incarnation and state of an entry, as encoded in digests."""

    id: int
    """Hash of the name of the entry; see `member_id`."""
    incarnation: int
    state: EntryState


def relay_address(pull: Address) -> Address:
    """Return the address at which an entry accepts streams to targets.

    It is derived, so that the description of an entry stays as earlier releases know
    it, and the next release takes over its registration. Earlier releases refuse.

    Args:
      pull: the address from which other entries fetch the entry's state.
    """
    return Address(pull.host, pull.port + 1)


def member_id(name: str) -> int:
    """Return the 32-bit hash of an entry's name that identifies it in digests.

    The probability of a collision among 2,500 entries is 0.0007. Two entries that
    collide count as one, and look-ups omit the one with the older incarnation.
    """
    return xxhash.xxh32_intdigest(name.encode())


def link_sort_key(member: Member) -> tuple[int, int]:
    """Return the sort key for roles: widest link first, then hash of the name.

    Entries with the widest links take the roles because roles send the most data. On 74
    VMs, a change reached all entries in 3.3 to 3.5 s if entries with narrow links had
    the roles, and in 0.6 to 0.8 s if those with the widest links had them.
    """
    return -member.link_mbps, xxhash.xxh3_64_intdigest(member.name.encode())
