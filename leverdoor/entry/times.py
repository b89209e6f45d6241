# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How long requests take at targets, by whether their key was seen, and how large."""

import msgspec

from leverdoor.resources import Route

__all__ = ["DEFAULT_LATENCY_MS", "ServiceTimes", "SizeBook", "TimeBook"]

FAST_SHARE = 0.4
SLOW_SHARE = 1.3
"""First guesses, as shares of the target latency."""
STEP = 0.03
FAST_QUANTILE = 0.4
SLOW_QUANTILE = 0.6
DEFAULT_LATENCY_MS = 500
HEAVY_BYTES = 2_500
LIGHT_BYTES = 1_250
SIZE_WEIGHT = 0.02
LEAST_SAMPLES = 20


class ServiceTimes(msgspec.Struct):
    """Times of one route's requests at one service."""

    fast_ms: float
    """Where the key was seen lately."""
    slow_ms: float

    def learn(self, took_ms: float, warm: bool) -> None:
        """Take the time of one answer.

        Both follow a quantile and not the mean, since what is taken for warm
        is often cold at first, and what is taken for cold may have been
        warmed by another entry.
        """
        if warm:
            self.fast_ms = _toward(self.fast_ms, took_ms, FAST_QUANTILE)
        else:
            self.slow_ms = _toward(self.slow_ms, took_ms, SLOW_QUANTILE)


class TimeBook:
    """Times by route and service."""

    def __init__(self) -> None:
        """Create an empty book."""
        self._known: dict[tuple[str, str], ServiceTimes] = {}

    def of(self, route: Route, service: str) -> ServiceTimes:
        """Return the times of a route's requests at a service."""
        found = self._known.get((route.name, service))
        if found is None:
            aim = route.target_latency_ms or DEFAULT_LATENCY_MS
            found = ServiceTimes(FAST_SHARE * aim, SLOW_SHARE * aim)
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
        """Say whether the bytes of a service are worth saving."""
        known = self._known.get(service)
        return known is not None and known.heavy


def _toward(estimate: float, sample: float, quantile: float) -> float:
    """Move an estimate of a quantile by one sample."""
    step = STEP * estimate
    return estimate + step * (quantile if sample > estimate else quantile - 1.0)
