# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What an entry writes again, gives up and reports when its store is back as a copy."""

import asyncio
import os
from random import Random

from leverdoor.entry import restored_store
from leverdoor.entry.events import Events
from leverdoor.entry.log_writer import LineWriter
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.restored_store import RestoredStore
from leverdoor.platform.formats import describe_record
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import Event, MemoryStore, Write
from virtual_clock import run_virtual

KEPT = "leverdoor/quarantine/00000000000ca05e"
RELEASED = "leverdoor/quarantine/00000000000ca05f"
EVACUATION = "op/evacuate/z1"


class RestoredEntry:
    """One entry's replica of a store, and what follows up its return."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, int]]] = []
        self.compiled = 0
        self.state = State(describe_record)
        self.store = MemoryStore()
        self.metrics = EntryMetrics()
        events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), "n1")
        events.store_restored = (  # type: ignore[method-assign]
            lambda change, _, kept: self.lines.append((change, dict(kept)))
        )
        self.restored = RestoredStore(
            self.state,
            describe_record,
            self.store,
            events,
            self.metrics,
            Random(1),
            lambda: True,
            self._compile,
        )
        self.state.changes.subscribe(lambda _: self.restored.take_state())

    def _compile(self) -> None:
        self.compiled += 1

    def lose_changes(self) -> None:
        """Know two records and an evacuation, of which a copy has the second only."""
        self.state.apply(Delta(0, 4, True, [Event(4, RELEASED, b"b")], 1))
        self.state.extend([Event(5, KEPT, b"a"), Event(6, EVACUATION, b"1")])
        self.state.extend([Event(7, RELEASED, None)])
        self.state.apply(Delta(0, 4, True, [Event(4, RELEASED, b"b")], 2))
        self.store.era = 2


def test_own_records_are_written_and_removed_again() -> None:
    """A record that the copy lacks is no release, and one that it has no hold."""

    async def run() -> None:
        entry = RestoredEntry()
        entry.lose_changes()
        writes = entry.restored.pending_writes()
        assert sorted(writes, key=lambda w: w.key) == [
            Write(KEPT, b"a", 0),
            Write(RELEASED, None, 4),
        ]
        entry.store.era = 3
        assert entry.restored.pending_writes() == []
        entry.store.era = 2
        entry.state.extend([Event(5, KEPT, b"a"), Event(6, RELEASED, None)])
        assert entry.restored.pending_writes() == []

    run_virtual(run())


def test_operators_see_what_is_kept_written_again_and_given_up() -> None:
    async def run() -> None:
        entry = RestoredEntry()
        entry.lose_changes()
        assert entry.lines == [("returned", {"own": 2, "switch": 1})]
        assert b'retained_records{kind="switch"} 1.0' in entry.metrics.text()
        entry.state.extend([Event(5, KEPT, b"a"), Event(6, RELEASED, None)])
        entry.state.extend([Event(7, EVACUATION, b"1")])
        assert entry.lines[1:] == [("written again", {})]
        assert b"retained_records{" not in entry.metrics.text()

    run_virtual(run())


def test_an_evacuation_that_nobody_writes_again_is_given_up() -> None:
    async def run() -> None:
        entry = RestoredEntry()
        entry.lose_changes()
        await asyncio.sleep(restored_store.RETENTION_S - 1.0)
        assert EVACUATION in entry.state.in_force
        await asyncio.sleep(2.0)
        assert EVACUATION not in entry.state.in_force
        assert KEPT in entry.state.in_force
        assert (entry.lines[-1], entry.compiled) == (("given up", {"switch": 1}), 1)

    run_virtual(run())
