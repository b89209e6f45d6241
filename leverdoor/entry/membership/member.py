# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What entries are and what state they are in."""

from typing import TypeAlias

import msgspec
import xxhash

__all__ = [
    "LEAVING",
    "SERVING",
    "STARTING",
    "EntryState",
    "Member",
    "link_rank",
    "member_id",
]

EntryState: TypeAlias = int

STARTING = 0
"""State of an entry that has no configuration yet."""
SERVING = 1
"""State of an entry that may be named to clients."""
LEAVING = 2
"""State of an entry that finishes what it has."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """What an entry writes of itself in the store."""

    name: str
    region: str
    domain: str
    front: str
    """Where clients reach it, as `ip:port`."""
    gossip: str
    """Where heartbeats reach it, by UDP."""
    pull: str
    """Where other entries fetch the state, by HTTP."""
    incarnation: int
    """Microseconds since the epoch at the start of its process."""
    link_mbps: int = 0
    """Bandwidth of its machine's link; 0 if it is not known."""


def member_id(name: str) -> int:
    """Return the 32 bits that stand for an entry in digests.

    Among 2,500 entries two share them with a chance of 0.0007; then the two count
    as one and the one with the older incarnation is not named.
    """
    return xxhash.xxh32_intdigest(name.encode())


def link_rank(member: Member) -> tuple[int, int]:
    """Order entries alike everywhere: the widest links first, then by hash."""
    return -member.link_mbps, xxhash.xxh3_64_intdigest(member.name.encode())
