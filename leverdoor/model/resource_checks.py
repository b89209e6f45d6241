# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Consistency checks of resources, run before a change is written.

`_check_resource` checks one resource, its references and its conflicts with others;
`_check_tiers` checks all tiers together. `validate` runs both and `check_removal` only
the first, on the resources that would exist after the change. All functions are pure
and own no state.
"""

import ipaddress
from collections.abc import Iterable, Mapping

from returns.result import Failure, Result, Success

from leverdoor.errors import Code, ConfigError
from leverdoor.model.resources import (
    ClientBlocks,
    Drain,
    Region,
    Resource,
    Route,
    ServiceLevel,
    ShiftCap,
    Target,
    Tier,
    Workspace,
    resource_key,
)

__all__ = ["check_removal", "validate"]


def validate(
    changed: Iterable[Resource], current: Mapping[str, Resource]
) -> Result[dict[str, Resource], ConfigError]:
    """Check that changed resources are consistent with all other resources.

    Args:
      changed: resources to be written.
      current: all existing resources, by `kind/name`.
    Returns: all resources as they would be after the change, or the first error found.
    """
    after = dict(current)
    to_check = []
    for resource in changed:
        after[resource_key(resource)] = resource
        to_check.append(resource)
    try:
        for resource in to_check:
            _check_resource(resource, after)
        _check_tiers(after)
    except ConfigError as e:
        return Failure(e)
    return Success(after)


def check_removal(
    key: str, current: Mapping[str, Resource]
) -> Result[dict[str, Resource], ConfigError]:
    """Check that no other resource refers to a resource that is to be deleted.

    Args:
      key: the `kind/name` of the resource.
      current: all existing resources, by `kind/name`.
    Returns: the remaining resources, or an error if a reference dangles.
    """
    after = {k: v for k, v in current.items() if k != key}
    try:
        for resource in after.values():
            _check_resource(resource, after)
    except ConfigError as e:
        # A removal causes only dangling references. Any other error existed before it
        # and does not prevent it; the remaining resources are not checked.
        if e.code is not Code.DANGLING_REFERENCE:
            return Success(after)
        return Failure(e)
    return Success(after)


def _require_resource(
    after: Mapping[str, Resource], key: str, checked_key: str, field: str
) -> Resource:
    """Return the resource that a field refers to.

    Raises:
      ConfigError: the resource does not exist.
    """
    found = after.get(key)
    if found is None:
        raise ConfigError(
            Code.DANGLING_REFERENCE,
            f"{checked_key}: field {field} names {key}, which does not exist",
            field=field,
        )
    return found


def _contradiction_error(checked_key: str, field: str, text: str) -> ConfigError:
    return ConfigError(Code.CONTRADICTION, f"{checked_key}: {text}", field=field)


def _check_resource(resource: Resource, after: Mapping[str, Resource]) -> None:
    checked_key = resource_key(resource)
    match resource:
        case Region():
            if not resource.domains:
                raise _contradiction_error(
                    checked_key,
                    "domains",
                    "a region must have at least one failure domain",
                )
        case Target():
            _check_target(resource, after, checked_key)
        case ShiftCap():
            _require_resource(
                after, f"service/{resource.service}", checked_key, "service"
            )
            _require_resource(after, f"region/{resource.region}", checked_key, "region")
            _check_duplicate_cap(resource, after, checked_key)
        case Drain():
            _check_drain(resource, after, checked_key)
        case ServiceLevel():
            _require_resource(
                after, f"service/{resource.service}", checked_key, "service"
            )
            _require_resource(after, f"tier/{resource.tier}", checked_key, "tier")
        case Route():
            _check_route(resource, after, checked_key)
        case Workspace():
            _check_workspace(resource, after, checked_key)
        case ClientBlocks():
            _check_blocks(resource, after, checked_key)
        case _:
            pass


def _check_target(
    target: Target, after: Mapping[str, Resource], checked_key: str
) -> None:
    _require_resource(after, f"service/{target.service}", checked_key, "service")
    region = _require_resource(after, f"region/{target.region}", checked_key, "region")
    if isinstance(region, Region) and target.domain not in region.domains:
        raise ConfigError(
            Code.DANGLING_REFERENCE,
            f"{checked_key}: region {region.name} has no domain {target.domain}",
            field="domain",
        )
    host, _, port = target.address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 0 < int(port) < 65_536:
            raise ValueError
    except ValueError:
        raise ConfigError(
            Code.UNKNOWN_FIELD,  # This code also covers invalid values.
            f"{checked_key}: address must be ip:port, got {target.address!r}",
            field="address",
        ) from None
    for other in after.values():
        if (
            isinstance(other, Target)
            and other.name != target.name
            and other.address == target.address
        ):
            raise _contradiction_error(
                checked_key, "address", f"target/{other.name} has the same address"
            )
    if target.connections < target.slots:
        raise _contradiction_error(
            checked_key,
            "connections",
            f"connections {target.connections} are fewer than slots {target.slots}",
        )


def _check_duplicate_cap(
    cap: ShiftCap, after: Mapping[str, Resource], checked_key: str
) -> None:
    for other in after.values():
        if (
            isinstance(other, ShiftCap)
            and other.name != cap.name
            and (other.service, other.region) == (cap.service, cap.region)
        ):
            raise _contradiction_error(
                checked_key,
                "service",
                f"shiftcap/{other.name} has the same service and region",
            )


def _check_drain(drain: Drain, after: Mapping[str, Resource], checked_key: str) -> None:
    named = [f for f in ("region", "domain", "target", "vm") if getattr(drain, f)]
    if len(named) != 1:
        raise _contradiction_error(
            checked_key,
            "region",
            f"set exactly one of region, domain, target, vm, found {named}",
        )
    if drain.region:
        _require_resource(after, f"region/{drain.region}", checked_key, "region")
    if drain.target:
        _require_resource(after, f"target/{drain.target}", checked_key, "target")
    if drain.domain and not any(
        isinstance(r, Region) and drain.domain in r.domains for r in after.values()
    ):
        raise ConfigError(
            Code.DANGLING_REFERENCE,
            f"{checked_key}: no region has failure domain {drain.domain}",
            field="domain",
        )


def _check_route(route: Route, after: Mapping[str, Resource], checked_key: str) -> None:
    for service in route.services:
        _require_resource(
            after, f"service/{service}", checked_key, f"services.{service}"
        )
    for region in route.homes:
        _require_resource(after, f"region/{region}", checked_key, "homes")
    if not any(route.services.values()):
        raise _contradiction_error(
            checked_key, "services", "at least one service must have a positive weight"
        )
    for other in after.values():
        if (
            isinstance(other, Route)
            and other.name != route.name
            and (other.host, other.prefix) == (route.host, route.prefix)
        ):
            raise _contradiction_error(
                checked_key,
                "prefix",
                f"route/{other.name} has the same host and prefix",
            )


def _check_workspace(
    workspace: Workspace, after: Mapping[str, Resource], checked_key: str
) -> None:
    for region in workspace.homes:
        _require_resource(after, f"region/{region}", checked_key, "homes")
    keys = set(workspace.key_digests)
    for other in after.values():
        if (
            isinstance(other, Workspace)
            and other.name != workspace.name
            and not keys.isdisjoint(other.key_digests)
        ):
            raise _contradiction_error(
                checked_key,
                "key_digests",
                f"workspace/{other.name} shares a key digest",
            )


def _check_blocks(
    blocks: ClientBlocks, after: Mapping[str, Resource], checked_key: str
) -> None:
    for region, networks in blocks.networks.items():
        _require_resource(after, f"region/{region}", checked_key, f"networks.{region}")
        for i, network in enumerate(networks):
            try:
                ipaddress.ip_network(network)
            except ValueError as e:
                raise ConfigError(
                    Code.UNKNOWN_FIELD,  # This code also covers invalid values.
                    f"{checked_key}: {e}",
                    field=f"networks.{region}[{i}]",
                ) from None


def _check_tiers(after: Mapping[str, Resource]) -> None:
    tiers = [r for r in after.values() if isinstance(r, Tier)]
    total = sum(t.reserve_percent for t in tiers)
    if total > 100:
        raise _contradiction_error(
            "tier",
            "reserve_percent",
            f"reserve_percent adds up to {total}%, the maximum is 100%",
        )
    defaults = [t.name for t in tiers if t.default]
    if len(defaults) > 1:
        raise _contradiction_error(
            "tier", "default", f"only one tier may be the default, found {defaults}"
        )
    tier_by_caller: dict[str, str] = {}
    for tier in tiers:
        for caller in tier.callers:
            if tier_by_caller.setdefault(caller, tier.name) != tier.name:
                raise _contradiction_error(
                    f"tier/{tier.name}",
                    "callers",
                    f"caller {caller} is in more than one tier",
                )
