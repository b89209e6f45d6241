# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The kinds of resource that operators write, and their validation."""

import ipaddress
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from leverdoor.codec import parse_json, serialize_json
from leverdoor.errors import Code, ConfigError

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
    "Work",
    "parse_resource",
    "parse_resources",
    "resource_key",
    "serialize_resource",
    "validate",
]

Name: TypeAlias = Annotated[str, Meta(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
Positive: TypeAlias = Annotated[int, Meta(ge=1, le=86_400_000)]
Millis: TypeAlias = Annotated[int, Meta(ge=0, le=86_400_000)]
Percent: TypeAlias = Annotated[int, Meta(ge=0, le=100)]
Share: TypeAlias = Annotated[float, Meta(gt=0.0, lt=1.0)]


class Work(StrEnum):
    """Class of work, which says what a repeat may do."""

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

    work: Work
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
        """Say whether a target is drained by this."""
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
    work: Work
    services: dict[Name, Annotated[float, Meta(ge=0.0)]]
    """Weights of the services that share the requests."""
    timeout_ms: Millis = 0
    """Longest time that a request is held; 0 for the caller's deadline alone."""
    target_latency_ms: Millis = 0
    """Time within which an answer is worth its full price; 0 for none."""
    priority: Annotated[int, Meta(ge=0, le=1_000)] = 0
    """Rank of the requests, 0 for the most urgent."""
    attempts: Annotated[int, Meta(ge=1, le=100)] = 1
    """Most targets that one request may be sent to."""
    affinity: bool = False
    """Targets are faster at things that they have lately seen."""
    homes: list[Name] = []
    """Regions that may serve it; empty for all."""


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


def validate(
    changed: Iterable[Resource], current: Mapping[str, Resource]
) -> Result[dict[str, Resource], ConfigError]:
    """Check resources against one another before anything is written.

    Args:
      changed: resources to be written.
      current: all resources now, by `kind/name`.
    Returns: what all resources would be, or the first problem found.
    """
    after = dict(current)
    touched = []
    for resource in changed:
        after[resource_key(resource)] = resource
        touched.append(resource)
    try:
        for resource in touched:
            _check(resource, after)
        _check_tiers(after)
    except ConfigError as e:
        return Failure(e)
    return Success(after)


def check_removal(
    key: str, current: Mapping[str, Resource]
) -> Result[dict[str, Resource], ConfigError]:
    """Check that nothing refers to a resource about to be deleted."""
    after = {k: v for k, v in current.items() if k != key}
    try:
        for resource in after.values():
            _check(resource, after)
    except ConfigError as e:
        if e.code is not Code.DANGLING_REFERENCE:
            return Success(after)
        return Failure(e)
    return Success(after)


def _need(after: Mapping[str, Resource], key: str, owner: str, field: str) -> Resource:
    """Return the resource that a field refers to."""
    found = after.get(key)
    if found is None:
        raise ConfigError(
            Code.DANGLING_REFERENCE,
            f"{owner}: field {field} names {key}, which does not exist",
            field=field,
        )
    return found


def _contradiction(owner: str, field: str, text: str) -> ConfigError:
    return ConfigError(Code.CONTRADICTION, f"{owner}: {text}", field=field)


def _check(resource: Resource, after: Mapping[str, Resource]) -> None:
    owner = resource_key(resource)
    match resource:
        case Region():
            if not resource.domains:
                raise _contradiction(owner, "domains", "a region needs a domain")
        case Target():
            _check_target(resource, after, owner)
        case ShiftCap():
            _need(after, f"service/{resource.service}", owner, "service")
            _need(after, f"region/{resource.region}", owner, "region")
            _check_one_cap(resource, after, owner)
        case Drain():
            _check_drain(resource, after, owner)
        case ServiceLevel():
            _need(after, f"service/{resource.service}", owner, "service")
            _need(after, f"tier/{resource.tier}", owner, "tier")
        case Route():
            _check_route(resource, after, owner)
        case ClientBlocks():
            _check_blocks(resource, after, owner)
        case _:
            pass


def _check_target(target: Target, after: Mapping[str, Resource], owner: str) -> None:
    _need(after, f"service/{target.service}", owner, "service")
    region = _need(after, f"region/{target.region}", owner, "region")
    if isinstance(region, Region) and target.domain not in region.domains:
        raise ConfigError(
            Code.DANGLING_REFERENCE,
            f"{owner}: region {region.name} has no domain {target.domain}",
            field="domain",
        )
    host, _, port = target.address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 0 < int(port) < 65_536:
            raise ValueError
    except ValueError:
        raise ConfigError(
            Code.UNKNOWN_FIELD,
            f"{owner}: address must be ip:port, got {target.address!r}",
            field="address",
        ) from None
    for other in after.values():
        if (
            isinstance(other, Target)
            and other.name != target.name
            and other.address == target.address
        ):
            raise _contradiction(owner, "address", f"target/{other.name} has it too")
    if target.connections < target.slots:
        raise _contradiction(owner, "connections", "fewer connections than slots")


def _check_one_cap(cap: ShiftCap, after: Mapping[str, Resource], owner: str) -> None:
    for other in after.values():
        if (
            isinstance(other, ShiftCap)
            and other.name != cap.name
            and (other.service, other.region) == (cap.service, cap.region)
        ):
            raise _contradiction(owner, "service", f"shiftcap/{other.name} covers it")


def _check_drain(drain: Drain, after: Mapping[str, Resource], owner: str) -> None:
    named = [f for f in ("region", "domain", "target", "vm") if getattr(drain, f)]
    if len(named) != 1:
        raise _contradiction(owner, "region", "name one of region, domain, target, vm")
    if drain.region:
        _need(after, f"region/{drain.region}", owner, "region")
    if drain.target:
        _need(after, f"target/{drain.target}", owner, "target")
    if drain.domain and not any(
        isinstance(r, Region) and drain.domain in r.domains for r in after.values()
    ):
        raise ConfigError(
            Code.DANGLING_REFERENCE,
            f"{owner}: no region has domain {drain.domain}",
            field="domain",
        )


def _check_route(route: Route, after: Mapping[str, Resource], owner: str) -> None:
    for service in route.services:
        _need(after, f"service/{service}", owner, f"services.{service}")
    for region in route.homes:
        _need(after, f"region/{region}", owner, "homes")
    if not any(route.services.values()):
        raise _contradiction(owner, "services", "no service has a weight")
    for other in after.values():
        if (
            isinstance(other, Route)
            and other.name != route.name
            and (other.host, other.prefix) == (route.host, route.prefix)
        ):
            raise _contradiction(owner, "prefix", f"route/{other.name} has it too")


def _check_blocks(
    blocks: ClientBlocks, after: Mapping[str, Resource], owner: str
) -> None:
    for region, networks in blocks.networks.items():
        _need(after, f"region/{region}", owner, f"networks.{region}")
        for i, network in enumerate(networks):
            try:
                ipaddress.ip_network(network)
            except ValueError as e:
                raise ConfigError(
                    Code.UNKNOWN_FIELD,
                    f"{owner}: {e}",
                    field=f"networks.{region}[{i}]",
                ) from None


def _check_tiers(after: Mapping[str, Resource]) -> None:
    tiers = [r for r in after.values() if isinstance(r, Tier)]
    total = sum(t.reserve_percent for t in tiers)
    if total > 100:
        raise _contradiction(
            "tier", "reserve_percent", f"reserves add up to {total}%, over 100%"
        )
    defaults = [t.name for t in tiers if t.default]
    if len(defaults) > 1:
        raise _contradiction("tier", "default", f"{defaults} are all the default")
    seen: dict[str, str] = {}
    for tier in tiers:
        for caller in tier.callers:
            if seen.setdefault(caller, tier.name) != tier.name:
                raise _contradiction(
                    f"tier/{tier.name}", "callers", f"{caller} is in two tiers"
                )
