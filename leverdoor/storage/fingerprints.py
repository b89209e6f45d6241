# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Fingerprints of a replica's entries at its recent revisions.

On a plain site, two processes may have the same revision of different histories: the
store was restored from a copy while one of them was cut off. Equal fingerprints at a
revision show that both have the same entries there, so that the changes after it lead
to the same state, however each came to it.

Owns the fingerprints of the revisions in the log, and the digests of the entries; both
are lost with the process. Relies on `State`, which tells each change of an entry and
each revision.
"""

from bisect import bisect_right
from collections.abc import Iterable

import xxhash

from leverdoor.storage.store import KeyValue

__all__ = ["REMOVAL_DIGEST", "UNKNOWN_FINGERPRINT", "Fingerprints", "digest"]

UNKNOWN_FINGERPRINT = 0
"""In messages: the sender has no fingerprint, or is of an earlier release."""
REMOVAL_DIGEST = 0
"""Digest of the removal of a key."""


class Fingerprints:
    """The fingerprints of a replica from some revision on."""

    def __init__(self, *, enabled: bool) -> None:
        """Create them for a replica without entries; if disabled, all are unknown."""
        self._enabled = enabled
        self._current = UNKNOWN_FINGERPRINT
        self._digests: dict[str, int] = {}
        """Digest of the newest change of each entry."""
        self._revisions = [0]
        self._fingerprints = [UNKNOWN_FINGERPRINT]

    def replace(self, entries: Iterable[KeyValue], revision: int) -> None:
        """Begin anew, with all entries at a revision."""
        if not self._enabled:
            return
        self._digests = {e.key: digest(e.key, e.revision, e.value) for e in entries}
        self._current = UNKNOWN_FINGERPRINT
        for entry_digest in self._digests.values():
            self._current ^= entry_digest
        self._revisions = [revision]
        self._fingerprints = [self._current]

    def change(self, key: str, change_digest: int, revision: int) -> None:
        """Apply the change of one entry at a revision, which may change several.

        Args:
          key: key of the entry.
          change_digest: digest of the change.
          revision: revision of the change.
        """
        if not self._enabled:
            return
        self._current ^= self._digests.pop(key, REMOVAL_DIGEST) ^ change_digest
        if change_digest != REMOVAL_DIGEST:
            self._digests[key] = change_digest
        if self._revisions[-1] == revision:
            self._fingerprints[-1] = self._current
        else:
            self._revisions.append(revision)
            self._fingerprints.append(self._current)

    def drop_before(self, revision: int) -> None:
        """Forget the fingerprints of revisions below one."""
        first = max(bisect_right(self._revisions, revision) - 1, 0)
        del self._revisions[:first]
        del self._fingerprints[:first]

    def at(self, revision: int) -> int:
        """Return the fingerprint at a revision; `UNKNOWN_FINGERPRINT` if it is lost."""
        index = bisect_right(self._revisions, revision) - 1
        return self._fingerprints[index] if index >= 0 else UNKNOWN_FINGERPRINT


def digest(key: str, revision: int, value: bytes | None) -> int:
    """Return the digest of a change, 64 bits; `REMOVAL_DIGEST` without a value."""
    if value is None:
        return REMOVAL_DIGEST
    return xxhash.xxh3_64_intdigest(f"{key}\0{revision}\0".encode() + value)
