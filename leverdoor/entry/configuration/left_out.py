# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Logs and counts registrations that the catalog omits because of invalid values.

Owns the registrations reported last and the number of lines in the current minute; both
are lost with the process. Relies on `wire` to determine the registrations left out, and
on the caller for the time.
"""

from collections import Counter
from collections.abc import Iterable

from leverdoor.entry.events import Events
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.wire import LeftOutRegistration
from leverdoor.model.position import Position

__all__ = ["LeftOutReporter"]

MAX_LINES_PER_MINUTE = 20
"""Maximum number of log lines per minute.

It keeps a writer that constantly changes invalid values from flooding the log.
"""
LINE_LIMIT_WINDOW_S = 60.0
"""Length of the window to which the maximum applies, in seconds."""


class LeftOutReporter:
    """Reports registrations that are left out, in the log and in metrics."""

    def __init__(self, events: Events, metrics: EntryMetrics) -> None:
        """Create the reporter without any registrations left out."""
        self._events = events
        self._metrics = metrics
        self._seen_positions: dict[str, Position] = {}
        """Position of each registration left out at the last call, by name."""
        self._lines_in_window = 0
        self._window_start = 0.0
        """Monotonic time in seconds at which the current window began."""
        self._suppressed_count = 0
        """Registrations not logged since the last line, because of the maximum."""

    def take(self, left_out: Iterable[LeftOutRegistration], now: float) -> None:
        """Replace the registrations that are left out, and log the changed ones.

        Args:
          left_out: all registrations that are currently left out.
          now: monotonic time in seconds.
        """
        present = {registration.name: registration for registration in left_out}
        changed = [
            registration
            for name, registration in present.items()
            if self._seen_positions.get(name) != registration.position
        ]
        self._seen_positions = {
            name: registration.position for name, registration in present.items()
        }
        for registration in changed:
            self._log(registration, now)
        causes = Counter(registration.cause for registration in present.values())
        self._metrics.set_left_out_registrations(causes)

    def _log(self, registration: LeftOutRegistration, now: float) -> None:
        if now - self._window_start >= LINE_LIMIT_WINDOW_S:
            self._window_start = now
            self._lines_in_window = 0
        if self._lines_in_window >= MAX_LINES_PER_MINUTE:
            self._suppressed_count += 1
            return
        self._lines_in_window += 1
        self._events.registration_left_out(
            registration.name,
            registration.cause,
            registration.detail,
            self._suppressed_count,
        )
        self._suppressed_count = 0
