# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The operator's configuration as a JSON document in the platform's store.

The document is decoded and converted to resources. Field names are the platform's;
misleading ones have a comment. Owns no state.
"""

import msgspec

from leverdoor.model.resources import (
    ClientLimits,
    Resource,
    Route,
    Service,
    WorkClass,
    Workspace,
)
from leverdoor.workspaces.keys import key_digest

__all__ = ["OperatorConfig"]

WORK_CLASSES = {
    "safe": WorkClass.LOOKUP,
    "unsafe": WorkClass.ONCE,
    "upload": WorkClass.BULK,
}
"""Work class by the kind of a route.

"safe" requests may run more than once, "unsafe" requests must run at most once, and
"upload" requests are bulk uploads.
"""


class _WeightedService(msgspec.Struct):
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


class _Route(msgspec.Struct, rename="kebab"):
    """A route.

    If it has both `service` and `traffic_split`, `service` adds a weight of 1.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    """Kind of the requests, see `WORK_CLASSES`; an unknown kind counts as "unsafe"."""
    timeout_ms: float = 0
    """Request timeout; 0 if only the caller's deadline applies."""
    target_latency_ms: float = 0
    """Latency objective, 0 for none; "target" here does not mean a back end."""
    priority: int = 0
    """0 is the highest priority."""
    service: str = ""
    traffic_split: list[_WeightedService] = []
    max_attempts: int = 1
    """Maximum number of targets that may receive a request.

    Attempts that did not reach a target may exceed it by `EXTRA_CONNECT_ATTEMPTS`, see
    `entry.requests.retries`.
    """
    session_affinity: bool = False
    """Send requests with equal affinity keys to the same target while it is usable."""
    home_regions: list[str] = []
    """Regions that may serve the route; empty for all."""
    allow_anonymous: bool = False
    """Serve requests without a workspace key."""

    def to_resource(self) -> Route:
        """Convert the document's fields to a route resource."""
        weights = {self.service: 1.0} if self.service else {}
        for part in self.traffic_split:
            weights[part.service] = weights.get(part.service, 0.0) + part.weight
        return Route(
            name=self.name,
            host=self.host,
            prefix=self.path_prefix,
            work=WORK_CLASSES.get(self.kind, WorkClass.ONCE),
            services=weights,
            timeout_ms=round(self.timeout_ms),
            target_latency_ms=round(self.target_latency_ms),
            priority=self.priority,
            attempts=max(self.max_attempts, 1),
            affinity=self.session_affinity,
            homes=self.home_regions,
            anonymous=self.allow_anonymous,
        )


class _Tenant(msgspec.Struct, rename="kebab"):
    """A workspace, which the platform calls a tenant."""

    name: str
    api_keys: list[str] = []
    """Workspace keys; the resource contains only their digests."""
    priority: int | None = None
    """Overrides the priority of the route; None to use the priority of the route."""
    rate_per_s: float = 0.0
    burst: float = 0.0
    """Requests that may arrive at once in excess of the rate."""
    home_regions: list[str] = []
    """Regions that may serve the workspace's requests; empty for all."""

    def to_resource(self) -> Workspace:
        """Convert the document's fields to a workspace resource."""
        return Workspace(
            name=self.name,
            key_digests=[key_digest(key) for key in self.api_keys],
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            priority=self.priority,
            homes=self.home_regions,
        )


class _Service(msgspec.Struct, rename="kebab"):
    """A service; its work class is set by its routes."""

    name: str
    health_check_path: str = ""
    connection_limit: int = 0
    warmup_per_s: float = 0.0
    """Requests per second that a cold target can serve, from all entries together."""

    def to_resource(self) -> Service:
        """Convert the document's fields to a service resource."""
        return Service(
            name=self.name,
            work=WorkClass.ONCE,  # Entries use the work class of the route instead.
            health_path=self.health_check_path,
            connections=self.connection_limit,
            warmup_per_s=self.warmup_per_s,
        )


class _Limits(msgspec.Struct, rename="kebab"):
    """Size limits and timeouts for requests of clients."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000

    def to_resource(self) -> ClientLimits:
        """Convert the document's fields to a client limits resource."""
        return ClientLimits(
            name="limits",
            header_bytes=self.max_header_bytes,
            body_bytes=self.max_body_bytes,
            header_timeout_ms=round(self.header_timeout_ms),
            idle_timeout_ms=round(self.idle_timeout_ms),
        )


class OperatorConfig(msgspec.Struct):
    """The operator's configuration document."""

    version: str
    """Version of the configuration."""
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []

    def service_names(self) -> set[str]:
        """Return the names of all services that are defined or used by a route."""
        names = {s.name for s in self.services}
        for route in self.routes:
            names |= route.to_resource().services.keys()
        return names

    def to_resources(self) -> list[Resource]:
        """Convert the document to resources."""
        found: list[Resource] = [r.to_resource() for r in self.routes]
        found += [s.to_resource() for s in self.services]
        found += [t.to_resource() for t in self.tenants]
        found.append(self.limits.to_resource())
        return found
