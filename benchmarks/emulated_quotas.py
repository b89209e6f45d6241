# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whether quotas hold over all entries, on a fake clock: their own code, no network.

Requests of workspaces arrive at entries by chance. Entries decide by their own
`Quotas` and report their use through their own `Exchange`; datagrams are lost, entries
are cut off, killed and started again with nothing in memory. State: of one run.
"""

import math
from collections import Counter, defaultdict, deque
from random import Random
from typing import TypeAlias

import msgspec

from emulated_exchange import KnowledgeSite, Outgoing
from leverdoor.entry.exchange.exchange import Exchange
from leverdoor.entry.exchange.exchange_types import EntryStatus, PeerUpdate
from leverdoor.entry.exchange.messages import ExchangeMessage
from leverdoor.entry.membership.member import SERVING, Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.registration import LEASE_TTL_S
from leverdoor.entry.membership.roles import Roles
from leverdoor.errors import Refusal
from leverdoor.model.position import position_without_era
from leverdoor.model.resources import Workspace
from leverdoor.workspaces.quota import Quotas
from leverdoor.workspaces.quota_bounds import QuotaBounds

__all__ = ["QuotaFigures", "QuotaNode", "QuotaPlan", "play_quotas"]

QUIET_S = 8.0
"""Time before trouble begins, in seconds: more than a window."""
TROUBLE_S = 10.0
"""How long trouble lasts, in seconds: two windows."""
AFTER_S = 8.0
"""Time after it, in seconds."""
DOWN_S = 0.9
"""How long killed entries are away, in seconds."""
USED_PART = 0.5
"""Part of its rate that a workspace uses on average.

Chosen: nearer to 1, and chance alone would pass limits that are to hold.
"""
SKEW = 0.8
"""Exponent of the workspaces' sizes in their order, so that a few are large."""


class QuotaPlan(msgspec.Struct, frozen=True):
    """What is played."""

    entries: int
    workspaces: int
    regions: int = 3
    loss: float = 0.0
    """Share of the datagrams that are lost."""
    cut: float = 0.0
    """Share of the entries that are cut off from all others during trouble."""
    hot: float = 1.0
    """How many times its usual one workspace asks for during trouble."""
    hot_rank: int = 0
    """Which one, by size: 0 is the largest."""
    killed: float = 0.0
    """Share of the entries that are killed in the middle of trouble."""
    per_entry: float = 14.0
    """Requests a second at an entry; on busy days 8 to 16."""
    seed: int = 1


class QuotaFigures(msgspec.Struct):
    """What one run shows."""

    most_over_bound: float = 0.0
    """The greatest use of a window over its bound; above 1 a quota was broken."""
    refused_within_limit: float = 0.0
    """Share of the requests within their workspace's limit that were not admitted:
    what was admitted less than that, in each second of each workspace."""
    refused_in_trouble: float = 0.0
    """The same during trouble alone."""
    refused_hot: float = 0.0
    """The same of the workspace that asks for more during trouble."""
    kb_per_s: float = 0.0
    """Bytes sent by an entry, on average, with the headers of IP and UDP."""
    busiest_kb_per_s: float = 0.0
    """The same for the entry that sends most."""

    def line(self) -> str:
        """Return the figures by name on one line."""
        names = self.__struct_fields__
        return " ".join(f"{name}={getattr(self, name):.4f}" for name in names)


_Second: TypeAlias = tuple[str, int]
"""A workspace, and a second of the run."""


class _Limiter:
    """A token bucket that sees all requests at once: what is within a limit."""

    def __init__(self, workspace: Workspace) -> None:
        self._workspace = workspace
        self._tokens = workspace.burst
        self._at = 0.0

    def within(self, now: float) -> bool:
        w = self._workspace
        self._tokens = min(w.burst, self._tokens + w.rate_per_s * (now - self._at))
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class QuotaNode:
    """One entry as far as quotas go."""

    def __init__(self, own: Member, workspaces: list[Workspace], rng: Random) -> None:
        self.membership = Membership(own)
        roles = Roles(self.membership, rng)
        self.exchange = Exchange(self.membership, roles)
        self.quotas = Quotas(QuotaBounds(), rng, 0.0, first_start=True)
        self.registered = True
        """Whether it renews its lease in the store."""
        self.exchange.use.renew(self.quotas.admission_limits(workspaces))

    def round(self, now: float) -> list[Outgoing]:
        """Return what it sends in a round."""
        self.quotas.entries = self.membership.count
        if self.registered:
            self.quotas.renew_lease(now)
        use = self.quotas.report(now)
        counting_for_s = self.quotas.counting_for_s(now)
        report = EntryStatus(
            SERVING, position_without_era(1), {}, {}, -1, [], use, counting_for_s
        )
        sendings, update = self.exchange.round(report, now)
        self._receive(update, now)
        self.exchange.forget(now)
        self.membership.forget(now)
        return [(s.message, s.destinations) for s in sendings]

    def lose_lease(self, expired_at: float) -> None:
        """Stop to renew its lease, which expires at a time, in seconds."""
        self.registered = False
        self.quotas.renew_lease(expired_at - LEASE_TTL_S)

    def take(self, message: ExchangeMessage, now: float) -> None:
        """Take a message."""
        self._receive(self.exchange.take(message, position_without_era(1), now), now)

    def _receive(self, update: PeerUpdate, now: float) -> None:
        if update.use is not None:
            self.quotas.receive(update.use, now)


class _Play:
    """One run: its site, its load, and what is counted."""

    def __init__(self, plan: QuotaPlan) -> None:
        self.plan = plan
        self.figures = QuotaFigures()
        self._rng = Random(plan.seed)
        self._bounds = QuotaBounds()
        self._workspaces = _workspaces(plan)
        self._limiters = {w.name: _Limiter(w) for w in self._workspaces}
        self._admitted: defaultdict[str, deque[float]] = defaultdict(deque)
        self._within: Counter[_Second] = Counter()
        self._taken: Counter[_Second] = Counter()
        self.site = KnowledgeSite(
            plan.entries, plan.regions, plan.loss, self._node, plan.seed
        )
        self._names = list(self.site.nodes)
        self._hot = ""

    def _node(self, own: Member, _: dict[str, list[str]], rng: Random) -> QuotaNode:
        return QuotaNode(own, self._workspaces, rng)

    def run(self) -> QuotaFigures:
        end = QUIET_S + TROUBLE_S
        self._serve(QUIET_S, {})
        cut = self._rng.sample(self._names, round(self.plan.cut * self.plan.entries))
        self.site.isolated = set(cut)
        self._hot = self._workspaces[self.plan.hot_rank].name
        hot = {self._hot: self.plan.hot}
        if self.plan.killed:
            self._serve(QUIET_S + TROUBLE_S / 2, hot)
            self._kill(hot)
        self._serve(end, hot)
        self.site.isolated = set()
        self._serve(end + AFTER_S, {})
        return self._figures(end + AFTER_S)

    def _kill(self, hot: dict[str, float]) -> None:
        """Kill entries; they come back with nothing but the others' names."""
        count = round(self.plan.killed * self.plan.entries)
        killed = self._rng.sample(self._names, count)
        self.site.dead = set(killed)
        self._serve(self.site.now + DOWN_S, hot)
        self.site.dead = set()
        members = [n.membership.own for n in self.site.nodes.values()]
        for name in killed:
            before = self.site.nodes[name].membership.own
            own = msgspec.structs.replace(before, incarnation=before.incarnation + 1)
            node = QuotaNode(own, self._workspaces, Random(f"{name} again"))
            node.quotas = Quotas(
                self._bounds, Random(name), self.site.now, first_start=False
            )
            for other in members:
                node.membership.update_member(other, self.site.now)
            node.quotas.entries = node.membership.count
            self.site.restart(name, node)

    def _serve(self, until: float, hot: dict[str, float]) -> None:
        rates = [_usual(w) * hot.get(w.name, 1.0) for w in self._workspaces]
        total = sum(rates)
        now = self.site.now
        while True:
            now += self._rng.expovariate(total)
            if now >= until:
                self.site.run(until)
                return
            self.site.run(now)
            workspace = self._rng.choices(self._workspaces, rates)[0]
            self._arrive(workspace, now)

    def _arrive(self, workspace: Workspace, now: float) -> None:
        name = self._rng.choice(self._names)
        if name in self.site.dead:
            return
        node = self.site.nodes[name]
        assert isinstance(node, QuotaNode)
        second = (workspace.name, int(now))
        self._within[second] += self._limiters[workspace.name].within(now)
        try:
            node.quotas.admit(workspace, now)
        except Refusal:
            return
        self._taken[second] += 1
        self._count(workspace, now)

    def _count(self, workspace: Workspace, now: float) -> None:
        admitted = self._admitted[workspace.name]
        admitted.append(now)
        while admitted[0] < now - self._bounds.window_s:
            admitted.popleft()
        over = len(admitted) / self._bounds.bound(workspace)
        self.figures.most_over_bound = max(self.figures.most_over_bound, over)

    def _figures(self, lasted_s: float) -> QuotaFigures:
        figures = self.figures
        figures.refused_within_limit = self._refused(0.0, lasted_s)
        until_s = QUIET_S + TROUBLE_S
        figures.refused_in_trouble = self._refused(QUIET_S, until_s)
        figures.refused_hot = self._refused(QUIET_S, until_s, self._hot)
        sent = [self.site.sent[name] / lasted_s / 1000 for name in self._names]
        figures.kb_per_s = sum(sent) / len(sent)
        figures.busiest_kb_per_s = max(sent)
        return figures

    def _refused(self, since_s: float, until_s: float, name: str = "") -> float:
        """Return the refused part of what was within limits, of one workspace or all.

        Args:
          since_s: from when on, in seconds of the run.
          until_s: until when.
          name: the workspace; "" for all.
        """
        seconds = [
            s for s in self._within if since_s <= s[1] < until_s and name in ("", s[0])
        ]
        within = sum(self._within[s] for s in seconds)
        short = sum(max(self._within[s] - self._taken[s], 0) for s in seconds)
        return short / max(within, 1)


def play_quotas(plan: QuotaPlan) -> QuotaFigures:
    """Play a plan, and return its figures."""
    return _Play(plan).run()


def _workspaces(plan: QuotaPlan) -> list[Workspace]:
    """Return workspaces by size, the largest first, whose rates fit the load."""
    sizes = [1 / (rank + 1) ** SKEW for rank in range(plan.workspaces)]
    rate = plan.entries * plan.per_entry / USED_PART / sum(sizes)
    rates = [max(math.ceil(rate * size), 1) for size in sizes]
    return [
        Workspace(name=f"w{i:05d}", rate_per_s=r, burst=r) for i, r in enumerate(rates)
    ]


def _usual(workspace: Workspace) -> float:
    return workspace.rate_per_s * USED_PART
