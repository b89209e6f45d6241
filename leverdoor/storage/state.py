# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A process's replica of the store; its revision never decreases.

Owns the entries at one revision and a log of recent changes for peers; both are lost
with the process and fetched again from a peer or the store. A delta is applied only if
it is newer than the replica and leaves no gap, so late and duplicate messages are
harmless.
"""

from collections import deque
from collections.abc import Iterable

import msgspec
from reactivex import Subject

from leverdoor.storage.store import Event, KeyValue, Listing

__all__ = ["PREFIX", "RESOURCES", "TABLES", "Delta", "State"]

PREFIX = "/leverdoor/"
RESOURCES = PREFIX + "resources/"
TABLES = PREFIX + "tables/"
GUARD = PREFIX + "guard"
"""Key that every configuration write replaces, which puts the writes in one order."""
MAX_LOG_EVENTS = 5_000
"""Number of changes kept for incremental fetches by peers.

Covers one day of changes (4,600) at the planned size of the system. A peer that is
further behind fetches all entries.
"""


class Delta(msgspec.Struct, frozen=True, tag=True):
    """The changes after `since` up to `revision`.

    If `full`, `since` is 0 and `events` are all entries at `revision`.
    """

    since: int
    revision: int
    full: bool
    events: list[Event]


class State:
    """All entries under the prefix at one revision of the store.

    `changes` emits each Delta after it was applied.
    """

    def __init__(self) -> None:
        """Create an empty replica at revision 0."""
        self.revision = 0
        self.entries: dict[str, KeyValue] = {}
        self.changes: Subject[Delta] = Subject()
        self._log: deque[Event] = deque()
        self._log_after_revision = 0
        """The log contains all changes after this revision."""

    def reset(self, listing: Listing) -> bool:
        """Replace all entries by a listing if it is newer.

        Returns: whether the listing was applied.
        """
        if listing.revision <= self.revision:
            return False
        events = [Event(e.revision, e.key, e.value) for e in listing.entries]
        return self.apply(Delta(0, listing.revision, True, events))

    def extend(self, events: Iterable[Event]) -> bool:
        """Apply the next events of a watch; return whether any of them was new."""
        new = [e for e in events if e.revision > self.revision]
        if not new:
            return False
        return self.apply(Delta(self.revision, new[-1].revision, False, new))

    def apply(self, delta: Delta) -> bool:
        """Apply a delta if it is newer and leaves no gap.

        Returns: whether the delta was applied.
        """
        if delta.revision <= self.revision:
            return False
        if not delta.full and delta.since > self.revision:
            return False
        if delta.full:
            self._replace_entries(delta)
        else:
            self._apply_changes(delta)
        self.revision = delta.revision
        self.changes.on_next(delta)
        return True

    def _replace_entries(self, delta: Delta) -> None:
        self.entries = {
            e.key: KeyValue(e.key, e.value, e.revision)
            for e in delta.events
            if e.value is not None
        }
        self._log.clear()
        self._log_after_revision = delta.revision

    def _apply_changes(self, delta: Delta) -> None:
        for e in delta.events:
            if e.revision <= self.revision:
                continue
            current = self.entries.get(e.key)
            if current is not None and current.revision > e.revision:
                # A listing that was read in pages (`platform/store.py`) may contain
                # values newer than its revision.
                continue
            if e.value is None:
                self.entries.pop(e.key, None)
            else:
                self.entries[e.key] = KeyValue(e.key, e.value, e.revision)
            self._log.append(e)
        while len(self._log) > MAX_LOG_EVENTS:
            self._drop_oldest_revision()

    def _drop_oldest_revision(self) -> None:
        """Drop all events of the oldest revision; a delta never splits a revision."""
        oldest = self._log[0].revision
        while self._log and self._log[0].revision == oldest:
            self._log.popleft()
        self._log_after_revision = oldest

    def log_covers(self, since: int) -> bool:
        """Return whether the log contains every change after a revision."""
        return self._log_after_revision <= since <= self.revision

    def delta(self, since: int) -> Delta:
        """Return the changes that a replica at revision `since` lacks."""
        if self.log_covers(since):
            events = [e for e in self._log if e.revision > since]
            return Delta(since, self.revision, False, events)
        events = [Event(e.revision, e.key, e.value) for e in self.entries.values()]
        return Delta(0, self.revision, True, events)

    def list_prefix(self, prefix: str) -> list[KeyValue]:
        """Return the entries under a prefix, sorted by key."""
        matching = [e for k, e in self.entries.items() if k.startswith(prefix)]
        return sorted(matching, key=lambda e: e.key)
