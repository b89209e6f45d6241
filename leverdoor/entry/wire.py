# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Interface between an entry and its platform: names, paths and formats.

A wire only translates; it makes no decisions. Owns no state. Relies on
`leverdoor.platform`, which implements the interface.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeAlias

import msgspec

from leverdoor.model.position import Position
from leverdoor.model.resources import Resource
from leverdoor.storage.retention import DescribeRecord
from leverdoor.storage.store import KeyValue

__all__ = [
    "StoreContents",
    "HeaderNames",
    "LeftOutRegistration",
    "Lookup",
    "TargetLoad",
    "TargetReport",
    "TranslateStore",
    "UnreadableReport",
    "Wire",
]


class UnreadableReport(ValueError):
    """A target sent a malformed report about itself."""


class LeftOutRegistration(msgspec.Struct, frozen=True):
    """A registration in the store that does not yield a usable target."""

    name: str
    """Target name from the registration's store key."""
    cause: str
    """Cause from a small fixed set, used as a metrics label."""
    detail: str
    position: Position
    """Position in the store at which the registration was written."""


class StoreContents(msgspec.Struct, frozen=True):
    """The contents of the store, translated to the product's types."""

    version: str
    """The operator's version of the configuration; "" if there is none yet."""
    resources: list[Resource]
    peers: dict[str, bytes]
    """Registrations of other entries, by the entry's name."""
    held_records: dict[str, KeyValue] = {}
    """Records of quarantined requests by the text of their fingerprint."""
    left_out: list[LeftOutRegistration] = []
    """Registrations that do not yield a usable target."""


TranslateStore: TypeAlias = Callable[[Mapping[str, KeyValue]], StoreContents]
"""Translates the store's keys and values to the product's types."""


class Lookup(NamedTuple):
    """The parameters of a client's look-up of entries."""

    host: str
    region: str
    domain: str


class TargetLoad(msgspec.Struct, frozen=True):
    """The load that a target reports, in requests."""

    running: int
    """Requests being executed, excluding the one just answered."""
    waiting: int
    slots: int
    """Maximum number of requests that the target executes concurrently."""
    slowness: float = 1.0
    """Duration of work at the target now, relative to usual; not bounded."""


class TargetReport(msgspec.Struct, frozen=True):
    """Report of a target about itself in a complete response, without its limit."""

    not_run: bool = False
    """The target rejected the request without executing it."""
    leaving: bool = False
    """The target is leaving service."""
    rest_s: float | None = None
    """Time in seconds for which the target wants no requests from this entry.

    The value is not bounded. None if the target requests no rest."""
    load: TargetLoad | None = None


class HeaderNames(msgspec.Struct, frozen=True):
    """Lower-case names of the headers exchanged with clients and targets."""

    request_id: str
    deadline_ms: str
    """From clients and to targets: the remaining time in ms."""
    affinity: str
    """From clients: the affinity key; requests with one key share a target."""
    instance: str
    """To targets: the instance that the request is intended for."""
    stamp: str
    """From targets: proof that the target itself sent the response."""
    not_run: str
    """From targets: the request was not executed."""
    load: str
    """From targets: their load, see `Wire.parse_load`."""
    limit: str
    """From targets: the requests per second that they accept from all entries
    together, see `Wire.parse_limit`."""
    leaving: str
    """From targets: whether they are leaving service, see `Wire.parse_leaving`."""
    rest: str
    """From targets that reject a request: how long this entry must not send further
    requests, see `Wire.parse_rest`."""
    workspace_key: str
    """From clients: the key that authenticates the workspace."""
    workspace: str
    """To targets: the name of the workspace that owns the key."""


class Wire(msgspec.Struct, frozen=True):
    """Header names, paths, store keys and formats of an entry's platform."""

    headers: HeaderNames
    ready_path: str
    resolve_path: str
    parse_resolve: Callable[[Mapping[str, str]], Lookup]
    """Parses the query parameters of a client's look-up."""
    serialize_resolve: Callable[[list[str], float], bytes]
    """Serializes entry addresses and their cache lifetime in seconds."""
    parse_load: Callable[[str], TargetLoad | None]
    """Parses a load header; returns None if it is malformed."""
    parse_limit: Callable[[Sequence[str]], float | None]
    """Parses all limit headers of a response; returns None if there are none.

    Raises `UnreadableLimit` if they are malformed."""
    parse_leaving: Callable[[Sequence[str]], bool]
    """Parses all leaving headers of a response: whether the target is leaving.

    Raises `UnreadableReport` if they are malformed."""
    parse_rest: Callable[[int, Sequence[str]], float | None]
    """Parses the status and all rest headers of a response.

    Returns the seconds for which the target wants no requests from this entry, not
    bounded, or None if it requests no rest. Raises `UnreadableReport` if the headers
    contain no valid time."""
    translate: TranslateStore
    describe_record: DescribeRecord
    """Returns what a record of the store says about its kind and order."""
    peer_key: Callable[[str], str]
    """Returns the store key of an entry's registration, by the entry's name."""
    quarantine_record_key: Callable[[str], str]
    """Returns the store key of a quarantine record, by the fingerprint's text."""
