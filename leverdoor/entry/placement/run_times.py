# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Learns how long warm and cold runs of requests take.

A run at a target that recently answered the key takes about a third of the time of a
cold run. Targets do not report which it was, but run times form two clusters.

Owns the mean of each cluster by route and service, learned from runs in this entry's
region that did not wait for a slot. The means are lost with the process, which then
starts from fractions of the latency target.
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
"""Assumed mean of warm runs, as a fraction of the latency target.

Services had 0.38 to 0.43.

With a greater value, the first requests are rejected although they would be in time.
With a smaller one, they wait too long.
"""
INITIAL_COLD_RUN_X = 1.3
"""Assumed mean of cold runs, as a multiple of the latency target.

Equals 3.3 warm runs, as observed.

With a greater value, the first cold runs count as warm until the mean has moved. With a
smaller one, long warm runs count as cold.
"""
CLUSTER_WEIGHT = 0.05
"""Weight of one run in the mean of its cluster, which covers about the last twenty.

With a greater weight, the mean follows single runs, which vary by 15%. With a smaller
one, it lags when a service becomes slower.
"""
MIN_COLD_TO_WARM_RATIO = 1.5
"""Minimum ratio of the cold mean to the warm one.

Two means that are closer count as one cluster.

With a greater value, the cold mean is too high where caches save little time. With a
smaller one, both means converge and half of all warm runs count as cold.
"""
DEFAULT_LATENCY_MS = 500
"""Latency target of a route that specifies none, in ms.

Cold runs meet it if warm runs take at most about 0.14 s. With a greater value, requests
wait longer before they are rejected. With a smaller one, they are rejected sooner.
"""


class MeanRunTimes(msgspec.Struct, frozen=True):
    """Mean durations of warm and cold runs, in seconds; 0 if unknown."""

    warm_s: float
    cold_s: float


class RunTimeClusters(msgspec.Struct):
    """The two clusters of run times of one route's requests at one service."""

    warm_run_ms: float
    """Mean duration of warm runs."""
    cold_run_ms: float
    """Mean duration of cold runs."""

    def is_cold(self, took_ms: float) -> bool:
        """Return whether a run time is above the geometric mean of both clusters."""
        return took_ms * took_ms > self.warm_run_ms * self.cold_run_ms

    def learn(self, took_ms: float) -> None:
        """Add the time of a run that did not wait to the closer cluster."""
        if self.is_cold(took_ms):
            self.cold_run_ms += CLUSTER_WEIGHT * (took_ms - self.cold_run_ms)
        else:
            self.warm_run_ms += CLUSTER_WEIGHT * (took_ms - self.warm_run_ms)
        self.cold_run_ms = max(
            self.cold_run_ms, MIN_COLD_TO_WARM_RATIO * self.warm_run_ms
        )

    def run_ms(self, cold_share: float) -> float:
        """Return the mean duration of runs of which a given fraction is cold."""
        return self.warm_run_ms + cold_share * (self.cold_run_ms - self.warm_run_ms)


def initial_run_times(target_latency_ms: float) -> RunTimeClusters:
    """Return the run times assumed before any is measured.

    Args:
      target_latency_ms: latency target of the route, 0 for none.
    """
    latency_ms = target_latency_ms or DEFAULT_LATENCY_MS
    return RunTimeClusters(
        INITIAL_WARM_RUN_X * latency_ms, INITIAL_COLD_RUN_X * latency_ms
    )


class RunTimeTable:
    """Run times by route and service."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._clusters: dict[tuple[str, str], RunTimeClusters] = {}

    def clusters(self, route: Route, service: str) -> RunTimeClusters:
        """Return the run times of a route's requests at a service."""
        clusters = self._clusters.get((route.name, service))
        if clusters is None:
            clusters = initial_run_times(route.target_latency_ms)
            self._clusters[(route.name, service)] = clusters
        return clusters

    def keep_only(self, routes: set[str]) -> None:
        """Remove the run times of all other routes."""
        for key in [k for k in self._clusters if k[0] not in routes]:
            del self._clusters[key]
