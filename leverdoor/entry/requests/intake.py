# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Takes a request in: its route, whose it is, its deadline, what a target gets of it.

Owns no state. Relies on the catalogue in force, and on the store's answers for whether
a workspace key still holds.
"""

from collections.abc import Callable

from aiohttp import web

from leverdoor.entry.configuration.catalog import Catalog, entry_host
from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.entry.requests.deadlines import DEFAULT_DEADLINE_MS, give_up_at
from leverdoor.entry.requests.entry_request import EntryRequest
from leverdoor.entry.requests.retry_after import NO_CONFIGURATION_MS, UNCONFIRMED_MS
from leverdoor.entry.wire import Wire
from leverdoor.errors import Code, Refusal
from leverdoor.headers import bounded_int, forwardable_headers
from leverdoor.model.resources import Route, Workspace

__all__ = ["Intake"]

LOGGED_PATH = 100
"""Characters of a path without a route that the log line has."""


class Intake:
    """Turns the requests of clients into requests of the entry."""

    def __init__(
        self,
        wire: Wire,
        catalog: Callable[[], Catalog],
        pick_service: Callable[[Route], str],
        confirmed: Callable[[float], bool],
    ) -> None:
        """Create it.

        Args:
          wire: the names of headers.
          catalog: returns the catalogue in force.
          pick_service: chooses the service of a route that has several.
          confirmed: returns whether keys can be known to hold at a loop time.
        """
        self._headers = wire.headers
        self._catalog = catalog
        self._pick_service = pick_service
        self._confirmed = confirmed

    def take(
        self, request: web.BaseRequest, request_id: str, arrived: float
    ) -> EntryRequest:
        """Take a request in, without its body.

        Args:
          request: the client's.
          request_id: its id; "" for none.
          arrived: loop time at which its head arrived, in seconds.
        Raises:
          Refusal: it can't be routed, or is not acceptable.
        """
        catalog = self._catalog()
        route = self._route(catalog, request, request_id)
        workspace = self._workspace(catalog, request, route, arrived)
        placement_request = PlacementRequest(
            request_id=request_id,
            route=route,
            service=self._pick_service(route),
            key=request.headers.get(self._headers.affinity, request_id),
            version=catalog.version,
            arrived=arrived,
            until=self._until(request, route, arrived),
            workspace=workspace,
        )
        headers = self._passing(request, workspace)
        return EntryRequest(
            placement_request, request.method, request.raw_path, headers
        )

    def _route(
        self, catalog: Catalog, request: web.BaseRequest, request_id: str
    ) -> Route:
        """Return the route of a request.

        Raises:
          Refusal: there is none, or the request is malformed.
        """
        if not catalog.configured:
            raise Refusal(Code.NO_CONFIGURATION, retry_after_ms=NO_CONFIGURATION_MS)
        path = request.raw_path
        if not path.startswith("/") or not request_id:
            raise Refusal(Code.BAD_REQUEST, "no request id or no path")
        host = entry_host(request.headers.get("Host", ""))
        route = catalog.route(host, path.partition("?")[0])
        if route is None:
            raise Refusal(Code.NO_ROUTE, f"{host} {path[:LOGGED_PATH]}")
        return route

    def _workspace(
        self, catalog: Catalog, request: web.BaseRequest, route: Route, now: float
    ) -> Workspace | None:
        """Return whose request it is; None where no workspace is needed.

        Raises:
          Refusal: its key is missing, unknown, or can't be confirmed.
        """
        key = request.headers.get(self._headers.workspace_key, "")
        workspace = catalog.workspaces.identify(key, anonymous=route.anonymous)
        if workspace is not None and not self._confirmed(now):
            raise Refusal(Code.WORKSPACE_KEY_UNCONFIRMED, retry_after_ms=UNCONFIRMED_MS)
        return workspace

    def _until(self, request: web.BaseRequest, route: Route, arrived: float) -> float:
        """Return the loop time at which a request is given up, in seconds."""
        name = self._headers.deadline_ms
        deadline_ms = bounded_int(request.headers, name, DEFAULT_DEADLINE_MS)
        return give_up_at(arrived, deadline_ms, route)

    def _passing(
        self, request: web.BaseRequest, workspace: Workspace | None
    ) -> list[tuple[str, str]]:
        """Return the headers for the target, Host included.

        The workspace's key stays here. The workspace's name is set by the entry
        alone, since targets trust it.
        """
        names = self._headers
        own = (
            names.deadline_ms,
            names.instance,
            names.workspace_key,
            names.workspace,
            "content-length",
        )
        connection = request.headers.get("Connection", "")
        found = [("Host", request.headers.get("Host", ""))]
        found += [
            (name, value)
            for name, value in forwardable_headers(request.headers.items(), connection)
            if name.lower() not in own
        ]
        if workspace is not None:
            found.append((names.workspace, workspace.name))
        return found
