# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Who is served next: priority tiers with reserved room, weights, and bulk last."""

from collections import deque

import msgspec

from leverdoor.model.resources import Tier

__all__ = ["QueuedRequest", "WaitQueue"]


class QueuedRequest(msgspec.Struct, eq=False):
    """One request as the decisions see it."""

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
    share by weight (stride scheduling). Bulk work goes after everybody else.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: dict[str, deque[QueuedRequest]] = {}
        self._tiers: dict[str, Tier] = {}
        self._passes: dict[str, float] = {}
        self._bulk: deque[QueuedRequest] = deque()
        self._now = 0.0

    def __len__(self) -> int:
        """Count what waits, bulk work included."""
        return self.people() + len(self._bulk)

    def people(self) -> int:
        """Count what waits, bulk work left out."""
        return sum(len(q) for q in self._waiting.values())

    def push(self, job: QueuedRequest) -> None:
        """Add a job."""
        if job.bulk:
            self._bulk.append(job)
            return
        name = job.tier.name
        queue = self._waiting.setdefault(name, deque())
        if not queue:
            self._passes[name] = max(self._passes.get(name, 0.0), self._now)
        self._tiers[name] = job.tier
        queue.append(job)

    def remove(self, job: QueuedRequest) -> bool:
        """Take a job out wherever it stands."""
        queue = self._bulk if job.bulk else self._waiting.get(job.tier.name)
        if queue is None or job not in queue:
            return False
        queue.remove(job)
        return True

    def order(self, in_use: dict[str, int], held: int) -> list[QueuedRequest]:
        """Return the head of each tier, the one to serve first in front.

        Args:
          in_use: slots that each tier uses now.
          held: all slots that the gate holds for the service.
        """
        tiers = [self._tiers[n] for n, q in self._waiting.items() if q]
        tiers.sort(key=lambda t: self._standing(t, in_use, held))
        heads = [self._waiting[t.name][0] for t in tiers]
        return heads + ([self._bulk[0]] if self._bulk else [])

    def _standing(
        self, tier: Tier, in_use: dict[str, int], held: int
    ) -> tuple[bool, float, str]:
        reserved = tier.reserve_percent * held / 100
        used = in_use.get(tier.name, 0)
        below = used < reserved
        if below:
            return (False, used / reserved, tier.name)
        return (True, self._passes.get(tier.name, 0.0), tier.name)

    def pop(self, job: QueuedRequest) -> None:
        """Take a head out because it is being served."""
        self.remove(job)
        if job.bulk:
            return
        name = job.tier.name
        self._now = max(self._now, self._passes.get(name, 0.0))
        self._passes[name] = self._passes.get(name, 0.0) + 1 / job.tier.weight

    def ahead(self, tier: Tier) -> float:
        """Estimate how many jobs are served before a new one of a tier."""
        total = 0.0
        for name, queue in self._waiting.items():
            other = self._tiers[name]
            if other.name == tier.name or _rank(other) >= _rank(tier):
                total += len(queue)
            else:
                total += len(queue) * other.weight / (other.weight + tier.weight)
        return total

    def lowest(self, than: Tier) -> QueuedRequest | None:
        """Return the newest job of the lowest tier below a tier."""
        below = [
            t
            for n, t in self._tiers.items()
            if self._waiting.get(n) and _rank(t) < _rank(than)
        ]
        if not below:
            return None
        return self._waiting[min(below, key=_rank).name][-1]

    def expired(self, now: float) -> list[QueuedRequest]:
        """Take out and return the jobs whose deadline has passed."""
        queues = [*self._waiting.values(), self._bulk]
        late = [j for q in queues for j in q if j.deadline <= now]
        for job in late:
            self.remove(job)
        return late


def _rank(tier: Tier) -> tuple[int, int]:
    return (tier.reserve_percent, tier.weight)
