# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Messages among entries: heartbeats, digests, announcements and permit requests.

Owns no state. The structs are encoded by the position of their fields and by the tag of
their class (`h`, `d`, `n`, `q`, `l`, `r`, `g`). A new field is appended with a default,
so that entries of two releases understand each other. `target_counts`, `encoding` and
`usage_encoding` define the binary encoding of target counts, member rows and workspace
usage, `speed_encoding` that of the slowness of targets; `quarantine.notices` defines
that of quarantine notices.
"""

from enum import IntEnum
from typing import TypeAlias

import msgspec

from leverdoor.entry.membership.member import EntryState, Member
from leverdoor.model.position import UNKNOWN_ERA, Position

__all__ = [
    "Digest",
    "DigestScope",
    "DomainView",
    "OWN_SCOPE",
    "EntryHeartbeat",
    "ExchangeMessage",
    "LimitUpdate",
    "Message",
    "RevisionAnnouncement",
    "QuarantineUpdate",
    "RegionCounts",
    "PermitResponse",
    "PermitMessage",
    "PermitRequest",
    "Shares",
]


Shares: TypeAlias = dict[str, dict[str, float]]
"""By service and region of the targets: fraction of a region's keys routed there."""


class EntryHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """The status that an entry reports to its aggregators in each round."""

    member: Member
    seq: int
    """Sequence number of the heartbeat within this incarnation, from 1."""
    state: EntryState
    revision: int
    """Revision of the configuration in force at the entry."""
    in_flight: dict[str, int] = {}
    """Requests in flight, by name of the target."""
    shares: Shares = {}
    """Shares at the entry; empty in most rounds to save bytes."""
    outage_age_ms: int = -1
    """Time since the end of the store's last outage, in ms; -1 if there was none
    recently."""
    warm_keys: bytes = b""
    """Hashes of keys that targets other than the first choice served recently."""
    use: bytes = b""
    """Requests of workspaces in the current quota window; see `usage_encoding`."""
    confirmed_ms: int = -1
    """Age in ms of the store's newest answer that confirms `revision`; -1 if none."""
    answer: int = 0
    """Number of the store's answer whose age is `confirmed_ms`; see
    `configuration.confirmation`."""
    unserved: bool = False
    """Whether the store does not answer requests of this entry."""
    era: int = UNKNOWN_ERA
    """Era of `revision`."""
    speeds: bytes = b""
    """Targets that are slow or were so until now; see `speed_encoding`."""
    admitted_keys: Shares = {}
    """By service and region: fraction of keys that the entry admits to a full region.

    Empty in most rounds, and for regions that admit all keys."""
    links_lost: bool = False
    """Whether the entry has lost its links to all targets."""

    @property
    def position(self) -> Position:
        """Position in force at the entry."""
        return Position(self.era, self.revision)


class DomainView(msgspec.Struct, frozen=True, array_like=True):
    """The entries of a failure domain and the ages of their newest heartbeats."""

    domain: str
    hash: int
    """Hash of the rows to which the ages refer."""
    rows: bytes
    """Ids, incarnations and states. Empty unless they changed recently or the rotation
    selects this failure domain."""
    ages: bytes
    """Age of each entry's newest heartbeat, in steps of `AGE_STEP_S`."""
    seqs: bytes = b""
    """Sequence numbers of these heartbeats modulo 256. Only for recipients in this
    failure domain."""


class RegionCounts(msgspec.Struct, frozen=True, array_like=True):
    """Requests in flight at the targets of a region."""

    region: str
    hash: int
    """Hash of the list of targets to which the counts refer; see `target_counts`."""
    counts: bytes


class DigestScope(IntEnum):
    """The group of entries that a digest covers."""

    DOMAIN = 0
    """Entries of the sender's failure domain."""
    REGION = 1
    """Entries of the sender's region."""
    ALL = 2
    """All entries."""


OWN_SCOPE = -1
"""Scope of the limits that targets reported to the sender itself."""


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Merged status that an aggregator sends to one group of entries in a round."""

    sender: str
    scope: DigestScope
    """The entries whose requests are counted."""
    round_number: int
    """Number of the sender's round. It identifies outdated digests and, for the other
    aggregator, the recipients of this round."""
    incarnation: int
    """Incarnation of the sender."""
    revision: int
    pull: str
    """Address where the sender's state can be fetched. Each digest contains it, because
    a new entry may not know the sender."""
    views: list[DomainView]
    loads: list[RegionCounts]
    entries: int = 1
    """Number of entries over which the shares are averaged."""
    shares: Shares = {}
    outage_age_ms: int = -1
    warm_keys: bytes = b""
    use: bytes = b""
    """Workspace usage of the entries in `scope`; see `usage_encoding`."""
    use_age_ms: int = 0
    """Age of the oldest fresh report in `use`, in ms."""
    merged_ms: int = 0
    """Time for which the sender has merged the usage of all entries, in ms. The sums
    lack the usage of incarnations that ended before that time."""
    silent: int = 0
    """Number of silent entries in `scope`, which may still serve behind a network
    partition."""
    confirmed_ms: int = -1
    """As in `EntryHeartbeat`."""
    answer: int = 0
    """As in `EntryHeartbeat`."""
    unserved: bytes = b""
    """Entries whose requests the store does not answer, as `member_id` hashes. Scope
    DOMAIN: those of the sender's failure domain. Scope REGION: none. Scope ALL: those
    of its region."""
    era: int = UNKNOWN_ERA
    """Era of `revision`."""
    speeds: bytes = b""
    """As in `EntryHeartbeat`, of the entries of the sender's failure domain (scope
    DOMAIN) or region (scope ALL). Scope REGION: none."""
    admitted_keys: Shares = {}
    """As in `EntryHeartbeat`: the mean of the entries of the sender's failure domain
    (scope DOMAIN) or region (scope ALL). Scope REGION: none."""
    without_links: bytes = b""
    """Entries that have lost their links to all targets, as in `unserved`."""

    @property
    def position(self) -> Position:
        """Position in force at the sender."""
        return Position(self.era, self.revision)


class RevisionAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Announces a newer revision or confirmation without waiting for the next round."""

    revision: int
    pull: str
    """Address where the state can be fetched by HTTP."""
    answer: int = 0
    """As in `EntryHeartbeat`. Entries without a recent answer then need not ask the
    store."""
    confirmed_ms: int = -1
    era: int = UNKNOWN_ERA
    """Era of `revision`."""

    @property
    def position(self) -> Position:
        """The announced position."""
        return Position(self.era, self.revision)


class QuarantineUpdate(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Notices of requests that terminate targets; sent only if there are any.

    A separate message, since most rounds have none.
    """

    sender: str
    notices: bytes
    """Encoded by `quarantine.notices`."""


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Limits that targets reported; sent only if there are any."""

    sender: str
    scope: int
    """Origin of the reports: a `DigestScope`, or `OWN_SCOPE` for the sender's own."""
    reports: bytes
    """Encoded by `limits.rows`."""


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Asks the limiter of a target for permission to send it one request."""

    sender: str
    """Address for the response, as `ip:port`."""
    request_number: int
    """Number of the permit request, unique for the sender."""
    target: int
    """Hash of the target's name; see `target_id`."""
    per_s: float
    """The target's limit as known to the sender, in requests per second."""
    priority: int
    """Priority of the request; a smaller number is more urgent."""
    suppressed: int
    """Number of requests of this priority for which the sender omitted a permit request
    since its previous one of this priority."""


class PermitResponse(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Grants or rejects a `PermitRequest`."""

    request_number: int
    granted: bool
    retry_after_ms: int
    """If rejected: time for which the sender must not ask again for such requests, in
    ms."""
    permit_expected_ms: int
    """If rejected: estimated time until a permit is available, in ms, from which the
    sender derives the retry delay of its client."""


ExchangeMessage: TypeAlias = (
    EntryHeartbeat | Digest | RevisionAnnouncement | QuarantineUpdate | LimitUpdate
)
"""Messages by which entries exchange their status."""
PermitMessage: TypeAlias = PermitRequest | PermitResponse
"""Messages that are exchanged while a request waits for a permit."""
Message: TypeAlias = ExchangeMessage | PermitMessage
