# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The configuration compiled for look-ups on the request path of a plain site.

`ViewCache` follows a `State` and owns the compiled view, the ownership tables and the
client blocks; all are rebuilt from the state and lost with the process.
"""

from collections.abc import Iterable
from typing import TypeVar

from loguru import logger

from leverdoor.errors import LeverdoorError
from leverdoor.membership.ownership import (
    RowSpec,
    Table,
    cap_row,
    parse_table,
    slot_row,
)
from leverdoor.model.blocks import (
    ClientRegionMap,
    CompiledBlocks,
    compile_blocks,
    without_networks,
)
from leverdoor.model.resources import (
    ClientBlocks,
    Drain,
    Region,
    Resource,
    Service,
    ServiceLevel,
    ShiftCap,
    Target,
    Tier,
    parse_resource,
)
from leverdoor.storage.state import RESOURCES, TABLES, Delta, State
from leverdoor.storage.store import KeyValue

__all__ = ["DEFAULT_TIER", "View", "ViewCache"]

T = TypeVar("T")

DEFAULT_TIER = Tier(name="default", default=True)
CAP_SPREAD_ALL = 0
"""Holders of a cap's units: 0 spreads them over all gates of a region."""


class View:
    """All resources at one revision, indexed."""

    def __init__(
        self, revision: int, resources: dict[str, Resource], blocks: ClientRegionMap
    ) -> None:
        """Index resources.

        Args:
          revision: the store revision they stand at.
          resources: all of them, by `kind/name`.
          blocks: the compiled client blocks among them.
        """
        self.revision = revision
        self.resources = resources
        self.blocks = blocks
        self.regions = self._named(Region)
        self.services = self._named(Service)
        self.targets = self._named(Target)
        self.tiers = self._named(Tier)
        self.levels = self._named(ServiceLevel)
        self.drains = self._named(Drain)
        self.caps = {(c.service, c.region): c for c in self._named(ShiftCap).values()}
        self._tier_of = {c: t for t in self.tiers.values() for c in t.callers}
        defaults = [t for t in self.tiers.values() if t.default]
        self.default_tier = defaults[0] if defaults else DEFAULT_TIER
        self.by_place: dict[tuple[str, str], list[Target]] = {}
        for t in sorted(self.targets.values(), key=lambda t: t.name):
            self.by_place.setdefault((t.service, t.region), []).append(t)
        self._drained_vms = {d.vm for d in self.drains.values() if d.vm}
        self._drained = {
            t.name
            for t in self.targets.values()
            if any(d.covers(t) for d in self.drains.values())
        }

    def _named(self, kind: type[T]) -> dict[str, T]:
        return {
            key.split("/", 1)[1]: r
            for key, r in self.resources.items()
            if isinstance(r, kind)
        }

    def tier(self, caller: str) -> Tier:
        """Return the tier that a caller pays for."""
        return self._tier_of.get(caller, self.default_tier)

    def drained(self, target: Target) -> bool:
        """Return whether a drain covers a target."""
        return target.name in self._drained

    def vm_drained(self, vm: str) -> bool:
        """Return whether a drain covers a VM."""
        return vm in self._drained_vms

    def specs(self, region: str) -> dict[str, RowSpec]:
        """Return the rows that a region's ownership table should have."""
        found = {
            slot_row(t.address): RowSpec(t.slots)
            for t in self.targets.values()
            if t.region == region
        }
        for c in self.caps.values():
            if c.region == region:
                row = cap_row(c.service, c.region)
                found[row] = RowSpec(c.units, CAP_SPREAD_ALL)
        return found

    def settle_s(self, region: str) -> dict[str, float]:
        """Return for each row how long gained units stay unusable."""
        found = {
            slot_row(t.address): self.services[t.service].linger_ms / 1000
            for t in self.targets.values()
            if t.region == region and t.service in self.services
        }
        for c in self.caps.values():
            if c.region == region:
                found[cap_row(c.service, c.region)] = c.window_ms / 1000
        return found

    def distance_ms(self, a: str, b: str) -> float:
        """One-way latency between two regions; 0 within one."""
        if a == b:
            return 0.0
        for one, other in ((a, b), (b, a)):
            region = self.regions.get(one)
            if region is not None and other in region.latency_ms:
                return float(region.latency_ms[other])
        return 1_000.0


class ViewCache:
    """Keeps the compiled view and the ownership tables in step with a State.

    Client blocks are kept compiled only; the resource kept for them is an outline
    that names the regions they refer to.
    """

    def __init__(self, state: State, with_blocks: bool = True) -> None:
        """Follow a state from now on.

        Args:
          state: the copy of the store.
          with_blocks: whether to compile client blocks; agents look none up.
        """
        self._with_blocks = with_blocks
        self._chunks: dict[str, CompiledBlocks] = {}
        self._blocks = ClientRegionMap({})
        self.view = View(0, {}, self._blocks)
        self.tables: dict[str, Table] = {}
        self.take(state.delta(0))
        state.changes.subscribe(self.take)

    def take(self, delta: Delta) -> None:
        """Compile what a delta changed."""
        resources = {} if delta.full else dict(self.view.resources)
        chunks = {} if delta.full else dict(self._chunks)
        changed = delta.full
        for e in delta.events:
            if e.key.startswith(TABLES):
                self._take_table(e.key, e.value)
            elif e.key.startswith(RESOURCES):
                changed = True
                key = e.key.removeprefix(RESOURCES)
                _put(resources, chunks if self._with_blocks else None, key, e.value)
        if not changed:
            self.view.revision = delta.revision
            return
        if self._with_blocks and chunks != self._chunks:
            self._chunks = chunks
            self._blocks = ClientRegionMap(chunks, self._blocks)
        self.view = View(delta.revision, resources, self._blocks)

    def _take_table(self, key: str, value: bytes | None) -> None:
        region = key.removeprefix(TABLES)
        if value is None:
            self.tables.pop(region, None)
        else:
            self.tables[region] = parse_table(value)

    def table(self, region: str) -> Table:
        """Return a region's ownership table, empty if there is none."""
        return self.tables.get(region) or Table(region)


def _put(
    resources: dict[str, Resource],
    chunks: dict[str, CompiledBlocks] | None,
    key: str,
    value: bytes | None,
) -> None:
    """Take one stored resource in, or out; an unreadable one is left out."""
    resources.pop(key, None)
    if chunks is not None:
        chunks.pop(key, None)
    if value is None:
        return
    try:
        resource = parse_resource(value)
    except LeverdoorError as e:
        logger.error("stored resource cannot be read", key=key, error=str(e))
        return
    if isinstance(resource, ClientBlocks):
        if chunks is not None:
            chunks[key] = compile_blocks(resource)
        resource = without_networks(resource)
    resources[key] = resource


def parse_entries(
    entries: Iterable[KeyValue], known: View | None, state: State
) -> dict[str, Resource]:
    """Parse stored resources by `kind/name`.

    Args:
      entries: as the store has them.
      known: the view of `state`, from which what has not changed is taken.
      state: the copy of the store that the view was compiled from.
    """
    found: dict[str, Resource] = {}
    for e in entries:
        key = e.key.removeprefix(RESOURCES)
        have = state.entries.get(e.key)
        if known is not None and have is not None and have.revision == e.revision:
            if key in known.resources:
                found[key] = known.resources[key]
        else:
            _put(found, None, key, e.value)
    return found
