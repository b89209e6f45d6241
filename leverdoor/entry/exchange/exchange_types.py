# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Input and output of the exchange among entries.

`EntryStatus` is the input of a round. `OutgoingMessage` is a message with its
recipients, and `PeerUpdate` is the information for other components of this entry. Owns
no state.
"""

import msgspec

from leverdoor.entry.configuration.confirmation import NO_ANSWER, ReportedAnswer
from leverdoor.entry.exchange.messages import ExchangeMessage, Shares
from leverdoor.entry.exchange.usage_encoding import Usage
from leverdoor.entry.membership.member import EntryState
from leverdoor.entry.placement.speed_estimate import TargetSpeed
from leverdoor.limits.advertised import LimitAdvertisement
from leverdoor.model.position import Position
from leverdoor.quarantine.notices import Notice
from leverdoor.workspaces.remote_usage import RemoteUsage

__all__ = ["PeerUpdate", "EntryStatus", "OutgoingMessage"]


class EntryStatus(msgspec.Struct, frozen=True):
    """The status of this entry that its next heartbeat reports."""

    state: EntryState
    position: Position
    """Position of the configuration in force."""
    in_flight: dict[str, int]
    """Requests of this entry in flight, by name of the target."""
    shares: Shares
    outage_age_ms: int
    """Time since the end of the store's last outage, in ms; -1 if there was none
    recently."""
    warm_keys: list[int]
    """Hashes of keys that targets other than the first choice served recently."""
    use: Usage = {}
    """Requests of each workspace at this entry in the current quota window."""
    uptime_s: float = 0.0
    """Time since the start of this process, in seconds."""
    answer: ReportedAnswer = NO_ANSWER
    """The newest answer of the store that confirms `position`."""
    unserved: bool = False
    """Whether the store does not answer requests of this entry."""
    limits: list[LimitAdvertisement] = []
    """Limits that targets reported in responses to this entry."""
    notices: list[Notice] = []
    """Notices to send about requests that terminate targets."""
    speeds: list[TargetSpeed] = []
    """Targets that are slow or were so until now, by their answers to this entry."""
    admitted_keys: Shares = {}
    """By service and region: fraction of keys that this entry admits to a full
    region."""
    links_lost: bool = False
    """Whether this entry has lost its links to all targets."""


class OutgoingMessage(msgspec.Struct, frozen=True):
    """A message and the addresses of its recipients, as `ip:port`."""

    message: ExchangeMessage
    destinations: list[str]


class PeerUpdate(msgspec.Struct, frozen=True):
    """Changes from a message or a round for other components of this entry."""

    others_in_flight: dict[str, int] | None = None
    """Requests in flight of all other entries, by target; None if unchanged."""
    warm_keys: list[int] = []
    """Hashes of warm keys, as in `EntryStatus`."""
    outage_age_ms: int = -1
    """As in `EntryStatus`."""
    source: str = ""
    """Address where a newer state can be fetched, as `ip:port`; empty if none."""
    answer: ReportedAnswer = NO_ANSWER
    """The newest answer of the store that confirms the sender's position."""
    use: RemoteUsage | None = None
    """Workspace usage of all other entries; None if unchanged."""
    limits: list[LimitAdvertisement] = []
    """Limits that targets reported to other entries."""
    notices: list[Notice] = []
    """Notices of another entry about requests that terminate targets."""
    speeds: list[TargetSpeed] = []
    """Targets that are slow or were so until now, by their answers to other entries."""
