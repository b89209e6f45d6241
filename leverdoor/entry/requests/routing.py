# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Determines a request's route, workspace, deadline and forwarded headers.

Owns no state. Relies on the active catalogue, and on recent confirmations by the store
that the workspace keys are still valid.
"""

from collections.abc import Callable

from leverdoor.entry.configuration.catalog import Catalog, host_without_port
from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.entry.requests.deadlines import DEFAULT_DEADLINE_MS, request_deadline
from leverdoor.entry.requests.entry_request import EntryRequest
from leverdoor.entry.requests.retry_after import (
    KEY_UNCONFIRMED_RETRY_MS,
    NO_CONFIGURATION_RETRY_MS,
)
from leverdoor.entry.wire import Wire
from leverdoor.errors import Code, Refusal
from leverdoor.headers import bounded_int, forwardable_headers
from leverdoor.http.messages import Request, decode_value
from leverdoor.model.resources import Route, WorkClass, Workspace

__all__ = ["RequestRouter"]

MAX_LOGGED_PATH_CHARS = 100
"""Maximum number of characters of an unroutable path that are logged."""


class RequestRouter:
    """Creates an `EntryRequest` from each client request."""

    def __init__(
        self,
        wire: Wire,
        catalog: Callable[[], Catalog],
        pick_service: Callable[[Route], str],
        keys_confirmed: Callable[[float], bool],
    ) -> None:
        """Initialize the router.

        Args:
          wire: the header names.
          catalog: returns the active catalogue.
          pick_service: chooses one of the services of a route.
          keys_confirmed: returns whether, at a loop time in seconds, the store has
            confirmed the workspace keys recently enough.
        """
        self._headers = wire.headers
        self._catalog = catalog
        self._pick_service = pick_service
        self._keys_confirmed = keys_confirmed

    def create_entry_request(
        self, request: Request, request_id: str, arrived: float
    ) -> EntryRequest:
        """Return the entry request for a client request, without its body.

        Args:
          request: the request of the client.
          request_id: its id; "" if absent.
          arrived: loop time at which its headers arrived, in seconds.
        Raises:
          Refusal: the request has no route, is malformed or has no valid workspace key.
        """
        catalog = self._catalog()
        route = self._find_route(catalog, request, request_id)
        workspace = self._identify_workspace(catalog, request, route, arrived)
        deadline_name = self._headers.deadline_ms
        deadline_ms = bounded_int(request.headers, deadline_name, DEFAULT_DEADLINE_MS)
        placement_request = PlacementRequest(
            request_id=request_id,
            route=route,
            service=self._pick_service(route),
            key=request.headers.get(self._headers.affinity, request_id),
            version=catalog.version,
            arrived_at=arrived,
            expires_at=request_deadline(arrived, deadline_ms, route),
            workspace=workspace,
            deadline_ms=deadline_ms,
        )
        headers = self._forwarded_headers(request, workspace)
        return EntryRequest(placement_request, request.method, request.target, headers)

    def may_repeat(self, request: Request) -> bool:
        """Return whether a request may run more than once, by its route."""
        host = host_without_port(request.headers.get("Host", ""))
        route = self._catalog().route(host, request.path)
        return route is not None and route.work is WorkClass.LOOKUP

    def _find_route(self, catalog: Catalog, request: Request, request_id: str) -> Route:
        """Return the route of a request.

        Raises:
          Refusal: no route matches, or the request is malformed.
        """
        if not catalog.configured:
            raise Refusal(
                Code.NO_CONFIGURATION, retry_after_ms=NO_CONFIGURATION_RETRY_MS
            )
        path = request.target
        if not path.startswith("/") or not request_id:
            raise Refusal(Code.BAD_REQUEST, "request id or absolute path missing")
        host = host_without_port(request.headers.get("Host", ""))
        route = catalog.route(host, request.path)
        if route is None:
            raise Refusal(Code.NO_ROUTE, f"{host} {path[:MAX_LOGGED_PATH_CHARS]}")
        return route

    def _identify_workspace(
        self, catalog: Catalog, request: Request, route: Route, arrived: float
    ) -> Workspace | None:
        """Return the workspace of a request; None as in `WorkspaceDirectory.identify`.

        Raises:
          Refusal: the workspace key is missing, unknown or unconfirmed.
        """
        key = decode_value(request.headers.get(self._headers.workspace_key))
        workspace = catalog.workspaces.identify(key, anonymous=route.anonymous)
        if workspace is not None and not self._keys_confirmed(arrived):
            raise Refusal(
                Code.WORKSPACE_KEY_UNCONFIRMED, retry_after_ms=KEY_UNCONFIRMED_RETRY_MS
            )
        return workspace

    def _forwarded_headers(
        self, request: Request, workspace: Workspace | None
    ) -> list[tuple[str, str]]:
        """Return the headers to forward to the target, including Host.

        The workspace key is not forwarded. Only the entry sets the workspace name,
        because targets trust it.
        """
        names = self._headers
        not_forwarded = (
            names.deadline_ms,
            names.instance,
            names.workspace_key,
            names.workspace,
            "content-length",
        )
        connection = request.headers.get("Connection", "")
        forwarded = [("Host", request.headers.get("Host", ""))]
        forwarded += [
            (name, value)
            for name, value in forwardable_headers(request.headers.items(), connection)
            if name.lower() not in not_forwarded
        ]
        if workspace is not None:
            forwarded.append((names.workspace, workspace.name))
        return forwarded
