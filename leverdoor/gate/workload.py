# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Waiting and running requests of this gate by service, with their mean run time.

Owns the queues, the slots in use by tier and the mean run time of each service. The
counts are exact, cover this gate only, and are lost when the process ends. Relies on
the scheduler to report the start and end of each run.
"""

from leverdoor.gate.queueing import QueuedRequest, WaitQueue

__all__ = ["Workload", "Workloads", "queue_wait_ms"]

RUN_TIME_EWMA_WEIGHT = 0.1
"""Weight of one run in the moving average of a service's run time.

Averages about ten runs. With a greater weight single slow runs cause refusals; a
smaller one detects late that a service has become slow.
"""


class Workload:
    """The requests of one service at this gate.

    `running` counts the slots in use by tier, including bulk uploads; `bulk_running`
    counts those of bulk uploads. `mean_ms` is the mean run time in ms, or None before
    the first complete response.
    """

    def __init__(self) -> None:
        """Create a workload without requests."""
        self.queue = WaitQueue()
        self.running: dict[str, int] = {}
        self.bulk_running = 0
        self.mean_ms: float | None = None

    def begin(self, request: QueuedRequest) -> None:
        """Count a request that acquired a slot."""
        tier = request.tier.name
        self.running[tier] = self.running.get(tier, 0) + 1
        if request.bulk:
            self.bulk_running += 1

    def end(self, request: QueuedRequest, took_ms: float, ok: bool) -> None:
        """Count a released slot and update the mean run time if `ok`.

        Bulk uploads do not change the mean run time.
        """
        self.running[request.tier.name] -= 1
        if request.bulk:
            self.bulk_running -= 1
        elif ok:
            mean = took_ms if self.mean_ms is None else self.mean_ms
            self.mean_ms = mean + RUN_TIME_EWMA_WEIGHT * (took_ms - mean)


class Workloads:
    """The workloads of all services with requests at this gate."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._by_service: dict[str, Workload] = {}

    def of(self, service: str) -> Workload:
        """Return the workload of a service, or an empty one that is not stored."""
        return self._by_service.get(service) or Workload()

    def add(self, service: str) -> Workload:
        """Return the workload of a service, creating and storing it if needed."""
        return self._by_service.setdefault(service, Workload())

    def waiting(self) -> list[tuple[str, WaitQueue]]:
        """Return the non-empty queues with their services."""
        return [(n, w.queue) for n, w in self._by_service.items() if len(w.queue)]


def queue_wait_ms(requests: float, mean_ms: float, slots: int) -> float:
    """Return the expected time to serve `requests` with `slots`, in ms."""
    return requests * mean_ms / slots
