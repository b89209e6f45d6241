# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Retains targets whose registrations expired during an outage of the store.

A target that cannot renew its registration during an outage loses it, and registers
again soon after the store recovers. If all such targets were taken out of service in
between, requests that they could run would be refused.

Owns the targets that are used without a registration. They are lost with the process;
the next process uses them only after they have registered again.
"""

from collections.abc import Mapping

import msgspec

from leverdoor.model.resources import Target

__all__ = ["ExpiredRegistrations"]

MAX_RETENTION_S = 2.0
"""Maximum time for which a target is used without a registration, in seconds.

Running targets have registered again within this time. With a longer time, requests go
to targets that no longer run. With a shorter one, running targets are taken out of
service.
"""
RETENTION_MARGIN_S = 0.6
"""Margin subtracted from the bound `leave_s` on retained targets, in seconds.

It covers the time until this entry learns that a target is leaving. With a greater
margin, targets are retained for less time; with a smaller one, a target that left
during the outage receives requests after the bound.
"""


class _RetainedTarget(msgspec.Struct, frozen=True):
    """A target that is used without a registration."""

    target: Target
    expires_at: float
    """Loop time in seconds at which the target is removed."""


class ExpiredRegistrations:
    """Retains targets without a registration until they register again or expire."""

    def __init__(self, leave_s: float) -> None:
        """Create it without any targets.

        Args:
          leave_s: time within which requests to a leaving target must stop, in seconds.
        """
        self._retention_s = max(min(MAX_RETENTION_S, leave_s - RETENTION_MARGIN_S), 0.0)
        self._last_registered: Mapping[str, Target] = {}
        self._retained: dict[str, _RetainedTarget] = {}

    def update(
        self, targets: Mapping[str, Target], outage_is_recent: bool, now: float
    ) -> list[Target]:
        """Update the registered targets and return the retained ones.

        Args:
          targets: the registered targets by name.
          outage_is_recent: whether the store was recently unavailable.
          now: loop time in seconds.
        Returns: the targets that are used without a registration. They exclude draining
          targets and those whose address now belongs to another target.
        """
        if outage_is_recent:
            for name, target in self._last_registered.items():
                if name not in targets and not target.draining:
                    self._retained.setdefault(
                        name, _RetainedTarget(target, now + self._retention_s)
                    )
        self._last_registered = targets
        addresses = {t.address for t in targets.values()}
        self._retained = {
            name: retained
            for name, retained in self._retained.items()
            if name not in targets
            and retained.expires_at > now
            and retained.target.address not in addresses
        }
        return [retained.target for retained in self._retained.values()]

    @property
    def next_expiry(self) -> float | None:
        """Loop time in seconds at which the next retained target expires, or None."""
        return min(
            (retained.expires_at for retained in self._retained.values()), default=None
        )
