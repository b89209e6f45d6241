# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What waits and runs at this gate, by service, and how long runs take.

Owns the queues, the slots in use by tier and the mean run time of each service. All
are exact for this gate, know nothing of others, and start anew with the process.
"""

from leverdoor.gate.queueing import QueuedRequest, WaitQueue

__all__ = ["Workload", "Workloads", "queue_wait_ms"]

RUN_TIME_EWMA_WEIGHT = 0.1
"""Weight of one run in the mean run time of a service.

The last ten runs. A greater one lets single slow runs turn requests away; a smaller one
is late to see that a service has become slow.
"""


class Workload:
    """The requests of one service at this gate.

    `running` counts the slots in use by tier, bulk uploads included; `bulk_running`
    those of bulk uploads alone. `mean_ms` is the mean run time in ms, None before the
    first whole answer.
    """

    def __init__(self) -> None:
        """Create it without any request."""
        self.queue = WaitQueue()
        self.running: dict[str, int] = {}
        self.bulk_running = 0
        self.mean_ms: float | None = None

    def begin(self, request: QueuedRequest) -> None:
        """Count a request that takes a slot."""
        tier = request.tier.name
        self.running[tier] = self.running.get(tier, 0) + 1
        if request.bulk:
            self.bulk_running += 1

    def end(self, request: QueuedRequest, took_ms: float, ok: bool) -> None:
        """Count that it gave its slot back, and learn from a whole answer."""
        self.running[request.tier.name] -= 1
        if request.bulk:
            self.bulk_running -= 1
        elif ok:
            mean = took_ms if self.mean_ms is None else self.mean_ms
            self.mean_ms = mean + RUN_TIME_EWMA_WEIGHT * (took_ms - mean)


class Workloads:
    """The workloads of all services that had a request here."""

    def __init__(self) -> None:
        """Create it empty."""
        self._by_service: dict[str, Workload] = {}

    def of(self, service: str) -> Workload:
        """Return a service's workload, an empty one that isn't kept if none is."""
        return self._by_service.get(service) or Workload()

    def add(self, service: str) -> Workload:
        """Return a service's workload, kept from now on."""
        return self._by_service.setdefault(service, Workload())

    def waiting(self) -> list[tuple[str, WaitQueue]]:
        """Return the queues that hold a request, by service."""
        return [(n, w.queue) for n, w in self._by_service.items() if len(w.queue)]


def queue_wait_ms(requests: float, mean_ms: float, slots: int) -> float:
    """Return how long `slots` take to serve `requests` of a mean run time, in ms."""
    return requests * mean_ms / slots
