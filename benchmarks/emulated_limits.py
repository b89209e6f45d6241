# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Both errors of keeping targets' limits, at any number of entries, on a fake clock.

Some targets name a limit from a moment on; requests for each come to entries at random.
Entries tell each other by their own `Exchange`, and decide by their own `Limiter`;
datagrams are lost, entries are restarted, cut off and frozen. All entries reach all
targets all the while, which is the worst case of a cut. State: of one run.
"""

import heapq
from collections import defaultdict
from collections.abc import Callable
from itertools import count
from random import Random

import msgspec

from emulated_exchange import FAR_S, NEAR_S, KnowledgeSite
from leverdoor.entry.exchange.messages import PermitRequest
from leverdoor.entry.limits.limiter_client import (
    MAX_ATTEMPTS,
    OTHER_REGION_TIMEOUT_S,
    SAME_REGION_TIMEOUT_S,
    UNANSWERED_DECISION,
)
from leverdoor.entry.membership.member import Member
from leverdoor.limits.token_bucket import GrantDecision
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id
from leverdoor.workspaces.quota_bounds import QuotaBounds
from limit_node import LimitNode, Surroundings

__all__ = ["LimitFigures", "LimitPlan", "play_limits"]

REGIONS = 3
NAMED_S = 4.0
"""When the targets name their limits."""
KEPT_FROM_S = NAMED_S + 4.0
"""From when on limits must be kept: the operator's bound."""
TROUBLE_S = 24.0
"""When the first trouble comes; the calm stretch ends."""
RESTART_S = TROUBLE_S
CUT_S = TROUBLE_S + 10.0
FREEZE_S = TROUBLE_S + 22.0
"""When some entries are restarted, cut off, frozen."""
CUT_LASTS_S = 5.0
DOWN_S = 0.9
FROZEN_S = 3.0
PLAYED_S = FREEZE_S + 10.0
RUN_S = 0.3
"""Time from a send to its answer."""
WINDOW_S = 4.0
OVERSHOOT = 1.5
SLACK = 5.0
"""The bound: in a window so many times the limit, and so many requests more."""


class LimitPlan(msgspec.Struct, frozen=True):
    """What is played."""

    entries: int
    per_s: float = 3.5
    """The limit that each target names."""
    demand: float = 5.0
    """Requests that come, as a multiple of the limit."""
    targets: int = 30
    loss: float = 0.05
    """Share of the datagrams that are lost."""
    struck: float = 0.0
    """Part of the entries that are restarted, cut off, frozen: at least one, a limiter,
    and half of them limiters."""
    way: str = "limiter"
    """"limiter", or one that was weighed: "even", "told"."""
    seed: int = 1


class LimitFigures(msgspec.Struct):
    """What one run shows."""

    over_bound: float = 0.0
    """Most requests of a window at a target, over what is allowed."""
    used_calm: float = 0.0
    """Part of the room used, of what was asked for, while nothing failed."""
    used_trouble: float = 0.0
    """The same while entries are restarted, cut off and frozen."""
    asks_per_s: float = 0.0
    """Datagrams that ask for room, of all entries at one target."""
    kb_per_s: float = 0.0
    """Bytes sent by an entry in rounds, on average, with headers of IP and UDP."""

    def line(self) -> str:
        """Return the figures by name on one line."""
        names = self.__struct_fields__
        return " ".join(f"{name}={getattr(self, name):.3f}" for name in names)


class _Play:
    """One run: its site, its targets, and what is counted."""

    def __init__(self, plan: LimitPlan) -> None:
        self.plan = plan
        self._rng = Random(plan.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._numbers = count()
        self._asks = 0
        self._at = 0.0
        """Time of the event that is played, in seconds."""
        self._targets = [_target(i) for i in range(plan.targets)]
        bounds = QuotaBounds(WINDOW_S, OVERSHOOT - 1.0, SLACK)
        self._shared = Surroundings(self._targets, plan.per_s, bounds, lambda: self._at)
        self.site: KnowledgeSite = KnowledgeSite(
            plan.entries, REGIONS, plan.loss, self._make, plan.seed
        )
        self._names = list(self.site.nodes)
        self._arrived: defaultdict[str, list[float]] = defaultdict(list)
        self._sent: defaultdict[str, list[float]] = defaultdict(list)

    def _make(self, own: Member, _: dict[str, list[str]], __: Random) -> LimitNode:
        return LimitNode(own, self._shared, 0.0)

    def _node(self, name: str) -> LimitNode:
        node = self.site.nodes[name]
        assert isinstance(node, LimitNode)
        return node

    def _after(self, delay_s: float, call: Callable[[], None]) -> None:
        at = self.site.now + delay_s
        heapq.heappush(self._events, (at, next(self._order), call))

    def run(self) -> LimitFigures:
        for target in self._targets:
            self._after(self._pause_s(), lambda t=target: self._arrive(t))  # type: ignore[misc]
        self._after(RESTART_S, self._restart)
        self._after(CUT_S, self._cut)
        self._after(CUT_S + CUT_LASTS_S, self._heal)
        self._after(FREEZE_S, self._freeze)
        while self._events and self._events[0][0] <= PLAYED_S:
            self._at, _, call = heapq.heappop(self._events)
            self.site.run(self._at)
            call()
        return self._figures()

    def _pause_s(self) -> float:
        return self._rng.expovariate(self.plan.per_s * self.plan.demand)

    # Requests.

    def _arrive(self, target: Target) -> None:
        self._after(self._pause_s(), lambda: self._arrive(target))
        name = self._rng.choice(self._names)
        if name in self.site.dead:
            return
        now = self.site.now
        self._arrived[target.name].append(now)
        node = self._node(name)
        per_s = node.book.per_s(target_id(target.name))
        if per_s is None:
            self._send(name, target)
        elif self.plan.way == "even":
            if node.admits_evenly(target, per_s, now):
                self._send(name, target)
        elif self.plan.way == "told":
            if node.admits_as_told(target, now):
                self._send(name, target)
        elif node.notes[target.name].closed(0, now):
            node.notes[target.name].miss(0)
        else:
            self._ask(name, target, per_s)

    def _send(self, name: str, target: Target) -> None:
        now = self.site.now
        self._sent[target.name].append(now)
        per_s = self.plan.per_s if now + RUN_S >= NAMED_S else None
        self._after(RUN_S, lambda: self._answer(name, target, per_s))

    def _answer(self, name: str, target: Target, per_s: float | None) -> None:
        if name not in self.site.dead:
            self._node(name).answered(target, per_s, self.site.now)

    # Questions for room.

    def _ask(self, name: str, target: Target, per_s: float) -> None:
        node, now = self._node(name), self.site.now
        limiter = node.role.limiter(target, now)
        missed = node.notes[target.name].take_skipped(0)
        if limiter is None:
            self._decided(name, target, UNANSWERED_DECISION)
        elif limiter.name == name:
            decision = node.limiter.decide(target, per_s, 0, missed, now)
            self._decided(name, target, decision)
        else:
            number = next(self._numbers)
            key = target_id(target.name)
            request = PermitRequest(name, number, key, per_s, 0, missed)
            self._try(request, limiter, target, MAX_ATTEMPTS)

    def _try(
        self, request: PermitRequest, limiter: Member, target: Target, left: int
    ) -> None:
        """Send a question; send it again, or give it up, if no answer comes."""
        name = request.sender
        if name in self.site.dead:
            return
        if not left:
            self._decided(name, target, UNANSWERED_DECISION)
            return
        self._asks += 1
        own = self._node(name).membership.own
        near = own.region == limiter.region
        way_s, try_s = (
            (NEAR_S, SAME_REGION_TIMEOUT_S) if near else (FAR_S, OTHER_REGION_TIMEOUT_S)
        )
        delivered = self._delivered(own, limiter) and self._delivered(limiter, own)
        if delivered:
            self._after(way_s, lambda: self._question(request, limiter, target, way_s))
        else:
            self._after(try_s, lambda: self._try(request, limiter, target, left - 1))

    def _delivered(self, sender: Member, to: Member) -> bool:
        site = self.site
        if self._rng.random() < self.plan.loss:
            return False
        if sender.region != to.region and site.cut in (sender.region, to.region):
            return False
        names = {sender.name, to.name}
        return site.isolated.isdisjoint(names) and site.dead.isdisjoint(names)

    def _question(
        self, request: PermitRequest, limiter: Member, target: Target, way_s: float
    ) -> None:
        if limiter.name in self.site.dead:
            return
        answer = self._node(limiter.name).limiter.answer(request, self.site.now)
        decision = GrantDecision(
            answer.granted,
            answer.retry_after_ms / 1000,
            answer.permit_expected_ms / 1000,
        )
        self._after(way_s, lambda: self._decided(request.sender, target, decision))

    def _decided(self, name: str, target: Target, decision: GrantDecision) -> None:
        if name in self.site.dead:
            return
        if decision.granted:
            self._send(name, target)
            return
        wait_s = decision.wait_s * self._rng.uniform(0.5, 1.5)
        notes = self._node(name).notes[target.name]
        notes.record_rejection(0, wait_s, decision.retry_after_s, self.site.now)

    # Troubles.

    def _struck(self) -> list[str]:
        """Return the entries that a trouble strikes: half of them limiters."""
        now = self.site.now
        view = self._node(self._names[0])
        limiters = {
            m.name
            for t in self._targets
            if (m := view.role.limiter(t, now)) is not None
        }
        wanted = max(round(self.plan.struck * len(self._names)), 1)
        first = sorted(limiters)[: (wanted + 1) // 2]
        rest = [n for n in self._names if n not in first]
        return first + self._rng.sample(rest, wanted - len(first))

    def _restart(self) -> None:
        """Kill entries; they come back with nothing but the others' names."""
        names = self._struck()
        self.site.dead |= set(names)
        self._after(DOWN_S, lambda: self._start(names))

    def _start(self, names: list[str]) -> None:
        members = [n.membership.own for n in self.site.nodes.values()]
        now = self.site.now
        self.site.dead -= set(names)
        for name in names:
            before = self.site.nodes[name].membership.own
            own = msgspec.structs.replace(before, incarnation=before.incarnation + 1)
            node = LimitNode(own, self._shared, now)
            for other in members:
                node.membership.update_member(other, now)
            self.site.restart(name, node)

    def _cut(self) -> None:
        """Cut a region off from the others, and some entries from all."""
        self.site.cut = "r1"
        self.site.isolated = set(self._struck())

    def _heal(self) -> None:
        self.site.cut = ""
        self.site.isolated = set()

    def _freeze(self) -> None:
        names = self._struck()
        self.site.dead |= set(names)
        self._after(FROZEN_S, lambda: self._resume(names))

    def _resume(self, names: list[str]) -> None:
        self.site.dead -= set(names)
        for name in names:
            self.site.restart(name, self.site.nodes[name])

    # Figures.

    def _figures(self) -> LimitFigures:
        plan = self.plan
        allowed = OVERSHOOT * plan.per_s * WINDOW_S + SLACK
        most = max(_most_in_a_window(t) for t in self._sent.values())
        sent = [self.site.sent[name] / PLAYED_S / 1000 for name in self._names]
        return LimitFigures(
            over_bound=most / allowed,
            used_calm=self._used(KEPT_FROM_S, TROUBLE_S),
            used_trouble=self._used(TROUBLE_S, PLAYED_S),
            asks_per_s=self._asks / plan.targets / (PLAYED_S - NAMED_S),
            kb_per_s=sum(sent) / len(sent),
        )

    def _used(self, since: float, until: float) -> float:
        """Return the part of the room used, where it was asked for."""
        room = self.plan.per_s * (until - since)
        used = 0
        wanted = 0.0
        for target in self._targets:
            arrived = sum(since <= at < until for at in self._arrived[target.name])
            used += sum(since <= at < until for at in self._sent[target.name])
            wanted += min(arrived, room)
        return used / wanted


def _most_in_a_window(times: list[float]) -> int:
    """Return the most requests of a window, once limits must be kept."""
    kept = sorted(at for at in times if at >= KEPT_FROM_S)
    first = most = 0
    for last, at in enumerate(kept):
        while kept[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def _target(number: int) -> Target:
    region = f"r{number % REGIONS}"
    return Target(
        name=f"i-{number:08x}",
        service="look",
        region=region,
        domain=f"{region}d0",
        address="10.0.0.1:80",
        slots=9,
    )


def play_limits(plan: LimitPlan) -> LimitFigures:
    """Play a plan, and return its figures."""
    return _Play(plan).run()
