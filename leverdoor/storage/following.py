# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Keeps a process's State in step with the store.

A few processes of each region are elected to watch the store; all others fetch what
they lack from one that is ahead (`storage.fetching`). Used by agents and entries. Owns
the watch; the copy belongs to `State`.
"""

import asyncio
from collections.abc import Callable
from random import Random

import xxhash
from loguru import logger

from leverdoor.errors import Code, LeverdoorError, StoreUnavailable
from leverdoor.membership.peers import Peers
from leverdoor.storage.state import PREFIX, State
from leverdoor.storage.store import Store

__all__ = ["StoreFollower", "elected"]

WATCHERS = 2
"""Agents of a region that watch the store; one may be gone. More would cost the store
a waiting call each. Entries have a rule of their own (`entry.membership.roles`) and a
setting for the number."""
FIRST_BACKOFF_S = 0.2
"""First pause after a failed call, in seconds; it doubles. Shorter would add calls to a
store that is already overloaded."""
LONGEST_BACKOFF_S = 5.0
"""Longest such pause, in seconds: the time for which a store that is back may go
unnoticed, beside 0.2 calls a second of each follower while it is down."""
ELECTION_POLL_S = 0.5
"""Seconds between two checks of the election: part of the time until a dead follower is
replaced, at no cost to the store."""


def elected(peers: Peers, vm: str, now: float) -> int:
    """Return this agent's place among its region's followers of the store, or -1.

    Every agent orders the live VMs of its region by the same hash, so that a few
    watch the store and pass changes on to the rest. Two agents that see different
    peers may both elect themselves; that costs a waiting call, no more.
    """
    names = {b.vm for b in peers.live_near(now)} | {vm}
    ranked = sorted(names, key=lambda n: xxhash.xxh3_64_intdigest(n.encode()))
    place = ranked.index(vm)
    return place if place < WATCHERS else -1


class StoreFollower:
    """Watches the store while this process is elected to."""

    def __init__(
        self,
        store: Store,
        state: State,
        is_elected: Callable[[], bool],
        rng: Random,
        prefix: str = PREFIX,
        longest_backoff_s: float = LONGEST_BACKOFF_S,
        on_change: Callable[[bool, str], None] | None = None,
        on_answer: Callable[[], None] = lambda: None,
    ) -> None:
        """Create it.

        Args:
          store: the platform's service.
          state: the copy to keep in step.
          is_elected: whether this process should watch now.
          rng: spreads the calls after an outage.
          prefix: what to follow of the store.
          longest_backoff_s: longest pause between calls that fail, in seconds.
          on_change: called with whether the store answers, and why, when that changes.
          on_answer: called at each answer of the store.
        """
        self._on_answer = on_answer
        self._on_change = on_change or _log
        self._prefix = prefix
        self._longest_backoff_s = longest_backoff_s
        self._store = store
        self._state = state
        self._is_elected = is_elected
        self._rng = rng
        self.reachable: bool | None = None
        """Whether the last call was answered; None before the first."""

    async def run(self) -> None:
        """Follow the store until cancelled."""
        backoff = FIRST_BACKOFF_S
        while True:
            if not self._is_elected():
                await asyncio.sleep(ELECTION_POLL_S)
                continue
            try:
                await self._follow()
                backoff = FIRST_BACKOFF_S
            except LeverdoorError as e:
                if self.reachable:
                    backoff = FIRST_BACKOFF_S
                self._set_reachable(False, str(e))
                await asyncio.sleep(backoff * (0.5 + self._rng.random()))
                backoff = min(backoff * 2, self._longest_backoff_s)

    async def _follow(self) -> None:
        """Watch from where the copy stands; list only when that is not possible."""
        if self._state.revision == 0:
            await self._list()
        watch = self._store.watch(self._prefix, self._state.revision)
        try:
            async for events in watch:
                self._state.extend(events)
                self._set_reachable(True, "")
                if not self._is_elected():
                    return
        except LeverdoorError as e:
            if e.code is not Code.COMPACTED:
                raise
            await self._list()
        finally:
            await watch.aclose()  # type: ignore[attr-defined]

    def _set_reachable(self, reachable: bool, why: str) -> None:
        if reachable:
            self._on_answer()
        if reachable != self.reachable:
            self.reachable = reachable
            self._on_change(reachable, why)

    async def _list(self) -> None:
        listing = await self._store.read(self._prefix)
        if not self._state.reset(listing) and listing.revision < self._state.revision:
            logger.error(
                "the store is behind what was accepted",
                store=listing.revision,
                held=self._state.revision,
            )
            raise StoreUnavailable("the store went back")
        self._set_reachable(True, "")


def _log(reachable: bool, why: str) -> None:
    if reachable:
        logger.info("store answers")
    else:
        logger.warning("store lost", error=why)
