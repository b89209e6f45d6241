# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Targets whose registrations expired in an outage of the store and are soon back.

A target that can't renew its registration during an outage loses it, and registers
again soon after the store is back. Taking all of them out of service in between would
refuse requests that they could have run.

Owns the targets that are used without a registration; lost with the process, which then
waits for them to register again.
"""

from collections.abc import Mapping

import msgspec

from leverdoor.model.resources import Target

__all__ = ["ExpiredRegistrations"]

MOST_HOLD_S = 2.0
"""How long a target is used without its registration, in seconds.

Targets that run have registered again by then. Greater, requests go to targets that are
gone; smaller, running ones are taken out of service.
"""
HOLD_MARGIN_S = 0.6
"""Taken off the bound on leaving targets, in seconds.

Time for the news of a leaving target to arrive here. Greater, targets are held for
less; smaller, a target that left during the outage gets requests beyond the bound.
"""


class _Held(msgspec.Struct, frozen=True):
    """A target used without its registration."""

    target: Target
    until: float
    """Loop time at which it is taken for gone, in seconds."""


class ExpiredRegistrations:
    """Holds targets without a registration until they are back or taken for gone."""

    def __init__(self, leave_s: float) -> None:
        """Create it without any target.

        Args:
          leave_s: within which time a leaving target must get no new requests.
        """
        self._hold_s = max(min(MOST_HOLD_S, leave_s - HOLD_MARGIN_S), 0.0)
        self._before: Mapping[str, Target] = {}
        self._held: dict[str, _Held] = {}

    def update(
        self, targets: Mapping[str, Target], outage: bool, now: float
    ) -> list[Target]:
        """Take the targets that the store holds now.

        Args:
          targets: by name, those that are registered.
          outage: whether the store was away lately.
          now: loop time in seconds.
        Returns: the targets that are used although they are not registered. None of
          them said that it leaves, or has an address that is another target's now.
        """
        if outage:
            for name, target in self._before.items():
                if name not in targets and not target.draining:
                    self._held.setdefault(name, _Held(target, now + self._hold_s))
        self._before = targets
        addresses = {t.address for t in targets.values()}
        self._held = {
            name: held
            for name, held in self._held.items()
            if name not in targets
            and held.until > now
            and held.target.address not in addresses
        }
        return [held.target for held in self._held.values()]

    @property
    def next_end(self) -> float | None:
        """Loop time at which the next held target is taken for gone, or None."""
        return min((held.until for held in self._held.values()), default=None)
