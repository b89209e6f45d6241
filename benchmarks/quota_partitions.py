# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One quota under partitions of any kind and length, on a simulated clock.

    python benchmarks/quota_partitions.py --plays 1000 --first-seed 1

Each play draws the number of entries, the rate and demand of one workspace, and up to
three partitions of one or two entries in series. Prints the plays that passed the bound
and the greatest usage.

Entries decide by the production `Quotas` and report by the production `Exchange`. All
usage of one workspace is counted in a sliding window, over all entries. Owns the state
of one run.
"""

from collections import deque
from collections.abc import Collection
from concurrent.futures import ProcessPoolExecutor
from random import Random

import click

from emulated_exchange import KnowledgeSite
from emulated_quotas import QuotaNode
from leverdoor.codec import pack
from leverdoor.entry.membership.member import Member
from leverdoor.errors import Refusal
from leverdoor.model.resources import Workspace
from leverdoor.workspaces.quota_bounds import QuotaBounds

__all__ = ["WARD", "PartitionSite", "play_drawn_partitions"]

WARD = Workspace(name="ward", rate_per_s=100.0, burst=100.0)
"""The workspace whose usage is counted."""
DEMAND = 3.0
"""Requests that callers send, as a multiple of the rate."""
REGIONS = 3
ENTRY_COUNTS = (3, 4, 6, 12)
RATES_PER_S = (10.0, 20.0, 100.0)
MAX_DEMAND = 14.0
PARTITION_S = (1.0, 60.0)
"""Shortest and longest partition, in seconds."""
PAUSE_S = (0.2, 12.0)
"""Shortest and longest time before and between partitions, in seconds."""
MAX_PARTITIONS = 3


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
        self.register(self.names, self.names)
        self.taken: deque[tuple[float, str]] = deque()
        """Times of the requests in the window, each with the entry that admitted it."""
        self.most_over_bound = 0.0
        """Greatest usage of a window over the bound."""
        self._rng = Random(seed)
        self._bounds = QuotaBounds()

    def _node(self, own: Member, _: dict[str, list[str]], rng: Random) -> QuotaNode:
        return QuotaNode(own, [self.workspace], rng)

    def register(self, registered: Collection[str], readers: Collection[str]) -> None:
        """Let entries read the registrations of some entries from the store.

        The leases of the others have expired.
        """
        members = [self._quota_node(n).membership.own for n in registered]
        registrations = {m.name: pack(m) for m in members}
        for name in readers:
            membership = self._quota_node(name).membership
            membership.add_registered(registrations, self.site.now)
        for name in set(self.names) - set(registered):
            self._quota_node(name).lose_lease(self.site.now)

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


def play_drawn_partitions(seed: int) -> float:
    """Play partitions drawn from a seed; return the greatest usage over the bound."""
    rng = Random(f"partitions {seed}")
    rate = rng.choice(RATES_PER_S)
    workspace = Workspace(name="drawn", rate_per_s=rate, burst=rate)
    site = PartitionSite(rng.choice(ENTRY_COUNTS), workspace=workspace, seed=seed)
    site.serve(rng.uniform(*PAUSE_S), demand=rng.choice((0.0, _draw_demand(rng))))
    for _ in range(rng.randint(1, MAX_PARTITIONS)):
        site.site.isolated = set(site.choose(rng.randint(1, 2)))
        site.serve(rng.uniform(*PARTITION_S), demand=_draw_demand(rng))
        site.site.isolated = set()
        site.serve(rng.uniform(*PAUSE_S), demand=_draw_demand(rng))
    return site.most_over_bound


def _draw_demand(rng: Random) -> float:
    return rng.uniform(0.0, rng.choice((1.5, MAX_DEMAND)))


@click.command()
@click.option("--plays", default=100, help="Number of plays.")
@click.option("--first-seed", default=1, help="Seed of the first play.")
@click.option("--processes", default=2, help="Number of processes.")
def main(plays: int, first_seed: int, processes: int) -> None:
    """Print the plays over the bound, and the greatest usage over it."""
    seeds = range(first_seed, first_seed + plays)
    with ProcessPoolExecutor(processes) as executor:
        usages = list(executor.map(play_drawn_partitions, seeds))
    for seed, usage in zip(seeds, usages, strict=True):
        if usage > 1.0:
            print(f"seed={seed} most_over_bound={usage:.4f}")
    over = sum(usage > 1.0 for usage in usages)
    print(f"plays={plays} over={over} most_over_bound={max(usages):.4f}")


if __name__ == "__main__":
    main()
