# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A process's replica of the store; its position never decreases.

Owns the entries at one position, a log of recent changes for peers
(`storage.change_log`), and the records of earlier eras that stay in force
(`storage.retention`); all are lost with the process and fetched again from a peer or
the store. What it keeps besides the entries is bounded in bytes. A delta is applied
only if it is newer than the replica and leaves no gap, so late and duplicate messages
are harmless.
"""

from collections.abc import Iterable, Mapping

import msgspec
from reactivex import Subject

from leverdoor.model.position import START, UNKNOWN_ERA, Position
from leverdoor.storage.change_log import ChangeLog, Superseded
from leverdoor.storage.fingerprints import UNKNOWN_FINGERPRINT, Fingerprints, digest
from leverdoor.storage.retained_records import RetainedRecords
from leverdoor.storage.retention import (
    DescribeRecord,
    Retained,
    describe_as_temporary,
)
from leverdoor.storage.store import Event, KeyValue, Listing

__all__ = ["PREFIX", "RESOURCES", "TABLES", "Delta", "State"]

PREFIX = "/leverdoor/"
RESOURCES = PREFIX + "resources/"
TABLES = PREFIX + "tables/"
GUARD = PREFIX + "guard"
"""Key that every configuration write replaces, which puts the writes in one order."""


class Delta(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The changes after `since` up to `revision`, all of one era.

    If `full`, `since` is 0 and `events` are all entries at `revision`. Otherwise
    `events` have at least the newest change of each key.
    """

    since: int
    revision: int
    full: bool
    events: list[Event]
    era: int = UNKNOWN_ERA
    retained: list[Retained] = []
    """Records of earlier eras that are in force at the sender."""
    base: int = UNKNOWN_FINGERPRINT
    """Fingerprint of the sender's entries at `since`, on plain sites."""
    superseded: list[Superseded] = []
    """The changes that `events` lack: a later one of the same key replaced them."""

    @property
    def position(self) -> Position:
        """The position that the delta leads to."""
        return Position(self.era, self.revision)

    @property
    def value_bytes(self) -> int:
        """Bytes of the values of its events."""
        return sum(len(e.value or b"") for e in self.events)


class State:
    """All entries under the prefix at one position of the store.

    `changes` emits each Delta after it was applied.
    """

    def __init__(
        self,
        describe: DescribeRecord = describe_as_temporary,
        *,
        fingerprinted: bool = False,
    ) -> None:
        """Create an empty replica.

        Args:
          describe: describes records, so that what an earlier era wrote can stay in
            force; by default nothing does.
          fingerprinted: whether to compare fingerprints with the senders of deltas, as
            on plain sites, whose store names no era.
        """
        self.position = START
        self.entries: dict[str, KeyValue] = {}
        """What the store holds."""
        self._retained = RetainedRecords(describe)
        self.changes: Subject[Delta] = Subject()
        self._log = ChangeLog()
        self._fingerprints = Fingerprints(enabled=fingerprinted)
        self.divergences = 0
        """Number of times that a peer had other entries at a revision of this one."""
        self.diverged = False
        """Whether a peer has other entries at a revision of this replica. Only a newer
        delta with all entries ends that."""

    @property
    def fetch_position(self) -> Position:
        """Position after which to fetch changes from a peer."""
        return START if self.diverged else self.position

    @property
    def revision(self) -> int:
        """Revision of the position; it orders the changes of one era only."""
        return self.position.revision

    @property
    def in_force(self) -> Mapping[str, KeyValue]:
        """All entries that are in force: those of the store, but for the retained."""
        return self._retained.in_force(self.entries)

    @property
    def retained(self) -> Mapping[str, Retained]:
        """What stays in force although the store does not hold it, by key."""
        return self._retained.by_key

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
        era, since = self.position
        base = self._fingerprints.at(since)
        return self.apply(Delta(since, new[-1].revision, False, new, era, base=base))

    def contradicts(self, events: Iterable[Event]) -> bool:
        """Return whether the replica is beyond an event that its log lacks.

        A replica that is ahead of a watch has the same events from a peer. If the store
        was restored from a copy, a peer may have told changes that it has lost. Events
        before the log can't be confirmed.
        """
        known = [
            Superseded(e.revision, e.key, digest(e.key, e.revision, e.value))
            for e in events
            if e.revision <= self.revision
        ]
        return bool(known) and not self._log.has_all(known)

    def apply(self, delta: Delta) -> bool:
        """Apply a delta if it is newer, and leaves no gap or replaces all entries.

        Returns: whether the delta was applied.
        """
        if delta.position <= self.position:
            return False
        if not delta.full and (
            delta.era != self.position.era
            or delta.since > self.revision
            or self._diverges_from(delta)
        ):
            return False
        if delta.full:
            self._replace_entries(delta)
        else:
            self._apply_changes(delta)
        self.position = delta.position
        self.changes.on_next(delta)
        return True

    def _diverges_from(self, delta: Delta) -> bool:
        """Return, and record, whether the sender's entries differ from these."""
        own = self._fingerprints.at(delta.since)
        if UNKNOWN_FINGERPRINT not in (own, delta.base) and own != delta.base:
            self.diverged = True
            self.divergences += 1
        return self.diverged

    def _replace_entries(self, delta: Delta) -> None:
        before = self.in_force
        at = delta.position
        self.entries = {
            e.key: KeyValue(e.key, e.value, e.revision, era=delta.era)
            for e in delta.events
            if e.value is not None
        }
        self._log.restart(delta.revision)
        self.diverged = False
        self._fingerprints.replace(self.entries.values(), delta.revision)
        if delta.era == self.position.era:
            self._retained.replace_in_same_era(before, self.entries, at)
        else:
            self._retained.replace_in_later_era(
                before, self.entries, delta.retained, at
            )

    def _apply_changes(self, delta: Delta) -> None:
        changes: list[Event | Superseded] = [*delta.events, *delta.superseded]
        changes.sort(key=lambda change: change.revision)
        for c in changes:
            if c.revision <= self.revision:
                continue
            current = self.entries.get(c.key)
            if current is not None and current.revision > c.revision:
                # A listing that was read in pages (`platform/store.py`) may contain
                # values newer than its revision.
                continue
            if isinstance(c, Event):
                self._apply_change(c, current)
            else:
                self._fingerprints.change(c.key, c.digest, c.revision)
                self._log.append_superseded(c)
        self._log.drop_excess()
        self._fingerprints.drop_before(self._log.after_revision)

    def _apply_change(self, event: Event, current: KeyValue | None) -> None:
        at = Position(self.position.era, event.revision)
        stored = None
        if event.value is None:
            self.entries.pop(event.key, None)
        else:
            stored = KeyValue(event.key, event.value, event.revision, era=at.era)
            self.entries[event.key] = stored
        change_digest = digest(event.key, event.revision, event.value)
        self._fingerprints.change(event.key, change_digest, event.revision)
        self._retained.change(event.key, current, stored, at)
        self._log.append(event, change_digest)

    def held_bytes(self) -> dict[str, int]:
        """Return the bytes of the values that the replica keeps, by what for."""
        return {
            "entries": sum(len(e.value) for e in self.entries.values()),
            "log": self._log.former_bytes(),
            "removals": self._retained.removed_bytes(),
        }

    def release(self, keys: Iterable[str]) -> None:
        """Stop to retain records: from now on the store's own are in force."""
        self._retained.release(keys)

    def log_covers(self, since: Position) -> bool:
        """Return whether the log contains every change after a position."""
        if since.era != self.position.era:
            return False
        return self._log.after_revision <= since.revision <= self.revision

    def delta(self, since: Position) -> Delta:
        """Return the changes that a replica at position `since` lacks."""
        era, revision = self.position
        retained = list(self.retained.values())
        if self.log_covers(since):
            events, superseded = self._log.after(since.revision)
            base = self._fingerprints.at(since.revision)
            return Delta(
                since.revision, revision, False, events, era, retained, base, superseded
            )
        events = [Event(e.revision, e.key, e.value) for e in self.entries.values()]
        return Delta(0, revision, True, events, era, retained)

    def list_prefix(self, prefix: str) -> list[KeyValue]:
        """Return the entries under a prefix, sorted by key."""
        matching = [e for k, e in self.entries.items() if k.startswith(prefix)]
        return sorted(matching, key=lambda e: e.key)
