# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Types of the records that an entry keeps about its peers. Owns no state."""

import msgspec

from leverdoor.entry.membership.member import STARTING, DigestRow, EntryState, Member

__all__ = ["NEVER", "HeartbeatObservation", "PeerRecord"]

NEVER = -1e9
"""Time in seconds of an event that has not happened, earlier than any clock value."""


class HeartbeatObservation(msgspec.Struct, frozen=True):
    """Newest heartbeat of an incarnation of an entry, as received by any entry."""

    row: DigestRow
    at: float
    """Monotonic time in seconds at which it was received, by this entry's clock."""


class PeerRecord(msgspec.Struct):
    """Record of one peer; all times are monotonic seconds by this entry's clock."""

    member: Member
    link_sort_key: tuple[int, int]
    """Order in which entries take roles; see `member.link_sort_key`."""
    state: EntryState = STARTING
    heartbeat_at: float = NEVER
    """Time at which any entry received its newest heartbeat; digests carry the age."""
    reported_at: float = NEVER
    """Time of the last heartbeat, digest or registration that reported the peer."""
    digest_at: float = NEVER
    """Time of the last digest received from the peer; written by `Roles`."""
    digest_expected_since: float = NEVER
    """Time from which the peer is expected to send digests; written by `Roles`."""
