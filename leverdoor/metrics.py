# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Prometheus metrics of agents and gates; labels come from resources only.

So their number is bounded by the configuration, not by callers. The entry's stand in
`leverdoor.entry.metrics`. Owns the counters, which start at zero with the process.
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
"""Bounds of the latency histogram, in seconds: the usual steps from a cached look-up (5
ms) to an upload (10 s)."""


class _Metrics:
    """A registry of a daemon's own, and its scrape."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()

    async def handler(self, request: web.Request) -> web.StreamResponse:
        """Answer a scrape."""
        return web.Response(
            body=generate_latest(self.registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )


class GateMetrics(_Metrics):
    """Metrics of one gate."""

    def __init__(self) -> None:
        """Create them in a registry of their own."""
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

    def observe_request(self, service: str, tier: str, took_s: float, ok: bool) -> None:
        """Count a finished request."""
        self._requests.labels(service, tier, str(ok).lower()).observe(took_s)

    def count_refusal(self, code: Code) -> None:
        """Count a refusal."""
        self._refusals.labels(str(int(code))).inc()


class AgentMetrics(_Metrics):
    """Metrics of one agent."""

    def __init__(self) -> None:
        """Create them in a registry of their own."""
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
