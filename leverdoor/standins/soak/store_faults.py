# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Faults of the store: silent, busy, slow, lost writes, expired registrations.

State: none; the store keeps the faults that it is given. Relies on the site's store
and targets, and on its list of targets that have left.
"""

import asyncio

from leverdoor.standins.metadata import MetadataFaults
from leverdoor.standins.soak.plan import FaultAction, PlannedFault
from leverdoor.standins.soak.site import SoakSite

__all__ = ["StoreFaults"]

LOST_WRITES = 3
"""Writes whose answers are lost."""
LATE_WRITE_S = 2.0
"""How much later a lost write is done, in seconds."""
REGISTRATIONS = "servers/"
"""Prefix of the keys under which targets register."""


class StoreFaults:
    """What each fault does to the store."""

    def __init__(self, site: SoakSite) -> None:
        """Create it for a site's store."""
        self._store = site.store
        self._site = site

    def behave(self, faults: MetadataFaults) -> FaultAction:
        """Return what lets the store behave badly for a while."""

        async def run(fault: PlannedFault) -> None:
            self._store.faults = faults
            await asyncio.sleep(fault.for_s)
            self._store.faults = MetadataFaults()

        return run

    async def lose_writes(self, fault: PlannedFault) -> None:
        """Lose the answers of some writes, which are done at once or late."""
        late_s = LATE_WRITE_S if fault.variant < 0.5 else 0.0
        faults = MetadataFaults(lose_writes=LOST_WRITES, late_s=late_s)
        await self.behave(faults)(fault)

    async def forget(self, _: PlannedFault) -> None:
        """Drop the history, so that no watch can continue."""
        self._store.forget_history()

    async def lapse(self, fault: PlannedFault) -> None:
        """Expire all registrations of targets; those still there register again."""
        silent = fault.variant < 0.5
        store = self._store
        store.faults = MetadataFaults(silent=silent, busy=0 if silent else 503)
        await asyncio.sleep(fault.for_s)
        expired = [k for k in store.items if k.startswith(REGISTRATIONS)]
        for key in expired:
            store.remove(key)
        store.faults = MetadataFaults()
        await asyncio.sleep(fault.variant)
        for name in (key.removeprefix(REGISTRATIONS) for key in expired):
            if name in self._site.targets and name not in self._site.left:
                self._site.register(name)
