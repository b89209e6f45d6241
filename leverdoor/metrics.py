# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Prometheus metrics of agents and gates.

Label values are resource names or members of fixed sets, never values from callers.
The configuration therefore bounds the number of time series. `leverdoor.entry.metrics`
defines the metrics of the entry. Owns the metric values, which start at zero with the
process.
"""

from aiohttp import web
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from leverdoor.errors import Code

__all__ = ["AgentMetrics", "GateMetrics"]

LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0)
"""Bucket bounds of the latency histogram, in seconds.

They range from a cached look-up (5 ms) to an upload (10 s) in the usual steps.
"""


class _DaemonMetrics:
    """Base class with the metrics registry of a daemon and its scrape handler."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()

    async def handle_scrape(self, request: web.Request) -> web.StreamResponse:
        """Return the metrics in the Prometheus text format."""
        return web.Response(
            body=generate_latest(self.registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )


class GateMetrics(_DaemonMetrics):
    """Metrics of a gate."""

    def __init__(self) -> None:
        """Create the metrics in a registry of this instance."""
        super().__init__()
        self._requests = Histogram(
            "leverdoor_request_seconds",
            "Time from arrival to the end of the answer.",
            ["service", "tier", "answered"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._refusals = Counter(
            "leverdoor_refusals",
            "Requests given up on, by code.",
            ["code"],
            registry=self.registry,
        )
        self.revision = Gauge(
            "leverdoor_revision", "Revision in force.", registry=self.registry
        )
        self.waiting = Gauge(
            "leverdoor_waiting", "Requests that wait.", registry=self.registry
        )

        self.quarantined = Gauge(
            "leverdoor_quarantined",
            "Requests that are held back.",
            registry=self.registry,
        )

    def observe_request(
        self, service: str, tier: str, latency_s: float, answered: bool
    ) -> None:
        """Record the latency of a finished request.

        Args:
          service: name of the service.
          tier: tier of the caller.
          latency_s: time from arrival to the end of the response, in seconds.
          answered: whether the response status was below 500.
        """
        self._requests.labels(service, tier, str(answered).lower()).observe(latency_s)

    def count_refusal(self, code: Code) -> None:
        """Count a refused request by its code."""
        self._refusals.labels(str(int(code))).inc()


class AgentMetrics(_DaemonMetrics):
    """Metrics of an agent."""

    def __init__(self) -> None:
        """Create the metrics in a registry of this instance."""
        super().__init__()
        self.revision = Gauge(
            "leverdoor_revision", "Revision held.", registry=self.registry
        )
        self.store_calls = Gauge(
            "leverdoor_store_calls", "Calls made to the store.", registry=self.registry
        )
        self.peers = Gauge(
            "leverdoor_live_peers", "VMs heard from lately.", registry=self.registry
        )
        self.gossip_bytes = Gauge(
            "leverdoor_gossip_bytes",
            "Bytes of gossip.",
            ["direction"],
            registry=self.registry,
        )
