# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Keeps what is held back in the store, so that it outlasts a restart of all entries.

The followers of the store write what is missing there and remove what is over; two that
do so at once do no harm, since each write has a condition. Entries that start get the
records with the state. A record that is gone, by whomever, releases its request.

Owns the records as they were last read; lost with the process. Relies on `Quarantine`
for what is held back, and on the copy of the store for what is written.
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
    hold_of,
    parse_record,
    record_of,
    serialize_record,
)
from leverdoor.storage.store import KeyValue, LeasingStore, Write

__all__ = ["QuarantineRecords"]

MEAN_CHECK_INTERVAL_S = 0.5
"""Mean pause between two looks at what is to be written, in seconds.

With the 0.6 s until a request is held back a record is there within two seconds, half
of the operator's bound. Greater: a restart of all entries in between forgets more.
Smaller: two followers write the same record more often.
"""
MAX_WRITES_PER_CHECK = 8
"""Records written or removed in one look: bounds the calls of the store."""
REMOVAL_DELAY_S = 5.0
"""Time after the end of a hold in which its record is removed, in seconds.

Beyond the moments by which entries differ on when it was held back. Greater: records
stay for longer. Smaller: the first to remove it releases it at the others.
"""


class QuarantineRecords:
    """The records of what is held back, between the store and one entry."""

    def __init__(
        self,
        quarantine: Quarantine,
        store: LeasingStore,
        wire: Wire,
        entry: str,
        events: Events,
        rng: Random,
        writes: Callable[[], bool],
    ) -> None:
        """Create it.

        Args:
          quarantine: what is held back here.
          store: the platform's service.
          wire: names the records' keys.
          entry: this entry's name.
          events: the log.
          rng: spreads the looks of several followers.
          writes: returns whether this entry writes records now.
        """
        self._quarantine = quarantine
        self._store = store
        self._wire = wire
        self._entry = entry
        self._events = events
        self._rng = rng
        self._writes = writes
        self._stored: dict[int, KeyValue] = {}
        """By fingerprint, as the store has them."""
        self._seen_since: dict[int, float] = {}
        """Since when each is known as it is, monotonic time in seconds."""

    def take(self, records: Mapping[str, KeyValue], now: float) -> None:
        """Take all records of the store, by the text of their fingerprint.

        Args:
          records: as the copy of the store has them.
          now: monotonic time in seconds.
        """
        found = {}
        for text, entry in records.items():
            fingerprint = _parse_fingerprint(text)
            before = self._stored.get(fingerprint)
            if before is not None and before.revision == entry.revision:
                found[fingerprint] = before
            elif self._receive_record(fingerprint, entry, now):
                found[fingerprint] = entry
                self._seen_since[fingerprint] = now
        gone = self._stored.keys() - found.keys()
        self._stored = found
        for fingerprint in gone:
            del self._seen_since[fingerprint]
            self._quarantine.take_removed(fingerprint, now)

    def _receive_record(self, fingerprint: int, entry: KeyValue, now: float) -> bool:
        """Take one record; return whether it can be read."""
        try:
            record = parse_record(entry.value)
        except msgspec.MsgspecError as e:
            self._events.process("record not readable", key=entry.key, error=str(e))
            return False
        if not fingerprint:
            self._events.process("record not readable", key=entry.key, error="key")
            return False
        hold = hold_of(record, fingerprint, now, time.time())
        self._quarantine.take_stored(hold, now)
        return True

    async def run(self) -> None:
        """Write what is missing and remove what is over, until cancelled."""
        while True:
            await asyncio.sleep(MEAN_CHECK_INTERVAL_S * (0.5 + self._rng.random()))
            if not self._writes():
                continue
            now = asyncio.get_running_loop().time()
            for write in self.pending_writes(now, time.time())[:MAX_WRITES_PER_CHECK]:
                await self._commit(write)

    def pending_writes(self, now: float, wall_s: float) -> list[Write]:
        """Return what is to be written and removed.

        Args:
          now: monotonic time in seconds.
          wall_s: seconds since the epoch.
        """
        held = self._quarantine.holds
        added = [
            self._put(hold, 0, now, wall_s)
            for fingerprint, hold in held.items()
            if fingerprint not in self._stored
        ]
        return added + [
            self._replace_or_delete(fingerprint, entry, now, wall_s)
            for fingerprint, entry in self._stored.items()
            if self._is_obsolete(fingerprint, entry, now, wall_s)
        ]

    def _is_obsolete(
        self, fingerprint: int, entry: KeyValue, now: float, wall_s: float
    ) -> bool:
        """Return whether a record's time is over, or what it says is not true.

        Its time goes by how long this process has seen it: a wall clock that is ahead
        would remove it, and so release the request at all entries.
        """
        seen_s = now - self._seen_since[fingerprint]
        record = parse_record(entry.value)
        hold = self._quarantine.holds.get(fingerprint)
        if hold is not None:
            return hold.tries < record.tries or seen_s > HOLD_S
        if seen_s > HOLD_S + REMOVAL_DELAY_S:
            return True
        return self._quarantine.is_void(hold_of(record, fingerprint, now, wall_s))

    def _replace_or_delete(
        self, fingerprint: int, entry: KeyValue, now: float, wall_s: float
    ) -> Write:
        """Return the write that replaces a record that is over, or removes it.

        A request that is held back once more has a record that is over, one that was
        tried a record with a try too many.
        """
        hold = self._quarantine.holds.get(fingerprint)
        if hold is None:
            return Write(self._key(fingerprint), None, entry.revision)
        return self._put(hold, entry.revision, now, wall_s)

    def _put(self, hold: Hold, expect: int, now: float, wall_s: float) -> Write:
        record = record_of(hold, self._entry, now, wall_s)
        return Write(self._key(hold.fingerprint), serialize_record(record), expect)

    def _key(self, fingerprint: int) -> str:
        return self._wire.quarantine_record_key(fingerprint_text(fingerprint))

    async def _commit(self, write: Write) -> None:
        """Write or remove one record; one that failed is due again."""
        try:
            await self._store.commit([write])
        except LeverdoorError as e:
            self._events.process("record not written", key=write.key, error=str(e))


def _parse_fingerprint(text: str) -> int:
    """Return the fingerprint of its text; 0 if it is none, or written otherwise."""
    try:
        fingerprint = int(text, 16)
    except ValueError:
        return 0
    fits = 0 < fingerprint < 1 << (8 * FINGERPRINT_BYTES)
    return fingerprint if fits and fingerprint_text(fingerprint) == text else 0
