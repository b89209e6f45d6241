# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Messages among entries: heartbeats, digests that merge heartbeats, and news.

Owns no state. The structs are encoded by the position of their fields and by the tag of
their class (`h`, `d`, `n`, `q`, `l`, `r`, `g`): a new field goes to the end, with a
default, so that entries of two releases understand each other. Counts at targets, rows
of entries and use of quotas are packed into bytes by `target_counts`, `encoding` and
`use_lists`, what is known of requests by `quarantine.notices`.
"""

from enum import IntEnum
from typing import TypeAlias

import msgspec

from leverdoor.entry.membership.member import EntryState, Member

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
"""By service, then by the targets' region: the share of one region's keys there."""


class EntryHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """An entry's own report to the aggregators of its failure domain, each round."""

    member: Member
    seq: int
    """Counts the heartbeats of this incarnation, from 1."""
    state: EntryState
    revision: int
    """Revision of the store that the entry has in force."""
    in_flight: dict[str, int] = {}
    """Requests at each target, by its name."""
    shares: Shares = {}
    """Empty in most rounds, to save bytes."""
    outage_ms: int = -1
    """How long ago the store was last unavailable, in ms; -1 if not lately."""
    warm_keys: bytes = b""
    """Hashes of keys that other targets than their first answered lately."""
    use: bytes = b""
    """Requests of workspaces in the window of their quotas; see `use_lists`."""
    confirmed_ms: int = -1
    """Age in ms of the store's newest answer that `revision` rests on; -1 for none."""
    answer: int = 0
    """Number of that answer; see `configuration.confirmation`."""
    unserved: bool = False
    """Whether the store does not answer this entry."""


class DomainView(msgspec.Struct, frozen=True, array_like=True):
    """The entries of a failure domain and the ages of their newest heartbeats."""

    domain: str
    hash: int
    """Of the rows; ages refer to the rows with this hash."""
    rows: bytes
    """Incarnations and states; empty unless changed lately or this domain's turn."""
    ages: bytes
    """Of the newest heartbeat of each row's entry, in steps of `AGE_STEP_S`."""
    seqs: bytes = b""
    """Numbers of these heartbeats, modulo 256; for the receivers' own domain only."""


class RegionCounts(msgspec.Struct, frozen=True, array_like=True):
    """Requests in flight at the targets of a region."""

    region: str
    hash: int
    """Of the list of targets that the counts refer to; see `target_counts`."""
    counts: bytes


class DigestScope(IntEnum):
    """Whose requests a digest counts."""

    DOMAIN = 0
    """Those of the entries of the sender's failure domain."""
    REGION = 1
    """Those of the entries of the sender's region."""
    ALL = 2
    """Those of all entries."""


OWN_SCOPE = -1
"""Scope of what an entry received itself."""


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """What an aggregator sends in one round to one group of entries."""

    sender: str
    scope: DigestScope
    """Whose requests are counted."""
    round_number: int
    """Counts the rounds of the sender; its recipients alternate with it."""
    incarnation: int
    """Of the sender."""
    revision: int
    pull: str
    """Where the sender's state can be fetched, also by entries that know no other."""
    views: list[DomainView]
    loads: list[RegionCounts]
    entries: int = 1
    """How many entries the shares are the mean of."""
    shares: Shares = {}
    outage_ms: int = -1
    warm_keys: bytes = b""
    use: bytes = b""
    """Requests of workspaces by the entries that `scope` covers; see `use_lists`."""
    use_age_ms: int = 0
    """Age of the oldest report in `use`."""
    merged_ms: int = 0
    """For how long the sender has merged all use. Incarnations that ended before are
    missing from its sums."""
    silent: int = 0
    """How many of the entries covered are silent: they may serve behind a cut."""
    confirmed_ms: int = -1
    """As in heartbeats."""
    answer: int = 0
    """As in heartbeats."""
    unserved: bytes = b""
    """Entries that the store does not answer: of the sender's failure domain in scope
    DOMAIN, of its region in scope ALL; see `encoding.parse_ids`."""


class RevisionAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Announces a newer state of the store's copy, at once and in few bytes."""

    revision: int
    pull: str
    """Where it can be fetched, by HTTP."""
    answer: int = 0
    """As in heartbeats: entries that lack a recent answer need not ask for one."""
    confirmed_ms: int = -1


class QuarantineUpdate(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """What is known of requests that end targets; sent only if there is something.

    A message of its own, since nearly all rounds have none.
    """

    sender: str
    notices: bytes
    """See `quarantine.notices`."""


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """What targets named as their limits; sent only if there is something."""

    sender: str
    scope: int
    """Whose words these are: a `DigestScope`, or `OWN_SCOPE` for the sender's own."""
    reports: bytes
    """See `limits.rows`."""


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Asks a target's limiter whether one request may be sent there."""

    sender: str
    """Where the answer goes, as `ip:port`."""
    request_number: int
    """Of the question; the sender uses none twice."""
    target: int
    """See `target_id`."""
    per_s: float
    """The target's limit, as the sender knows it."""
    priority: int
    """Of the request; smaller is more urgent."""
    suppressed: int
    """Requests of that priority which the sender kept from asking before it."""


class PermitResponse(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Answers a `PermitRequest`."""

    request_number: int
    granted: bool
    retry_after_ms: int
    """If not granted: how long the sender need not ask again for such a request."""
    permit_expected_ms: int
    """If not granted: when there should be room for it."""


ExchangeMessage: TypeAlias = (
    EntryHeartbeat | Digest | RevisionAnnouncement | QuarantineUpdate | LimitUpdate
)
"""What entries report to each other in rounds."""
PermitMessage: TypeAlias = PermitRequest | PermitResponse
"""A question on a request's path, and its answer."""
Message: TypeAlias = ExchangeMessage | PermitMessage
