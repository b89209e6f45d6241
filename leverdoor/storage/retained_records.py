# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The records of earlier eras that stay in force at one replica.

When the store comes back from a copy, the replica compares what was in force with what
the store holds, and retains what outlasts it (`storage.retention`). Removals are
remembered, so that the copy does not bring a record back.

Owns the retained records and the latest removals; both are lost with the process.
Retained records also travel to peers in deltas.
"""

from collections.abc import Iterable, Mapping

from leverdoor.model.position import UNKNOWN_ERA, Position
from leverdoor.storage.change_log import SMALL_VALUE_BYTES
from leverdoor.storage.retention import DescribeRecord, Retained, outlasts
from leverdoor.storage.store import KeyValue

__all__ = ["RetainedRecords"]

MAX_KNOWN_REMOVALS = 5_000
"""Number of removed keys that are remembered; one day of them, as for changes.

A removal that is forgotten is not kept in force against a copy that lacks it.
"""


class RetainedRecords:
    """What stays in force although the store does not hold it."""

    def __init__(self, describe: DescribeRecord) -> None:
        """Create it without any records.

        Args:
          describe: describes records of the store.
        """
        self.by_key: dict[str, Retained] = {}
        self._describe = describe
        self._removed: dict[str, Retained] = {}
        """The latest removals by key, the oldest first."""

    def in_force(self, entries: Mapping[str, KeyValue]) -> Mapping[str, KeyValue]:
        """Return the entries of the store with the retained records in their place."""
        if not self.by_key:
            return entries
        found = {k: e for k, e in entries.items() if k not in self.by_key}
        for r in self.by_key.values():
            if r.value is not None:
                found[r.key] = KeyValue(r.key, r.value, r.revision, era=r.era)
        return found

    def replace_in_later_era(
        self,
        before: Mapping[str, KeyValue],
        entries: Mapping[str, KeyValue],
        of_peer: Iterable[Retained],
        at: Position,
    ) -> None:
        """Retain what outlasts the entries of a later era.

        Nothing is known of an unknown era, which may have been the same one.

        Args:
          before: the entries that were in force.
          entries: what the store holds in the later era.
          of_peer: what a peer retains, if the entries came from one.
          at: position of the entries.
        """
        known = {k: r for k, r in self._known(before).items() if r.era != UNKNOWN_ERA}
        for r in of_peer:
            if r.key not in known or known[r.key].position < r.position:
                known[r.key] = r
        self._retain(known.values(), entries)
        for r in known.values():
            # Others that are missing may only have to be written again.
            if self._is_leaving(r) and r.key not in entries:
                self._remember_removal(r, at)

    def replace_in_same_era(
        self,
        before: Mapping[str, KeyValue],
        entries: Mapping[str, KeyValue],
        at: Position,
    ) -> None:
        """Process a listing that replaced all entries within one era."""
        self._retain(list(self.by_key.values()), entries)
        for key in before.keys() - entries.keys() - self.by_key.keys():
            self._remember_removal(_as_retained(before[key]), at)

    def change(
        self, key: str, before: KeyValue | None, stored: KeyValue | None, at: Position
    ) -> None:
        """Process the write or removal of one record.

        Args:
          key: key of the record.
          before: the record that the store held.
          stored: the record that it holds now; None for a removal.
          at: position of the change.
        """
        if stored is not None:
            self._removed.pop(key, None)
        elif before is not None:
            self._remember_removal(_as_retained(before), at)
        retained = self.by_key.get(key)
        if retained and not outlasts(retained, stored, True, self._describe):
            del self.by_key[key]

    def release(self, keys: Iterable[str]) -> None:
        """Stop to retain records: from now on the store's own are in force."""
        for key in keys:
            self.by_key.pop(key, None)

    def removed_bytes(self) -> int:
        """Return the bytes of the last values of removed keys."""
        return sum(len(r.last_value) for r in self._removed.values())

    def _known(self, before: Mapping[str, KeyValue]) -> dict[str, Retained]:
        """Return all that is known of records in force and of removed ones, by key."""
        removed = {k: r for k, r in self.by_key.items() if r.value is None}
        in_force = {k: _as_retained(e) for k, e in before.items()}
        return self._removed | removed | in_force

    def _retain(
        self, known: Iterable[Retained], entries: Mapping[str, KeyValue]
    ) -> None:
        self.by_key = {
            r.key: r
            for r in known
            if outlasts(r, entries.get(r.key), False, self._describe)
        }

    def _is_leaving(self, known: Retained) -> bool:
        return (
            known.value is not None and self._describe(known.key, known.value).leaving
        )

    def _remember_removal(self, last: Retained, at: Position) -> None:
        self._removed.pop(last.key, None)
        last_value, last_facts = last.value or b"", None
        if len(last_value) > SMALL_VALUE_BYTES:
            last_facts = self._describe(last.key, last_value)
            last_value = b""
        self._removed[last.key] = Retained(
            last.key,
            None,
            at.revision,
            at.era,
            last_value,
            last.revision,
            last_facts,
        )
        while len(self._removed) > MAX_KNOWN_REMOVALS:
            del self._removed[next(iter(self._removed))]


def _as_retained(entry: KeyValue) -> Retained:
    return Retained(entry.key, entry.value, entry.revision, entry.era)
