# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Cuts of ways between entries, and of the store towards some of them, in a soak.

A plan of its own beside that of `plan`, so that a seed's other faults stay the same.
State: which ways are cut now, by how many cuts; it lasts one soak. Relies on the site
for the files by which entries learn what they lose.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from enum import StrEnum
from random import Random

import msgspec

from leverdoor.standins.proxy import LinkFault
from leverdoor.standins.soak.plan import LONGEST_S, SHORTEST_S
from leverdoor.standins.soak.record import Record, now_s
from leverdoor.standins.soak.site import SoakSite

__all__ = ["CutKind", "Cuts", "PlannedCut", "draw_cuts"]

LENGTHENED = 2.0
"""Cuts last so many times as long as other faults: some pass all time-outs."""
SERIES_CHANCE = 0.3
"""Chance that a cut of the same kind follows soon, to overlap with the one before."""
SOON_S = 1.0
"""Longest pause until it does, in seconds."""
UNSERVED_SHARE = 0.5
"""Largest part of the entries that the store does not answer, of those drawn."""
STORE_FAULTS = (
    LinkFault.SILENT,
    LinkFault.RESET,
    LinkFault.HOLD_ANSWERS,
    LinkFault.HOLD_REQUESTS,
)


class CutKind(StrEnum):
    """What is cut."""

    UNHEARD = "unheard"
    """Nothing that one entry sends reaches the others."""
    DEAF = "deaf"
    """Nothing that the others send reaches one entry."""
    PAIR = "pair"
    """Nothing passes between one entry and another."""
    REGIONS = "regions"
    """Nothing passes from one region to another; half of the time, nor back."""
    REGION_ALONE = "region-alone"
    """Nothing passes between one region and all others."""
    STORE_FIRST = "store-first"
    """The store does not answer the first followers of each region."""
    STORE_SHARE = "store-share"
    """The store does not answer some entries, drawn at random."""
    STORE_KEPT = "store-kept"
    """All open connections to the store go silent for good; new ones work."""


class PlannedCut(msgspec.Struct, frozen=True):
    """One cut."""

    at_s: float
    kind: CutKind
    for_s: float
    seed: float
    """Draws what it happens to."""


def draw_cuts(seed: int, seconds: float, count: int) -> list[PlannedCut]:
    """Draw the cuts of a soak, the first one first.

    Args:
      seed: the same seed gives the same cuts.
      seconds: within which all of them begin.
      count: how many.
    """
    rng = Random(f"cuts/{seed}")
    found: list[PlannedCut] = []
    while len(found) < count:
        repeats = bool(found) and rng.random() < SERIES_CHANCE
        kind = found[-1].kind if repeats else rng.choice(list(CutKind))
        soon_s = found[-1].at_s + rng.random() * SOON_S if repeats else seconds
        at_s = soon_s if repeats else rng.random() * seconds
        for_s = rng.uniform(SHORTEST_S, LENGTHENED * LONGEST_S)
        found.append(PlannedCut(min(at_s, seconds), kind, for_s, rng.random()))
    return sorted(found, key=lambda c: c.at_s)


class Cuts:
    """Plays cuts, which may overlap."""

    def __init__(self, site: SoakSite, record: Record) -> None:
        """Create it.

        Args:
          site: whose ways are cut.
          record: where it is noted whom the store does not answer.
        """
        self._site = site
        self._record = record
        self._ways: Counter[tuple[str, str]] = Counter()
        """By sender and receiver, how many cuts lose what passes."""
        self._links: Counter[str] = Counter()
        """By entry, how many cuts keep the store's answers from it."""
        self._actions: dict[CutKind, Callable[[Random, float], Awaitable[None]]] = {
            CutKind.UNHEARD: self._unheard,
            CutKind.DEAF: self._deaf,
            CutKind.PAIR: self._pair,
            CutKind.REGIONS: self._regions,
            CutKind.REGION_ALONE: self._region_alone,
            CutKind.STORE_FIRST: self._store_first,
            CutKind.STORE_SHARE: self._store_share,
            CutKind.STORE_KEPT: self._store_kept,
        }

    async def play(self, cut: PlannedCut) -> None:
        """Wait for a cut's time, play it and undo it."""
        await asyncio.sleep(cut.at_s)
        await self._actions[cut.kind](Random(cut.seed), cut.for_s)

    # Between entries.

    async def _unheard(self, rng: Random, for_s: float) -> None:
        one = rng.choice(self._names())
        await self._lose([one], self._names(), for_s)

    async def _deaf(self, rng: Random, for_s: float) -> None:
        one = rng.choice(self._names())
        await self._lose(self._names(), [one], for_s)

    async def _pair(self, rng: Random, for_s: float) -> None:
        one, other = rng.sample(self._names(), 2)
        await self._lose([one], [other], for_s)

    async def _regions(self, rng: Random, for_s: float) -> None:
        regions = sorted({e.place.region for e in self._site.entries.values()})
        one, other = (self._of_region(r) for r in rng.sample(regions, 2))
        ways = [self._lose(one, other, for_s)]
        if rng.random() < 0.5:
            ways.append(self._lose(other, one, for_s))
        await asyncio.gather(*ways)

    async def _region_alone(self, rng: Random, for_s: float) -> None:
        regions = sorted({e.place.region for e in self._site.entries.values()})
        inside = self._of_region(rng.choice(regions))
        outside = [n for n in self._names() if n not in inside]
        await asyncio.gather(
            self._lose(inside, outside, for_s), self._lose(outside, inside, for_s)
        )

    def _names(self) -> list[str]:
        return sorted(self._site.entries)

    def _of_region(self, region: str) -> list[str]:
        entries = self._site.entries.items()
        return sorted(n for n, e in entries if e.place.region == region)

    async def _lose(
        self, senders: Iterable[str], receivers: Iterable[str], for_s: float
    ) -> None:
        to = list(receivers)
        ways = [(a, b) for a in senders for b in to if a != b]
        self._ways.update(ways)
        self._tell()
        await asyncio.sleep(for_s)
        self._ways.subtract(ways)
        self._tell()

    def _tell(self) -> None:
        """Tell all entries which ways are cut now."""
        self._site.cut_ways({way for way, cuts in self._ways.items() if cuts > 0})

    # The store.

    async def _store_first(self, rng: Random, for_s: float) -> None:
        await self._refuse(self._site.first_followers(), rng, for_s)

    async def _store_share(self, rng: Random, for_s: float) -> None:
        most = round(UNSERVED_SHARE * len(self._site.entries))
        some = rng.sample(self._names(), rng.randint(1, most))
        await self._refuse(some, rng, for_s)

    async def _refuse(self, names: list[str], rng: Random, for_s: float) -> None:
        fault = rng.choice(STORE_FAULTS)
        began = now_s()
        self._links.update(names)
        for name in names:
            self._site.set_link_fault(f"store/{name}", fault)
        await asyncio.sleep(for_s)
        self._links.subtract(names)
        for name in names:
            if not self._links[name]:
                self._site.set_link_fault(f"store/{name}", LinkFault.NONE)
            self._record.note_disturbance(name, began, now_s())

    async def _store_kept(self, _: Random, __: float) -> None:
        for name, proxy in self._site.proxies.items():
            if name.startswith("store/"):
                proxy.silence_open()
