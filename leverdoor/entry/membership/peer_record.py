# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What this entry has on record of each other one."""

import msgspec

from leverdoor.entry.membership.member import STARTING, EntryState, Member, MemberRow

__all__ = ["NEVER", "LastSeen", "PeerRecord"]

NEVER = -1e9
"""Time in seconds of something that did not happen yet: before any clock's start."""


class LastSeen(msgspec.Struct, frozen=True):
    """When the newest heartbeat of one incarnation of an entry reached anyone."""

    row: MemberRow
    at: float
    """Monotonic time of this entry, in seconds."""


class PeerRecord(msgspec.Struct):
    """The record of one other entry; all times are monotonic seconds of this entry."""

    member: Member
    link_sort_key: tuple[int, int]
    """See `member.link_sort_key`."""
    state: EntryState = STARTING
    heartbeat_at: float = NEVER
    """When its newest known heartbeat reached any entry; digests carry the age."""
    reported_at: float = NEVER
    """When a heartbeat, a digest or the store last confirmed that it exists."""
    digest_at: float = NEVER
    """When a digest that it sent itself last came here; written by `Roles`."""
    digest_due_since: float = NEVER
    """Since when it is expected to send digests; written by `Roles`."""
