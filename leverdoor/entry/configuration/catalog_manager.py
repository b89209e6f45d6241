# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Compiles the catalog in force from the copy of the store at each change.

Logs every change of the configuration and of targets. Owns the catalog, the targets
whose registrations expired in an outage, and the times of the last outage and of the
newest answer of the store; all are lost with the process. Relies on the copy of the
store (`storage.state`) and on the translation of its keys (`wire`).
"""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from leverdoor.entry.configuration.catalog import EMPTY_CATALOG, Catalog
from leverdoor.entry.configuration.confirmation import Confirmation
from leverdoor.entry.configuration.expired_registrations import ExpiredRegistrations
from leverdoor.entry.configuration.outage import Outage
from leverdoor.entry.events import Events
from leverdoor.entry.wire import StoreContents, Wire
from leverdoor.model.position import UNKNOWN_ERA
from leverdoor.model.resources import Target
from leverdoor.storage.state import State

__all__ = ["CatalogManager", "CatalogListener"]

MAX_LOGGED_PAIRS = 8
"""Maximum number of pairs without a common home region in one log line.

This is enough to find the wrong home regions; more pairs only make the line longer.
"""

CatalogListener: TypeAlias = Callable[[Catalog, Catalog, StoreContents], None]
"""Receives the previous catalog, the new one and its source configuration."""


class CatalogManager:
    """Manages the catalog in force and tracks the availability of the store."""

    def __init__(
        self,
        wire: Wire,
        state: State,
        confirmation: Confirmation,
        events: Events,
        leave_s: float,
        on_change: CatalogListener,
    ) -> None:
        """Create the manager with an empty catalog.

        Args:
          wire: translates keys of the store to resources.
          state: the local copy of the store.
          confirmation: tracks the newest answer that confirms the revision in force.
          events: the event log of this entry.
          leave_s: time within which requests to a leaving target must stop, in seconds.
          on_change: called at each new catalog; see `CatalogListener`.
        """
        self._wire = wire
        self._state = state
        self._events = events
        self._on_change = on_change
        self._expired_registrations = ExpiredRegistrations(leave_s)
        self._logged_expired: list[str] = []
        """Names of the targets with expired registrations, as last logged."""
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._era = UNKNOWN_ERA
        """Era of the state compiled last."""
        self.catalog = EMPTY_CATALOG
        self.outage = Outage()
        self.confirmation = confirmation
        self.source = "store"
        """Source of the state for the log: "store" or the address of a peer."""

    def record_store_answer(self) -> None:
        """Record that the store just confirmed the revision in force here."""
        self.confirmation.record_answer(asyncio.get_running_loop().time())

    def compile(self) -> None:
        """Compile the state into a catalog and put it in force.

        Called at each change of the state. Also schedules the next call for the time at
        which the next retained target expires.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.confirmation.record_position(self._state.position)
        if self._state.position.era != self._era:
            if self._era != UNKNOWN_ERA:
                self.outage.record_restoration(now)
            self._era = self._state.position.era
        configured = self._wire.translate(self._state.in_force)
        targets = {t.name: t for t in configured.resources if isinstance(t, Target)}
        retained = self._expired_registrations.update(
            targets, self.outage.is_recent(now), now
        )
        previous = self.catalog
        resources = [*configured.resources, *retained]
        self.catalog = Catalog(self._state.revision, configured.version, resources)
        if self.catalog.version != previous.version:
            self._log_configuration()
        self._log_targets(previous, retained)
        self._on_change(previous, self.catalog, configured)
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        expires_at = self._expired_registrations.next_expiry
        self._expiry_timer = (
            None if expires_at is None else loop.call_at(expires_at, self.compile)
        )

    def _log_configuration(self) -> None:
        """Log a new version of the configuration."""
        catalog = self.catalog
        self._events.configuration(
            catalog.version,
            catalog.revision,
            catalog.route_count,
            len(catalog.targets),
            self.source,
            self._confirmed_ms(),
        )
        conflicts = catalog.pairs_without_common_home()
        if conflicts:
            self._events.homeless(len(conflicts), conflicts[:MAX_LOGGED_PAIRS])

    def _confirmed_ms(self) -> int:
        now = asyncio.get_running_loop().time()
        return self.confirmation.newest_answer(self._state.position, now).age_ms

    def _log_targets(self, previous: Catalog, retained: list[Target]) -> None:
        """Log the changes of targets since the previous catalog."""
        catalog = self.catalog
        added = sorted(catalog.usable_target_names - previous.usable_target_names)
        removed = sorted(previous.usable_target_names - catalog.usable_target_names)
        changed_cold_targets = [
            name
            for name, target in catalog.targets.items()
            if target.cold_ms and previous.targets.get(name) != target
        ]
        expired = sorted(t.name for t in retained)
        if added or removed or changed_cold_targets or expired != self._logged_expired:
            self._events.targets(
                added, removed, changed_cold_targets, expired, catalog.revision
            )
        self._logged_expired = expired
