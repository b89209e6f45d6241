# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Queue of waiting requests with reserves and weighted sharing between tiers.

Owns the waiting requests of one service at this gate and the stride-scheduling state of
its tiers; both are lost when the process ends. Relies on `workload.py` to count the
slots in use.
"""

from collections import deque

import msgspec

from leverdoor.model.resources import Tier

__all__ = ["QueuedRequest", "WaitQueue"]


class QueuedRequest(msgspec.Struct, eq=False):
    """Scheduling data of one request.

    `home` is the caller's region. `arrived` and `deadline` are loop times in seconds.
    `forwarded` marks a request from another gate, which is not forwarded again.
    `tried` holds the addresses of targets where an attempt failed.
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
    """Waiting requests of one service at one gate.

    Tiers that use fewer slots than their reserve come first. The others share the
    slots by weight (stride scheduling). Bulk uploads come last.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: dict[str, deque[QueuedRequest]] = {}
        self._tiers: dict[str, Tier] = {}
        self._stride_passes: dict[str, float] = {}
        self._bulk: deque[QueuedRequest] = deque()
        self._virtual_time = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests, including bulk uploads."""
        return self.interactive_count() + len(self._bulk)

    def interactive_count(self) -> int:
        """Return the number of waiting requests, excluding bulk uploads."""
        return sum(len(q) for q in self._waiting.values())

    def push(self, request: QueuedRequest) -> None:
        """Append a request to the queue of its tier.

        A tier that had no waiting request resumes at the current virtual time, so that
        it gains no credit for that period.
        """
        if request.bulk:
            self._bulk.append(request)
            return
        name = request.tier.name
        queue = self._waiting.setdefault(name, deque())
        if not queue:
            self._stride_passes[name] = max(
                self._stride_passes.get(name, 0.0), self._virtual_time
            )
        self._tiers[name] = request.tier
        queue.append(request)

    def remove(self, request: QueuedRequest) -> bool:
        """Remove a request; return whether it was waiting."""
        queue = self._bulk if request.bulk else self._waiting.get(request.tier.name)
        if queue is None or request not in queue:
            return False
        queue.remove(request)
        return True

    def order(self, in_use: dict[str, int], held: int) -> list[QueuedRequest]:
        """Return the first request of each tier in the order of service; bulk last.

        Args:
          in_use: slots in use by tier.
          held: slots that the gate holds for the service.
        """
        tiers = [self._tiers[n] for n, q in self._waiting.items() if q]
        tiers.sort(key=lambda t: self._rank(t, in_use, held))
        heads = [self._waiting[t.name][0] for t in tiers]
        return heads + ([self._bulk[0]] if self._bulk else [])

    def _rank(
        self, tier: Tier, in_use: dict[str, int], held: int
    ) -> tuple[bool, float, str]:
        """Return the sort key of a tier.

        Tiers below their reserve come first, in ascending order of the used share of
        the reserve; the others follow in ascending order of the stride-scheduling pass.
        """
        reserved = tier.reserve_percent * held / 100
        used = in_use.get(tier.name, 0)
        if used < reserved:
            return (False, used / reserved, tier.name)
        return (True, self._stride_passes.get(tier.name, 0.0), tier.name)

    def pop(self, request: QueuedRequest) -> None:
        """Remove a request that was placed and advance the pass of its tier."""
        self.remove(request)
        if request.bulk:
            return
        name = request.tier.name
        self._virtual_time = max(self._virtual_time, self._stride_passes.get(name, 0.0))
        self._stride_passes[name] = (
            self._stride_passes.get(name, 0.0) + 1 / request.tier.weight
        )

    def preceding_requests(self, tier: Tier) -> float:
        """Estimate how many requests precede a new one of a tier.

        Requests of a lower tier count by its share of the weights of both tiers.
        """
        total = 0.0
        for name, queue in self._waiting.items():
            other = self._tiers[name]
            if other.name == tier.name or _priority(other) >= _priority(tier):
                total += len(queue)
            else:
                total += len(queue) * other.weight / (other.weight + tier.weight)
        return total

    def newest_below(self, than: Tier) -> QueuedRequest | None:
        """Return the newest request of the lowest tier below `than`, if any."""
        below = [
            t
            for n, t in self._tiers.items()
            if self._waiting.get(n) and _priority(t) < _priority(than)
        ]
        if not below:
            return None
        return self._waiting[min(below, key=_priority).name][-1]

    def remove_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        queues = [*self._waiting.values(), self._bulk]
        late = [r for q in queues for r in q if r.deadline <= now]
        for request in late:
            self.remove(request)
        return late


def _priority(tier: Tier) -> tuple[int, int]:
    """Return the load-shedding priority: the reserve, then the weight."""
    return (tier.reserve_percent, tier.weight)
