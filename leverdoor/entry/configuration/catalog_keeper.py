# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Keeps the catalogue in force: compiled from the store's state at each change.

Owns the catalogue, the targets whose registration expired in an outage, and the times
of the last outage and of the store's last answer; lost with the process. Relies on the
copy of the store (`storage.state`) and on the wire's translation. Every change of the
configuration and of targets is logged here.
"""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from leverdoor.entry.configuration.catalog import EMPTY, Catalog
from leverdoor.entry.configuration.confirmation import Confirmation
from leverdoor.entry.configuration.expired_registrations import ExpiredRegistrations
from leverdoor.entry.configuration.outage import Outage
from leverdoor.entry.events import Events
from leverdoor.entry.wire import StoreContents, Wire
from leverdoor.model.resources import Target
from leverdoor.storage.state import State

__all__ = ["CatalogKeeper", "PutInForce"]

LOGGED_PAIRS = 8
"""Routes and workspaces without a common home that one log line names.

Enough to find the mistake; more would make the line long for no gain.
"""

PutInForce: TypeAlias = Callable[[Catalog, Catalog, StoreContents], None]
"""Called with the catalogue before, the new one, and what it was compiled from."""


class CatalogKeeper:
    """The catalogue in force, and what else is known of the store."""

    def __init__(
        self,
        wire: Wire,
        state: State,
        confirmation: Confirmation,
        events: Events,
        leave_s: float,
        put_in_force: PutInForce,
    ) -> None:
        """Create it with an empty catalogue.

        Args:
          wire: translates the store's keys.
          state: the copy of the store.
          confirmation: is told which of its revisions are in force.
          events: the log.
          leave_s: within which time a leaving target must get no new requests, in
            seconds.
          put_in_force: called with each new catalogue.
        """
        self._wire = wire
        self._state = state
        self._events = events
        self._put_in_force = put_in_force
        self._registrations = ExpiredRegistrations(leave_s)
        self._expired: list[str] = []
        """Targets used without a registration, as last logged."""
        self._hold_timer: asyncio.TimerHandle | None = None
        self.catalog = EMPTY
        self.outage = Outage()
        self.confirmation = confirmation
        self.source = "store"
        """Where the state comes from, for the log: the store or a peer's address."""

    def store_answered(self) -> None:
        """Record that the store has just confirmed what is in force here."""
        self.confirmation.answered(asyncio.get_running_loop().time())

    def compile(self) -> None:
        """Compile the state, and again when the next expired target is given up.

        Called at each change of the state.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.confirmation.advanced(self._state.revision)
        configured = self._wire.translate(self._state.entries)
        targets = {t.name: t for t in configured.resources if isinstance(t, Target)}
        held = self._registrations.update(targets, self.outage.recent(now), now)
        before = self.catalog
        resources = [*configured.resources, *held]
        self.catalog = Catalog(self._state.revision, configured.version, resources)
        if self.catalog.version != before.version:
            self._log_configuration()
        self._log_targets(before, held)
        self._put_in_force(before, self.catalog, configured)
        if self._hold_timer is not None:
            self._hold_timer.cancel()
        end = self._registrations.next_end
        self._hold_timer = None if end is None else loop.call_at(end, self.compile)

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
        pairs = catalog.without_common_home()
        if pairs:
            self._events.homeless(len(pairs), pairs[:LOGGED_PAIRS])

    def _confirmed_ms(self) -> int:
        now = asyncio.get_running_loop().time()
        return self.confirmation.tell(self._state.revision, now).age_ms

    def _log_targets(self, before: Catalog, held: list[Target]) -> None:
        """Log how targets differ from those of the catalogue before."""
        catalog = self.catalog
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
