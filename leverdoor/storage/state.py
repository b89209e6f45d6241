# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A process's replica of the store; its position never decreases.

Owns the entries at one position, a log of recent changes for peers, and the records of
earlier eras that stay in force (`storage.retention`); all are lost with the process and
fetched again from a peer or the store. A delta is applied only if it is newer than the
replica and leaves no gap, so late and duplicate messages are harmless.
"""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec
from reactivex import Subject

from leverdoor.storage.position import START, UNKNOWN_ERA, Position
from leverdoor.storage.retention import DescribeRecord, Retained, outlasts
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
MAX_KNOWN_REMOVALS = 5_000
"""Number of removed keys that are remembered; one day of them, as for changes.

A removal that is forgotten is not kept in force against a copy that lacks it.
"""


class Delta(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The changes after `since` up to `revision`, all of one era.

    If `full`, `since` is 0 and `events` are all entries at `revision`.
    """

    since: int
    revision: int
    full: bool
    events: list[Event]
    era: int = UNKNOWN_ERA
    retained: list[Retained] = []
    """Records of earlier eras that are in force at the sender."""

    @property
    def position(self) -> Position:
        """The position that the delta leads to."""
        return Position(self.era, self.revision)


class State:
    """All entries under the prefix at one position of the store.

    `changes` emits each Delta after it was applied.
    """

    def __init__(self, describe: DescribeRecord | None = None) -> None:
        """Create an empty replica.

        Args:
          describe: describes records, so that what an earlier era wrote can stay in
            force; None if the store never comes back from a copy.
        """
        self.position = START
        self.entries: dict[str, KeyValue] = {}
        """What the store holds."""
        self.retained: dict[str, Retained] = {}
        """What stays in force although the store does not hold it, by key."""
        self.changes: Subject[Delta] = Subject()
        self._describe = describe
        self._log: deque[Event] = deque()
        self._log_after_revision = 0
        """The log contains all changes of the era after this revision."""
        self._removed: dict[str, Retained] = {}
        """The latest removals by key, the oldest first."""

    @property
    def revision(self) -> int:
        """Revision of the position; it orders the changes of one era only."""
        return self.position.revision

    @property
    def in_force(self) -> Mapping[str, KeyValue]:
        """All entries that are in force: those of the store, but for the retained."""
        if not self.retained:
            return self.entries
        found = {k: e for k, e in self.entries.items() if k not in self.retained}
        for r in self.retained.values():
            if r.value is not None:
                found[r.key] = KeyValue(r.key, r.value, r.revision, era=r.era)
        return found

    def reset(self, listing: Listing) -> bool:
        """Replace all entries by a listing if it is newer.

        Returns: whether the listing was applied.
        """
        if listing.position <= self.position:
            return False
        events = [Event(e.revision, e.key, e.value) for e in listing.entries]
        return self.apply(Delta(0, listing.revision, True, events, listing.era))

    def extend(self, events: Iterable[Event]) -> bool:
        """Apply the next events of a watch; return whether any of them was new."""
        new = [e for e in events if e.revision > self.revision]
        if not new:
            return False
        position = self.position
        return self.apply(
            Delta(position.revision, new[-1].revision, False, new, position.era)
        )

    def apply(self, delta: Delta) -> bool:
        """Apply a delta if it is newer, and leaves no gap or replaces all entries.

        Returns: whether the delta was applied.
        """
        if delta.position <= self.position:
            return False
        if not delta.full and (
            delta.era != self.position.era or delta.since > self.revision
        ):
            return False
        if delta.full:
            self._replace_entries(delta)
        else:
            self._apply_changes(delta)
        self.position = delta.position
        self.changes.on_next(delta)
        return True

    def _replace_entries(self, delta: Delta) -> None:
        known = self._known()
        self.entries = {
            e.key: KeyValue(e.key, e.value, e.revision, era=delta.era)
            for e in delta.events
            if e.value is not None
        }
        self._log.clear()
        self._log_after_revision = delta.revision
        if delta.era != self.position.era:
            known |= {
                r.key: r
                for r in delta.retained
                if r.key not in known or known[r.key].position < r.position
            }
            self._retain(known.values())
            self._note_removed(known.values(), delta.position, only_leaving=True)
        else:
            self._retain(self.retained.values())
            self._note_removed(known.values(), delta.position)

    def _known(self) -> dict[str, Retained]:
        """Return all that is known of records in force and of removed ones, by key.

        Nothing is known across a change of an unknown era, which may be no change.
        """
        if self._describe is None or self.position.era == UNKNOWN_ERA:
            return {}
        in_force = {
            e.key: Retained(e.key, e.value, e.revision, e.era)
            for e in self.in_force.values()
        }
        removed = {k: r for k, r in self.retained.items() if r.value is None}
        return self._removed | removed | in_force

    def _retain(self, known: Iterable[Retained]) -> None:
        """Retain what outlasts the entries that replaced all others."""
        if self._describe is None:
            return
        self.retained = {
            r.key: r
            for r in known
            if outlasts(r, self.entries.get(r.key), False, self._describe)
        }

    def _note_removed(
        self, known: Iterable[Retained], at: Position, only_leaving: bool = False
    ) -> None:
        """Remember the removal of records that are no longer there.

        Args:
          known: all that was in force.
          at: position of the listing that lacks them.
          only_leaving: omit all but targets that were leaving, because a restored store
            may lack other records for a moment.
        """
        if self._describe is None:
            return
        for r in known:
            if r.value is None or r.key in self.entries or r.key in self.retained:
                continue
            if not only_leaving or self._describe(r.key, r.value).leaving:
                self._remember_removal(r.key, r.value, r.revision, at)

    def _remember_removal(
        self, key: str, last_value: bytes, last_revision: int, at: Position
    ) -> None:
        if self._describe is None:
            return
        self._removed.pop(key, None)
        self._removed[key] = Retained(
            key, None, at.revision, at.era, last_value, last_revision
        )
        while len(self._removed) > MAX_KNOWN_REMOVALS:
            del self._removed[next(iter(self._removed))]

    def _apply_changes(self, delta: Delta) -> None:
        for e in delta.events:
            if e.revision <= self.revision:
                continue
            current = self.entries.get(e.key)
            if current is not None and current.revision > e.revision:
                # A listing that was read in pages (`platform/store.py`) may contain
                # values newer than its revision.
                continue
            self._apply_change(e, current)
            self._log.append(e)
        while len(self._log) > MAX_LOG_EVENTS:
            self._drop_oldest_revision()

    def _apply_change(self, event: Event, current: KeyValue | None) -> None:
        era = self.position.era
        if event.value is None:
            self.entries.pop(event.key, None)
            if current is not None:
                at = Position(era, event.revision)
                self._remember_removal(event.key, current.value, current.revision, at)
        else:
            self.entries[event.key] = KeyValue(
                event.key, event.value, event.revision, era=era
            )
            self._removed.pop(event.key, None)
        retained = self.retained.get(event.key)
        if retained is None or self._describe is None:
            return
        if not outlasts(retained, self.entries.get(event.key), True, self._describe):
            del self.retained[event.key]

    def release(self, keys: Iterable[str]) -> None:
        """Stop to retain records: from now on the store's own are in force."""
        for key in keys:
            self.retained.pop(key, None)

    def _drop_oldest_revision(self) -> None:
        """Drop all events of the oldest revision; a delta never splits a revision."""
        oldest = self._log[0].revision
        while self._log and self._log[0].revision == oldest:
            self._log.popleft()
        self._log_after_revision = oldest

    def log_covers(self, since: Position) -> bool:
        """Return whether the log contains every change after a position."""
        if since.era != self.position.era:
            return False
        return self._log_after_revision <= since.revision <= self.revision

    def delta(self, since: Position) -> Delta:
        """Return the changes that a replica at position `since` lacks."""
        era, revision = self.position
        retained = list(self.retained.values())
        if self.log_covers(since):
            events = [e for e in self._log if e.revision > since.revision]
            return Delta(since.revision, revision, False, events, era, retained)
        events = [Event(e.revision, e.key, e.value) for e in self.entries.values()]
        return Delta(0, revision, True, events, era, retained)

    def list_prefix(self, prefix: str) -> list[KeyValue]:
        """Return the entries under a prefix, sorted by key."""
        matching = [e for k, e in self.entries.items() if k.startswith(prefix)]
        return sorted(matching, key=lambda e: e.key)
