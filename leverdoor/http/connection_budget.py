# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What all client connections of a process may hold together, and which one gives way.

A bound for each connection is none for the process: thousands of them fill any memory
and take all descriptors. Connections therefore share one budget in bytes, and one in
number. Above the former, those go first that hold most for longest without progress;
above the latter, those that have waited for their clients for longest. New callers are
so served while others stall.

Owns the set of open connections and what each holds; lost with the process.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Protocol

__all__ = [
    "BYTES_PER_MB",
    "DEFAULT_MEMORY_MB",
    "BudgetedConnection",
    "ConnectionBudget",
    "Eviction",
    "WaitsFor",
    "connection_bytes",
    "connection_count",
    "connections_to_evict",
]

DEFAULT_MEMORY_MB = 300
"""Memory of the VM in MiB that is assumed if the settings name none."""
BYTES_PER_MB = 1024 * 1024
"""Bytes of a MiB, the unit of settings that name memory."""
MEMORY_SHARE = 0.25
"""Share of the VM's memory that connections of clients may hold.

What Python keeps for a byte received may take twice its size for a moment, and the
process itself, its copy of the store and the answers of targets need the rest. A
smaller share refuses uploads that would fit.
"""
LOW_WATER = 0.75
"""Share of the budget down to which connections are evicted at once.

With a greater value, each further byte compares all connections again. A smaller one
closes more connections than needed.
"""
RELIEF_SHARE = 0.125
"""Share of the budget below which a time of too much memory is over.

With a greater value, memory is returned that is needed again at once. With a smaller
one, ordinary traffic keeps it with the process.
"""
DEFAULT_DESCRIPTORS = 4_096
"""Number of file descriptors that is assumed if the settings name none."""
DESCRIPTOR_SHARE = 0.5
"""Share of the file descriptors that connections of clients may take.

The others are for targets, streams of other entries, the store, peers and files. With a
greater share, a crowd of clients leaves none for the requests of others.
"""
TRANSFER_AGE_SHARE = 0.25
"""What a second without progress counts for in the transfer of a body or an answer.

An upload over a slow link has pauses, and stays before connections that send nothing.
"""
MIN_AGE_S = 0.05
"""Time without progress that is assumed at least, in seconds.

Connections that all progress are compared by what they hold.
"""


class Eviction(Enum):
    """Why connections are closed."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


class WaitsFor(Enum):
    """What a connection waits for."""

    REQUEST = "request"
    """A request, or the rest of a head."""
    TRANSFER = "transfer"
    """The rest of a body, or that its client takes an answer."""
    RESPONSE = "response"
    """The response to a request that was received completely."""


class BudgetedConnection(Protocol):
    """What the budget needs of a connection."""

    @property
    def held_bytes(self) -> int:
        """Bytes that the process holds for the connection."""

    @property
    def progress_at(self) -> float:
        """Loop time of its last progress, in seconds."""

    @property
    def runs_request(self) -> bool:
        """Whether a request of it runs that was received completely."""

    def evict(self) -> None:
        """Close the connection and free what it holds."""


def connection_bytes(memory_mb: int) -> int:
    """Return the bytes that connections of clients may hold together.

    Args:
      memory_mb: memory of the VM in MiB; 0 if unknown.
    """
    return int((memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB * MEMORY_SHARE)


def connection_count(descriptors: int) -> int:
    """Return the number of connections that clients may open.

    Args:
      descriptors: file descriptors that the process may open; 0 if unknown.
    """
    return int((descriptors or DEFAULT_DESCRIPTORS) * DESCRIPTOR_SHARE)


def connections_to_evict(
    connections: Iterable[BudgetedConnection], excess_bytes: int, now: float
) -> list[BudgetedConnection]:
    """Return the connections to close so that a number of bytes is freed.

    Those come first that hold most for longest without progress; those whose request
    was received completely and runs are last.

    Args:
      connections: all open connections.
      excess_bytes: bytes to free.
      now: loop time in seconds.
    """

    def rank(connection: BudgetedConnection) -> tuple[bool, float]:
        age_s = max(now - connection.progress_at, MIN_AGE_S)
        return connection.runs_request, -connection.held_bytes * age_s

    evicted = []
    for connection in sorted(connections, key=rank):
        if excess_bytes <= 0:
            break
        if connection.held_bytes:
            evicted.append(connection)
            excess_bytes -= connection.held_bytes
    return evicted


class ConnectionBudget:
    """The open connections of clients, and the bytes that they hold together."""

    def __init__(
        self,
        max_bytes: int = connection_bytes(0),
        max_connections: int = connection_count(0),
        on_evict: Callable[[Eviction, int], None] = lambda cause, count: None,
    ) -> None:
        """Create the budget without any connection.

        Args:
          max_bytes: bytes that connections may hold together.
          max_connections: number of connections that may be open.
          on_evict: called with the cause and the number of connections that were
            closed at once.
        """
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self.on_evict = on_evict
        self.held_bytes = 0
        """Bytes that all open connections hold."""
        self._exceeded = False
        """Whether connections held too much since the last relief."""
        self._connections: dict[BudgetedConnection, int] = {}
        """What each open connection holds, in bytes."""
        self._waiting: dict[WaitsFor, OrderedDict[BudgetedConnection, None]] = {
            waits_for: OrderedDict() for waits_for in WaitsFor
        }
        """The open connections by what they wait for, the oldest progress first."""

    def add(self, connection: BudgetedConnection, now: float) -> None:
        """Take a new connection, which waits for a request; evict one if needed."""
        self._connections[connection] = 0
        self._waiting[WaitsFor.REQUEST][connection] = None
        if len(self._connections) > self.max_connections:
            self._evict(Eviction.DESCRIPTORS, [self._longest_waiting(now)])

    def discard(self, connection: BudgetedConnection) -> None:
        """Forget a connection that was closed."""
        self.held_bytes -= self._connections.pop(connection, 0)
        for waiting in self._waiting.values():
            waiting.pop(connection, None)

    def wait(self, connection: BudgetedConnection, waits_for: WaitsFor) -> None:
        """Note what an open connection waits for now, or that it has progressed."""
        if connection not in self._connections:
            return
        for other, waiting in self._waiting.items():
            if other is waits_for:
                waiting[connection] = None
                waiting.move_to_end(connection)
            else:
                waiting.pop(connection, None)

    def hold(self, connection: BudgetedConnection, now: float) -> None:
        """Take what a connection holds now; evict some if all hold too much.

        The connection itself may be among the evicted.

        Args:
          connection: an open connection; others are passed over.
          now: loop time in seconds.
        """
        before = self._connections.get(connection)
        held = connection.held_bytes
        if before is None or before == held:
            return
        self._connections[connection] = held
        self.held_bytes += held - before
        if self.held_bytes > self.max_bytes:
            self._exceeded = True
            excess_bytes = self.held_bytes - int(LOW_WATER * self.max_bytes)
            evicted = connections_to_evict(self._connections, excess_bytes, now)
            self._evict(Eviction.MEMORY, evicted)

    def take_relief(self) -> bool:
        """Return whether little is held again since connections held too much.

        True once after each such time; memory that was freed may then be returned.
        """
        relieved = self._exceeded and self.held_bytes < RELIEF_SHARE * self.max_bytes
        if relieved:
            self._exceeded = False
        return relieved

    def _longest_waiting(self, now: float) -> BudgetedConnection:
        """Return the connection that has waited for its client for longest.

        If all wait for responses, it is the newest of these.
        """
        request = next(iter(self._waiting[WaitsFor.REQUEST]), None)
        transfer = next(iter(self._waiting[WaitsFor.TRANSFER]), None)
        if request is None and transfer is None:
            return next(reversed(self._waiting[WaitsFor.RESPONSE]))
        if request is None or transfer is None:
            found = request or transfer
            assert found is not None
            return found
        transfer_age_s = (now - transfer.progress_at) * TRANSFER_AGE_SHARE
        return transfer if transfer_age_s > now - request.progress_at else request

    def _evict(self, cause: Eviction, evicted: list[BudgetedConnection]) -> None:
        for connection in evicted:
            self.discard(connection)
            connection.evict()
        self.on_evict(cause, len(evicted))
