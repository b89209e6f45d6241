# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Faults of entries: kills, planned stops, pauses, reloads and clocks set wrong.

State: a lock for each entry, so that no two faults stop and start one process at
once; it lasts one soak. Relies on the site's processes and on signals.
"""

import asyncio
import signal

from leverdoor.standins.entry_process import EntryProcess
from leverdoor.standins.soak.plan import PlannedFault
from leverdoor.standins.soak.record import Record, now_s
from leverdoor.standins.soak.site import SoakSite

__all__ = ["EntryFaults"]

CLOCK_OFFSETS_S = (-3600.0, -2.0, 2.0, 3600.0)
"""Offsets by which a clock is set, in seconds: small ones and an hour."""
STOP_LIMIT_S = 8.0
"""Longest time that a planned stop may take, in seconds: the grace and 2 s."""
POLL_S = 0.02
"""Seconds between two looks while something is awaited."""


class EntryFaults:
    """What each fault does to an entry."""

    def __init__(self, site: SoakSite, record: Record) -> None:
        """Create it.

        Args:
          site: whose entries.
          record: where planned stops and other disturbances are noted.
        """
        self._site = site
        self._record = record
        self._locks = {name: asyncio.Lock() for name in site.entries}

    def _pick(self, fault: PlannedFault) -> EntryProcess:
        names = sorted(self._site.entries)
        return self._site.entries[names[int(fault.pick * len(names))]]

    async def kill(self, fault: PlannedFault) -> None:
        """Kill an entry, and start it again a while later."""
        await self._kill_one(self._pick(fault), fault.for_s)

    async def _kill_one(self, entry: EntryProcess, down_s: float) -> None:
        began = now_s()
        async with self._locks[entry.name]:
            entry.send(signal.SIGKILL)
            await entry.ended()
            await asyncio.sleep(down_s)
            await entry.start()
        self._record.note_disturbance(entry.name, began, now_s())

    async def kill_all(self, fault: PlannedFault) -> None:
        """Kill all entries at once."""
        entries = self._site.entries.values()
        await asyncio.gather(*(self._kill_one(e, fault.for_s) for e in entries))

    async def stop(self, fault: PlannedFault) -> None:
        """Stop an entry as planned, and start it again."""
        entry = self._pick(fault)
        async with self._locks[entry.name]:
            began = now_s()
            entry.send(signal.SIGTERM)
            try:
                async with asyncio.timeout(STOP_LIMIT_S):
                    await entry.ended()
                self._record.stops.append((entry.name, began, now_s()))
            except TimeoutError:
                entry.send(signal.SIGKILL)
                await entry.ended()
                self._record.note_disturbance(entry.name, began, now_s())
            await entry.start()

    async def pause(self, fault: PlannedFault) -> None:
        """Suspend an entry's process for a while."""
        entry = self._pick(fault)
        began = now_s()
        async with self._locks[entry.name]:
            entry.send(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            entry.send(signal.SIGCONT)
        self._record.note_disturbance(entry.name, began, now_s())

    async def reload(self, fault: PlannedFault) -> None:
        """Reload an entry; a process whose interpreter still starts would end."""
        entry = self._pick(fault)
        async with self._locks[entry.name]:
            while not entry.has_logged():
                await asyncio.sleep(POLL_S)
            entry.send(signal.SIGHUP)

    async def clock(self, fault: PlannedFault) -> None:
        """Set an entry's time of day, seen from its next start on, and back."""
        entry = self._pick(fault)
        offset_s = CLOCK_OFFSETS_S[int(fault.variant * len(CLOCK_OFFSETS_S))]
        self._site.set_clock(entry.name, offset_s)
        await self._kill_one(entry, 0.0)
        await asyncio.sleep(fault.for_s)
        self._site.set_clock(entry.name, 0.0)
        await self._kill_one(entry, 0.0)
