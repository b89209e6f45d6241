# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Lets the troubles of an experiment strike, and takes them back."""

from random import Random
from typing import TYPE_CHECKING

from leverdoor.emulator.plan import Trouble, TroubleKind
from leverdoor.emulator.targets import EmulatedTarget

if TYPE_CHECKING:
    from leverdoor.emulator.world import World

__all__ = ["PlannedTrouble"]


class PlannedTrouble:
    """One trouble, from its beginning to its end."""

    def __init__(self, world: "World", trouble: Trouble, rng: Random) -> None:
        self._world = world
        self._trouble = trouble
        self._rng = rng

    def plan(self) -> None:
        """Let it happen at its time."""
        self._world.clock.at(self._trouble.at, self._begin)

    def _begin(self) -> None:
        trouble = self._trouble
        if trouble.kind is TroubleKind.BURST:
            self._world.burst_x = max(trouble.x, 1e-3)
        elif trouble.kind is TroubleKind.RESTART:
            self._world.restart_entries(trouble, self._rng)
        else:
            for target in self._world.struck_targets(trouble, self._rng):
                self._harm(target)
                after = trouble.for_s
                self._world.clock.after(after, lambda t=target: self._heal(t))  # type: ignore[misc]
            return
        self._world.clock.after(trouble.for_s, self._end)

    def _harm(self, target: EmulatedTarget) -> None:
        trouble = self._trouble
        match trouble.kind:
            case TroubleKind.SHED:
                target.sheds = trouble.x
            case TroubleKind.SLOW:
                target.slow_x = max(trouble.x, 1e-3)
            case TroubleKind.LOSE:
                target.loses = trouble.x
            case TroubleKind.CRASH:
                target.crash()

    def _heal(self, target: EmulatedTarget) -> None:
        match self._trouble.kind:
            case TroubleKind.SHED:
                target.sheds = 0.0
            case TroubleKind.SLOW:
                target.slow_x = 1.0
            case TroubleKind.LOSE:
                target.loses = 0.0
            case TroubleKind.CRASH:
                target.restart()

    def _end(self) -> None:
        if self._trouble.kind is TroubleKind.BURST:
            self._world.burst_x = 1.0
