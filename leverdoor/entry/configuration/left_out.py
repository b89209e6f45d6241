# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Registrations that name no target to use: one log line each, and how many there are.

Owns which ones were logged, and the lines of the last minute; lost with the process.
Relies on the wire for what is left out, and on the caller for the time.
"""

from collections import Counter
from collections.abc import Iterable

from leverdoor.entry.events import Events
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.wire import LeftOutRegistration

__all__ = ["LeftOutReport"]

MOST_LINES = 20
"""Lines in a minute; a writer that changes bad values all the time fills no log."""
MINUTE_S = 60.0


class LeftOutReport:
    """What operators see of registrations that are left out."""

    def __init__(self, events: Events, metrics: EntryMetrics) -> None:
        """Create it without any."""
        self._events = events
        self._metrics = metrics
        self._logged: dict[str, int] = {}
        """Revision of the value that was logged, by name."""
        self._lines = 0
        self._since = 0.0
        """When the minute of these lines began, monotonic time in seconds."""
        self._unlogged = 0

    def take(self, left_out: Iterable[LeftOutRegistration], now: float) -> None:
        """Take what is left out at present.

        Args:
          left_out: all of it; a value that is still there is not logged again.
          now: monotonic time in seconds.
        """
        present = {one.name: one for one in left_out}
        new = [
            one
            for name, one in present.items()
            if self._logged.get(name) != one.revision
        ]
        self._logged = {name: one.revision for name, one in present.items()}
        for one in new:
            self._log(one, now)
        causes = Counter(one.cause for one in present.values())
        self._metrics.set_left_out_registrations(causes)

    def _log(self, one: LeftOutRegistration, now: float) -> None:
        if now - self._since >= MINUTE_S:
            self._since = now
            self._lines = 0
        if self._lines >= MOST_LINES:
            self._unlogged += 1
            return
        self._lines += 1
        self._events.registration_left_out(
            one.name, one.cause, one.detail, self._unlogged
        )
        self._unlogged = 0
