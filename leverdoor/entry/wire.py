# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What an entry needs to know of how its surroundings speak.

The daemon decides; a wire only names things. The platform's stands in
`leverdoor.platform`.
"""

from collections.abc import Callable, Mapping
from typing import TypeAlias

import msgspec

from leverdoor.model.resources import Resource
from leverdoor.storage.store import KeyValue

__all__ = ["Configured", "Wire", "HeaderNames", "TargetLoad", "Translate"]


class Configured(msgspec.Struct, frozen=True):
    """What the store's entries say, as resources of the product."""

    version: str
    resources: list[Resource]
    peers: dict[str, bytes]
    """By entry name, what other entries wrote of themselves."""


Translate: TypeAlias = Callable[[Mapping[str, KeyValue]], Configured]


class TargetLoad(msgspec.Struct, frozen=True):
    """What a target tells of its own load."""

    running: int
    waiting: int
    slots: int


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of headers towards clients and targets, in lower case."""

    request_id: str
    deadline_ms: str
    affinity: str
    instance: str
    """Towards targets: which instance is meant."""
    stamp: str
    """From targets: proof that an answer is theirs."""
    not_run: str
    """From targets: the request was not run."""
    load: str
    workspace_key: str
    """From clients: the key that tells whose request it is."""
    workspace: str
    """Towards targets: the name of the workspace that holds the key."""


class Wire(msgspec.Struct, frozen=True):
    """Names, paths and formats of an entry's surroundings."""

    headers: HeaderNames
    ready_path: str
    resolve_path: str
    parse_resolve: Callable[[Mapping[str, str]], "tuple[str, str, str]"]
    """From a query: host, region and failure domain."""
    serialize_resolve: Callable[[list[str], float], bytes]
    """From addresses and seconds to live: the body of the answer."""
    parse_load: Callable[[str], TargetLoad | None]
    translate: Translate
    peer_key: Callable[[str], str]
    """From an entry's name: the key under which it writes itself."""
