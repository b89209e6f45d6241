# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tracks when the store was last unavailable to this entry or to one of its peers.

Owns that time, which is lost with the process and restored by the next heartbeat of
another entry.
"""

from leverdoor.entry.configuration.last_occurrence import NEVER_MS, LastOccurrence

__all__ = ["EXPIRY_WINDOW_S", "Outage"]

EXPIRY_WINDOW_S = 6.0
"""Time after an outage during which registrations may expire because of it.

In seconds. A lease not renewed during the outage may expire this long after it. With
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
        # The first success is recorded as well, as the end of the outage.
        if self._store_unreachable or not reachable:
            self._last_outage.record(now)
        self._store_unreachable = not reachable

    def record_restoration(self, now: float) -> None:
        """Record that the store came back from a copy, even if it was never away."""
        self._last_outage.record(now)

    def record_peer_report(self, age_ms: int, now: float) -> None:
        """Record the age in ms that another entry reports for the last outage."""
        self._last_outage.record_peer_report(age_ms, now)

    def age_ms(self, now: float) -> int:
        """Return the age of the last outage in ms; -1 if there was none recently."""
        if self._store_unreachable:
            return 0
        return self._last_outage.age_ms(now) if self.is_recent(now) else NEVER_MS

    def is_recent(self, now: float) -> bool:
        """Return whether an outage lasts or ended within `EXPIRY_WINDOW_S`."""
        return self._store_unreachable or self._last_outage.is_within(
            EXPIRY_WINDOW_S, now
        )
