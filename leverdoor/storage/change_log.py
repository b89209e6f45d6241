# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The recent changes of a replica, from which its peers get what they lack.

A peer needs the newest value of each key that changed, which the replica keeps anyway.
Former values are kept only if they are small: watches report them, and what outlasts a
restored store is decided by the last value of a removed record. Of a large one only its
digest is kept, so that replicas can still compare their histories.

Owns the changes, which are lost with the process. Relies on the caller to append them
in the order of their revisions.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from leverdoor.storage.store import Event

__all__ = ["SMALL_VALUE_BYTES", "ChangeLog", "Changes", "Superseded"]

MAX_LOGGED_CHANGES = 5_000
"""Number of changes that are recorded.

Covers one day of changes (4,600) at the planned size of the system. A peer that is
further behind fetches all entries.
"""
SMALL_VALUE_BYTES = 1_024
"""Length of the largest former value that is kept, in bytes.

Three times a registration or a resource of ordinary length; all of them together take
5 MB at most. With a smaller value, watches have to list again more often.
"""


class Superseded(msgspec.Struct, frozen=True, array_like=True):
    """A change without its value, which a later change of the key has replaced."""

    revision: int
    key: str
    digest: int
    """See `fingerprints.digest`."""


class Changes(NamedTuple):
    """The changes after a revision, in the order of their revisions."""

    events: list[Event]
    """Those whose values are kept, among them the newest one of each key."""
    superseded: list[Superseded]
    """The others."""


class _LoggedChange(msgspec.Struct):
    """One change, and its value while that is kept."""

    revision: int
    key: str
    digest: int
    value: bytes | None
    """None also for a removal."""
    has_value: bool

    def drop_large_value(self) -> None:
        """Drop the value, which a later change replaces, unless it is small."""
        if self.value is not None and len(self.value) > SMALL_VALUE_BYTES:
            self.value = None
            self.has_value = False


class ChangeLog:
    """All changes of one era after a revision."""

    def __init__(self) -> None:
        """Create a log of a replica without entries."""
        self._changes: deque[_LoggedChange] = deque()
        self._newest: dict[str, _LoggedChange] = {}
        """The newest change of each key."""
        self.after_revision = 0
        """The log has all changes after this revision."""

    def restart(self, revision: int) -> None:
        """Forget all changes; the log has those after a revision from now on."""
        self._changes.clear()
        self._newest.clear()
        self.after_revision = revision

    def append(self, event: Event, digest: int) -> None:
        """Record a change.

        Args:
          event: the change.
          digest: its digest.
        """
        self._append(
            _LoggedChange(event.revision, event.key, digest, event.value, True)
        )

    def append_superseded(self, change: Superseded) -> None:
        """Record a change without its value; a later one of its key must follow."""
        self._append(
            _LoggedChange(change.revision, change.key, change.digest, None, False)
        )

    def drop_excess(self) -> None:
        """Drop the oldest revisions while there are too many changes."""
        while len(self._changes) > MAX_LOGGED_CHANGES:
            self._drop_oldest_revision()

    def after(self, revision: int) -> Changes:
        """Return the changes after a revision that the log covers."""
        found = Changes([], [])
        for c in self._changes:
            if c.revision <= revision:
                continue
            if c.has_value:
                found.events.append(Event(c.revision, c.key, c.value))
            else:
                found.superseded.append(Superseded(c.revision, c.key, c.digest))
        return found

    def has_all(self, changes: Iterable[Superseded]) -> bool:
        """Return whether the log has all of these changes, by their digests."""
        logged = {(c.revision, c.key, c.digest) for c in self._changes}
        return all((c.revision, c.key, c.digest) in logged for c in changes)

    def former_bytes(self) -> int:
        """Return the bytes of values that later changes have replaced."""
        return sum(
            len(c.value or b"") for c in self._changes if self._newest[c.key] is not c
        )

    def _append(self, change: _LoggedChange) -> None:
        replaced = self._newest.get(change.key)
        if replaced is not None:
            replaced.drop_large_value()
        self._newest[change.key] = change
        self._changes.append(change)

    def _drop_oldest_revision(self) -> None:
        """Drop all changes of the oldest revision; a delta never splits a revision."""
        oldest = self._changes[0].revision
        while self._changes and self._changes[0].revision == oldest:
            change = self._changes.popleft()
            if self._newest[change.key] is change:
                del self._newest[change.key]
        self.after_revision = oldest
