# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Who is served next: tiers below their reserve, then by weight, bulk uploads last.

Owns the requests of one service that wait at this gate, and each tier's turn among
them (stride scheduling); both end with the process. Relies on the caller for the
slots in use: nothing is counted here.
"""

from collections import deque

import msgspec

from leverdoor.model.resources import Tier

__all__ = ["QueuedRequest", "WaitQueue"]


class QueuedRequest(msgspec.Struct, eq=False):
    """One request as the decisions of a gate need it.

    `home` is the caller's region. `arrived` and `deadline` are loop times in seconds.
    `forwarded` is set when another gate passed the request on: it isn't passed on
    again. `tried` holds the addresses of targets where an attempt failed.
    """

    service: str
    tier: Tier
    home: str
    arrived: float
    deadline: float
    bulk: bool = False
    forwarded: bool = False
    tried: set[str] = msgspec.field(default_factory=set)


class WaitQueue:
    """Requests of one service that wait at one gate.

    A tier below its reserved share of the slots in use goes first; the rest
    share by weight (stride scheduling). Bulk uploads go after all others.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: dict[str, deque[QueuedRequest]] = {}
        self._tiers: dict[str, Tier] = {}
        self._passes: dict[str, float] = {}
        self._bulk: deque[QueuedRequest] = deque()
        self._virtual_time = 0.0

    def __len__(self) -> int:
        """Count the waiting requests, bulk uploads included."""
        return self.interactive() + len(self._bulk)

    def interactive(self) -> int:
        """Count the waiting requests, bulk uploads left out."""
        return sum(len(q) for q in self._waiting.values())

    def push(self, request: QueuedRequest) -> None:
        """Add a request at the end of its tier."""
        if request.bulk:
            self._bulk.append(request)
            return
        name = request.tier.name
        queue = self._waiting.setdefault(name, deque())
        if not queue:
            self._passes[name] = max(self._passes.get(name, 0.0), self._virtual_time)
        self._tiers[name] = request.tier
        queue.append(request)

    def remove(self, request: QueuedRequest) -> bool:
        """Take a request out; return whether it was waiting."""
        queue = self._bulk if request.bulk else self._waiting.get(request.tier.name)
        if queue is None or request not in queue:
            return False
        queue.remove(request)
        return True

    def order(self, in_use: dict[str, int], held: int) -> list[QueuedRequest]:
        """Return the head of each tier, the one to serve first in front.

        Args:
          in_use: slots that each tier uses now.
          held: all slots that the gate holds for the service.
        """
        tiers = [self._tiers[n] for n, q in self._waiting.items() if q]
        tiers.sort(key=lambda t: self._rank(t, in_use, held))
        heads = [self._waiting[t.name][0] for t in tiers]
        return heads + ([self._bulk[0]] if self._bulk else [])

    def _rank(
        self, tier: Tier, in_use: dict[str, int], held: int
    ) -> tuple[bool, float, str]:
        """Order tiers: those below their reserve, the least served of it first."""
        reserved = tier.reserve_percent * held / 100
        used = in_use.get(tier.name, 0)
        if used < reserved:
            return (False, used / reserved, tier.name)
        return (True, self._passes.get(tier.name, 0.0), tier.name)

    def pop(self, request: QueuedRequest) -> None:
        """Take out the head of a tier that is being served, and charge its tier."""
        self.remove(request)
        if request.bulk:
            return
        name = request.tier.name
        self._virtual_time = max(self._virtual_time, self._passes.get(name, 0.0))
        self._passes[name] = self._passes.get(name, 0.0) + 1 / request.tier.weight

    def ahead(self, tier: Tier) -> float:
        """Estimate how many requests are served before a new one of a tier."""
        total = 0.0
        for name, queue in self._waiting.items():
            other = self._tiers[name]
            if other.name == tier.name or _priority(other) >= _priority(tier):
                total += len(queue)
            else:
                total += len(queue) * other.weight / (other.weight + tier.weight)
        return total

    def lowest(self, than: Tier) -> QueuedRequest | None:
        """Return the newest request of the lowest tier below a tier."""
        below = [
            t
            for n, t in self._tiers.items()
            if self._waiting.get(n) and _priority(t) < _priority(than)
        ]
        if not below:
            return None
        return self._waiting[min(below, key=_priority).name][-1]

    def expired(self, now: float) -> list[QueuedRequest]:
        """Take out and return the requests whose deadline has passed."""
        queues = [*self._waiting.values(), self._bulk]
        late = [r for q in queues for r in q if r.deadline <= now]
        for request in late:
            self.remove(request)
        return late


def _priority(tier: Tier) -> tuple[int, int]:
    """Order tiers for load shedding: by reserve, then by weight."""
    return (tier.reserve_percent, tier.weight)
