# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""When something last happened, as far as this entry and those that report to it know.

Entries report ages rather than times, since their clocks differ. Owns one time; lost
with the process and known again from the next report.
"""

__all__ = ["LastTime"]

NEVER_MS = -1
"""The age that is reported for what never happened, as far as is known."""


class LastTime:
    """The newest time at which something happened here or at any other entry."""

    def __init__(self) -> None:
        """Create it for what never happened."""
        self._at: float | None = None

    def record(self, at: float) -> None:
        """Record that it happened at a loop time in seconds; an earlier time is old."""
        if self._at is None or at > self._at:
            self._at = at

    def record_peer_report(self, age_ms: int, now: float) -> None:
        """Take the age in ms that another entry knows of; -1 for never."""
        if age_ms == NEVER_MS:
            return
        self.record(now - age_ms / 1000)

    def within(self, longest_s: float, now: float) -> bool:
        """Return whether it happened no longer ago than some seconds."""
        return self._at is not None and now - self._at <= longest_s

    def age_ms(self, now: float) -> int:
        """Return how long ago it happened, in ms; -1 if it never did."""
        return NEVER_MS if self._at is None else round((now - self._at) * 1000)
