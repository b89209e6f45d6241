# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tracks when an event last occurred here or at any entry that reports to this one.

Entries report ages instead of times, because their clocks differ. Owns one time, which
is lost with the process and restored by the next report of another entry.
"""

__all__ = ["LastOccurrence"]

NEVER_MS = -1
"""The age that is reported if no occurrence is known."""


class LastOccurrence:
    """The latest known time of an event, here or at any other entry."""

    def __init__(self) -> None:
        """Create it without any known occurrence."""
        self._at: float | None = None

    def record(self, at: float) -> None:
        """Record an occurrence at a loop time in seconds, if it is the latest."""
        if self._at is None or at > self._at:
            self._at = at

    def record_peer_report(self, age_ms: int, now: float) -> None:
        """Record the age in ms that another entry reports; -1 if it knows none."""
        if age_ms == NEVER_MS:
            return
        self.record(now - age_ms / 1000)

    def is_within(self, max_age_s: float, now: float) -> bool:
        """Return whether the last occurrence is at most `max_age_s` seconds old."""
        return self._at is not None and now - self._at <= max_age_s

    def age_ms(self, now: float) -> int:
        """Return the age of the last occurrence in ms; -1 if none is known."""
        return NEVER_MS if self._at is None else round((now - self._at) * 1000)
