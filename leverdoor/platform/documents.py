# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Documents that the operator keeps in the platform's store.

Each is decoded once and turned into the product's resources. A field has a comment
where the platform's name misleads. Owns no state.
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

__all__ = ["Config"]

KINDS = {"safe": WorkClass.LOOKUP, "unsafe": WorkClass.ONCE, "upload": WorkClass.BULK}
"""Kinds of routes: "safe" may run again, "unsafe" must run at most once."""


class _Part(msgspec.Struct):
    """A service and its part of a route's requests."""

    service: str
    weight: float


class _Route(msgspec.Struct, rename="kebab"):
    """A route; one that names a service and a split gets the sum of both."""

    name: str
    host: str
    path_prefix: str
    kind: str
    """One of `KINDS`; anything else is taken for what must run at most once."""
    timeout_ms: float = 0
    """0 for none."""
    target_latency_ms: float = 0
    """The latency that the operator aims at; 0 for none. No target is meant."""
    priority: int = 0
    """0 for the most urgent."""
    service: str = ""
    traffic_split: list[_Part] = []
    max_attempts: int = 1
    """Most targets that may get a request; those that were not reached are not
    counted, see `entry.requests.retries`."""
    session_affinity: bool = False
    """Requests with the same affinity key go to the same target, if it is usable."""
    home_regions: list[str] = []
    """Regions that may serve it; all if empty."""
    allow_anonymous: bool = False
    """Requests without a workspace key are served."""

    def resource(self) -> Route:
        """Return it in the product's names."""
        weights = {self.service: 1.0} if self.service else {}
        for part in self.traffic_split:
            weights[part.service] = weights.get(part.service, 0.0) + part.weight
        return Route(
            name=self.name,
            host=self.host,
            prefix=self.path_prefix,
            work=KINDS.get(self.kind, WorkClass.ONCE),
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
    """A workspace."""

    name: str
    api_keys: list[str] = []
    """Its workspace keys; only their digests go on."""
    priority: int | None = None
    """Goes before the route's; None to use the route's."""
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: list[str] = []

    def resource(self) -> Workspace:
        """Return it in the product's names."""
        return Workspace(
            name=self.name,
            key_digests=[key_digest(key) for key in self.api_keys],
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            priority=self.priority,
            homes=self.home_regions,
        )


class _Service(msgspec.Struct, rename="kebab"):
    """A service; the kind of work stands at its routes."""

    name: str
    health_check_path: str = ""
    connection_limit: int = 0
    warmup_per_s: float = 0.0
    """Requests a second that a cold target bears, of all entries together."""

    def resource(self) -> Service:
        """Return it in the product's names."""
        return Service(
            name=self.name,
            work=WorkClass.ONCE,
            health_path=self.health_check_path,
            connections=self.connection_limit,
            warmup_per_s=self.warmup_per_s,
        )


class _Limits(msgspec.Struct, rename="kebab"):
    """What a client may do."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000

    def resource(self) -> ClientLimits:
        """Return it in the product's names."""
        return ClientLimits(
            name="limits",
            header_bytes=self.max_header_bytes,
            body_bytes=self.max_body_bytes,
            header_timeout_ms=round(self.header_timeout_ms),
            idle_timeout_ms=round(self.idle_timeout_ms),
        )


class Config(msgspec.Struct):
    """The operator's configuration, one document."""

    version: str
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []

    def service_names(self) -> set[str]:
        """Return the services that are described, or that a route leads to."""
        names = {s.name for s in self.services}
        for route in self.routes:
            names |= route.resource().services.keys()
        return names

    def resources(self) -> list[Resource]:
        """Return all that it describes, in the product's names."""
        found: list[Resource] = [r.resource() for r in self.routes]
        found += [s.resource() for s in self.services]
        found += [t.resource() for t in self.tenants]
        found.append(self.limits.resource())
        return found
