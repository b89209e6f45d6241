# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides which targets this entry reaches directly, and which only through a peer.

A link is the ability to open direct connections to one target. A link is lost if a
direct connection cannot be opened although a peer reaches the target, or no peer can
tell. Targets are grouped by service and region; a group is lost if several of its links
were lost since its last sign of life, and a service, a region or all targets are lost
if several of their groups are and no other one has shown life since.

A lost link is used again once it has worked for a while. That time doubles with each
loss within a minute, so that a flapping link does not swing the traffic.

Owns the state of each link; lost with the process and learned again from connections.
Reads no clock and does no I/O: callers pass monotonic times in seconds.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import TypeAlias

import msgspec

from leverdoor.model.resources import Target

__all__ = ["ALL_TARGETS", "LinkChange", "LinkTable", "Scope"]

Scope: TypeAlias = tuple[str, str]
"""A service and a region; "" stands for any."""

ALL_TARGETS: Scope = ("", "")

MIN_LOST = 2
"""Lost links that make a group lost, and lost groups that make a wider scope lost.

One lost link may be a lost packet. A greater value lets more requests wait for a
connect timeout.
"""
MIN_WORKING_S = 1.0
"""Time for which a lost link must have worked before it is used again, in seconds."""
MAX_WORKING_DOUBLINGS = 3
"""Maximum exponent of that time: a flapping link has to work for 8 s."""
LOSS_MEMORY_S = 60.0
"""Time after which an earlier loss no longer prolongs `MIN_WORKING_S`, in seconds."""
PROBE_INTERVAL_S = 1.0
"""Minimum interval between two probes of one link, in seconds."""
QUIET_S = 0.5
"""Time without a sign of life after which a group is probed first, in seconds.

While links are lost, one probe of each quiet group tells how far the loss extends.
"""


class LinkChange(msgspec.Struct, frozen=True):
    """A scope whose links were lost or regained."""

    change: str
    """"lost" or "regained"."""
    service: str
    region: str
    lost_links: int
    """Lost links of all targets."""
    hangs: bool
    """Whether the last attempt of a lost link hung; otherwise it was refused."""


class _Link(msgspec.Struct):
    """The direct link to one target; times in seconds."""

    scope: Scope
    alive_at: float = -math.inf
    """When a direct connection was last opened or answered."""
    failed_at: float = -math.inf
    lost_since: float = -math.inf
    lost: bool = False
    hangs: bool = False
    """Whether the last failed attempt got no response; otherwise it was refused."""
    working_since: float | None = None
    """Since when connections can be opened again, while the link counts as lost."""
    probed_at: float = -math.inf


class LinkTable:
    """The links of one entry to all targets."""

    def __init__(self, rng: Random | None = None) -> None:
        """Create a table without targets.

        Args:
          rng: selects the links to probe; a new source if omitted.
        """
        self._rng = rng or Random()
        self._links: dict[str, _Link] = {}
        self._groups: dict[Scope, list[str]] = {}
        """Names of targets by service and region."""
        self._alive_at: dict[Scope, float] = {}
        """By group, the last sign of life of a link that is not lost."""
        self._lost: set[str] = set()
        self._lost_scopes: dict[Scope, float] = {}
        """Lost scopes, and since when."""
        self._reported: set[Scope] = set()
        """Lost scopes that `take_changes` has returned."""
        self.on_lost: list[Callable[[], None]] = []
        """Called when a link is lost, so that nobody waits for others lost with it."""
        self._losses = 0
        """Times that links were lost while none was, within `LOSS_MEMORY_S`."""
        self._loss_at = -math.inf

    def renew(self, targets: Mapping[str, Target]) -> None:
        """Apply the targets of a new configuration."""
        self._links = {
            name: self._links.get(name) or _Link((target.service, target.region))
            for name, target in targets.items()
        }
        self._lost &= self._links.keys()
        self._groups = {}
        for name, link in self._links.items():
            self._groups.setdefault(link.scope, []).append(name)
        self._evaluate()

    def _link(self, target: Target) -> _Link:
        """Return the link to a target, which may have left the configuration."""
        link = self._links.get(target.name)
        return link or _Link((target.service, target.region))

    # What connections show.

    def record_alive(self, target: Target, now: float, *, opened: bool) -> bool:
        """Record that a direct connection was opened or answered.

        Args:
          target: the target of the connection.
          now: monotonic time in seconds.
          opened: whether the connection was opened just now.
        Returns: whether a lost link works again from now on.
        """
        link = self._link(target)
        link.alive_at = now
        if link.lost and not opened:
            # Kept connections may answer while new ones cannot be opened.
            return False
        self._alive_at[link.scope] = now
        works_again = link.lost and link.working_since is None
        if works_again:
            link.working_since = now
        if self._lost:
            self._evaluate()
        return works_again

    def record_lost(self, target: Target, hangs: bool, now: float) -> None:
        """Record that no direct connection could be opened, though the target may run.

        Args:
          target: the target.
          hangs: whether the attempt got no response; otherwise it was refused.
          now: monotonic time in seconds.
        """
        if target.name not in self._links:
            return
        link = self._links[target.name]
        if not self._lost:
            self._count_loss(now)
        if not link.lost or link.working_since is not None:
            link.lost_since = now
        link.lost = True
        link.hangs = hangs
        link.failed_at = now
        link.working_since = None
        self._lost.add(target.name)
        self._evaluate()
        for on_lost in self.on_lost:
            on_lost()

    def _count_loss(self, now: float) -> None:
        if now - self._loss_at > LOSS_MEMORY_S:
            self._losses = 0
        self._losses += 1
        self._loss_at = now

    def record_down(self, target: Target) -> None:
        """Record that the target has failed: a peer with links does not reach it."""
        link = self._link(target)
        link.lost = False
        link.working_since = None
        self._lost.discard(target.name)
        self._evaluate()

    def sweep(self, now: float) -> None:
        """Count links that have worked for long enough as regained."""
        for name in [n for n in self._lost if self._is_regained(self._links[n], now)]:
            self._links[name].lost = False
            self._lost.discard(name)
        if self._lost_scopes:
            self._evaluate()

    def _is_regained(self, link: _Link, now: float) -> bool:
        if link.working_since is None:
            return False
        doublings = min(self._losses - 1, MAX_WORKING_DOUBLINGS)
        return now - link.working_since >= MIN_WORKING_S * 2.0**doublings

    # Which scopes are lost.

    def _evaluate(self) -> None:
        """Determine the lost scopes."""
        if not self._lost:
            self._lost_scopes = {}
            return
        groups = {
            scope: since
            for scope, names in self._groups.items()
            if (since := self._group_lost_since(scope, names)) is not None
        }
        wider = {scope for group in groups for scope in _wider_scopes(group)}
        scopes = {
            scope: since
            for scope in wider
            if (since := self._scope_lost_since(scope, groups)) is not None
        }
        self._lost_scopes = groups | scopes

    def _group_lost_since(self, scope: Scope, names: Iterable[str]) -> float | None:
        """Return since when a group is lost; None if it is not."""
        alive_at = self._alive_at.get(scope, -math.inf)
        links = [self._links[name] for name in names]
        lost = [
            link.lost_since
            for link in links
            if link.lost and link.working_since is None and link.failed_at > alive_at
        ]
        if len(lost) < min(MIN_LOST, len(links)):
            return None
        return max(alive_at, min(lost))

    def _scope_lost_since(
        self, scope: Scope, lost_groups: Mapping[Scope, float]
    ) -> float | None:
        """Return since when a service, a region or all are lost; None if not."""
        groups = [group for group in self._groups if scope in _wider_scopes(group)]
        lost = [lost_groups[group] for group in groups if group in lost_groups]
        if len(lost) < min(MIN_LOST, len(groups)):
            return None
        since = max(lost)
        others = (g for g in groups if g not in lost_groups)
        if any(self._alive_at.get(group, -math.inf) > since for group in others):
            return None
        return since

    # Queries.

    @property
    def all_lost(self) -> bool:
        """Whether this entry has lost its links to all targets."""
        return ALL_TARGETS in self._lost_scopes

    @property
    def lost_count(self) -> int:
        """Number of lost links."""
        return len(self._lost)

    def is_lost(self, target: Target) -> bool:
        """Return whether the link to a target is lost and does not work yet."""
        link = self._link(target)
        return link.lost and link.working_since is None

    def must_relay(self, target: Target) -> bool:
        """Return whether a connection to a target is to go through a peer."""
        if not self._lost:
            return False
        link = self._link(target)
        return link.lost or self._is_suspect(link)

    def _is_suspect(self, link: _Link) -> bool:
        """Return whether a scope of a link is lost since its last sign of life."""
        return any(
            link.alive_at < self._lost_scopes[scope]
            for scope in (link.scope, *_wider_scopes(link.scope))
            if scope in self._lost_scopes
        )

    def may_connect(self, target: Target) -> bool:
        """Return whether a direct attempt may succeed if no peer can help."""
        if not self.must_relay(target):
            return True
        link = self._link(target)
        return link.working_since is not None or (
            self._alive_at.get(link.scope, -math.inf) > link.failed_at
        )

    def trusts_kept_connections(self, target: Target) -> bool:
        """Return whether idle direct connections to a target may be used.

        They live on where new ones are refused, and are dead where new ones hang.
        """
        if not self.must_relay(target):
            return True
        link = self._link(target)
        if link.lost:
            return not link.hangs
        return not any(
            self._links[name].hangs for name in self._lost if name in self._links
        )

    def has_been_alive(self, since: float) -> bool:
        """Return whether any link has shown life after a time."""
        return any(at > since for at in self._alive_at.values())

    def group_has_been_alive(self, target: Target, since: float) -> bool:
        """Return whether a link of a target's group has shown life after a time."""
        scope = (target.service, target.region)
        return self._alive_at.get(scope, -math.inf) > since

    def others_in_group(self, target: Target) -> list[str]:
        """Return the names of the other targets of a target's group."""
        names = self._groups.get((target.service, target.region), [])
        return [name for name in names if name != target.name]

    def to_probe(self, count: int, now: float) -> list[str]:
        """Return the names of targets to probe now, and record that they are probed.

        Quiet groups first, one target each, then lost and suspect links by the time of
        their last probe.

        Args:
          count: maximum number of targets.
          now: monotonic time in seconds.
        """
        if not self._lost:
            return []
        quiet = [
            self._rng.choice(names)
            for scope, names in self._groups.items()
            if now - self._alive_at.get(scope, -math.inf) > QUIET_S
        ]
        uncertain = [
            name
            for name, link in self._links.items()
            if link.lost or self._is_suspect(link)
        ]
        uncertain.sort(key=lambda name: self._links[name].probed_at)
        due = [
            name
            for name in dict.fromkeys(quiet + uncertain)
            if now - self._links[name].probed_at >= PROBE_INTERVAL_S
        ]
        for name in due[:count]:
            self._links[name].probed_at = now
        return due[:count]

    def take_changes(self) -> list[LinkChange]:
        """Return the scopes that were lost or regained since the last call."""
        lost = set(self._lost_scopes)
        found = [("lost", s) for s in sorted(lost - self._reported)]
        found += [("regained", s) for s in sorted(self._reported - lost)]
        self._reported = lost
        hangs = any(self._links[name].hangs for name in self._lost)
        return [
            LinkChange(change, service, region, len(self._lost), hangs)
            for change, (service, region) in found
        ]


def _wider_scopes(group: Scope) -> list[Scope]:
    """Return the service, the region and all targets, of which a group is a part."""
    service, region = group
    return [(service, ""), ("", region), ALL_TARGETS]
