# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The resources in force, indexed for decisions on requests.

A catalogue never changes; a newer one replaces it whole. Owns no other state.
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

__all__ = ["Catalog", "EMPTY_CATALOG", "host_without_port"]

T = TypeVar("T")

DEFAULT_LIMITS = ClientLimits(name="default")
"""Limits on clients before there is a configuration, and without any in it."""


def host_without_port(header: str) -> str:
    """Return the host that a Host header names, without a port."""
    host = header.strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


class Catalog:
    """All resources at one revision, indexed for routing and placement."""

    def __init__(
        self, revision: int, version: str, resources: Iterable[Resource]
    ) -> None:
        """Index resources.

        Args:
          revision: the store's revision that they were read at.
          version: the operator's name of the configuration; "" for none yet.
          resources: all of them.
        """
        self.revision = revision
        self.version = version
        listed = list(resources)
        self.regions = {r.name: r for r in _of(listed, Region)}
        self.services = {s.name: s for s in _of(listed, Service)}
        self.targets = {t.name: t for t in _of(listed, Target)}
        self.limits = next(iter(_of(listed, ClientLimits)), DEFAULT_LIMITS)
        self.workspaces = WorkspaceDirectory(_of(listed, Workspace))
        drains = _of(listed, Drain)
        self._routes = _by_host(_of(listed, Route))
        self.by_service: dict[str, list[Target]] = {}
        """The targets of each service that may get requests, by name in order."""
        for target in sorted(self.targets.values(), key=lambda t: t.name):
            if target.draining or any(d.covers(target) for d in drains):
                continue
            self.by_service.setdefault(target.service, []).append(target)
        self.in_service = {t.name for ts in self.by_service.values() for t in ts}
        """Names of the targets that may get requests."""

    @property
    def configured(self) -> bool:
        """Whether there is a configuration at all."""
        return self.version != ""

    @property
    def route_count(self) -> int:
        """How many routes there are."""
        return sum(len(routes) for routes in self._routes.values())

    @property
    def route_names(self) -> set[str]:
        """The names of the routes."""
        return {route.name for routes in self._routes.values() for route in routes}

    def without_common_home(self) -> list[tuple[str, str]]:
        """Return the names of each route and workspace that share no home region."""
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
        """The names of all targets, by their region."""
        found: dict[str, list[str]] = {}
        for target in self.targets.values():
            found.setdefault(target.region, []).append(target.name)
        return found

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path, or None."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _of(resources: list[Resource], kind: type[T]) -> list[T]:
    return [r for r in resources if isinstance(r, kind)]


def _by_host(routes: list[Route]) -> dict[str, list[Route]]:
    """Return the routes of each host, those with longer prefixes first."""
    found: dict[str, list[Route]] = {}
    for route in routes:
        found.setdefault(route.host.lower(), []).append(route)
    for listed in found.values():
        listed.sort(key=lambda r: -len(r.prefix))
    return found


EMPTY_CATALOG = Catalog(0, "", ())
"""The catalogue of an entry that has no configuration yet."""
