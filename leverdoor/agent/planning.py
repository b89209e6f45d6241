# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Writes the ownership table of the agent's region when it has to change.

The first-ranked watcher of the region plans and the second is its standby;
`membership.ownership.plan` defines the permitted changes. Owns the number of
consecutive rounds (checks of the table) that found a change, which is lost with the
process; the store owns the table. Relies on the store's compare-and-swap: concurrent
planners only cost a rejected write.
"""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from loguru import logger

from leverdoor.errors import OutcomeUnknown, StoreUnavailable
from leverdoor.membership.ownership import (
    Ack,
    GateProcess,
    Table,
    plan,
    serialize_table,
)
from leverdoor.membership.peers import GateState, Peers
from leverdoor.storage.state import TABLES, State
from leverdoor.storage.store import Store, Write
from leverdoor.storage.view import View, ViewCache

__all__ = ["Planner"]

PLAN_INTERVAL_S = 0.25
"""Interval of table checks, in seconds; a plan of 1,000 targets takes 0.15 s.

A longer interval leaves the units of a dead VM idle for longer; a shorter one uses most
of the agent's CPU time.
"""
WRITE_PAUSE_S = 0.25
"""Pause after a write, in seconds.

With `PLAN_INTERVAL_S` it limits a region to two writes per second. If all 28 regions
change at once, as after an outage, the rate stays below the store's 100 per second.
"""
STANDBY_WAIT_ROUNDS = 6
"""Rounds that the standby planner waits before it writes: 1.5 s.

Exceeds the time that the first planner needs to write. With a greater value, a dead
planner is replaced later; with a smaller one, both write and one write is rejected.
"""


_Inputs: TypeAlias = tuple[
    View, Table, frozenset[str], frozenset[str], frozenset[str], dict[str, Ack]
]


class Planner:
    """Computes and writes the next table; several planners may run concurrently."""

    def __init__(
        self,
        region: str,
        store: Store,
        state: State,
        cache: ViewCache,
        peers: Peers,
        watcher_rank: Callable[[], int],
        leaving: Callable[[], frozenset[str]],
        gone: Callable[[], frozenset[str]],
    ) -> None:
        """Create a planner.

        Args:
          region: the region whose table is written.
          store: the platform's key-value service.
          state: the replica of the store.
          cache: the compiled configuration.
          peers: the known VMs and their newest heartbeats.
          watcher_rank: returns this agent's rank among the watchers of the store: 0
            to write at once, higher for standby, -1 if it is no watcher.
          leaving: returns the VMs that should release all units.
          gone: returns the identities of processes that have terminated.
        """
        self._region = region
        self._store = store
        self._state = state
        self._cache = cache
        self._peers = peers
        self._watcher_rank = watcher_rank
        self._leaving = leaving
        self._gone = gone
        self._pending_rounds = 0
        self._inputs_without_change: _Inputs | None = None
        """Inputs of the last plan if it changed nothing."""

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            if self._watcher_rank() < 0 or self._state.revision == 0:
                self._pending_rounds = 0
                continue
            try:
                await self._step()
            except (StoreUnavailable, OutcomeUnknown) as e:
                logger.info("table not written", error=str(e))
                await asyncio.sleep(1.0)

    def next_table(self) -> Table | None:
        """Compute the next table from the current inputs.

        Skips planning if the inputs equal those of a plan that changed nothing.

        Returns: None if the table does not change.
        """
        now = asyncio.get_running_loop().time()
        heartbeats = self._peers.live_heartbeats_in_region(now)
        live = [
            GateProcess(b.vm, b.gate, b.incarnation, b.domain)
            for b in heartbeats
            if b.gate
        ]
        stopping = {b.vm for b in heartbeats if b.state is GateState.LEAVING}
        drained = {b.vm for b in heartbeats if self._cache.view.vm_drained(b.vm)}
        leaving = self._leaving() | stopping | drained
        gone = self._gone()
        table = self._cache.table(self._region)
        acks = self._awaited_acks(table)
        inputs = (
            self._cache.view,
            table,
            frozenset(m.identity for m in live),
            leaving,
            gone,
            acks,
        )
        if inputs == self._inputs_without_change:
            return None
        specs = self._cache.view.specs(self._region)
        planned = plan(table, specs, live, leaving, gone, acks)
        self._inputs_without_change = inputs if planned is None else None
        return planned

    def _awaited_acks(self, table: Table) -> dict[str, Ack]:
        """Return the acknowledgements of members that are releasing units."""
        releasing = {r.member for row in table.rows.values() for r in row.releases}
        identities = {table.members[n].identity for n in releasing}
        return {i: a for i, a in self._peers.acks().items() if i in identities}

    async def _step(self) -> None:
        """Write the next table, if any, after the wait for this agent's rank."""
        key = TABLES + self._region
        entry = self._state.entries.get(key)
        table = self.next_table()
        if table is None:
            self._pending_rounds = 0
            return
        self._pending_rounds += 1
        if self._pending_rounds <= self._watcher_rank() * STANDBY_WAIT_ROUNDS:
            return
        write = Write(key, serialize_table(table), entry.revision if entry else 0)
        result = await self._store.commit([write])
        # The store rejects the write if the stored table has changed meanwhile.
        logger.info(
            "table written" if result.committed else "table refused",
            version=table.version,
            revision=result.revision,
        )
        await asyncio.sleep(WRITE_PAUSE_S)
        if result.committed:
            await self._wait_for_revision(result.revision)

    async def _wait_for_revision(self, revision: int) -> None:
        """Wait up to 1 s until the replica contains this agent's own write."""
        for _ in range(8):
            if self._state.revision >= revision:
                return
            await asyncio.sleep(PLAN_INTERVAL_S / 2)
