# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A process's copy of what the store holds, which never goes back.

Owns the entries at one revision and the log of recent changes for peers; both are
lost with the process and fetched anew from a peer or the store. A delta is taken only
if it is newer and follows on, so late and repeated messages do no harm.
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
LOG_EVENTS = 5_000
"""Changes kept for peers that fetch what is new: a day's 4,600 at the size aimed at.
A peer that is further behind gets everything."""


class Delta(msgspec.Struct, frozen=True, tag=True):
    """What changed between two revisions, or everything if `full`."""

    since: int
    revision: int
    full: bool
    events: list[Event]


class State:
    """All entries under the prefix at one revision of the store.

    `changes` emits each Delta as it is applied.
    """

    def __init__(self) -> None:
        """Create an empty copy at revision 0."""
        self.revision = 0
        self.entries: dict[str, KeyValue] = {}
        self.changes: Subject[Delta] = Subject()
        self._log: deque[Event] = deque()
        self._log_after = 0

    def reset(self, listing: Listing) -> bool:
        """Take a whole listing if it is newer.

        Returns: whether it was taken.
        """
        if listing.revision <= self.revision:
            return False
        events = [Event(e.revision, e.key, e.value) for e in listing.entries]
        return self.apply(Delta(0, listing.revision, True, events))

    def extend(self, events: Iterable[Event]) -> bool:
        """Take the next changes of a watch that follows this copy."""
        found = [e for e in events if e.revision > self.revision]
        if not found:
            return False
        return self.apply(Delta(self.revision, found[-1].revision, False, found))

    def apply(self, delta: Delta) -> bool:
        """Take a delta if it is newer and follows on.

        Returns: whether it was taken.
        """
        if delta.revision <= self.revision:
            return False
        if not delta.full and delta.since > self.revision:
            return False
        if delta.full:
            self._replace(delta)
        else:
            self._advance(delta)
        self.revision = delta.revision
        self.changes.on_next(delta)
        return True

    def _replace(self, delta: Delta) -> None:
        self.entries = {
            e.key: KeyValue(e.key, e.value, e.revision)
            for e in delta.events
            if e.value is not None
        }
        self._log.clear()
        self._log_after = delta.revision

    def _advance(self, delta: Delta) -> None:
        for e in delta.events:
            if e.revision <= self.revision:
                continue
            held = self.entries.get(e.key)
            if held is not None and held.revision > e.revision:
                # A listing in pages already showed a later value.
                continue
            if e.value is None:
                self.entries.pop(e.key, None)
            else:
                self.entries[e.key] = KeyValue(e.key, e.value, e.revision)
            self._log.append(e)
        while len(self._log) > LOG_EVENTS:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        """Drop the oldest revision whole, so that no delta splits one."""
        oldest = self._log[0].revision
        while self._log and self._log[0].revision == oldest:
            self._log.popleft()
        self._log_after = oldest

    def can_follow(self, since: int) -> bool:
        """Return whether every change after a revision is still held."""
        return self._log_after <= since <= self.revision

    def delta(self, since: int) -> Delta:
        """Return what a copy at `since` lacks."""
        if self.can_follow(since):
            events = [e for e in self._log if e.revision > since]
            return Delta(since, self.revision, False, events)
        events = [Event(e.revision, e.key, e.value) for e in self.entries.values()]
        return Delta(0, self.revision, True, events)

    def under(self, prefix: str) -> list[KeyValue]:
        """Return the entries under a prefix, by key."""
        found = [e for k, e in self.entries.items() if k.startswith(prefix)]
        return sorted(found, key=lambda e: e.key)
