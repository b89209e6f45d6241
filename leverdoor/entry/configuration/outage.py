# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""When the store was last away, here or at another entry that reports to this one.

Owns that time; lost with the process and known again from the next heartbeat.
"""

from leverdoor.entry.configuration.last_time import NEVER_MS, LastTime

__all__ = ["RECENT_S", "Outage"]

RECENT_S = 6.0
"""How long after an outage a missing registration may still be due to it, in seconds.

A lease that was not kept during the outage may end that long after it. Greater, targets
that died are used for longer; smaller, targets that only lost their registration are
taken out of service.
"""


class Outage:
    """When the store was last known to be away."""

    def __init__(self) -> None:
        """Create it without any outage known."""
        self._lost_here = False
        self._last = LastTime()

    def record_reachability(self, reachable: bool, now: float) -> None:
        """Record that the store was lost here, or answers here again."""
        if self._lost_here or not reachable:
            self._last.record(now)
        self._lost_here = not reachable

    def record_peer_report(self, age_ms: int, now: float) -> None:
        """Take the age in ms of the newest outage that another entry knows of."""
        self._last.record_peer_report(age_ms, now)

    def age_ms(self, now: float) -> int:
        """Return how long ago the store was away, in ms; -1 if not lately."""
        if self._lost_here:
            return 0
        return self._last.age_ms(now) if self.recent(now) else NEVER_MS

    def recent(self, now: float) -> bool:
        """Return whether a registration that is missing now may have expired."""
        return self._lost_here or self._last.within(RECENT_S, now)
