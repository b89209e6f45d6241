# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Follows up when the store comes back from a copy, without its latest changes.

The replica keeps in force what it knew beyond the copy (`storage.retention`). This
module writes leverdoor's own records again, gives up what nobody else has written again
within `RETENTION_S`, and reports both to operators. A configuration and the leaving of
a target are never given up.

Owns the era last seen, and the timer; both are lost with the process. Relies on the
replica for what is retained.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random

from leverdoor.entry.events import Events
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.errors import LeverdoorError
from leverdoor.model.position import UNKNOWN_ERA
from leverdoor.storage.retention import DescribeRecord, RecordKind, Retained
from leverdoor.storage.state import State
from leverdoor.storage.store import Store, Write

__all__ = ["RestoredStore"]

RETENTION_S = 60.0
"""Time after which what nobody has written again is given up, in seconds.

Switches and removals of targets only. With a greater value, an evacuation that the
operators do not see in the store lasts longer; with a smaller one, they have less time
to write it again.
"""
MEAN_CHECK_INTERVAL_S = 0.5
"""Mean interval between two checks for records to write again, in seconds."""
MAX_WRITES_PER_CHECK = 8
"""Maximum records written or removed per check, which bounds the store calls."""


class RestoredStore:
    """What one entry does after the store came back from a copy."""

    def __init__(
        self,
        state: State,
        describe: DescribeRecord,
        store: Store,
        events: Events,
        metrics: EntryMetrics,
        rng: Random,
        may_write: Callable[[], bool],
        on_release: Callable[[], None],
    ) -> None:
        """Create it.

        Args:
          state: the local copy of the store.
          describe: describes records of the store.
          store: the store.
          events: the event log.
          metrics: the entry's metrics.
          rng: adds jitter to the checks of several followers.
          may_write: returns whether this entry currently writes records.
          on_release: called when retained records went out of force.
        """
        self._state = state
        self._describe = describe
        self._store = store
        self._events = events
        self._metrics = metrics
        self._rng = rng
        self._may_write = may_write
        self._on_release = on_release
        self._era = UNKNOWN_ERA
        self._had_retained = False
        self._timer: asyncio.TimerHandle | None = None

    def take_state(self) -> None:
        """Process a new state of the replica."""
        position = self._state.position
        kept = self._count(self._state.retained.values())
        if position.era > self._era:
            if self._era != UNKNOWN_ERA:
                self._events.store_restored("returned", position, kept)
            self._era = position.era
            self._schedule_give_up()
        elif self._had_retained and not kept:
            self._events.store_restored("written again", position, kept)
        self._had_retained = bool(kept)
        self._metrics.set_retained_records(kept)

    def _schedule_give_up(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(RETENTION_S, self._give_up)

    def _give_up(self) -> None:
        """Let what nobody has written again go out of force."""
        released = [r for r in self._state.retained.values() if self._is_limited(r)]
        if not released:
            return
        self._state.release(r.key for r in released)
        self._events.store_restored(
            "given up", self._state.position, self._count(released)
        )
        self._on_release()
        self._metrics.set_retained_records(self._count(self._state.retained.values()))

    def _is_limited(self, retained: Retained) -> bool:
        kind = self._kind(retained)
        is_removed_target = kind is RecordKind.REGISTRATION and retained.value is None
        return kind is RecordKind.SWITCH or is_removed_target

    def _kind(self, retained: Retained) -> RecordKind:
        value = retained.last_value if retained.value is None else retained.value
        return self._describe(retained.key, value).kind

    def _count(self, retained: Iterable[Retained]) -> Counter[str]:
        return Counter(self._kind(r).value for r in retained)

    async def run(self) -> None:
        """Write leverdoor's own records again until cancelled."""
        while True:
            await asyncio.sleep(MEAN_CHECK_INTERVAL_S * (0.5 + self._rng.random()))
            if self._state.retained and self._may_write():
                for write in self.pending_writes()[:MAX_WRITES_PER_CHECK]:
                    await self._commit(write)

    def pending_writes(self) -> list[Write]:
        """Return the conditional writes that store or remove own records again.

        There are none while the store is in another era than the replica, whose
        revisions would mean other writes.
        """
        if self._store.era != self._state.position.era:
            return []
        return [
            self._write_of(r)
            for r in self._state.retained.values()
            if self._kind(r) is RecordKind.OWN
        ]

    def _write_of(self, retained: Retained) -> Write:
        stored = self._state.entries.get(retained.key)
        return Write(retained.key, retained.value, stored.revision if stored else 0)

    async def _commit(self, write: Write) -> None:
        """Write or remove one record; a later check retries a failed write."""
        try:
            await self._store.commit([write])
        except LeverdoorError as e:
            self._events.process("record not written", key=write.key, error=str(e))
