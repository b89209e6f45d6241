# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How long warm and cold runs of requests take at targets, and how large they are."""

import msgspec

from leverdoor.model.resources import Route

__all__ = [
    "DEFAULT_LATENCY_MS",
    "RunTimes",
    "ServiceTimes",
    "SizeBook",
    "TimeBook",
    "first_times",
]

FAST_SHARE = 0.4
"""First guess of a warm run, as a share of the latency target; the sites' 0.38 to
0.43.
"""
SLOW_SHARE = 1.3
"""First guesses, as shares of the target latency."""
CLUSTER_WEIGHT = 0.05
"""Weight of one run in the mean of its cluster; chosen, about twenty runs."""
LEAST_RATIO = 1.5
"""Least ratio of a cold run's time to a warm one's; closer, they are one cluster.

Chosen: half of the users' ratio of 3.3, far above the spread of one cluster.
"""
DEFAULT_LATENCY_MS = 500
"""Latency target of a route that names none, in ms; chosen."""
HEAVY_BYTES = 2_500
"""Mean bytes of a request and its answer from which on domains matter.

Found on the logbook's site, whose bytes between domains cost 0.09 of worth.
"""
LIGHT_BYTES = 1_250
"""Mean bytes below which they no longer do; half, so that it does not flap."""
SIZE_WEIGHT = 0.02
"""Weight of one request in the mean of bytes; chosen."""
LEAST_SAMPLES = 20
"""Requests before the mean counts; chosen."""


class RunTimes(msgspec.Struct, frozen=True):
    """How long requests of one kind run at a target, in seconds."""

    warm_s: float
    cold_s: float


class ServiceTimes(msgspec.Struct):
    """Times of one route's requests at one service: two clusters."""

    fast_ms: float
    """Mean of warm runs."""
    slow_ms: float
    """Mean of cold runs."""

    def is_cold(self, took_ms: float) -> bool:
        """Return whether a run's time lies in the slow cluster."""
        return took_ms * took_ms > self.fast_ms * self.slow_ms

    def learn(self, took_ms: float) -> None:
        """Take the time of a run that did not wait; it moves the nearer cluster."""
        if self.is_cold(took_ms):
            self.slow_ms += CLUSTER_WEIGHT * (took_ms - self.slow_ms)
        else:
            self.fast_ms += CLUSTER_WEIGHT * (took_ms - self.fast_ms)
        self.slow_ms = max(self.slow_ms, LEAST_RATIO * self.fast_ms)

    def run_ms(self, cold_share: float) -> float:
        """Return the mean time of runs of which a share is cold."""
        return self.fast_ms + cold_share * (self.slow_ms - self.fast_ms)


def first_times(target_latency_ms: float) -> ServiceTimes:
    """Return what run times are taken for before any was seen.

    Args:
      target_latency_ms: the route's, or 0 if it has none.
    """
    aim_ms = target_latency_ms or DEFAULT_LATENCY_MS
    return ServiceTimes(FAST_SHARE * aim_ms, SLOW_SHARE * aim_ms)


class TimeBook:
    """Times by route and service."""

    def __init__(self) -> None:
        """Create an empty book."""
        self._known: dict[tuple[str, str], ServiceTimes] = {}

    def of(self, route: Route, service: str) -> ServiceTimes:
        """Return the times of a route's requests at a service."""
        found = self._known.get((route.name, service))
        if found is None:
            found = first_times(route.target_latency_ms)
            self._known[(route.name, service)] = found
        return found

    def keep_only(self, routes: set[str]) -> None:
        """Forget the routes that are no longer in force."""
        for place in [p for p in self._known if p[0] not in routes]:
            del self._known[place]


class _Sizes(msgspec.Struct):
    mean: float = 0.0
    samples: int = 0
    heavy: bool = False


class SizeBook:
    """How many bytes a request and its answer have, by service."""

    def __init__(self) -> None:
        """Create an empty book."""
        self._known: dict[str, _Sizes] = {}

    def learn(self, service: str, size: int) -> None:
        """Take the bytes of one request and its answer."""
        known = self._known.setdefault(service, _Sizes())
        known.samples += 1
        weight = max(SIZE_WEIGHT, 1.0 / known.samples)
        known.mean += weight * (size - known.mean)
        if known.samples >= LEAST_SAMPLES:
            bound = LIGHT_BYTES if known.heavy else HEAVY_BYTES
            known.heavy = known.mean > bound

    def heavy(self, service: str) -> bool:
        """Return whether the bytes of a service are worth saving."""
        known = self._known.get(service)
        return known is not None and known.heavy
