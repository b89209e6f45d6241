# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One quota under partitions of any kind and length, on a simulated clock.

Entries decide by the production `Quotas` and report by the production `Exchange`. All
usage of one workspace is counted in a sliding window, over all entries. Owns the state
of one run.
"""

from collections import deque
from collections.abc import Collection
from random import Random

from emulated_exchange import KnowledgeSite
from emulated_quotas import QuotaNode
from leverdoor.codec import pack
from leverdoor.entry.membership.member import Member
from leverdoor.errors import Refusal
from leverdoor.model.resources import Workspace
from leverdoor.workspaces.quota_bounds import QuotaBounds

__all__ = ["WARD", "PartitionSite"]

WARD = Workspace(name="ward", rate_per_s=100.0, burst=100.0)
"""The workspace whose usage is counted."""
DEMAND = 3.0
"""Requests that callers send, as a multiple of the rate."""
REGIONS = 3


class _PartitionedSite(KnowledgeSite):
    """A site whose datagrams can also be lost in one direction, or between groups."""

    muted: Collection[str] = frozenset()
    """Entries whose datagrams reach nobody."""
    group: Collection[str] = frozenset()
    """Entries that exchange datagrams with each other only."""

    def _send(self, own: Member, message: object, to: Member) -> None:
        if own.name in self.muted:
            return
        if (own.name in self.group) != (to.name in self.group):
            return
        super()._send(own, message, to)


class PartitionSite:
    """Entries of three regions, callers of one workspace, and the window of its use."""

    def __init__(
        self,
        entries: int,
        *,
        workspace: Workspace = WARD,
        loss: float = 0.05,
        seed: int = 1,
    ) -> None:
        """Create it.

        Args:
          entries: number of entries.
          workspace: the workspace that all callers belong to.
          loss: share of the datagrams that are lost.
          seed: seed of all random decisions.
        """
        self.workspace = workspace
        self.site = _PartitionedSite(entries, REGIONS, loss, self._node, seed)
        self.names = list(self.site.nodes)
        self._register_all()
        self.taken: deque[tuple[float, str]] = deque()
        """Times of the requests in the window, each with the entry that admitted it."""
        self.most_over_bound = 0.0
        """Greatest usage of a window over the bound."""
        self._rng = Random(seed)
        self._bounds = QuotaBounds()

    def _node(self, own: Member, _: dict[str, list[str]], rng: Random) -> QuotaNode:
        return QuotaNode(own, [self.workspace], rng)

    def _register_all(self) -> None:
        """Let each entry know the registrations of all, as read from the store."""
        members = [self._quota_node(n).membership.own for n in self.names]
        registrations = {m.name: pack(m) for m in members}
        for name in self.names:
            self._quota_node(name).membership.add_registered(registrations, 0.0)

    def choose(self, count: int) -> list[str]:
        """Return random entries."""
        return self._rng.sample(self.names, count)

    def region(self, region: str) -> list[str]:
        """Return the entries of a region."""
        nodes = (self._quota_node(n) for n in self.names)
        members = [node.membership.own for node in nodes]
        return [m.name for m in members if m.region == region]

    def serve(
        self,
        duration_s: float,
        *,
        demand: float = DEMAND,
        only: list[str] | None = None,
    ) -> None:
        """Send requests to random entries.

        Args:
          duration_s: for how long, in seconds.
          demand: requests, as a multiple of the rate of the workspace.
          only: the entries that receive requests; None for all.
        """
        until = self.site.now + duration_s
        now = self.site.now
        while demand > 0.0:
            now += self._rng.expovariate(demand * self.workspace.rate_per_s)
            if now >= until:
                break
            self.site.run(now)
            self._request(self._rng.choice(only or self.names), now)
        self.site.run(until)
        self._forget(until)

    def _request(self, name: str, now: float) -> None:
        try:
            self._quota_node(name).quotas.admit(self.workspace, now)
        except Refusal:
            return
        self.taken.append((now, name))
        self._forget(now)
        over = len(self.taken) / self._bounds.bound(self.workspace)
        self.most_over_bound = max(self.most_over_bound, over)

    def _forget(self, now: float) -> None:
        while self.taken and self.taken[0][0] <= now - self._bounds.window_s:
            self.taken.popleft()

    def known_usage(self, besides: Collection[str]) -> list[float]:
        """Return the usage of the others, reservations included, by each entry.

        Args:
          besides: entries that are not asked.
        """
        return [
            self._quota_node(n)
            .quotas.known_usage(self.workspace, self.site.now)
            .others_use
            for n in self.names
            if n not in besides
        ]

    def _quota_node(self, name: str) -> QuotaNode:
        node = self.site.nodes[name]
        assert isinstance(node, QuotaNode)
        return node
