# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What goes into the exchange among entries and what comes out of it.

`EntryStatus` is the input of a round. `Sending` is what to send to whom, `PeerUpdate`
what was learned for the other parts of this entry. Owns no state.
"""

import msgspec

from leverdoor.entry.configuration.confirmation import NO_ANSWER, ToldAnswer
from leverdoor.entry.exchange.messages import ExchangeMessage, Shares
from leverdoor.entry.exchange.use_lists import Use
from leverdoor.entry.membership.member import EntryState
from leverdoor.limits.named import LimitWord
from leverdoor.quarantine.notices import Notice
from leverdoor.workspaces.remote_usage import RemoteUsage

__all__ = ["PeerUpdate", "EntryStatus", "Sending"]


class EntryStatus(msgspec.Struct, frozen=True):
    """The status of this entry that its next heartbeat reports."""

    state: EntryState
    revision: int
    """Of the store's copy that is in force."""
    in_flight: dict[str, int]
    """Own requests at each target, by its name."""
    shares: Shares
    outage_ms: int
    """How long ago the store was last unavailable; -1 if not lately."""
    warm: list[int]
    """Hashes of keys that other targets than their first answered lately."""
    use: Use = {}
    """Own requests of workspaces in the window of their quotas."""
    uptime_s: float = 0.0
    """Since the start of this process."""
    answer: ToldAnswer = NO_ANSWER
    """The store's newest answer that `revision` rests on."""
    unserved: bool = False
    """Whether the store does not answer this entry."""
    limits: list[LimitWord] = []
    """What targets named as limits in answers to this entry."""
    notices: list[Notice] = []
    """What to tell of requests that end targets."""


class Sending(msgspec.Struct, frozen=True):
    """A message, and the addresses that get it, as `ip:port`."""

    message: ExchangeMessage
    to: list[str]


class PeerUpdate(msgspec.Struct, frozen=True):
    """What a message or a round has for the other parts of this entry."""

    others: dict[str, int] | None = None
    """Requests of all other entries at each target; None if there is no new sum."""
    warm: list[int] = []
    outage_ms: int = -1
    source: str = ""
    """Where a newer state can be fetched, as `ip:port`; empty if there is none."""
    answer: ToldAnswer = NO_ANSWER
    """The store's newest answer that the sender's revision rests on."""
    use: RemoteUsage | None = None
    """Requests of workspaces by all other entries; None if there is no new sum."""
    limits: list[LimitWord] = []
    """What targets named as limits in answers to other entries."""
    notices: list[Notice] = []
    """What another entry told of requests that end targets."""
