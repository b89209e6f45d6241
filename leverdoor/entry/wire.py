# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Names, paths and formats that an entry uses towards its surroundings.

A wire translates and decides nothing. The platform's stands in `leverdoor.platform`.
Owns no state.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeAlias

import msgspec

from leverdoor.model.resources import Resource
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
    """A target said something of itself in a form that can't be read."""


class LeftOutRegistration(msgspec.Struct, frozen=True):
    """A registration that names no target to use."""

    name: str
    """Under which it stands."""
    cause: str
    """One of a few, for metrics."""
    detail: str
    revision: int
    """Of the store, at which it was written."""


class StoreContents(msgspec.Struct, frozen=True):
    """What the store holds, as resources of the product."""

    version: str
    """The operator's name of the configuration; "" for none yet."""
    resources: list[Resource]
    peers: dict[str, bytes]
    """Registrations of other entries, by the entry's name."""
    held_records: dict[str, KeyValue] = {}
    """Records of requests that are held back, by the text of their fingerprint."""
    left_out: list[LeftOutRegistration] = []
    """Registrations that name no target to use."""


TranslateStore: TypeAlias = Callable[[Mapping[str, KeyValue]], StoreContents]
"""From the keys of the store to resources."""


class Lookup(NamedTuple):
    """A client's look-up of entries."""

    host: str
    region: str
    domain: str


class TargetLoad(msgspec.Struct, frozen=True):
    """What a target reports of its own load, in requests."""

    running: int
    """Those that run, the one that was just answered aside."""
    waiting: int
    slots: int
    """How many it runs at a time."""


class TargetReport(msgspec.Struct, frozen=True):
    """What a whole answer reports of its target, limits aside."""

    not_run: bool = False
    """The request was turned away."""
    leaving: bool = False
    """The target leaves."""
    rest_s: float | None = None
    """Rest that the target asks this entry for, in seconds, not bounded."""
    load: TargetLoad | None = None


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of headers towards clients and targets, in lower case."""

    request_id: str
    deadline_ms: str
    """From clients and towards targets: time left, in ms."""
    affinity: str
    """From clients: the key of requests that share a target."""
    instance: str
    """Towards targets: which instance is meant."""
    stamp: str
    """From targets: proof that an answer is theirs."""
    not_run: str
    """From targets: the request was not run."""
    load: str
    """From targets: their load, see `Wire.parse_load`."""
    limit: str
    """From targets: requests a second that they take from all entries together, see
    `Wire.parse_limit`."""
    leaving: str
    """From targets: they leave, see `Wire.parse_leaving`."""
    rest: str
    """From targets that turn a request away: for how long they want nothing more of
    this entry, see `Wire.parse_rest`."""
    workspace_key: str
    """From clients: the key that shows whose request it is."""
    workspace: str
    """Towards targets: the name of the workspace that holds the key."""


class Wire(msgspec.Struct, frozen=True):
    """Names, paths and formats of an entry's surroundings."""

    headers: HeaderNames
    ready_path: str
    resolve_path: str
    parse_resolve: Callable[[Mapping[str, str]], Lookup]
    """From the query of a client's look-up."""
    serialize_resolve: Callable[[list[str], float], bytes]
    """From addresses and the seconds for which they may be kept: the answer's body."""
    parse_load: Callable[[str], TargetLoad | None]
    """From a header; None if it is not a load."""
    parse_limit: Callable[[Sequence[str]], float | None]
    """From all headers of that name in an answer; None for none of them.

    Raises `UnreadableLimit` if they name no limit."""
    parse_leaving: Callable[[Sequence[str]], bool]
    """From all headers of that name in an answer: whether the target leaves.

    Raises `UnreadableReport` if they say neither."""
    parse_rest: Callable[[int, Sequence[str]], float | None]
    """From an answer's status and all its headers of that name: seconds of rest that
    the target asks this entry for, not bounded; None if it asks for none.

    Raises `UnreadableReport` if they name no time."""
    translate: TranslateStore
    peer_key: Callable[[str], str]
    """From an entry's name: the key of its registration in the store."""
    quarantine_record_key: Callable[[str], str]
    """From the text of a fingerprint: the key of its record in the store."""
