# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The kinds of resource that operators write.

Their JSON is stored and served: field names, tags and defaults are the interface.
Immutable; units are in the field names (`_ms`, `_per_s`, `_percent`, `_bytes`).
"""

from enum import StrEnum
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta

from leverdoor.codec import parse_json, serialize_json

__all__ = [
    "KINDS",
    "ClientBlocks",
    "ClientLimits",
    "Drain",
    "Region",
    "Resource",
    "Route",
    "Service",
    "ServiceLevel",
    "ShiftCap",
    "Target",
    "Tier",
    "WorkClass",
    "Workspace",
    "parse_resource",
    "parse_resources",
    "resource_key",
    "serialize_resource",
]

Name: TypeAlias = Annotated[str, Meta(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
Positive: TypeAlias = Annotated[int, Meta(ge=1, le=86_400_000)]
Millis: TypeAlias = Annotated[int, Meta(ge=0, le=86_400_000)]
Percent: TypeAlias = Annotated[int, Meta(ge=0, le=100)]
Digest: TypeAlias = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Share: TypeAlias = Annotated[float, Meta(gt=0.0, lt=1.0)]


class WorkClass(StrEnum):
    """Class of work, which says whether a request may be sent twice."""

    LOOKUP = "lookup"
    ONCE = "once"
    BULK = "bulk"


class _Base(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """What all kinds share."""

    name: Name


class Region(_Base, frozen=True, tag="region"):
    """A region, its failure domains and its one-way distance to others."""

    domains: list[Name]
    latency_ms: dict[str, Millis] = {}


class Service(_Base, frozen=True, tag="service"):
    """A service that callers ask for by name."""

    work: WorkClass
    deadline_ms: Positive = 2_000
    linger_ms: Millis = 1_000
    """Longest time a target may go on with a request after its connection ended."""
    queue: Annotated[int, Meta(ge=0, le=100_000)] = 64
    """Longest queue for each entry, in requests."""
    bulk_prefixes: list[str] = []
    """Paths whose requests are bulk uploads, whatever the service's work."""
    health_path: str = ""
    """Path that a target answers with 200 while it is healthy; "" for none."""
    connections: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    """Most connections of all entries together to one target; 0 for no bound."""
    warmup_per_s: Annotated[float, Meta(ge=0.0)] = 0.0
    """Requests a second that a target bears while it is cold; 0 for no bound."""


class Target(_Base, frozen=True, tag="target"):
    """One back end of one service."""

    service: Name
    region: Name
    domain: Name
    address: str
    slots: Annotated[int, Meta(ge=1, le=10_000)]
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 130
    vm: str = ""
    warmup_ms: Millis = 0
    draining: bool = False
    """The target says that it is about to leave."""
    cold_ms: Millis = 0
    """How much longer the target stays cold from when this was written."""


class Tier(_Base, frozen=True, tag="tier"):
    """A priority tier: reserved share of slots, weight, and its callers."""

    callers: list[str] = []
    reserve_percent: Percent = 0
    weight: Annotated[int, Meta(ge=1, le=1_000)] = 1
    default: bool = False


class ShiftCap(_Base, frozen=True, tag="shiftcap"):
    """Most requests from other regions that may begin in any window."""

    service: Name
    region: Name
    units: Annotated[int, Meta(ge=1, le=10_000_000)]
    window_ms: Positive
    ramp_percent: Annotated[int, Meta(ge=1, le=100)] = 50
    """Level at which a shift starts, as a share of the cap."""


class Drain(_Base, frozen=True, tag="drain"):
    """A planned drain of exactly one region, failure domain, target or vm."""

    region: str = ""
    domain: str = ""
    target: str = ""
    vm: str = ""

    def covers(self, target: Target) -> bool:
        """Return whether a target is drained by this."""
        return (
            (self.region != "" and self.region == target.region)
            or (self.domain != "" and self.domain == target.domain)
            or (self.target != "" and self.target == target.name)
            or (self.vm != "" and self.vm == target.vm)
        )


class ServiceLevel(_Base, frozen=True, tag="servicelevel"):
    """An objective for one service and tier."""

    service: Name
    tier: Name
    latency_ms: Positive
    objective: Share


class Route(_Base, frozen=True, tag="route"):
    """Which requests go to which services, and how they may be treated."""

    host: str
    prefix: Annotated[str, Meta(pattern=r"^/(.*/)?$")]
    work: WorkClass
    services: dict[Name, Annotated[float, Meta(ge=0.0)]]
    """Weights of the services that share the requests."""
    timeout_ms: Millis = 0
    """Longest time that a request is held; 0 for the caller's deadline alone."""
    target_latency_ms: Millis = 0
    """Time within which an answer is worth its full price; 0 for none."""
    priority: Annotated[int, Meta(ge=0, le=1_000)] = 0
    """Priority of the requests, 0 for the most urgent."""
    attempts: Annotated[int, Meta(ge=1, le=100)] = 1
    """Most targets that one request may be sent to."""
    affinity: bool = False
    """Targets are faster at things that they have lately seen."""
    homes: list[Name] = []
    """Regions that may serve it; empty for all."""
    anonymous: bool = False
    """Requests need no key, also where workspaces are configured."""


class Workspace(_Base, frozen=True, tag="workspace"):
    """Whom requests belong to, by their keys, and what all of them may take."""

    key_digests: list[Digest] = []
    """SHA-256 of each key; the keys themselves are kept nowhere."""
    rate_per_s: Annotated[float, Meta(ge=0.0)] = 0.0
    """Requests a second, at all entries together; 0 for no bound."""
    burst: Annotated[float, Meta(ge=0.0)] = 0.0
    """Requests beyond the rate that may come at once."""
    priority: Annotated[int, Meta(ge=0, le=1_000)] | None = None
    """Goes before the priority of the route; the route's holds if there is none."""
    homes: list[Name] = []
    """Regions that may serve its requests; empty for all."""


class ClientLimits(_Base, frozen=True, tag="clientlimits"):
    """What a client may send and how long it may take."""

    header_bytes: Positive = 16_384
    body_bytes: Annotated[int, Meta(ge=0)] = 67_108_864
    header_timeout_ms: Positive = 3_000
    idle_timeout_ms: Positive = 15_000


class ClientBlocks(_Base, frozen=True, tag="clientblocks"):
    """A chunk of the map from client networks to home regions."""

    networks: dict[str, list[str]]
    """For each region, the networks that are nearest to it."""


Resource: TypeAlias = (
    Region
    | Service
    | Target
    | Tier
    | ShiftCap
    | Drain
    | ServiceLevel
    | Route
    | Workspace
    | ClientLimits
    | ClientBlocks
)
_CLASSES: tuple[type[_Base], ...] = (
    Region,
    Service,
    Target,
    Tier,
    ShiftCap,
    Drain,
    ServiceLevel,
    Route,
    Workspace,
    ClientLimits,
    ClientBlocks,
)
KINDS: dict[str, type[_Base]] = {str(c.__struct_config__.tag): c for c in _CLASSES}


def resource_key(resource: Resource) -> str:
    """Return the `kind/name` key of a resource."""
    return f"{resource.__struct_config__.tag}/{resource.name}"


def parse_resource(data: bytes | str) -> Resource:
    """Parse one resource from JSON.

    Raises:
      ConfigError: the document or a field is not acceptable.
    """
    return parse_json(data, Resource)  # type: ignore[arg-type]


def parse_resources(data: bytes | str) -> list[Resource]:
    """Parse one resource or a list of them from JSON."""
    text = data if isinstance(data, bytes) else data.encode()
    if text.lstrip().startswith(b"["):
        return parse_json(text, list[Resource])
    return [parse_resource(text)]


def serialize_resource(resource: Resource) -> bytes:
    """Serialize one resource as JSON."""
    return serialize_json(resource)
