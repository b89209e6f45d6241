# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Faults of targets: crashes, departures, arrivals, slow and lost answers.

State: none; which targets have left is noted in the site. Relies on the site to start
and end targets.
"""

import asyncio
from collections.abc import Callable

from leverdoor.standins.soak.plan import FaultAction, PlannedFault
from leverdoor.standins.soak.record import now_s
from leverdoor.standins.soak.site import REGIONS, SERVICES, SoakSite
from leverdoor.standins.upstreams import UpstreamStandin

__all__ = ["UpstreamFaults", "lose_answers", "repeat_answers", "slow"]

SLOW_TARGET_X = 8.0
"""Factor on the times of a slow target."""
EVERY = 5
"""Every so many answers are harmed."""


class UpstreamFaults:
    """What each fault does to targets."""

    def __init__(self, site: SoakSite) -> None:
        """Create it for a site's targets."""
        self._site = site

    def _pick(self, fault: PlannedFault, leaves: bool = False) -> str | None:
        """Choose a target that stays; one that leaves is noted at once."""
        names = self._site.stayers()
        if not names:
            return None
        name = names[int(fault.pick * len(names))]
        if leaves:
            self._site.left[name] = now_s()
        return name

    async def crash(self, fault: PlannedFault) -> None:
        """End a target without warning."""
        name = self._pick(fault, leaves=True)
        if name is not None:
            await self._site.end_target(name)

    async def leave(self, fault: PlannedFault) -> None:
        """Let a target leave, by its state or by removing its registration."""
        name = self._pick(fault, leaves=True)
        if name is None:
            return
        if fault.variant < 0.5:
            self._site.drain_target(name)
        else:
            self._site.store.remove(f"servers/{name}")

    def harm(self, begin: Callable[[UpstreamStandin], None]) -> FaultAction:
        """Return what harms a target's answers for a while."""

        async def run(fault: PlannedFault) -> None:
            name = self._pick(fault)
            if name is None:
                return
            target = self._site.targets[name]
            begin(target)
            await asyncio.sleep(fault.for_s)
            target.answer_well()

        return run

    async def join(self, fault: PlannedFault) -> None:
        """Let one more target come."""
        service = SERVICES[int(fault.variant * len(SERVICES))]
        await self._site.join_target(service, REGIONS[int(fault.pick * len(REGIONS))])

    async def reuse(self, fault: PlannedFault) -> None:
        """End a target, whose address goes to one of another service."""
        name = self._pick(fault, leaves=True)
        if name is not None:
            await self._site.reuse_address(name)


def slow(target: UpstreamStandin) -> None:
    """Let a target take longer."""
    target.slow_x = SLOW_TARGET_X


def lose_answers(target: UpstreamStandin) -> None:
    """Let a target lose some answers."""
    target.lose_every = EVERY


def repeat_answers(target: UpstreamStandin) -> None:
    """Let a target send some answers twice."""
    target.repeat_every = EVERY
