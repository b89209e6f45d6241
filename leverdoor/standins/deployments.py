# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The two deployments of today's users, at their sizes or scaled down.

Owns no state; sizes, slots and delays are the brief's.
"""

import msgspec

from leverdoor.model.resources import (
    Region,
    Resource,
    Service,
    ServiceLevel,
    ShiftCap,
    Target,
    Tier,
    WorkClass,
)

__all__ = ["DEPLOYMENTS", "Deployment", "EntryVm", "TargetPlan", "build"]

DOMAINS = 2
"""Failure domains of each region in both deployments."""


class EntryVm(msgspec.Struct, frozen=True):
    """One entry VM."""

    vm: str
    region: str
    domain: str


class TargetPlan(msgspec.Struct, frozen=True):
    """One target, whose address is not chosen yet."""

    name: str
    service: str
    region: str
    domain: str
    slots: int


class ServicePlan(msgspec.Struct, frozen=True):
    """One service and how many targets it has."""

    service: Service
    targets: int


class Shape(msgspec.Struct, frozen=True):
    """What differs between the deployments."""

    regions: tuple[str, ...]
    between_regions_ms: int
    slots: int
    entry_vms: int
    services: tuple[ServicePlan, ...]
    tiers: tuple[Tier, ...]
    latency_ms: int


class Deployment(msgspec.Struct, frozen=True):
    """A deployment's entry VMs, targets, and the resources besides targets."""

    vms: list[EntryVm]
    targets: list[TargetPlan]
    resources: list[Resource]

    def target_resources(self, addresses: dict[str, str]) -> list[Resource]:
        """Return the target resources once their addresses are known."""
        return [
            Target(
                name=t.name,
                service=t.service,
                region=t.region,
                domain=t.domain,
                address=addresses[t.name],
                slots=t.slots,
            )
            for t in self.targets
        ]


DEPLOYMENTS = {
    "utility": Shape(
        regions=("kolkata", "siliguri", "durgapur"),
        between_regions_ms=35,
        slots=6,
        entry_vms=12,
        services=(
            ServicePlan(Service(name="call-records", work=WorkClass.LOOKUP), 25),
            ServicePlan(
                Service(name="disputes", work=WorkClass.ONCE, deadline_ms=5000), 10
            ),
            ServicePlan(
                Service(
                    name="records",
                    work=WorkClass.ONCE,
                    deadline_ms=5000,
                    bulk_prefixes=["batch/"],
                ),
                10,
            ),
        ),
        tiers=(
            Tier(name="counter", callers=["ward"], reserve_percent=50, weight=4),
            Tier(name="police", callers=["police"], reserve_percent=30, weight=8),
            Tier(name="batch", callers=["towers"], weight=1, default=True),
        ),
        latency_ms=250,
    ),
    "logbook": Shape(
        regions=("puget", "willamette", "inland"),
        between_regions_ms=55,
        slots=4,
        entry_vms=11,
        services=(
            ServicePlan(Service(name="contacts", work=WorkClass.LOOKUP), 20),
            ServicePlan(Service(name="confirmations", work=WorkClass.ONCE), 10),
            ServicePlan(
                Service(
                    name="logs",
                    work=WorkClass.ONCE,
                    deadline_ms=5000,
                    bulk_prefixes=["upload/"],
                ),
                10,
            ),
        ),
        tiers=(
            Tier(name="member", callers=["ham"], reserve_percent=50, weight=4),
            Tier(name="club", callers=["club"], reserve_percent=20, weight=2),
            Tier(name="guest", weight=1, default=True),
        ),
        latency_ms=400,
    ),
}


def build(name: str, scale: float = 1.0) -> Deployment:
    """Build a deployment.

    Args:
      name: `utility` or `logbook`.
      scale: share of the full number of targets and entry VMs, at least one
        of each for every region.
    """
    shape = DEPLOYMENTS[name]
    count = max(len(shape.regions), round(shape.entry_vms * scale))
    vms = []
    for i in range(count):
        region = shape.regions[i % len(shape.regions)]
        domain = f"{region}-{i // len(shape.regions) % DOMAINS}"
        vms.append(EntryVm(f"vm{i:02}", region, domain))
    return Deployment(vms, _targets(shape, scale), _resources(shape))


def _targets(shape: Shape, scale: float) -> list[TargetPlan]:
    targets = []
    for plan in shape.services:
        number = max(len(shape.regions), round(plan.targets * scale))
        for i in range(number):
            region = shape.regions[i % len(shape.regions)]
            domain = f"{region}-{i // len(shape.regions) % DOMAINS}"
            name = f"{plan.service.name}-{i:02}"
            targets.append(
                TargetPlan(name, plan.service.name, region, domain, shape.slots)
            )
    return targets


def _resources(shape: Shape) -> list[Resource]:
    resources: list[Resource] = []
    for region in shape.regions:
        domains = [f"{region}-{i}" for i in range(DOMAINS)]
        others = {r: shape.between_regions_ms for r in shape.regions if r != region}
        resources.append(Region(name=region, domains=domains, latency_ms=others))
    resources += [plan.service for plan in shape.services]
    resources += shape.tiers
    for plan in shape.services:
        for region in shape.regions:
            name = f"{plan.service.name}-to-{region}"
            cap = ShiftCap(
                name=name,
                service=plan.service.name,
                region=region,
                units=40,
                window_ms=1_000,
            )
            resources.append(cap)
        for tier in shape.tiers:
            name = f"{plan.service.name}-{tier.name}"
            level = ServiceLevel(
                name=name,
                service=plan.service.name,
                tier=tier.name,
                latency_ms=shape.latency_ms,
                objective=0.99,
            )
            resources.append(level)
    return resources
