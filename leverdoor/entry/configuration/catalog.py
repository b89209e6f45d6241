# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The resources in force, indexed for routing and placement.

A catalog is immutable; each change of the resources replaces it by a new one. Owns no
other state.
"""

from collections.abc import Iterable
from typing import TypeVar

from leverdoor.model.resources import (
    ClientLimits,
    Drain,
    Region,
    Resource,
    Route,
    Service,
    Target,
    Workspace,
)
from leverdoor.workspaces.directory import WorkspaceDirectory

__all__ = ["EMPTY_CATALOG", "Catalog", "host_without_port"]

T = TypeVar("T")

DEFAULT_LIMITS = ClientLimits(name="default")
"""Client limits that apply without a configuration, or if it sets none."""


def host_without_port(header: str) -> str:
    """Return the host of a Host header in lower case, without the port."""
    host = header.strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


class Catalog:
    """All resources at one revision, indexed for routing and placement."""

    def __init__(
        self, revision: int, version: str, resources: Iterable[Resource]
    ) -> None:
        """Index all resources.

        Args:
          revision: revision of the store at which they were read.
          version: version of the configuration set by the operator; "" if none.
          resources: all resources of the configuration.
        """
        self.revision = revision
        self.version = version
        all_resources = list(resources)
        self.regions = {r.name: r for r in _select(all_resources, Region)}
        self.services = {s.name: s for s in _select(all_resources, Service)}
        self.targets = {t.name: t for t in _select(all_resources, Target)}
        self.limits = next(iter(_select(all_resources, ClientLimits)), DEFAULT_LIMITS)
        self.workspaces = WorkspaceDirectory(_select(all_resources, Workspace))
        drains = _select(all_resources, Drain)
        self._routes = _by_host(_select(all_resources, Route))
        self.usable_targets_by_service: dict[str, list[Target]] = {}
        """Targets that may receive requests, by service and sorted by name."""
        for target in sorted(self.targets.values(), key=lambda t: t.name):
            if target.draining or any(d.covers(target) for d in drains):
                continue
            self.usable_targets_by_service.setdefault(target.service, []).append(target)
        self.usable_target_names = {
            t.name for ts in self.usable_targets_by_service.values() for t in ts
        }
        """Names of the targets that may receive requests."""

    @property
    def configured(self) -> bool:
        """Whether a configuration exists."""
        return self.version != ""

    @property
    def route_count(self) -> int:
        """Number of routes."""
        return sum(len(routes) for routes in self._routes.values())

    @property
    def route_names(self) -> set[str]:
        """Names of all routes."""
        return {route.name for routes in self._routes.values() for route in routes}

    def priorities_by_service(self) -> dict[str, list[int]]:
        """Return the priorities that requests of each service may have, ascending.

        A lower number is more urgent.
        """
        workspaces = self.workspaces.by_name.values()
        found: dict[str, set[int]] = {}
        for route in (r for routes in self._routes.values() for r in routes):
            priorities = {
                route.priority if w.priority is None else w.priority for w in workspaces
            }
            if not priorities or route.anonymous:
                priorities.add(route.priority)
            for service in route.services:
                found.setdefault(service, set()).update(priorities)
        return {service: sorted(priorities) for service, priorities in found.items()}

    def pairs_without_common_home(self) -> list[tuple[str, str]]:
        """Return each pair of route and workspace names without a common home region.

        Routes and workspaces without home regions are not included.
        """
        routes = [r for routes in self._routes.values() for r in routes if r.homes]
        workspaces = [w for w in self.workspaces.by_name.values() if w.homes]
        return [
            (route.name, workspace.name)
            for route in routes
            for workspace in workspaces
            if not set(route.homes) & set(workspace.homes)
        ]

    @property
    def target_names_by_region(self) -> dict[str, list[str]]:
        """Names of all targets, by region."""
        groups: dict[str, list[str]] = {}
        for target in self.targets.values():
            groups.setdefault(target.region, []).append(target.name)
        return groups

    def route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path, or None."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _select(resources: list[Resource], resource_type: type[T]) -> list[T]:
    return [r for r in resources if isinstance(r, resource_type)]


def _by_host(routes: list[Route]) -> dict[str, list[Route]]:
    """Return the routes of each host, longest prefixes first."""
    groups: dict[str, list[Route]] = {}
    for route in routes:
        groups.setdefault(route.host.lower(), []).append(route)
    for host_routes in groups.values():
        host_routes.sort(key=lambda r: -len(r.prefix))
    return groups


EMPTY_CATALOG = Catalog(0, "", ())
"""The catalog of an entry that has no configuration yet."""
