# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Persists quarantined requests in the store to survive a restart of all entries.

The followers of the store write missing records and remove expired ones. Concurrent
writes by two followers are harmless because each write is conditional on a revision. A
starting entry receives the records with the state. The removal of a record, by an entry
or by an operator, releases its request.

Owns the records as last read and the time each was first seen; both are lost with the
process. Relies on `Quarantine` for the requests in quarantine, and on the copy of the
store for the stored records.
"""

import asyncio
import time
from collections.abc import Callable, Mapping
from random import Random

import msgspec

from leverdoor.entry.events import Events
from leverdoor.entry.wire import Wire
from leverdoor.errors import LeverdoorError
from leverdoor.quarantine.fingerprint import FINGERPRINT_BYTES, fingerprint_text
from leverdoor.quarantine.quarantine import HOLD_S, Hold, Quarantine
from leverdoor.quarantine.records import (
    hold_from_record,
    parse_record,
    record_from_hold,
    serialize_record,
)
from leverdoor.storage.store import KeyValue, LeasingStore, Write

__all__ = ["QuarantineRecords"]

MEAN_CHECK_INTERVAL_S = 0.5
"""Mean interval between two checks for records to write, in seconds.

A request is quarantined within 0.6 s, so its record exists within two seconds, half of
the operator's bound. With a greater value, a restart of all entries forgets more
requests. With a smaller value, two followers write the same record more often.
"""
MAX_WRITES_PER_CHECK = 8
"""Maximum records written or removed per check, which bounds the store calls."""
REMOVAL_DELAY_S = 5.0
"""Delay between the expiry of a hold and the removal of its record, in seconds.

It exceeds the differences between entries in the start of the hold. With a greater
value, records stay longer. With a smaller value, the first entry that removes a record
releases the request at the others before their holds expire.
"""


class QuarantineRecords:
    """Synchronizes the quarantine of one entry with its records in the store."""

    def __init__(
        self,
        quarantine: Quarantine,
        store: LeasingStore,
        wire: Wire,
        entry: str,
        events: Events,
        rng: Random,
        may_write: Callable[[], bool],
    ) -> None:
        """Create the synchronizer.

        Args:
          quarantine: the requests that this entry has quarantined.
          store: the platform's key-value store.
          wire: provides the keys of records.
          entry: this entry's name.
          events: the event log.
          rng: adds jitter to the checks of several followers.
          may_write: returns whether this entry currently writes records.
        """
        self._quarantine = quarantine
        self._store = store
        self._wire = wire
        self._entry = entry
        self._events = events
        self._rng = rng
        self._may_write = may_write
        self._stored: dict[int, KeyValue] = {}
        """The stored records by fingerprint."""
        self._seen_since: dict[int, float] = {}
        """When each record's current value was first seen, monotonic time in s."""

    def take(self, records: Mapping[str, KeyValue], now: float) -> None:
        """Apply all stored records; a missing record releases its request.

        Args:
          records: the stored records by the text of their fingerprint.
          now: monotonic time in seconds.
        """
        readable = {}
        for text, item in records.items():
            fingerprint = _parse_fingerprint(text)
            previous = self._stored.get(fingerprint)
            if previous is not None and previous.position == item.position:
                readable[fingerprint] = previous
            elif self._apply_record(fingerprint, item, now):
                readable[fingerprint] = item
                self._seen_since[fingerprint] = now
        removed = self._stored.keys() - readable.keys()
        self._stored = readable
        for fingerprint in removed:
            del self._seen_since[fingerprint]
            self._quarantine.release_deleted(fingerprint, now)

    def _apply_record(self, fingerprint: int, item: KeyValue, now: float) -> bool:
        """Process one new or changed record; return False if it is malformed."""
        try:
            record = parse_record(item.value)
        except msgspec.MsgspecError as e:
            self._events.process("record not readable", key=item.key, error=str(e))
            return False
        if not fingerprint:
            self._events.process("record not readable", key=item.key, error="key")
            return False
        hold = hold_from_record(record, fingerprint, now, time.time())
        self._quarantine.add_stored(hold, now)
        return True

    async def run(self) -> None:
        """Write missing records and remove expired ones until cancelled."""
        while True:
            await asyncio.sleep(MEAN_CHECK_INTERVAL_S * (0.5 + self._rng.random()))
            if not self._may_write():
                continue
            now = asyncio.get_running_loop().time()
            for write in self.pending_writes(now, time.time())[:MAX_WRITES_PER_CHECK]:
                await self._commit(write)

    def pending_writes(self, now: float, time_of_day: float) -> list[Write]:
        """Return the conditional writes that create, replace and delete records.

        Args:
          now: monotonic time in seconds.
          time_of_day: seconds since the epoch.
        """
        quarantined = self._quarantine.holds
        added = [
            self._write_of(hold, 0, now, time_of_day)
            for fingerprint, hold in quarantined.items()
            if fingerprint not in self._stored
        ]
        return added + [
            self._replace_or_delete(fingerprint, item, now, time_of_day)
            for fingerprint, item in self._stored.items()
            if self._is_obsolete(fingerprint, item, now, time_of_day)
        ]

    def _is_obsolete(
        self, fingerprint: int, item: KeyValue, now: float, time_of_day: float
    ) -> bool:
        """Return whether a record has expired or disagrees with the quarantine.

        It disagrees if it lists more remaining tries than the hold, or if its hold
        has become void.

        Expiry is measured by how long this process has seen the record. A wall clock
        that is ahead would remove the record early and release the request at all
        entries.
        """
        if item.era != self._store.era:
            return False  # The store has no such record, or another value of it.
        seen_s = now - self._seen_since[fingerprint]
        record = parse_record(item.value)
        hold = self._quarantine.holds.get(fingerprint)
        if hold is not None:
            return hold.tries < record.tries or seen_s > HOLD_S
        if seen_s > HOLD_S + REMOVAL_DELAY_S:
            return True
        return self._quarantine.has_no_evidence(
            hold_from_record(record, fingerprint, now, time_of_day)
        )

    def _replace_or_delete(
        self, fingerprint: int, item: KeyValue, now: float, time_of_day: float
    ) -> Write:
        """Return the write that replaces or deletes an obsolete record.

        A request that was quarantined again replaces its expired record. A request that
        was tried replaces a record with too many remaining tries.
        """
        hold = self._quarantine.holds.get(fingerprint)
        if hold is None:
            return Write(self._key(fingerprint), None, item.revision)
        return self._write_of(hold, item.revision, now, time_of_day)

    def _write_of(
        self, hold: Hold, expected_revision: int, now: float, time_of_day: float
    ) -> Write:
        record = record_from_hold(hold, self._entry, now, time_of_day)
        return Write(
            self._key(hold.fingerprint), serialize_record(record), expected_revision
        )

    def _key(self, fingerprint: int) -> str:
        return self._wire.quarantine_record_key(fingerprint_text(fingerprint))

    async def _commit(self, write: Write) -> None:
        """Write or remove one record; a later check retries a failed write."""
        try:
            await self._store.commit([write])
        except LeverdoorError as e:
            self._events.process("record not written", key=write.key, error=str(e))


def _parse_fingerprint(text: str) -> int:
    """Return the fingerprint for its text; 0 if the text is not in canonical form."""
    try:
        fingerprint = int(text, 16)
    except ValueError:
        return 0
    in_range = 0 < fingerprint < 1 << (8 * FINGERPRINT_BYTES)
    return fingerprint if in_range and fingerprint_text(fingerprint) == text else 0
