# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which regions and which targets may serve a request, in the order of its key.

Owns the order of targets by service and region, and by service and failure domain
(rebuilt from each configuration), and the mean bytes of each service's requests (lost
with the process).

Relies on the configuration; knows nothing of loads and health.
"""

from collections.abc import Callable, Iterable
from itertools import islice

from leverdoor.entry.configuration.catalog import EMPTY, Catalog
from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.entry.placement.rendezvous import RendezvousRanking
from leverdoor.entry.placement.request_sizes import RequestSizes
from leverdoor.model.resources import Target

__all__ = ["CandidateSelector"]

MAX_CANDIDATES = 6
"""Targets of a key that are looked at, for the two that may serve it.

Enough that two are usable while some are ejected or in their warm-up. Greater: more
processor time a request. Smaller: refusals while a few targets are out.
"""
DOMAIN_AFFINITY_MIN_TARGETS = 8
"""Targets of a failure domain from which on it keeps large requests to itself.

Greater: more bytes between domains (uploads of 60 kB where domains have fewer than
eight targets). Smaller: each key runs cold once a domain where that is much of what it
has.
"""


class CandidateSelector:
    """The targets that may serve a request."""

    def __init__(self, region: str, domain: str) -> None:
        """Create it for an entry of a region and failure domain, without targets."""
        self._region = region
        self._domain = domain
        self._catalog = EMPTY
        self._by_region: dict[tuple[str, str], RendezvousRanking] = {}
        self._by_domain: dict[tuple[str, str], RendezvousRanking] = {}
        self._sizes = RequestSizes()
        self.targets_by_region: dict[tuple[str, str], list[Target]] = {}
        """All targets of the configuration, by service and region."""

    def renew(self, catalog: Catalog) -> None:
        """Take a new configuration."""
        self._catalog = catalog
        regions: dict[tuple[str, str], list[Target]] = {}
        domains: dict[tuple[str, str], list[Target]] = {}
        for service, targets in catalog.by_service.items():
            for target in targets:
                regions.setdefault((service, target.region), []).append(target)
                domains.setdefault((service, target.domain), []).append(target)
        self._by_region = _rankings(regions, self._by_region)
        self._by_domain = _rankings(domains, self._by_domain)
        self.targets_by_region = regions

    def record_size(self, service: str, size: int) -> None:
        """Take the bytes of one request of a service and its answer."""
        self._sizes.learn(service, size)

    def regions(self, request: PlacementRequest) -> list[str]:
        """Return the homes of a request's route and workspace that have a target."""
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
        """Return all of a region's targets, the one that the key belongs to first."""
        return self._by_region[(request.service, region)].order(request.key)

    def candidates(
        self, request: PlacementRequest, region: str, is_open: Callable[[Target], bool]
    ) -> list[Target]:
        """Return the targets of a region that are looked at for a key, in order.

        A key has one target in the whole region, so that few runs are cold. In the
        own region, where requests are large and the own failure domain has many
        targets, it has one in each domain, so that bytes stay there.

        Args:
          request: what is to be placed.
          region: where.
          is_open: returns whether a target neither leaves nor rests; others are
            passed over.
        """
        whole = self.order(request, region)
        if region != self._region:
            return _first(whole, MAX_CANDIDATES, is_open)
        own = self._by_domain.get((request.service, self._domain))
        many = own is not None and len(own) >= DOMAIN_AFFINITY_MIN_TARGETS
        if own is None or not many or not self._sizes.heavy(request.service):
            return _first(whole, MAX_CANDIDATES, is_open)
        near = _first(whole, 2 * MAX_CANDIDATES, is_open)
        others = [t for t in near if t.domain != self._domain]
        first = _first(own.order(request.key), MAX_CANDIDATES, is_open)
        return first + others[:MAX_CANDIDATES]


def _first(
    targets: Iterable[Target], count: int, is_open: Callable[[Target], bool]
) -> list[Target]:
    """Return the first of some targets that take requests."""
    return list(islice(filter(is_open, targets), count))


def _rankings(
    targets: dict[tuple[str, str], list[Target]],
    before: dict[tuple[str, str], RendezvousRanking],
) -> dict[tuple[str, str], RendezvousRanking]:
    """Order the targets of each place, keeping what is known where none changed."""
    found = {}
    for place, ones in targets.items():
        known = before.get(place)
        same = known is not None and known.renew(ones)
        found[place] = known if known is not None and same else RendezvousRanking(ones)
    return found
