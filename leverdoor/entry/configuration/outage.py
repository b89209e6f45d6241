# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tracks when the store was last unavailable to this entry or to one that reports here.

Owns that time, which is lost with the process and restored by the next heartbeat of
another entry.
"""

from leverdoor.entry.configuration.last_occurrence import NEVER_MS, LastOccurrence

__all__ = ["EXPIRY_WINDOW_S", "Outage"]

EXPIRY_WINDOW_S = 6.0
"""Time after an outage within which it may cause a registration to expire, in seconds.

A lease that was not renewed during the outage may expire up to this time after it. With
a longer time, dead targets are used for longer; with a shorter one, targets that only
lost their registration are taken out of service.
"""


class Outage:
    """The last known outage of the store."""

    def __init__(self) -> None:
        """Create it without any known outage."""
        self._store_unreachable = False
        self._last_outage = LastOccurrence()

    def record_reachability(self, reachable: bool, now: float) -> None:
        """Record whether this entry can reach the store now."""
        if self._store_unreachable or not reachable:
            self._last_outage.record(now)
        self._store_unreachable = not reachable

    def record_peer_report(self, age_ms: int, now: float) -> None:
        """Record the age in ms of the last outage that another entry reports."""
        self._last_outage.record_peer_report(age_ms, now)

    def age_ms(self, now: float) -> int:
        """Return the age of the last outage in ms; -1 if there was none recently."""
        if self._store_unreachable:
            return 0
        return self._last_outage.age_ms(now) if self.is_recent(now) else NEVER_MS

    def is_recent(self, now: float) -> bool:
        """Return whether an outage may have caused a registration to expire now."""
        return self._store_unreachable or self._last_outage.within(EXPIRY_WINDOW_S, now)
