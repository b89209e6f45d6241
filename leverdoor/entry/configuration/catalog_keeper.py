# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Keeps the catalogue in force: compiled from the state, with what just expired."""

import asyncio
from collections.abc import Callable, Mapping
from typing import TypeAlias

from leverdoor.entry.configuration.catalog import EMPTY, Catalog
from leverdoor.entry.configuration.confirmation import Confirmation
from leverdoor.entry.configuration.expired_registrations import (
    ExpiredRegistrations,
    Outage,
)
from leverdoor.entry.events import Events
from leverdoor.entry.wire import Wire
from leverdoor.model.resources import Target
from leverdoor.storage.state import State

__all__ = ["CatalogKeeper", "TakeCatalog"]

LOGGED_PAIRS = 8
"""Routes and workspaces without a common home that one line names; chosen."""

TakeCatalog: TypeAlias = Callable[[Catalog, Catalog, Mapping[str, bytes]], None]
"""Called with the catalogue before, the new one, and other entries' registrations."""


class CatalogKeeper:
    """The catalogue in force, and what it was compiled from."""

    def __init__(
        self,
        wire: Wire,
        state: State,
        events: Events,
        leave_s: float,
        take: TakeCatalog,
    ) -> None:
        """Create it with an empty catalogue.

        Args:
          wire: translates the store's entries.
          state: what the store holds.
          events: the log.
          leave_s: within which time a leaving target must get nothing new.
          take: puts a new catalogue in force.
        """
        self._wire = wire
        self._state = state
        self._events = events
        self._take = take
        self._registrations = ExpiredRegistrations(leave_s)
        self._expired: list[str] = []
        self._hold_timer: asyncio.TimerHandle | None = None
        self.catalog = EMPTY
        self.outage = Outage()
        self.confirmation = Confirmation()
        self.source = "store"
        """Where the state comes from, for the log: the store or a peer's address."""

    def store_answered(self) -> None:
        """Note that the store has just confirmed the configuration here."""
        self.confirmation.answered(asyncio.get_running_loop().time())

    def compile(self) -> None:
        """Compile the state, and again when the next expired target is given up."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        said = self._wire.translate(self._state.entries)
        targets = {t.name: t for t in said.resources if isinstance(t, Target)}
        held = self._registrations.update(targets, self.outage.recent(now), now)
        before = self.catalog
        resources = [*said.resources, *held]
        self.catalog = Catalog(self._state.revision, said.version, resources)
        self._log_changes(before, held)
        self._take(before, self.catalog, said.peers)
        if self._hold_timer is not None:
            self._hold_timer.cancel()
        end = self._registrations.next_end
        self._hold_timer = None if end is None else loop.call_at(end, self.compile)

    def _log_changes(self, before: Catalog, held: list[Target]) -> None:
        """Log what differs from the catalogue before."""
        catalog = self.catalog
        if catalog.version != before.version:
            self._events.configuration(
                catalog.version,
                catalog.revision,
                catalog.route_count,
                len(catalog.targets),
                self.source,
            )
            homeless = catalog.homeless()
            if homeless:
                self._events.homeless(len(homeless), homeless[:LOGGED_PAIRS])
        came = sorted(catalog.in_service - before.in_service)
        gone = sorted(before.in_service - catalog.in_service)
        cold = [
            name
            for name, target in catalog.targets.items()
            if target.cold_ms and before.targets.get(name) != target
        ]
        expired = sorted(t.name for t in held)
        if came or gone or cold or expired != self._expired:
            self._events.targets(came, gone, cold, expired, catalog.revision)
        self._expired = expired
