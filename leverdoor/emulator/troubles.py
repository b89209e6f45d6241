# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Begins the troubles of an experiment at their time, and ends them.

Owns no state: what a trouble changes stands in the site and its targets. Overlapping
troubles of one kind at one target end with the first.
"""

from functools import partial
from random import Random

from leverdoor.emulator.plan import TroubleKind, TroubleSpec
from leverdoor.emulator.site import EmulatedSite
from leverdoor.emulator.targets import EmulatedTarget

__all__ = ["EmulatedTrouble"]

LEAST_X = 1e-3
"""Smallest factor on rates and times; 0 has no meaning for either."""


class EmulatedTrouble:
    """One trouble, from its beginning to its end."""

    def __init__(self, site: EmulatedSite, spec: TroubleSpec, rng: Random) -> None:
        """Create it.

        Args:
          site: what it happens to.
          spec: what happens and when.
          rng: chooses the targets or entries.
        """
        self._site = site
        self._spec = spec
        self._rng = rng

    def plan(self) -> None:
        """Let it happen at its time."""
        self._site.clock.at(self._spec.at, self._begin)

    def _begin(self) -> None:
        match self._spec.kind:
            case TroubleKind.BURST:
                self._site.burst_x = max(self._spec.x, LEAST_X)
                self._site.clock.after(self._spec.for_s, self._end_burst)
            case TroubleKind.RESTART:
                self._site.restart_entries(self._spec.share, self._rng)
            case _:
                self._harm_targets()

    def _end_burst(self) -> None:
        self._site.burst_x = 1.0

    def _harm_targets(self) -> None:
        spec = self._spec
        for target in self._site.choose_targets(spec.service, spec.share, self._rng):
            self._harm(target)
            self._site.clock.after(spec.for_s, partial(self._heal, target))

    def _harm(self, target: EmulatedTarget) -> None:
        x = self._spec.x
        match self._spec.kind:
            case TroubleKind.SHED:
                target.sheds = x
            case TroubleKind.SLOW:
                target.slow_x = max(x, LEAST_X)
            case TroubleKind.LOSE:
                target.loses = x
            case TroubleKind.REST:
                target.rest_s = x
            case TroubleKind.LEAVE:
                target.leaving = True
            case TroubleKind.CRASH:
                target.crash()

    def _heal(self, target: EmulatedTarget) -> None:
        match self._spec.kind:
            case TroubleKind.SHED:
                target.sheds = 0.0
            case TroubleKind.SLOW:
                target.slow_x = 1.0
            case TroubleKind.LOSE:
                target.loses = 0.0
            case TroubleKind.REST:
                target.rest_s = 0.0
            case TroubleKind.CRASH:
                target.restart()
