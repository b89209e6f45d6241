# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What the connections of all servers of a process share.

Owns the budget, the scheduler and the buffer; lost with the process.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from leverdoor.http.connection_budget import (
    ConnectionBudget,
    Eviction,
    connection_bytes,
    connection_count,
)
from leverdoor.http.parse_scheduler import ParseScheduler
from leverdoor.http.receive_buffer import ReceiveBuffer

__all__ = ["ConnectionResources", "EvictionLog"]

LOG_INTERVAL_S = 1.0
"""Least time between two log lines, in seconds; a crowd is evicted all the time."""


class ConnectionResources:
    """Memory, time and the receive buffer of all connections of a process."""

    def __init__(
        self,
        memory_mb: int = 0,
        descriptors: int = 0,
        on_evict: Callable[[Eviction, int], None] = lambda cause, count: None,
    ) -> None:
        """Create them.

        Args:
          memory_mb: memory of the VM in MiB; 0 if unknown.
          descriptors: file descriptors that the process may open; 0 if unknown.
          on_evict: as of `ConnectionBudget`.
        """
        self.budget = ConnectionBudget(
            connection_bytes(memory_mb), connection_count(descriptors), on_evict
        )
        self.scheduler = ParseScheduler()
        self.receive_buffer = ReceiveBuffer()


class EvictionLog:
    """Logs client connections that gave way to others, once a second at most."""

    def __init__(self) -> None:
        """Create it for the running event loop."""
        self._loop = asyncio.get_running_loop()
        self._logged_at = -LOG_INTERVAL_S
        self._unlogged = dict.fromkeys(Eviction, 0)

    def __call__(self, cause: Eviction, count: int) -> None:
        """Count connections that were closed, and log them if it is time."""
        self._unlogged[cause] += count
        now = self._loop.time()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        counts = {cause.value: count for cause, count in self._unlogged.items()}
        self._unlogged = dict.fromkeys(Eviction, 0)
        logger.info("connections evicted", counts=counts)
