# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Targets whose entries expired while the store was away, and are likely back soon.

A target that can't renew its entry during an outage of the store loses it, and
writes it again soon after the store is back. Taking all of them out of service
in between would refuse requests that they could have run.
"""

from collections.abc import Mapping

import msgspec

from leverdoor.model.resources import Target

__all__ = ["ExpiredRegistrations", "Outage"]

RECENT_S = 6.0
"""How long after an outage a missing entry may still be due to it."""
MOST_HOLD_S = 2.0
"""How long after the store's return entries that expired are back."""
HOLD_MARGIN_S = 0.6
"""Time for news of a leaving target to arrive, within the bound on leaving."""
NEVER_MS = -1
"""Stands for a store that was not away in recent times."""


class Outage:
    """When the store was last known to be away, here or at an entry heard from."""

    def __init__(self) -> None:
        """Create it without any outage known."""
        self._lost_here = False
        self._last: float | None = None

    def take(self, reachable: bool, now: float) -> None:
        """Record that the store was lost here, or answers here again."""
        if self._lost_here or not reachable:
            self._last = now
        self._lost_here = not reachable

    def peer_reported(self, age_ms: int, now: float) -> None:
        """Take the age of the newest outage that another entry knows of."""
        if age_ms == NEVER_MS:
            return
        at = now - age_ms / 1000
        if self._last is None or at > self._last:
            self._last = at

    def age_ms(self, now: float) -> int:
        """Return how long ago the store was away; -1 if not in recent times."""
        if self._lost_here:
            return 0
        if not self.recent(now):
            return NEVER_MS
        assert self._last is not None
        return round((now - self._last) * 1000)

    def recent(self, now: float) -> bool:
        """Return whether an entry that is missing now may have expired."""
        if self._lost_here:
            return True
        return self._last is not None and now - self._last <= RECENT_S


class _Held(msgspec.Struct, frozen=True):
    target: Target
    until: float


class ExpiredRegistrations:
    """Holds targets whose entries expired until they are back or taken for gone."""

    def __init__(self, leave_s: float) -> None:
        """Create it without any target.

        Args:
          leave_s: within which time a leaving target must get nothing new.
        """
        self._hold_s = max(min(MOST_HOLD_S, leave_s - HOLD_MARGIN_S), 0.0)
        self._before: Mapping[str, Target] = {}
        self._held: dict[str, _Held] = {}

    def update(
        self, targets: Mapping[str, Target], outage: bool, now: float
    ) -> list[Target]:
        """Take the targets that the store holds now.

        Args:
          targets: by name, those with an entry.
          outage: whether the store was away lately.
          now: monotonic time in seconds.
        Returns: the targets to go on with although they have no entry.
        """
        if outage:
            for name, target in self._before.items():
                if name not in targets and not target.draining:
                    self._held.setdefault(name, _Held(target, now + self._hold_s))
        self._before = targets
        taken = {t.address for t in targets.values()}
        self._held = {
            name: held
            for name, held in self._held.items()
            if name not in targets
            and held.until > now
            and held.target.address not in taken
        }
        return [held.target for held in self._held.values()]

    @property
    def next_end(self) -> float | None:
        """When the next target is taken for gone; None if none is held."""
        return min((held.until for held in self._held.values()), default=None)
