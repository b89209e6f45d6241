# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Targets of a soak that say in answers that they leave, ask for rest, or are slow.

State: none; what they said stands with their arrivals. Relies on the site for its
targets, and on `report_promise` for the verdict.
"""

import asyncio
from collections.abc import Iterator
from random import Random

from leverdoor.standins.soak.record import Record
from leverdoor.standins.soak.report_promise import arrivals_by_entry, report_breaches
from leverdoor.standins.soak.site import SoakSite

__all__ = ["ReportingTarget", "reports_not_heeded"]

RESTS = ("0.5", "1", "2.5", "3")
"""Rests that targets ask for, in seconds."""
UNREADABLE = ("soon", "-3", "Thu, 03 Dec 2026 11:00:00 GMT", "3, 4")
"""What asks for no rest; such a target turns requests away all the same."""
UNREADABLE_SHARE = 0.15
LEAVE_SHARE = 0.3
"""Part of the stretches in which a target leaves."""
SHORTEST_S = 0.3
LONGEST_S = 3.0
"""How long a target turns requests away, and how long it then serves, in seconds."""
TOLD_LATE_S = 6.0
"""Longest time from the first answer that says that it leaves to its word in the
store, in seconds: more than the bound on leaving."""
HARMED_S = 4.0
"""Time after a disturbance in which what arrives may have been held up, in seconds."""


class ReportingTarget:
    """One target of the look-ups after the other rests, or leaves and is replaced.

    From then on, it also reports how long work takes there.
    """

    def __init__(self, site: SoakSite, number: int, seed: int) -> None:
        """Create it; `run` lets targets rest and leave until cancelled.

        Args:
          site: the deployment.
          number: which target, in the order of names.
          seed: of the soak.
        """
        self._site = site
        self._number = number
        self._rng = Random(f"reports/{seed}/{number}")

    async def run(self) -> None:
        """Let targets rest and leave until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(SHORTEST_S, LONGEST_S))
            names = self._site.stayers("look")
            if not names:
                continue
            name = names[self._number % len(names)]
            self._site.targets[name].reports_speed = True
            if self._rng.random() < LEAVE_SHARE:
                await self._leave(name)
            else:
                await self._rest(name)

    async def _rest(self, name: str) -> None:
        """Turn requests away for a while."""
        target = self._site.targets[name]
        unreadable = self._rng.random() < UNREADABLE_SHARE
        target.rest = self._rng.choice(UNREADABLE if unreadable else RESTS)
        await asyncio.sleep(self._rng.uniform(SHORTEST_S, LONGEST_S))
        target.rest = ""

    async def _leave(self, name: str) -> None:
        """Say in answers that the target leaves, and later in the store."""
        target = self._site.targets[name]
        if target.leaving:
            return
        target.leaving = "1"
        await self._site.join_target(target.service, self._site.region(target.zone))
        await asyncio.sleep(self._rng.uniform(SHORTEST_S, TOLD_LATE_S))
        if name not in self._site.left:
            self._site.left[name] = asyncio.get_running_loop().time()
            self._site.drain_target(name)


def reports_not_heeded(site: SoakSite, record: Record) -> Iterator[str]:
    """Yield a line for each entry that did not heed what a target said.

    Entries that were restarted, frozen or cut off since, and targets whose link was
    harmed, are excused.
    """
    senders = {a.request_id: (a.entry, a.sent_at) for a in record.attempts}
    for name, target in site.targets.items():

        def excused(entry: str, since: float, until: float, of: str = name) -> bool:
            within_s = until - since + HARMED_S
            return any(record.was_disturbed(n, within_s, until) for n in (entry, of))

        arrivals = arrivals_by_entry(target.arrivals, senders)
        yield from report_breaches(name, arrivals, excused)
