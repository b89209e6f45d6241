# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A harness with a catalog and a clock, for tests of placement decisions."""

from random import Random

from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.placement_request import (
    Placement,
    PlacementRequest,
)
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.errors import Rejection
from leverdoor.model.resources import (
    Region,
    Resource,
    Route,
    Service,
    Target,
    WorkClass,
)

REGIONS = [
    Region(name="a", domains=["a1", "a2"]),
    Region(name="b", domains=["b1"]),
    Region(name="c", domains=["c1"]),
]


ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    work=WorkClass.LOOKUP,
    services={"s": 1.0},
    target_latency_ms=500,
    affinity=True,
)


SLOTS = 4


def target(name: str, domain: str = "a1", **overrides: object) -> Target:
    fields: dict[str, object] = {
        "service": "s",
        "region": domain[0],
        "domain": domain,
        "address": "10.0.0.1:80",
        "slots": SLOTS,
    }
    return Target(name=name, **(fields | overrides))  # type: ignore[arg-type]


def service(warmup_per_s: float = 0.0) -> Service:
    return Service(name="s", work=WorkClass.ONCE, warmup_per_s=warmup_per_s)


class PlacementHarness:
    """A placement policy with a catalog and a clock."""

    def __init__(self, *resources: Resource, region: str = "a") -> None:
        self.now = 100.0
        self.fleet = Fleet()
        self.placement = PlacementPolicy(region, region + "1", self.fleet, Random(1))
        self.configure(*resources)
        self._request_count = 0

    def configure(self, *resources: Resource) -> None:
        """Replace the configuration; regions, route and service are always added."""
        catalog = Catalog(1, "v", [*REGIONS, ROUTE, service(10.0), *resources])
        self.fleet.renew(catalog.targets, self.now, catalog.services.values())
        self.placement.renew(catalog)

    def new_request(self, key: str = "k", route: Route = ROUTE) -> PlacementRequest:
        self._request_count += 1
        return PlacementRequest(
            request_id=str(self._request_count),
            route=route,
            service=self.placement.pick_service(route),
            key=key,
            version="v",
            arrived_at=self.now,
            expires_at=self.now + 2.0,
        )

    def place(self, key: str = "k", route: Route = ROUTE) -> Placement | Rejection:
        return self.placement.place(self.new_request(key, route), self.now)

    def name(self, key: str = "k", route: Route = ROUTE) -> str:
        """Place and end a request; return the target's name."""
        placement = self.place(key, route)
        assert isinstance(placement, Placement), placement
        self.placement.ended(placement, self.now)
        return placement.target.name

    def place_and_answer(self, key: str, took_ms: float) -> str:
        """Place and answer a request; return the target's name."""
        request = self.new_request(key)
        placement = self.placement.place(request, self.now)
        assert isinstance(placement, Placement), placement
        self.placement.ended(placement, self.now)
        self.placement.answered(request, placement, took_ms, 100, self.now)
        return placement.target.name

    def set_load(self, target: Target, load: int) -> None:
        """Set the load of a target, as reported by another entry."""
        state = self.fleet.state_of(target, self.now)
        state.record_peer_count("other", load, self.now)
