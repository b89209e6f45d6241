# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Keeps a process's State in step with the store.

A few processes of each region are elected to watch the store; all others fetch what
they lack from one that is ahead (`storage.fetching`). Used by agents and entries. Owns
the watch; the copy belongs to `State`.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from random import Random

import xxhash
from loguru import logger

from leverdoor.errors import Code, LeverdoorError, StoreUnavailable
from leverdoor.membership.peers import Peers
from leverdoor.storage.state import PREFIX, State
from leverdoor.storage.store import Event, Store
from leverdoor.storage.store_availability import StoreAvailability

__all__ = ["ElectedRole", "FollowerRole", "POLL_S", "StoreFollower", "watcher_rank"]

WATCHERS_PER_REGION = 2
"""Agents of a region that watch the store; one may be gone. More would cost the store
a waiting call each. Entries have a rule of their own (`entry.store_role`) and a
setting for the number."""
FIRST_BACKOFF_S = 0.2
"""First pause after a failed call, in seconds; it doubles. Shorter would add calls to a
store that is already overloaded."""
LONGEST_BACKOFF_S = 5.0
"""Longest such pause, in seconds: the time for which a store that is back may go
unnoticed, beside 0.2 calls a second of each follower while it is down."""
POLL_S = 0.1
"""Seconds between two looks at whether to follow or to ask: part of the time until a
change is in force that nobody passed on, at no cost to the store."""
WATCH_OVERDUE_S = 1.4
"""Time after which a watch may be given up, in seconds.

Longer than a call and its second try take. Greater, a kept connection that went silent
is waited for as long; smaller, a store that is down shows by lost watches.
"""


class FollowerRole(ABC):
    """Whether this process follows the store now."""

    @abstractmethod
    def follows(self) -> bool:
        """Return whether it is to watch the store now."""

    def must_ask(self) -> bool:
        """Return whether it is to ask the store now, although it does not follow."""
        return False

    def is_stale(self) -> bool:
        """Return whether what is held may lack changes that are due."""
        return False

    def asked(self) -> None:  # noqa: B027
        """Take note that it asks the store since it must."""

    def answered(self) -> None:  # noqa: B027
        """Take note that the store answered, and that all of it is held."""

    def failed(self) -> None:  # noqa: B027
        """Take note that the store did not answer."""

    def wait_s(self) -> float | None:
        """Return how long a watch may wait, in seconds; None for the client's own."""
        return None


class ElectedRole(FollowerRole):
    """Follows while it is elected to, and the store answers it."""

    def __init__(
        self, is_elected: Callable[[bool], bool], now: Callable[[], float], rng: Random
    ) -> None:
        """Create it.

        Args:
          is_elected: whether this process should watch now, given whether the store
            does not answer it.
          now: returns monotonic time in seconds.
          rng: spreads the tries of a process that is not served.
        """
        self._is_elected = is_elected
        self._now = now
        self._served = StoreAvailability(rng)

    @property
    def unserved(self) -> bool:
        """Return whether the store did not answer this process lately."""
        return self._served.is_unserved(self._now())

    def follows(self) -> bool:
        """Return whether it is to watch the store now, or to try whether it can."""
        tries = self._served.may_try(self._now())
        return self._is_elected(self.unserved and not tries)

    def answered(self) -> None:
        """Take note that the store answered."""
        self._served.answered()

    def failed(self) -> None:
        """Take note that the store did not answer."""
        self._served.failed(self._now())


class _WatchOverdueError(Exception):
    """A watch is silent while what is held is older than it should be."""


def watcher_rank(peers: Peers, vm: str, now: float, unserved: bool = False) -> int:
    """Return this agent's place among its region's followers of the store, or -1.

    Every agent orders the live VMs of its region by the same hash, those aside that the
    store does not answer, so that a few watch the store and pass changes on to the
    rest. Two agents that see different peers may both elect themselves; that costs a
    waiting call, no more. While the store answers none of them, all count.

    Args:
      peers: what this agent knows of the others.
      vm: this agent's.
      now: monotonic time in seconds.
      unserved: whether the store does not answer this agent.
    """
    live = [b for b in peers.live_near(now) if b.vm != vm]
    served = {b.vm for b in live if not b.unserved}
    if unserved and served:
        return -1
    names = {vm} | ({b.vm for b in live} if unserved else served)
    ranked = sorted(names, key=lambda n: xxhash.xxh3_64_intdigest(n.encode()))
    place = ranked.index(vm)
    return place if place < WATCHERS_PER_REGION else -1


class StoreFollower:
    """Watches the store while this process is to."""

    def __init__(
        self,
        store: Store,
        state: State,
        role: FollowerRole,
        rng: Random,
        prefix: str = PREFIX,
        longest_backoff_s: float = LONGEST_BACKOFF_S,
        on_change: Callable[[bool, str], None] | None = None,
    ) -> None:
        """Create it.

        Args:
          store: the platform's service.
          state: the copy to keep in step.
          role: when this process watches, and is told what came of it.
          rng: spreads the calls after an outage.
          prefix: what to follow of the store.
          longest_backoff_s: longest pause between calls that fail, in seconds.
          on_change: called with whether the store answers, and why, when that changes.
        """
        self._on_change = on_change or _log
        self._prefix = prefix
        self._longest_backoff_s = longest_backoff_s
        self._store = store
        self._state = state
        self._role = role
        self._rng = rng
        self.reachable: bool | None = None
        """Whether the last call was answered; None before the first."""

    async def run(self) -> None:
        """Follow the store until cancelled."""
        backoff = FIRST_BACKOFF_S
        while True:
            if not self._is_due():
                await asyncio.sleep(POLL_S)
                continue
            try:
                await self._follow()
                backoff = FIRST_BACKOFF_S
            except _WatchOverdueError:
                # The next watch opens a connection of its own.
                logger.info("watch silent while its answer is due")
            except LeverdoorError as e:
                if self.reachable:
                    backoff = FIRST_BACKOFF_S
                self._role.failed()
                self._set_reachable(False, str(e))
                await asyncio.sleep(backoff * (0.5 + self._rng.random()))
                backoff = min(backoff * 2, self._longest_backoff_s)

    def _is_due(self) -> bool:
        """Return whether to follow the store now, in turn or since it must be asked."""
        if self._role.follows():
            return True
        if not self._role.must_ask():
            return False
        self._role.asked()
        return True

    async def _follow(self) -> None:
        """Watch from where the copy stands; list only when that is not possible."""
        if self._state.revision == 0:
            await self._list()
        watch = self._store.watch(self._prefix, self._state.revision, self._role.wait_s)
        try:
            while True:
                events = await self._next(watch)
                self._state.extend(events)
                self._note_answer()
                if not self._role.follows():
                    return
        except LeverdoorError as e:
            if e.code is not Code.COMPACTED:
                raise
            await self._list()
        finally:
            await watch.aclose()  # type: ignore[attr-defined]

    async def _next(self, watch: AsyncIterator[list[Event]]) -> list[Event]:
        """Return what a watch says next.

        A connection may have gone silent, which the store's wait hides: a watch that
        says nothing while what is held grows too old is given up.

        Raises:
          LeverdoorError: as the watch does.
        """
        answer = asyncio.ensure_future(anext(watch))
        waited_s = 0.0
        try:
            while not answer.done():
                await asyncio.wait([answer], timeout=POLL_S)
                waited_s += POLL_S
                if waited_s > WATCH_OVERDUE_S and self._role.is_stale():
                    break
            if answer.done():
                return answer.result()
        finally:
            answer.cancel()
            await asyncio.gather(answer, return_exceptions=True)
        raise _WatchOverdueError

    def _note_answer(self) -> None:
        self._role.answered()
        self._set_reachable(True, "")

    def _set_reachable(self, reachable: bool, why: str) -> None:
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
        self._note_answer()


def _log(reachable: bool, why: str) -> None:
    if reachable:
        logger.info("store answers")
    else:
        logger.warning("store lost", error=why)
