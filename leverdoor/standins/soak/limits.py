# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Targets of a soak that name limits: they change, flap, end, and are no number.

State: none; what is named goes to the record. Relies on the site for its targets.
"""

import asyncio
from random import Random

from leverdoor.standins.soak.record import NamedLimit, Record, now_s
from leverdoor.standins.soak.site import SoakSite

__all__ = ["LimitNamer"]

LIMITS = ("0", "0.5", "1", "2", "3.5", "4")
"""Limits below what callers ask for."""
UNREADABLE = ("soon", "-1", "nan", "1e400", "0x10", "")
"""What is no limit; "" names none."""
UNREADABLE_SHARE = 0.2
FLAP_SHARE = 0.2
"""Part of the stretches that are not readable, and in which the limit flaps."""
SHORTEST_S = 2.0
LONGEST_S = 14.0
"""How long a limit stays as it is, in seconds; some outlast a window of the check."""
FLAP_S = 1.0
FLAPS = 6
"""Limits named one after the other, each for `FLAP_S`, while it flaps."""


class LimitNamer:
    """One target of the look-ups names one limit after the other."""

    def __init__(self, site: SoakSite, record: Record, number: int, seed: int) -> None:
        """Create it; `run` names limits until cancelled.

        Args:
          site: the deployment.
          record: where to note what is named.
          number: which target, in the order of names.
          seed: of the soak.
        """
        self._site = site
        self._record = record
        self._number = number
        self._rng = Random(f"limit/{seed}/{number}")

    async def run(self) -> None:
        """Name limits until cancelled."""
        while True:
            chance = self._rng.random()
            if chance < UNREADABLE_SHARE:
                self._name(self._rng.choice(UNREADABLE))
            elif chance < UNREADABLE_SHARE + FLAP_SHARE:
                await self._flap()
                continue
            else:
                self._name(self._rng.choice(LIMITS))
            await asyncio.sleep(self._rng.uniform(SHORTEST_S, LONGEST_S))

    async def _flap(self) -> None:
        for _ in range(FLAPS):
            self._name(self._rng.choice(LIMITS))
            await asyncio.sleep(FLAP_S)

    def _name(self, text: str) -> None:
        names = sorted(n for n, t in self._site.targets.items() if t.service == "look")
        name = names[self._number % len(names)]
        self._site.targets[name].limit = text
        per_s = float(text) if text in LIMITS else None
        self._record.limits.append(NamedLimit(name, now_s(), per_s))
