# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How old the newest answer of the store is that the configuration in force rests on.

A change that the store confirmed before that answer is in force here; a later one may
be missing. The answer may have come to any entry: each tells at which revision it is
and how old the answer is that this revision rests on, and who holds that revision
knows as much. All decisions that depend on being up to date read this one value.

Owns that time, and what was told of revisions that are not held here yet; lost with the
process. Errors: an age is too young by the way of the message that told it, some tens
of ms between regions.
"""

from leverdoor.entry.configuration.last_time import NEVER_MS, LastTime

__all__ = ["Confirmation"]

MOST_AHEAD = 16
"""Newer revisions of which it is kept when the store confirmed them.

More than come between two fetches; with fewer, an entry in step counts as outdated
while revisions follow each other faster than fetches.
"""


class Confirmation(LastTime):
    """When the store last confirmed the configuration in force, here or elsewhere."""

    def __init__(self) -> None:
        """Create it for a store that never answered."""
        super().__init__()
        self._ahead: dict[int, float] = {}
        """By revision that is not held here, when the store confirmed it."""

    def answered(self, now: float) -> None:
        """Record that the store answered here, and all of it is in force.

        Args:
          now: loop time in seconds.
        """
        self.record(now)

    def peer_told(self, revision: int, age_ms: int, held: int, now: float) -> None:
        """Take what another entry's revision rests on.

        Args:
          revision: the one that the other entry has in force.
          age_ms: of the store's newest answer that it rests on; -1 for none.
          held: the revision in force here.
          now: loop time in seconds.
        """
        if age_ms == NEVER_MS:
            return
        if revision <= held:
            self.peer_reported(age_ms, now)
            return
        at = now - age_ms / 1000
        self._ahead[revision] = max(at, self._ahead.get(revision, at))
        while len(self._ahead) > MOST_AHEAD:
            del self._ahead[min(self._ahead)]

    def advanced(self, held: int) -> None:
        """Record that a newer revision is in force here."""
        for revision in [r for r in self._ahead if r <= held]:
            self.record(self._ahead.pop(revision))

    def holds(self, longest_s: float, now: float) -> bool:
        """Return whether workspace keys can be known to hold.

        Args:
          longest_s: age of the newest answer from which on they can't; 0 for never.
          now: loop time in seconds.
        """
        return not longest_s or self.within(longest_s, now)
