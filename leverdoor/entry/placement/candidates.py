# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Lists the regions and targets that may serve a request, ordered by its key.

Owns the target rankings by service and region and by service and failure domain, which
are rebuilt from each configuration, and the mean request size of each service, which is
lost with the process.

Relies on the configuration; does not consider load or health.
"""

from collections.abc import Callable, Iterable
from itertools import islice

from leverdoor.entry.configuration.catalog import EMPTY_CATALOG, Catalog
from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.entry.placement.rendezvous import RendezvousRanking
from leverdoor.entry.placement.request_sizes import RequestSizes
from leverdoor.model.resources import Target

__all__ = ["CandidateSelector"]

MAX_CANDIDATES = 6
"""Maximum targets considered for a key, in a region or a failure domain.

Enough to find the two targets that may serve the key, while others are ejected or in
their warm-up. A greater value uses more processor time for each request. A smaller one
causes rejections while a few targets are unavailable.
"""
DOMAIN_AFFINITY_MIN_TARGETS = 8
"""Minimum targets of a failure domain for large requests to prefer that domain.

A greater value sends more bytes between domains, for example uploads of 60 kB where
domains have fewer than eight targets. With a smaller one, each key has a cold run in
every domain even if the key has few runs in each domain.
"""


class CandidateSelector:
    """Selects the targets that may serve a request."""

    def __init__(self, region: str, domain: str) -> None:
        """Create a selector without targets.

        Args:
          region: this entry's region.
          domain: this entry's failure domain.
        """
        self._region = region
        self._domain = domain
        self._catalog = EMPTY_CATALOG
        self._by_region: dict[tuple[str, str], RendezvousRanking] = {}
        self._by_domain: dict[tuple[str, str], RendezvousRanking] = {}
        self._sizes = RequestSizes()
        self.targets_by_region: dict[tuple[str, str], list[Target]] = {}
        """All targets of the configuration, by service and region."""

    def renew(self, catalog: Catalog) -> None:
        """Apply a new configuration."""
        self._catalog = catalog
        regions: dict[tuple[str, str], list[Target]] = {}
        domains: dict[tuple[str, str], list[Target]] = {}
        for service, targets in catalog.usable_targets_by_service.items():
            for target in targets:
                regions.setdefault((service, target.region), []).append(target)
                domains.setdefault((service, target.domain), []).append(target)
        self._by_region = _update_rankings(regions, self._by_region)
        self._by_domain = _update_rankings(domains, self._by_domain)
        self.targets_by_region = regions

    def record_size(self, service: str, size: int) -> None:
        """Record the size of one request and its answer.

        Args:
          service: the service that answered.
          size: bytes of the request and the answer.
        """
        self._sizes.record(service, size)

    def regions(self, request: PlacementRequest) -> list[str]:
        """Return the regions that may serve a request.

        Each is a home of the request's route and workspace, and has a target.
        """
        return [
            region
            for region in self._catalog.regions
            if (request.service, region) in self._by_region
            and request.may_run_in(region)
        ]

    def has_home(self, request: PlacementRequest) -> bool:
        """Return whether any region is a home of both route and workspace."""
        return any(request.may_run_in(region) for region in self._catalog.regions)

    def order(self, request: PlacementRequest, region: str) -> list[Target]:
        """Return all targets of a region in the order of the request's key."""
        return self._by_region[(request.service, region)].order(request.key)

    def select(
        self, request: PlacementRequest, region: str, is_open: Callable[[Target], bool]
    ) -> list[Target]:
        """Return the first open targets of a region in the order of the key.

        A key normally has one first target in the region, which limits cold runs. In
        this entry's region, large requests prefer the targets of this entry's failure
        domain if it has many. The key then has a first target in each domain, which
        avoids traffic between domains.

        Args:
          request: the request to place.
          region: the region to search.
          is_open: returns whether a target is neither leaving nor resting; other
            targets are skipped.
        """
        in_region = self.order(request, region)
        if region != self._region:
            return _first_open(in_region, MAX_CANDIDATES, is_open)
        in_domain = self._by_domain.get((request.service, self._domain))
        has_enough_targets = (
            in_domain is not None and len(in_domain) >= DOMAIN_AFFINITY_MIN_TARGETS
        )
        if (
            in_domain is None
            or not has_enough_targets
            or not self._sizes.is_large(request.service)
        ):
            return _first_open(in_region, MAX_CANDIDATES, is_open)
        open_targets = _first_open(in_region, 2 * MAX_CANDIDATES, is_open)
        in_other_domains = [t for t in open_targets if t.domain != self._domain]
        local = _first_open(in_domain.order(request.key), MAX_CANDIDATES, is_open)
        return local + in_other_domains[:MAX_CANDIDATES]


def _first_open(
    targets: Iterable[Target], count: int, is_open: Callable[[Target], bool]
) -> list[Target]:
    """Return the first `count` open targets."""
    return list(islice(filter(is_open, targets), count))


def _update_rankings(
    targets: dict[tuple[str, str], list[Target]],
    previous: dict[tuple[str, str], RendezvousRanking],
) -> dict[tuple[str, str], RendezvousRanking]:
    """Return a ranking for each group, reusing those with unchanged names and slots."""
    rankings = {}
    for group, members in targets.items():
        known = previous.get(group)
        reusable = known is not None and known.update(members)
        rankings[group] = (
            known if known is not None and reusable else RendezvousRanking(members)
        )
    return rankings
