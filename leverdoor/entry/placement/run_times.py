# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How long warm and cold runs of requests take at targets.

A run at a target that lately answered the key takes about a third of one that it must
run cold. No target says which it was, but run times fall into two clusters.

Owns the means of both clusters by route and service, learned from the answers of the
own region's targets that had a slot at once; lost with the process, which then starts
from shares of the latency target.
"""

import msgspec

from leverdoor.model.resources import Route

__all__ = [
    "DEFAULT_LATENCY_MS",
    "MeanRunTimes",
    "RunTimeClusters",
    "RunTimeTable",
    "initial_run_times",
]

INITIAL_WARM_RUN_X = 0.4
"""First guess of a warm run over the latency target: 0.38 to 0.43 was seen.

Greater: the first requests are refused where they would be in time. Smaller: they wait
too long.
"""
INITIAL_COLD_RUN_X = 1.3
"""First guess of a cold run over the latency target: 3.3 warm runs, as was seen.

Greater: the first cold runs count as warm until the mean has moved. Smaller: long warm
runs count as cold.
"""
CLUSTER_WEIGHT = 0.05
"""Weight of one run in the mean of its cluster: about the last twenty.

Greater: the mean follows single runs, which vary by 15%. Smaller: it lags when a
service becomes slower.
"""
MIN_COLD_TO_WARM_RATIO = 1.5
"""Least ratio of a cold run's time to a warm one's; closer, they are one cluster.

Greater: a cold run's time is taken for longer than it is where caches gain little.
Smaller: both means fall together, and half of all warm runs count as cold.
"""
DEFAULT_LATENCY_MS = 500
"""Latency target of a route that names none, in ms.

A cold run fits where a warm one takes 0.14 s. Greater: requests wait longer before they
are refused. Smaller: they are refused sooner.
"""


class MeanRunTimes(msgspec.Struct, frozen=True):
    """Mean times of warm and cold runs, in seconds; 0 if unknown."""

    warm_s: float
    cold_s: float


class RunTimeClusters(msgspec.Struct):
    """Times of one route's requests at one service: two clusters."""

    warm_run_ms: float
    """Mean of warm runs."""
    cold_run_ms: float
    """Mean of cold runs."""

    def is_cold(self, took_ms: float) -> bool:
        """Return whether a run's time is nearer, as a ratio, to that of cold runs."""
        return took_ms * took_ms > self.warm_run_ms * self.cold_run_ms

    def learn(self, took_ms: float) -> None:
        """Take the time of a run that did not wait; it moves the nearer cluster."""
        if self.is_cold(took_ms):
            self.cold_run_ms += CLUSTER_WEIGHT * (took_ms - self.cold_run_ms)
        else:
            self.warm_run_ms += CLUSTER_WEIGHT * (took_ms - self.warm_run_ms)
        self.cold_run_ms = max(
            self.cold_run_ms, MIN_COLD_TO_WARM_RATIO * self.warm_run_ms
        )

    def run_ms(self, cold_share: float) -> float:
        """Return the mean time of runs of which a share is cold."""
        return self.warm_run_ms + cold_share * (self.cold_run_ms - self.warm_run_ms)


def initial_run_times(target_latency_ms: float) -> RunTimeClusters:
    """Return the run times to start from, before any was measured.

    Args:
      target_latency_ms: the route's, or 0 if it has none.
    """
    aim_ms = target_latency_ms or DEFAULT_LATENCY_MS
    return RunTimeClusters(INITIAL_WARM_RUN_X * aim_ms, INITIAL_COLD_RUN_X * aim_ms)


class RunTimeTable:
    """Times by route and service."""

    def __init__(self) -> None:
        """Create an empty book."""
        self._known: dict[tuple[str, str], RunTimeClusters] = {}

    def of(self, route: Route, service: str) -> RunTimeClusters:
        """Return the times of a route's requests at a service."""
        found = self._known.get((route.name, service))
        if found is None:
            found = initial_run_times(route.target_latency_ms)
            self._known[(route.name, service)] = found
        return found

    def keep_only(self, routes: set[str]) -> None:
        """Forget the routes that are gone."""
        for place in [p for p in self._known if p[0] not in routes]:
            del self._known[place]
