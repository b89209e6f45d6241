# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Orders the requests that wait for room in one region of a service at one entry.

Owns the waiting requests, none of which was sent to a target. They are lost with the
process, like all requests of an entry that is killed.
"""

from bisect import bisect_right, insort
from collections.abc import Callable

import msgspec

from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
from leverdoor.errors import Rejection

__all__ = ["MAX_WAITING", "WaitQueue", "Waiter"]

MAX_WAITING = 32
"""Maximum requests that wait for a region of a service at one entry.

More could not be placed within the time that requests may wait, at the rate at which
the slots of a few targets become free. A greater value costs memory for their bodies.
With a smaller one, a short burst is refused although it would find room.
"""


class Waiter(msgspec.Struct, eq=False):
    """A request that waits, or would wait; times are monotonic, in seconds."""

    request: PlacementRequest
    region: str
    """The region of its key."""
    returning: bool
    """Whether it returned after a refusal."""
    since: float
    decide: Callable[[Placement | Rejection], None]
    """Called once with the decision, unless the request is withdrawn."""
    until: float = 0.0
    """Time at which it is refused."""

    @property
    def rank(self) -> tuple[int, bool, float]:
        """The order in which requests are placed; the lowest is first.

        The most urgent, of these those that returned, of these the one with the least
        time left. Of those that did not return, the one that arrived first.
        """
        time = self.request.expires_at if self.returning else self.request.arrived_at
        return self.request.priority, not self.returning, time


def _rank(waiter: Waiter) -> tuple[int, bool, float]:
    return waiter.rank


class WaitQueue:
    """The requests that wait, in the order of their rank."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiters)

    def __contains__(self, waiter: object) -> bool:
        """Return whether a request waits."""
        return waiter in self._waiters

    def add(self, waiter: Waiter) -> Waiter | None:
        """Add a request; return the last one, which is removed if there are too many.

        Returns: the removed request, which may be the new one; None for none.
        """
        insort(self._waiters, waiter, key=_rank)
        return self._waiters.pop() if len(self._waiters) > MAX_WAITING else None

    def discard(self, waiter: Waiter) -> None:
        """Remove a request if it waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def count_before(self, waiter: Waiter) -> int:
        """Return how many waiting requests are placed before a new request."""
        return bisect_right(self._waiters, waiter.rank, key=_rank)

    def in_order(self, first_priority: int | None = None) -> list[Waiter]:
        """Return the requests in the order in which they are to be placed.

        Args:
          first_priority: a priority that goes before more urgent ones; None for none.
        """
        if first_priority is None:
            return list(self._waiters)
        return sorted(self._waiters, key=lambda w: w.request.priority != first_priority)
