# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What the exchange among entries is given to tell, sends, and learns."""

import msgspec

from leverdoor.entry.exchange.messages import Message, Shares
from leverdoor.entry.exchange.use_lists import Use
from leverdoor.entry.membership.member import EntryState
from leverdoor.workspaces.room import OthersUse

__all__ = ["PeerUpdate", "EntryStatus", "Sending"]


class EntryStatus(msgspec.Struct, frozen=True):
    """How this entry fares, as its heartbeats tell it."""

    state: EntryState
    revision: int
    in_flight: dict[str, int]
    shares: Shares
    outage_ms: int
    warm: list[int]
    use: Use = {}
    """Own requests of workspaces in the window of their quotas."""
    lived_s: float = 0.0
    confirmed_ms: int = -1
    """How long ago the store answered anyone that is heard; -1 if it never did."""


class Sending(msgspec.Struct, frozen=True):
    """A message, and the addresses that get it."""

    message: Message
    to: list[str]


class PeerUpdate(msgspec.Struct, frozen=True):
    """What a message or a round tells the other parts of this entry."""

    others: dict[str, int] | None = None
    """Requests that all other entries have at each target; None if not told."""
    warm: list[int] = []
    outage_ms: int = -1
    source: str = ""
    """Where a newer state can be fetched; empty if there is none."""
    confirmed_ms: int = -1
    use: OthersUse | None = None
    """Requests of workspaces by all other entries; None if not told."""
