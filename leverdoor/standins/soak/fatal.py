# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Requests of a soak that end each target that runs them, and come again and again.

State: the count of requests of one caller; what is seen goes to the record. Relies on
the site for targets that end as their process does.
"""

import asyncio
from random import Random

import aiohttp

from leverdoor.sessions import new_session
from leverdoor.standins.entry_process import EntryProcess
from leverdoor.standins.soak.look_ups import DEADLINE_MS, FreeLookUp
from leverdoor.standins.soak.record import Record
from leverdoor.standins.soak.site import SoakSite

__all__ = ["FatalCaller", "fatal_path"]

COPIES = 3
"""Attempts that come at the same time, at different entries."""
PAUSE_S = 1.0
"""Mean pause between such bursts, in seconds."""


def fatal_path(number: int) -> str:
    """Return the path of a fatal request."""
    return f"/look/fatal-{number}"


class FatalCaller:
    """Sends one fatal request in bursts, to any entries."""

    def __init__(self, site: SoakSite, record: Record, number: int, seed: int) -> None:
        """Create it; `run` calls until cancelled.

        Args:
          site: the deployment.
          record: where to note what is seen.
          number: the request's.
          seed: of the soak.
        """
        self._site = site
        self._record = record
        self._path = fatal_path(number)
        self._rng = Random(f"fatal/{seed}/{number}")
        self._count = 0

    async def run(self) -> None:
        """Call until cancelled."""
        self._site.crash_paths.add(self._path)
        self._record.fatal.append(self._path)
        async with new_session(2 * DEADLINE_MS / 1000) as session:
            while True:
                await asyncio.sleep(self._rng.uniform(0.5, 1.5) * PAUSE_S)
                entries = self._rng.sample(list(self._site.entries.values()), COPIES)
                await asyncio.gather(*(self._call(session, e) for e in entries))

    async def _call(self, session: aiohttp.ClientSession, entry: EntryProcess) -> None:
        self._count += 1
        request_id = f"{self._path.rpartition('/')[2]}-{self._count}"
        look_up = FreeLookUp(self._site.front(entry), self._path)
        await look_up.send(session, request_id, entry.name, self._record)
