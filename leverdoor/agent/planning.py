# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Writes the ownership table of the agent's region when it has to change.

The first of the region's followers of the store plans, the second stands by; what a
plan may do is `membership.ownership.plan`. Owns how long a change has been waiting;
the table itself is the store's. Relies on the compare-and-swap of the store: two
planners at once cost a refused write.
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
"""Seconds between two checks of the table; a plan of 1,000 targets takes 0.15 s.

Greater, units of a dead VM idle for longer; smaller, an agent does little else.
"""
WRITE_PAUSE_S = 0.25
"""With the interval, at most two writes a second and region: 28 regions that
all have to change, as after an outage, stay under the store's 100 a second."""
STANDBY_ROUNDS = 6
"""Rounds that the standby planner waits before it acts, 1.5 s.

Above the time in which the first one writes. Greater, a dead planner is missed for
longer; smaller, both write and one is refused.
"""


_Basis: TypeAlias = tuple[
    View, Table, frozenset[str], frozenset[str], frozenset[str], dict[str, Ack]
]


class Planner:
    """Computes and writes the next table; any number may run at once."""

    def __init__(
        self,
        region: str,
        store: Store,
        state: State,
        cache: ViewCache,
        peers: Peers,
        follower_place: Callable[[], int],
        leaving: Callable[[], frozenset[str]],
        gone: Callable[[], frozenset[str]],
    ) -> None:
        """Create it.

        Args:
          region: whose table to write.
          store: the platform's service.
          state: the copy of the store.
          cache: the compiled configuration.
          peers: the VMs known, with their newest heartbeats.
          follower_place: this agent's place among the followers of the store: 0 to
            write at once, higher to stand by, -1 not to write.
          leaving: VMs that should hold nothing any more.
          gone: identities of processes proved to be gone.
        """
        self._region = region
        self._store = store
        self._state = state
        self._cache = cache
        self._peers = peers
        self._follower_place = follower_place
        self._leaving = leaving
        self._gone = gone
        self._pending = 0
        self._settled: _Basis | None = None

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            if self._follower_place() < 0 or self._state.revision == 0:
                self._pending = 0
                continue
            try:
                await self._step()
            except (StoreUnavailable, OutcomeUnknown) as e:
                logger.info("table not written", error=str(e))
                await asyncio.sleep(1.0)

    def next_table(self) -> Table | None:
        """Compute the next table from what is known now.

        Nothing is computed again while nothing that it rests on has changed.
        """
        now = asyncio.get_running_loop().time()
        heartbeats = self._peers.live_near(now)
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
        basis = (
            self._cache.view,
            table,
            frozenset(m.identity for m in live),
            leaving,
            gone,
            acks,
        )
        if basis == self._settled:
            return None
        specs = self._cache.view.specs(self._region)
        after = plan(table, specs, live, leaving, gone, acks)
        self._settled = basis if after is None else None
        return after

    def _awaited_acks(self, table: Table) -> dict[str, Ack]:
        """Acknowledgements of members that are giving units back."""
        waiting = {r.member for row in table.rows.values() for r in row.releases}
        identities = {table.members[n].identity for n in waiting}
        return {i: a for i, a in self._peers.acks().items() if i in identities}

    async def _step(self) -> None:
        key = TABLES + self._region
        entry = self._state.entries.get(key)
        table = self.next_table()
        if table is None:
            self._pending = 0
            return
        self._pending += 1
        if self._pending <= self._follower_place() * STANDBY_ROUNDS:
            return
        write = Write(key, serialize_table(table), entry.revision if entry else 0)
        done = await self._store.commit([write])
        logger.info(
            "table written" if done.taken else "table refused",
            version=table.version,
            revision=done.revision,
        )
        await asyncio.sleep(WRITE_PAUSE_S)
        if done.taken:
            await self._wait_for(done.revision)

    async def _wait_for(self, revision: int) -> None:
        """Wait until the copy has caught up with this agent's own write."""
        for _ in range(8):
            if self._state.revision >= revision:
                return
            await asyncio.sleep(PLAN_INTERVAL_S / 2)
