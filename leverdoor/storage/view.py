# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Indexes the configuration for look-ups on the request path of a plain site.

`ViewCache` subscribes to a `State` and owns the compiled view, the ownership tables and
the client blocks. They are lost with the process and rebuilt from the state.
"""

from collections.abc import Iterable
from typing import TypeVar

from loguru import logger

from leverdoor.errors import LeverdoorError
from leverdoor.membership.ownership import (
    RowSpec,
    Table,
    cap_row_name,
    parse_table,
    slot_row_name,
)
from leverdoor.model.blocks import (
    ClientRegionMap,
    CompiledBlocks,
    compile_blocks,
    without_networks,
)
from leverdoor.model.position import START
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
"""`RowSpec.spread` of the rows of shift caps; 0 divides the units among all gates."""


class View:
    """All resources at one revision, with indexes."""

    def __init__(
        self, revision: int, resources: dict[str, Resource], blocks: ClientRegionMap
    ) -> None:
        """Index resources.

        Args:
          revision: the store revision of the resources.
          resources: all resources by `kind/name`.
          blocks: the compiled client blocks of these resources.
        """
        self.revision = revision
        self.resources = resources
        self.blocks = blocks
        self.regions = self._resources_of_kind(Region)
        self.services = self._resources_of_kind(Service)
        self.targets = self._resources_of_kind(Target)
        self.tiers = self._resources_of_kind(Tier)
        self.levels = self._resources_of_kind(ServiceLevel)
        self.drains = self._resources_of_kind(Drain)
        self.caps = {
            (c.service, c.region): c for c in self._resources_of_kind(ShiftCap).values()
        }
        self._tier_by_caller = {c: t for t in self.tiers.values() for c in t.callers}
        defaults = [t for t in self.tiers.values() if t.default]
        self.default_tier = defaults[0] if defaults else DEFAULT_TIER
        self.targets_by_location: dict[tuple[str, str], list[Target]] = {}
        for t in sorted(self.targets.values(), key=lambda t: t.name):
            self.targets_by_location.setdefault((t.service, t.region), []).append(t)
        self._drained_vms = {d.vm for d in self.drains.values() if d.vm}
        self._drained_targets = {
            t.name
            for t in self.targets.values()
            if any(d.covers(t) for d in self.drains.values())
        }

    def _resources_of_kind(self, kind: type[T]) -> dict[str, T]:
        return {
            key.split("/", 1)[1]: r
            for key, r in self.resources.items()
            if isinstance(r, kind)
        }

    def tier(self, caller: str) -> Tier:
        """Return the tier of a caller, or the default tier."""
        return self._tier_by_caller.get(caller, self.default_tier)

    def drained(self, target: Target) -> bool:
        """Return whether a drain covers a target."""
        return target.name in self._drained_targets

    def vm_drained(self, vm: str) -> bool:
        """Return whether a drain covers a VM."""
        return vm in self._drained_vms

    def specs(self, region: str) -> dict[str, RowSpec]:
        """Return the specifications of the rows in the ownership table of a region."""
        specs = {
            slot_row_name(t.address): RowSpec(t.slots)
            for t in self.targets.values()
            if t.region == region
        }
        for c in self.caps.values():
            if c.region == region:
                row = cap_row_name(c.service, c.region)
                specs[row] = RowSpec(c.units, CAP_SPREAD_ALL)
        return specs

    def settle_s(self, region: str) -> dict[str, float]:
        """Return the delay before newly assigned units may be used, in seconds by row.

        Meanwhile requests of the previous holder end (`linger_ms`), and the window of a
        shift cap passes (`window_ms`).
        """
        delays = {
            slot_row_name(t.address): self.services[t.service].linger_ms / 1000
            for t in self.targets.values()
            if t.region == region and t.service in self.services
        }
        for c in self.caps.values():
            if c.region == region:
                delays[cap_row_name(c.service, c.region)] = c.window_ms / 1000
        return delays

    def distance_ms(self, a: str, b: str) -> float:
        """Return the one-way latency between two regions in ms.

        Returns: the value of `a` for `b`, else that of `b` for `a`; 0 within a region,
          and 1,000 if neither has a value.
        """
        if a == b:
            return 0.0
        for start, end in ((a, b), (b, a)):
            region = self.regions.get(start)
            if region is not None and end in region.latency_ms:
                return float(region.latency_ms[end])
        return 1_000.0


class ViewCache:
    """Updates the compiled view and the ownership tables from a State.

    Client blocks are kept only in compiled form. `View.resources` contains them without
    their networks, but with the regions that they refer to.
    """

    def __init__(self, state: State, with_blocks: bool = True) -> None:
        """Compile a state and subscribe to its changes.

        Args:
          state: the replica of the store.
          with_blocks: whether to compile client blocks; agents do not look them up.
        """
        self._with_blocks = with_blocks
        self._chunks: dict[str, CompiledBlocks] = {}
        self._blocks = ClientRegionMap({})
        self.view = View(0, {}, self._blocks)
        self.tables: dict[str, Table] = {}
        self._apply_delta(state.delta(START))
        state.changes.subscribe(self._apply_delta)

    def _apply_delta(self, delta: Delta) -> None:
        """Recompile what a delta changed."""
        resources = {} if delta.full else dict(self.view.resources)
        chunks = {} if delta.full else dict(self._chunks)
        changed = delta.full
        for e in delta.events:
            if e.key.startswith(TABLES):
                self._update_table(e.key, e.value)
            elif e.key.startswith(RESOURCES):
                changed = True
                key = e.key.removeprefix(RESOURCES)
                _update_resource(
                    resources, chunks if self._with_blocks else None, key, e.value
                )
        if not changed:
            self.view.revision = delta.revision
            return
        if self._with_blocks and chunks != self._chunks:
            self._chunks = chunks
            self._blocks = ClientRegionMap(chunks, self._blocks)
        self.view = View(delta.revision, resources, self._blocks)

    def _update_table(self, key: str, value: bytes | None) -> None:
        region = key.removeprefix(TABLES)
        if value is None:
            self.tables.pop(region, None)
        else:
            self.tables[region] = parse_table(value)

    def table(self, region: str) -> Table:
        """Return a region's ownership table, or an empty one if it has none."""
        return self.tables.get(region) or Table(region)


def _update_resource(
    resources: dict[str, Resource],
    chunks: dict[str, CompiledBlocks] | None,
    key: str,
    value: bytes | None,
) -> None:
    """Insert, replace or remove a stored resource; omit one that cannot be parsed."""
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
      entries: the entries of the store.
      known: the view of `state`; its resource is reused for an entry whose revision
        and value equal those in `state`.
      state: the replica of the store from which the view was compiled.
    Returns: the resources; an entry that cannot be parsed is omitted.
    """
    resources: dict[str, Resource] = {}
    for e in entries:
        key = e.key.removeprefix(RESOURCES)
        current = state.entries.get(e.key)
        # A restored store may have given the revision out again, to another value.
        is_known = current is not None and (current.revision, current.value) == (
            e.revision,
            e.value,
        )
        if known is not None and is_known:
            if key in known.resources:
                resources[key] = known.resources[key]
        else:
            _update_resource(resources, None, key, e.value)
    return resources
