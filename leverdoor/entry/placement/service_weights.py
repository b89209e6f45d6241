# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which of a route's services takes a request, so that the route's weights hold.

Owns each route's credit by service; lost with the process. The first credit is drawn
at random, so that entries that start together don't all begin with the same service.
"""

from random import Random

from leverdoor.model.resources import Route

__all__ = ["ServiceWeights"]


class ServiceWeights:
    """Smooth weighted round-robin over the services of each route."""

    def __init__(self, rng: Random) -> None:
        """Create it; the first credits are drawn from `rng`."""
        self._rng = rng
        self._credits: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """Return the service with the greatest credit; it pays one for it."""
        if len(route.services) == 1:
            return next(iter(route.services))
        credit = self._credits.setdefault(route.name, {})
        total = sum(route.services.values())
        for service, weight in route.services.items():
            credit[service] = credit.get(service, self._rng.random()) + weight / total
        best = max(route.services, key=lambda s: credit[s])
        credit[best] -= 1.0
        return best
