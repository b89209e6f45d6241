# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The kinds of resources that operators write.

The JSON form is stored and served, so field names, tags and defaults are part of the
public interface. Resources are immutable. Names of times, rates, percentages and byte
counts end in the unit (`_ms`, `_per_s`, `_percent`, `_bytes`). Owns no state; relies on
`leverdoor.codec`.
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
PositiveInt: TypeAlias = Annotated[int, Meta(ge=1, le=86_400_000)]
"""A positive number; the maximum is the number of ms in a day."""
Millis: TypeAlias = Annotated[int, Meta(ge=0, le=86_400_000)]
Percent: TypeAlias = Annotated[int, Meta(ge=0, le=100)]
Digest: TypeAlias = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Fraction: TypeAlias = Annotated[float, Meta(gt=0.0, lt=1.0)]


class WorkClass(StrEnum):
    """Class of work; it determines whether a request may run more than once."""

    LOOKUP = "lookup"
    """May run more than once."""
    ONCE = "once"
    """Must run at most once."""
    BULK = "bulk"
    """Bulk upload; must run at most once."""


class _ResourceBase(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"
):
    """Fields that all kinds of resources have."""

    name: Name


class Region(_ResourceBase, frozen=True, tag="region"):
    """A region, its failure domains and its one-way latency to other regions."""

    domains: list[Name]
    latency_ms: dict[str, Millis] = {}


class Service(_ResourceBase, frozen=True, tag="service"):
    """A service that callers request by name."""

    work: WorkClass
    deadline_ms: PositiveInt = 2_000
    linger_ms: Millis = 1_000
    """Maximum time for which a target may run a request after its connection closed."""
    queue: Annotated[int, Meta(ge=0, le=100_000)] = 64
    """Maximum length of the queue of each entry, in requests."""
    bulk_prefixes: list[str] = []
    """Path prefixes of bulk uploads; they override the service's class of work."""
    health_path: str = ""
    """Health check path, to which a healthy target responds with 200; "" for none."""
    connections: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    """Maximum connections from all entries together to one target; 0 for no limit."""
    warmup_per_s: Annotated[float, Meta(ge=0.0)] = 0.0
    """Requests per second that a cold target can serve; 0 for no limit."""


class Target(_ResourceBase, frozen=True, tag="target"):
    """A back end of one service."""

    service: Name
    region: Name
    domain: Name
    address: str
    slots: Annotated[int, Meta(ge=1, le=10_000)]
    """Maximum number of concurrent requests."""
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 130
    """Maximum number of connections; not less than `slots`."""
    vm: str = ""
    warmup_ms: Millis = 0
    """Duration of slow start, in which a gate raises the number of slots that it uses.

    It begins when the gate first knows the target and after each ejection for failures.
    0 for no slow start."""
    draining: bool = False
    """The target announced that it is about to stop; not set by a `Drain`."""
    cold_ms: Millis = 0
    """Remaining warm-up time, counted from the write of this resource."""


class Tier(_ResourceBase, frozen=True, tag="tier"):
    """A priority tier with its reserved share of slots, its weight and its callers."""

    callers: list[str] = []
    reserve_percent: Percent = 0
    weight: Annotated[int, Meta(ge=1, le=1_000)] = 1
    default: bool = False
    """Whether callers that no tier lists belong to this tier."""


class ShiftCap(_ResourceBase, frozen=True, tag="shiftcap"):
    """Limits the requests for one service that a region accepts from other regions."""

    service: Name
    region: Name
    """The region that accepts the requests."""
    units: Annotated[int, Meta(ge=1, le=10_000_000)]
    """Maximum number of these requests that may start in any period of `window_ms`."""
    window_ms: PositiveInt
    ramp_percent: Annotated[int, Meta(ge=1, le=100)] = 50
    """Percentage of `units` that is available at first.

    It doubles after a window that used at least half of the available units and halves
    after an unused window."""


class Drain(_ResourceBase, frozen=True, tag="drain"):
    """A planned drain of exactly one region, failure domain, target or VM."""

    region: str = ""
    domain: str = ""
    target: str = ""
    vm: str = ""

    def covers(self, target: Target) -> bool:
        """Return whether this drain applies to a target."""
        return (
            (self.region != "" and self.region == target.region)
            or (self.domain != "" and self.domain == target.domain)
            or (self.target != "" and self.target == target.name)
            or (self.vm != "" and self.vm == target.vm)
        )


class ServiceLevel(_ResourceBase, frozen=True, tag="servicelevel"):
    """A latency objective for one service and tier.

    `objective` is the fraction of requests to be answered within `latency_ms`.
    """

    service: Name
    tier: Name
    latency_ms: PositiveInt
    objective: Fraction


class Route(_ResourceBase, frozen=True, tag="route"):
    """Matches requests by host and path prefix, and sets how they are served."""

    host: str
    prefix: Annotated[str, Meta(pattern=r"^/(.*/)?$")]
    work: WorkClass
    services: dict[Name, Annotated[float, Meta(ge=0.0)]]
    """Weights by which the requests are split among services."""
    timeout_ms: Millis = 0
    """Request timeout; 0 if only the caller's deadline applies."""
    target_latency_ms: Millis = 0
    """Latency objective of the route, 0 for none; "target" does not mean a back end."""
    priority: Annotated[int, Meta(ge=0, le=1_000)] = 0
    """Priority of the requests; 0 is the highest."""
    attempts: Annotated[int, Meta(ge=1, le=100)] = 1
    """Maximum number of targets that may run one request."""
    affinity: bool = False
    """Send requests with equal affinity keys to the same target, because a target
    serves requests for recently used data faster."""
    homes: list[Name] = []
    """Regions that may serve the route; empty for all.

    Not related to the home regions of clients in `ClientBlocks`."""
    anonymous: bool = False
    """Accept requests without a workspace key, even if workspaces are configured."""


class Workspace(_ResourceBase, frozen=True, tag="workspace"):
    """A workspace: its keys, its quota and the regions that may serve it."""

    key_digests: list[Digest] = []
    """SHA-256 digest of each key; the keys themselves are not stored."""
    rate_per_s: Annotated[float, Meta(ge=0.0)] = 0.0
    """Requests per second at all entries together; 0 for no limit."""
    burst: Annotated[float, Meta(ge=0.0)] = 0.0
    """Requests that may arrive at once in excess of the rate."""
    priority: Annotated[int, Meta(ge=0, le=1_000)] | None = None
    """Overrides the priority of the route; None to use the priority of the route."""
    homes: list[Name] = []
    """Regions that may serve the workspace's requests; empty for all."""


class ClientLimits(_ResourceBase, frozen=True, tag="clientlimits"):
    """Size limits and timeouts for requests of clients."""

    header_bytes: PositiveInt = 16_384
    body_bytes: Annotated[int, Meta(ge=0)] = 67_108_864
    header_timeout_ms: PositiveInt = 3_000
    idle_timeout_ms: PositiveInt = 15_000


class ClientBlocks(_ResourceBase, frozen=True, tag="clientblocks"):
    """A part of the map from client networks to home regions."""

    networks: dict[str, list[str]]
    """By region, the client networks that are nearest to it, in CIDR notation."""


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
_RESOURCE_TYPES: tuple[type[_ResourceBase], ...] = (
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
KINDS: dict[str, type[_ResourceBase]] = {
    str(c.__struct_config__.tag): c for c in _RESOURCE_TYPES
}
"""Class of each kind of resource."""


def resource_key(resource: Resource) -> str:
    """Return the `kind/name` key of a resource."""
    return f"{resource.__struct_config__.tag}/{resource.name}"


def parse_resource(data: bytes | str) -> Resource:
    """Parse one resource from JSON.

    Raises:
      ConfigError: the document is malformed, or a field is unknown or invalid.
    """
    return parse_json(data, Resource)  # type: ignore[arg-type]


def parse_resources(data: bytes | str) -> list[Resource]:
    """Parse one resource or a list of resources from JSON.

    Raises:
      ConfigError: the document is malformed, or a field is unknown or invalid.
    """
    text = data if isinstance(data, bytes) else data.encode()
    if text.lstrip().startswith(b"["):
        return parse_json(text, list[Resource])
    return [parse_resource(text)]


def serialize_resource(resource: Resource) -> bytes:
    """Serialize one resource as JSON."""
    return serialize_json(resource)
