# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Exact knowledge of loads and caches: a bound on what better knowledge could give.

All entries share one fleet, so that each sees at once what every other has sent, and
whether a target keeps a key is read from the target itself. Decisions stay the
product's own. State: the shared fleet of one run.
"""

from collections.abc import Iterable, Mapping

from leverdoor.emulator.targets import EmulatedTarget
from leverdoor.entry.placement.fleet import Fleet, TargetState
from leverdoor.model.resources import Service, Target

__all__ = ["ExactFleet"]


class _ExactState(TargetState):
    """A target whose cache is known."""

    def __init__(self, target: Target, now: float, emulated: EmulatedTarget) -> None:
        super().__init__(target, now)
        self._emulated = emulated

    def has_answered(self, key: str) -> bool:
        """Return whether the target keeps a key."""
        return self._emulated.keeps(key)


class ExactFleet(Fleet):
    """The states of all targets, one for all entries."""

    def __init__(self, targets: Mapping[str, EmulatedTarget]) -> None:
        """Create it for some emulated targets."""
        super().__init__()
        self._emulated = targets

    def renew(
        self,
        targets: Mapping[str, Target],
        now: float,
        services: Iterable[Service] = (),
    ) -> list[str]:
        """Take the targets of a new configuration."""
        for name, target in targets.items():
            if name not in self._states:
                emulated = self._emulated[name]
                self._states[name] = _ExactState(target, now, emulated)
        return super().renew(targets, now, services)
