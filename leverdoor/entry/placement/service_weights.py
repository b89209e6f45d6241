# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Distributes the requests of a route over its services by their weights.

Owns the round-robin credit of each route's services, lost with the process. The initial
credits are random, so that entries that start together begin with different services.
"""

from random import Random

from leverdoor.model.resources import Route

__all__ = ["ServiceWeights"]


class ServiceWeights:
    """Smooth weighted round-robin over the services of each route."""

    def __init__(self, rng: Random) -> None:
        """Create it; `rng` draws the initial credits."""
        self._rng = rng
        self._credits: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """Return the service with the greatest credit, and reduce that credit by 1."""
        if len(route.services) == 1:
            return next(iter(route.services))
        credit = self._credits.setdefault(route.name, {})
        total = sum(route.services.values())
        for service, weight in route.services.items():
            credit[service] = credit.get(service, self._rng.random()) + weight / total
        best = max(route.services, key=lambda s: credit[s])
        credit[best] -= 1.0
        return best
