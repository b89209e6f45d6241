# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Messages among entries: heartbeats, and digests that merge what many tell.

Counts of requests go as one byte a target in the order of the targets' names, so
that a digest of hundreds of targets fits one packet; both sides need the same
list of names, which a hash of it shows.
"""

import struct
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import TypeAlias

import msgspec
import xxhash

from leverdoor.entry.membership.member import EntryState, Member, MemberRow

__all__ = [
    "AGE_STEP_S",
    "OLDEST_STEPS",
    "Digest",
    "DigestScope",
    "DomainView",
    "EntryHeartbeat",
    "Message",
    "News",
    "RegionCounts",
    "Shares",
    "TargetLists",
    "parse_ids",
    "parse_rows",
    "rows_hash",
    "serialize_ages",
    "serialize_ids",
    "serialize_rows",
]

AGE_STEP_S = 0.02
"""Unit of an age in a digest, in seconds: a tenth of a round; 255 are 5.1 s."""
OLDEST_STEPS = 255
"""Greatest age that a digest tells, in steps; it stands for all older ones."""
MOST_COUNTED = 255
"""Greatest count of requests at a target that a digest tells."""
KEPT_LISTS = 8
"""Lists of a region's targets that are kept, for digests of entries that have not
yet, or already, taken a change: about one change each 0.1 s for 0.8 s."""
ROW = struct.Struct("<IQB")
"""Identity, incarnation and state of an entry."""
ID = struct.Struct("<I")

Shares: TypeAlias = dict[str, dict[str, float]]
"""For each service, the regions' shares of the keys asked for in one region."""


class EntryHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """What an entry tells the aggregators of its failure domain each round."""

    member: Member
    seq: int
    """Counts the heartbeats of this life, from 1."""
    state: EntryState
    revision: int
    """Revision of the store that is in force there."""
    in_flight: dict[str, int] = {}
    """Requests at each target, by its name."""
    shares: Shares = {}
    """Empty in most rounds, for the bytes."""
    outage_ms: int = -1
    """How long ago the store was known to be away; -1 if not in recent times."""
    warm: bytes = b""
    """Digests of keys lately answered by other targets than their first."""
    use: bytes = b""
    """Requests of workspaces in the window of their quotas."""
    confirmed_ms: int = -1
    """How long ago the store answered anyone that is heard; -1 if it never did."""


class DomainView(msgspec.Struct, frozen=True, array_like=True):
    """The entries of a failure domain, as an aggregator heard them."""

    domain: str
    hash: int
    """Of the rows; ages refer to the rows with this hash."""
    rows: bytes
    """Empty unless they changed lately, or it is this domain's turn."""
    ages: bytes
    """Of the newest heartbeat heard of each row's entry."""
    seqs: bytes = b""
    """Its number, modulo 256; of the receivers' own failure domain only."""


class RegionCounts(msgspec.Struct, frozen=True, array_like=True):
    """Requests in flight at the targets of a region."""

    region: str
    hash: int
    """Of the list of targets that the counts refer to."""
    counts: bytes


class DigestScope(IntEnum):
    """Whose requests a digest counts."""

    DOMAIN = 0
    """Those of the entries of the sender's failure domain."""
    REGION = 1
    """Those of the entries of the sender's region."""
    ALL = 2
    """Those of all entries."""


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """What an aggregator tells in one round."""

    sender: str
    scope: DigestScope
    """Whose requests are counted."""
    turn: int
    """Counts the rounds of the sender; whom it tells alternates with it."""
    incarnation: int
    """Of the sender."""
    revision: int
    pull: str
    """Where the sender's state can be fetched, also by entries that know nobody."""
    views: list[DomainView]
    loads: list[RegionCounts]
    entries: int = 1
    """How many entries the shares are the mean of."""
    shares: Shares = {}
    outage_ms: int = -1
    warm: bytes = b""
    use: bytes = b""
    """Of workspaces with a quota, by the entries whose requests are counted."""
    use_age_ms: int = 0
    """Of the oldest report in that use."""
    merged_ms: int = 0
    """For how long the sender has merged all use; before, lives may have ended whose
    use it does not know."""
    silent: int = 0
    """How many of them are silent, and may serve where nobody hears them."""
    confirmed_ms: int = -1
    """As in heartbeats."""


class News(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Says that an entry has a newer state, at once and in few bytes."""

    revision: int
    pull: str
    """Where it can be fetched, by HTTP."""


Message: TypeAlias = EntryHeartbeat | Digest | News


def serialize_rows(rows: Iterable[MemberRow]) -> bytes:
    """Serialize the identities of entries."""
    return b"".join(ROW.pack(r.id, r.incarnation, r.state) for r in rows)


def parse_rows(data: bytes) -> list[MemberRow]:
    """Parse the identities of entries; what is cut short is left out."""
    whole = len(data) - len(data) % ROW.size
    return [MemberRow(*fields) for fields in ROW.iter_unpack(data[:whole])]


def rows_hash(data: bytes) -> int:
    """Return the hash by which ages refer to serialized rows."""
    return xxhash.xxh32_intdigest(data)


def serialize_ages(ages_s: Iterable[float]) -> bytes:
    """Serialize ages in seconds, rounded up to whole steps."""
    steps = (-int(-max(age, 0.0) // AGE_STEP_S) for age in ages_s)
    return bytes(min(step, OLDEST_STEPS) for step in steps)


def serialize_ids(ids: Iterable[int]) -> bytes:
    """Serialize numbers of 32 bits."""
    return b"".join(ID.pack(i) for i in ids)


def parse_ids(data: bytes) -> list[int]:
    """Parse numbers of 32 bits; what is cut short is left out."""
    whole = len(data) - len(data) % ID.size
    return [i for (i,) in ID.iter_unpack(data[:whole])]


class TargetLists:
    """The names of each region's targets in the order in which counts tell them."""

    def __init__(self) -> None:
        """Create it without any target."""
        self._newest: dict[str, tuple[int, tuple[str, ...]]] = {}
        self._recent: OrderedDict[tuple[str, int], tuple[str, ...]] = OrderedDict()

    def renew(self, names: Mapping[str, Iterable[str]]) -> None:
        """Take the targets' names of a new configuration, by region."""
        self._newest = {}
        for region, of_region in names.items():
            ordered = tuple(sorted(of_region))
            key = xxhash.xxh32_intdigest("\n".join(ordered).encode())
            self._newest[region] = (key, ordered)
            self._recent[(region, key)] = ordered
            self._recent.move_to_end((region, key))
        while len(self._recent) > KEPT_LISTS * max(len(names), 1):
            self._recent.popitem(last=False)

    def regions(self) -> list[str]:
        """Return the regions that have targets, by name."""
        return sorted(self._newest)

    def serialize(self, region: str, counts: Mapping[str, int]) -> RegionCounts:
        """Serialize the counts at a region's targets."""
        key, names = self._newest[region]
        data = [counts.get(name, 0) for name in names]
        if data and not 0 <= min(data) <= max(data) <= MOST_COUNTED:
            data = [min(max(count, 0), MOST_COUNTED) for count in data]
        return RegionCounts(region, key, bytes(data))

    def parse(self, loads: RegionCounts) -> dict[str, int] | None:
        """Parse counts; None if they refer to a list that is not known here."""
        names = self._recent.get((loads.region, loads.hash))
        if names is None or len(names) != len(loads.counts):
            return None
        return {n: c for n, c in zip(names, loads.counts, strict=True) if c}
