# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Cuts of the links of entries to targets, in a soak.

A plan of its own beside that of `plan`, so that a seed's other faults stay the same.
State: which links are cut now; it lasts one soak. Relies on the site, which tells the
entries what they lose.
"""

import asyncio
from enum import StrEnum
from random import Random

import msgspec

from leverdoor.standins.link_cuts import LinkCutKind
from leverdoor.standins.soak.plan import LONGEST_S, SHORTEST_S
from leverdoor.standins.soak.record import Record, now_s
from leverdoor.standins.soak.site import SoakSite

__all__ = ["LostLinks", "PlannedLinkCut", "draw_link_cuts"]

LENGTHENED = 2.0
"""Cuts last so many times as long as other faults: some pass all time-outs."""
SERIES_CHANCE = 0.3
"""Chance that another cut of the same entries follows soon, so that links flap."""
SOON_S = 1.0
"""Longest pause until it does, in seconds."""


class EntryScope(StrEnum):
    """Entries whose links are cut."""

    ONE = "one"
    REGION = "region"
    HALF = "half"
    ALL_BUT_ONE = "all-but-one"
    ALL = "all"


class TargetScope(StrEnum):
    """Targets to which links are cut."""

    ALL = "all"
    SERVICE = "service"
    REGION = "region"


class PlannedLinkCut(msgspec.Struct, frozen=True):
    """One cut."""

    at_s: float
    """Seconds from the start of the soak."""
    for_s: float
    entries: EntryScope
    targets: TargetScope
    kind: LinkCutKind
    seed: int
    """Draws which entries and targets of the scopes."""


def draw_link_cuts(seed: int, seconds: float, count: int) -> list[PlannedLinkCut]:
    """Draw the cuts of a soak; they come in series and overlap.

    Args:
      seed: the same seed gives the same cuts.
      seconds: within which all of them begin.
      count: how many.
    Returns: the cuts, the first one first.
    """
    rng = Random(f"links {seed}")
    found: list[PlannedLinkCut] = []
    while len(found) < count:
        at_s = rng.random() * seconds
        cut = PlannedLinkCut(
            at_s,
            rng.uniform(SHORTEST_S, LENGTHENED * LONGEST_S),
            rng.choice(list(EntryScope)),
            rng.choice(list(TargetScope)),
            rng.choice(list(LinkCutKind)),
            rng.randrange(1 << 30),
        )
        if found and rng.random() < SERIES_CHANCE:
            before = found[-1]
            at_s = before.at_s + before.for_s + rng.random() * SOON_S
            cut = msgspec.structs.replace(before, at_s=min(at_s, seconds))
        found.append(cut)
    return sorted(found, key=lambda c: c.at_s)


class LostLinks:
    """Plays cuts, which may overlap."""

    def __init__(self, site: SoakSite, record: Record) -> None:
        """Create it.

        Args:
          site: whose links are cut.
          record: where the cuts are noted.
        """
        self._site = site
        self._record = record
        self._active: list[tuple[list[str], list[str], LinkCutKind]] = []
        """Entries, targets and kind of each cut that lasts."""

    async def play(self, cut: PlannedLinkCut) -> None:
        """Wait for a cut's time, play it and undo it."""
        await asyncio.sleep(cut.at_s)
        rng = Random(cut.seed)
        active = (self._entries(cut, rng), self._targets(cut, rng), cut.kind)
        self._active.append(active)
        began = now_s()
        self._apply()
        await asyncio.sleep(cut.for_s)
        self._active.remove(active)
        self._apply()
        self._record.links_cut += [(name, began, now_s()) for name in active[0]]

    def _entries(self, cut: PlannedLinkCut, rng: Random) -> list[str]:
        names = sorted(self._site.entries)
        places = {n: e.place for n, e in self._site.entries.items()}
        one = rng.choice(names)
        match cut.entries:
            case EntryScope.ONE:
                return [one]
            case EntryScope.REGION:
                return [n for n in names if places[n].region == places[one].region]
            case EntryScope.HALF:
                return rng.sample(names, len(names) // 2)
            case EntryScope.ALL_BUT_ONE:
                return [n for n in names if n != one]
        return names

    def _targets(self, cut: PlannedLinkCut, rng: Random) -> list[str]:
        targets = self._site.targets
        one = targets[rng.choice(sorted(targets))]
        match cut.targets:
            case TargetScope.SERVICE:
                return [n for n, t in targets.items() if t.service == one.service]
            case TargetScope.REGION:
                return [n for n, t in targets.items() if t.zone == one.zone]
        return list(targets)

    def _apply(self) -> None:
        """Tell each entry which of its links are cut now; the latest kind counts."""
        for name in self._site.entries:
            own = [cut for cut in self._active if name in cut[0]]
            lost = {target for _, targets, _ in own for target in targets}
            if own:
                self._site.cut_links([name], lost, own[-1][2])
            else:
                self._site.restore_links([name])
