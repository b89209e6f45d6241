# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Writes the ownership table of the agent's region when it has to change."""

import asyncio
from collections.abc import Callable

from loguru import logger

from leverdoor.errors import StoreUnavailable, StoreUnknown
from leverdoor.ownership import Member, Table, plan, serialize_table
from leverdoor.peers import GateState, Peers
from leverdoor.state import TABLES, State
from leverdoor.store import Store, Write
from leverdoor.view import ViewCache

__all__ = ["Planner"]

PLAN_INTERVAL_S = 0.25
STANDBY_ROUNDS = 6


class Planner:
    """Computes and writes the next table; any number may run at once."""

    def __init__(
        self,
        region: str,
        store: Store,
        state: State,
        cache: ViewCache,
        peers: Peers,
        rank: Callable[[], int],
        leaving: Callable[[], frozenset[str]],
        gone: Callable[[], frozenset[str]],
    ) -> None:
        """Create it.

        Args:
          region: whose table to write.
          store: the platform's service.
          state: the copy of the store.
          cache: the compiled configuration.
          peers: who has been heard from.
          rank: 0 to write at once, higher to stand by, -1 not to write.
          leaving: VMs that should hold nothing any more.
          gone: identities of processes proved to be gone.
        """
        self._region = region
        self._store = store
        self._state = state
        self._cache = cache
        self._peers = peers
        self._rank = rank
        self._leaving = leaving
        self._gone = gone
        self._pending = 0

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            if self._rank() < 0 or self._state.revision == 0:
                self._pending = 0
                continue
            try:
                await self._step()
            except (StoreUnavailable, StoreUnknown) as e:
                logger.info("table not written", error=str(e))
                await asyncio.sleep(1.0)

    def next_table(self) -> Table | None:
        """Compute the next table from what is known now."""
        now = asyncio.get_running_loop().time()
        beats = [p.beat for p in self._peers.live(now) if p.beat.region == self._region]
        live = [Member(b.vm, b.gate, b.incarnation, b.domain) for b in beats if b.gate]
        leaving = {b.vm for b in beats if b.state is GateState.LEAVING}
        drained = {b.vm for b in beats if self._cache.view.vm_drained(b.vm)}
        return plan(
            self._cache.table(self._region),
            self._cache.view.specs(self._region),
            live,
            self._leaving() | leaving | drained,
            self._gone(),
            self._peers.acks(),
        )

    async def _step(self) -> None:
        key = TABLES + self._region
        entry = self._state.entries.get(key)
        table = self.next_table()
        if table is None:
            self._pending = 0
            return
        self._pending += 1
        if self._pending <= self._rank() * STANDBY_ROUNDS:
            return
        write = Write(key, serialize_table(table), entry.revision if entry else 0)
        done = await self._store.commit([write])
        logger.info(
            "table written" if done.taken else "table refused",
            version=table.version,
            revision=done.revision,
        )
        if done.taken:
            await self._wait_for(done.revision)

    async def _wait_for(self, revision: int) -> None:
        """Wait until the copy has caught up with this agent's own write."""
        for _ in range(8):
            if self._state.revision >= revision:
                return
            await asyncio.sleep(PLAN_INTERVAL_S / 2)
