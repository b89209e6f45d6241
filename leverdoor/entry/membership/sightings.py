# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What one entry knows of another: its life, its state, when it was last heard."""

import msgspec

from leverdoor.entry.membership.member import STARTING, EntryState, Member

__all__ = ["NEVER", "Known", "MemberRow", "Sighting"]

NEVER = -1e9
"""Stands, in seconds, for the time of something that did not happen yet."""


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """One life of an entry and its state, as heartbeats and digests tell it."""

    id: int
    """See `member_id`."""
    incarnation: int
    state: EntryState


class Sighting(msgspec.Struct, frozen=True):
    """When a life of an entry last sent a heartbeat that somebody heard."""

    row: MemberRow
    at: float
    """Monotonic time here, in seconds."""


class Known(msgspec.Struct):
    """What is known of one other entry."""

    member: Member
    rank: tuple[int, int]
    """See `link_rank`."""
    state: EntryState = STARTING
    heard_at: float = NEVER
    """When its newest known heartbeat was heard, by whomever."""
    seen_at: float = NEVER
    """When it was last heard of, also in the store."""
    digest_at: float = NEVER
    """When a digest of its own last came here."""
    chosen_at: float = NEVER
    """Since when it is expected to send digests."""
