# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Updates a process's State from the store.

A few processes of each region are elected to watch the store; all others fetch missing
changes from a peer with a newer revision (`storage.fetching`). Agents and entries use
this module. It owns the watch, which is lost with the process; `State` owns the
replica.
"""

import asyncio
import uuid
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from random import Random
from typing import TYPE_CHECKING

import xxhash
from loguru import logger

from leverdoor.errors import Code, LeverdoorError, StoreUnavailable
from leverdoor.model.position import START, UNKNOWN_ERA, Position
from leverdoor.storage.history import (
    HISTORY,
    listing_in_own_era,
    newer_tables,
    next_marker_write,
    shows_other_history,
)
from leverdoor.storage.state import PREFIX, State
from leverdoor.storage.store import Event, Listing, Store, Write
from leverdoor.storage.store_availability import StoreAvailability

if TYPE_CHECKING:
    from leverdoor.membership.peers import Peers

__all__ = ["ElectedRole", "FollowerRole", "POLL_S", "StoreFollower", "watcher_rank"]

WATCHERS_PER_REGION = 2
"""Number of agents of a region that watch the store; the second covers a failure.

Each further watcher costs the store an open request. Entries have their own rule
(`entry.store_role`), with a setting for the number.
"""
INITIAL_BACKOFF_S = 0.2
"""First pause after a failed request, in seconds; it doubles with each failure.

With a shorter pause, an overloaded store receives more requests.
"""
MAX_BACKOFF_S = 5.0
"""Longest pause between failed requests, in seconds.

A follower may detect the recovery of the store that much later. During an outage it
sends 0.2 requests per second.
"""
POLL_S = 0.1
"""Interval at which the role and the age of the replica are checked, in seconds.

A change that no peer forwards takes effect up to this much later. The check costs the
store nothing.
"""
WATCH_OVERDUE_S = 1.4
"""Silence after which a watch may be abandoned, in seconds.

Exceeds the duration of a request and its retry. With a greater value, a dead keep-alive
connection is abandoned later. With a smaller one, watches are abandoned during an
outage before they fail, and the outage is not recorded.
"""


class FollowerRole(ABC):
    """Decides whether this process watches the store."""

    @abstractmethod
    def follows(self) -> bool:
        """Return whether this process should watch the store now."""

    def must_ask(self) -> bool:
        """Return whether to watch until one response although `follows` is false."""
        return False

    def is_stale(self) -> bool:
        """Return whether the replica is too old; by default, any age is permitted."""
        return False

    def asked(self) -> None:  # noqa: B027
        """Record that this process queries the store because `must_ask` requires it."""

    def answered(self) -> None:  # noqa: B027
        """Record that the store responded and its changes were applied."""

    def failed(self) -> None:  # noqa: B027
        """Record that a request to the store failed."""

    def wait_s(self) -> float | None:
        """Return the longest wait of a watch in seconds; None for the default."""
        return None


class ElectedRole(FollowerRole):
    """Follows the store while this process is elected and served by the store."""

    def __init__(
        self, is_elected: Callable[[bool], bool], now: Callable[[], float], rng: Random
    ) -> None:
        """Create a role.

        Args:
          is_elected: returns whether this process should watch now; the argument is
            true if the store does not respond and no retry is due.
          now: returns monotonic time in seconds.
          rng: spreads the retries of a process to which the store does not respond.
        """
        self._is_elected = is_elected
        self._now = now
        self._availability = StoreAvailability(rng)

    @property
    def unserved(self) -> bool:
        """Return whether a request failed recently and none has succeeded since."""
        return self._availability.is_unserved(self._now())

    def follows(self) -> bool:
        """Return whether to watch the store now, or to retry after a failure."""
        may_retry = self._availability.may_try(self._now())
        return self._is_elected(self.unserved and not may_retry)

    def answered(self) -> None:
        """Record that the store responded."""
        self._availability.answered()

    def failed(self) -> None:
        """Record that a request to the store failed."""
        self._availability.failed(self._now())


class _WatchOverdueError(Exception):
    """A watch is silent although the replica is stale."""


class _HistoryInDoubtError(Exception):
    """A peer had other entries at the same revision."""


def watcher_rank(peers: "Peers", vm: str, now: float, unserved: bool = False) -> int:
    """Return this agent's rank among its region's watchers of the store, or -1.

    Every agent ranks the live VMs of its region to which the store responds by the same
    hash of their names. The first `WATCHERS_PER_REGION` of them watch the store and
    forward changes to the others. An unserved agent gets -1 if another agent is served.
    If no agent is served, all live VMs are ranked. Agents that see different peers may
    elect themselves at the same time; this costs only an open request.

    Args:
      peers: the known peers and their heartbeats.
      vm: the VM of this agent.
      now: monotonic time in seconds.
      unserved: whether the store does not respond to this agent.
    """
    live = [b for b in peers.live_heartbeats_in_region(now) if b.vm != vm]
    served_vms = {b.vm for b in live if not b.unserved}
    if unserved and served_vms:
        return -1
    candidates = {vm} | ({b.vm for b in live} if unserved else served_vms)
    ranked = sorted(candidates, key=lambda n: xxhash.xxh3_64_intdigest(n.encode()))
    rank = ranked.index(vm)
    return rank if rank < WATCHERS_PER_REGION else -1


class StoreFollower:
    """Watches the store while the role of this process requires it."""

    def __init__(
        self,
        store: Store,
        state: State,
        role: FollowerRole,
        rng: Random,
        prefix: str = PREFIX,
        longest_backoff_s: float = MAX_BACKOFF_S,
        on_change: Callable[[bool, str], None] | None = None,
        accepted: Callable[[], Position] | None = None,
        marks_histories: bool = True,
    ) -> None:
        """Create a follower.

        Args:
          store: the platform's key-value service.
          state: the replica to update.
          role: decides when this process watches and records the outcome of requests.
          rng: spreads the requests after an outage.
          prefix: prefix of the keys to follow.
          longest_backoff_s: longest pause between failed requests, in seconds.
          on_change: called when the reachability of the store changes, with the new
            state and the error.
          accepted: returns the newest position that a peer has told.
          marks_histories: whether to tell the histories of a store that names no era
            apart by a marker (`storage.history`), as on plain sites.
        """
        self._accepted = accepted or (lambda: START)
        self._marks_histories = marks_histories
        self._on_change = on_change or _log_reachability
        self._prefix = prefix
        self._longest_backoff_s = longest_backoff_s
        self._store = store
        self._state = state
        self._role = role
        self._rng = rng
        self.reachable: bool | None = None
        """Whether the last request succeeded; None before the first one."""

    async def run(self) -> None:
        """Follow the store until the task is cancelled."""
        backoff = INITIAL_BACKOFF_S
        while True:
            if not self._should_follow():
                await asyncio.sleep(POLL_S)
                continue
            try:
                await self._follow()
                backoff = INITIAL_BACKOFF_S
            except _WatchOverdueError:
                # The next watch opens a new connection.
                logger.info("watch silent while its answer is due")
            except _HistoryInDoubtError:
                logger.warning(
                    "a peer has other entries at the same revision",
                    held=self._state.position,
                )
            except LeverdoorError as e:
                # The first failure after a success starts with the shortest pause.
                if self.reachable:
                    backoff = INITIAL_BACKOFF_S
                self._role.failed()
                self._set_reachable(False, str(e))
                await asyncio.sleep(backoff * (0.5 + self._rng.random()))
                backoff = min(backoff * 2, self._longest_backoff_s)

    def _should_follow(self) -> bool:
        """Return whether to follow the store now, by role or because of `must_ask`."""
        if self._role.follows():
            return True
        if not self._role.must_ask():
            return False
        self._role.asked()
        return True

    async def _follow(self) -> None:
        """Watch until the role ends, or the replica is in another era.

        Reads all entries before the watch if the replica is empty, or if only their
        comparison shows whether the history is the same. Reads them and returns if the
        store has compacted the replica's revision, or is in a later era.
        """
        if self._state.position == START or self._must_compare():
            await self._read_all()
        era = self._state.position.era
        watch = self._store.watch(self._prefix, self._state.position, self._role.wait_s)
        try:
            while True:
                events = await self._next_events(watch)
                if self._state.position.era != era:
                    return  # A peer had the state of a later era.
                if any(e.key == HISTORY for e in events):
                    return  # Another follower began an era.
                if self._must_compare() and self._state.contradicts(events):
                    logger.error(
                        "the store has other changes than a peer told",
                        held=self._state.position,
                    )
                    return  # The next listing shows another history.
                self._state.extend(events)
                self._record_response()
                if not self._role.follows():
                    return
        except LeverdoorError as e:
            if e.code is not Code.COMPACTED:
                raise
            await self._read_all()
        finally:
            await watch.aclose()  # type: ignore[attr-defined]

    async def _next_events(self, watch: AsyncIterator[list[Event]]) -> list[Event]:
        """Return the next events of a watch.

        A dead connection cannot be distinguished from an idle one, as the store may
        have no changes. A watch that stays silent until the replica is stale is
        therefore abandoned.

        Raises:
          LeverdoorError: raised by the watch.
          _WatchOverdueError: the watch is silent and the replica is stale.
          _HistoryInDoubtError: only a listing of the store shows which entries are its.
        """
        divergences = self._state.divergences
        next_events = asyncio.ensure_future(anext(watch))
        waited_s = 0.0
        try:
            while not next_events.done():
                await asyncio.wait([next_events], timeout=POLL_S)
                waited_s += POLL_S
                if self._must_compare() and self._state.divergences != divergences:
                    raise _HistoryInDoubtError
                if waited_s > WATCH_OVERDUE_S and self._role.is_stale():
                    break
            if next_events.done():
                return next_events.result()
        finally:
            next_events.cancel()
            await asyncio.gather(next_events, return_exceptions=True)
        raise _WatchOverdueError

    def _record_response(self) -> None:
        self._role.answered()
        self._set_reachable(True, "")

    def _set_reachable(self, reachable: bool, error: str) -> None:
        if reachable != self.reachable:
            self.reachable = reachable
            self._on_change(reachable, error)

    def _must_compare(self) -> bool:
        """Return whether the store names no era, so that a marker must."""
        return self._marks_histories and self._store.era == UNKNOWN_ERA

    async def _read_all(self) -> None:
        if self._must_compare():
            listing = await self._read_own_era()
        else:
            listing = await self._store.read(self._prefix)
        if not self._state.reset(listing) and listing.position < self._state.position:
            # An answer of an earlier era, or of a lagging copy.
            logger.error(
                "the store is behind what was accepted",
                store=listing.position,
                held=self._state.position,
            )
            raise StoreUnavailable("the position of the store decreased")
        self._record_response()

    async def _read_own_era(self) -> Listing:
        """Read all entries, and begin an era if they show another history.

        Of several followers that begin one at the same time, one succeeds. The others
        read its era then, as does one whose answer was lost at its next attempt.
        """
        # What was known before the store answered can't be newer than the answer.
        accepted = max(self._accepted(), self._state.position)
        listing = listing_in_own_era(await self._store.read(self._prefix))
        if accepted <= listing.position < self._state.position:
            # A peer had a newer state while the store answered.
            return await self._read_own_era()
        writes = self._writes_for_era(listing, accepted)
        if not writes:
            return listing
        logger.error(
            "the store has another history",
            store=listing.position,
            held=self._state.position,
            accepted=accepted,
            written=[w.key for w in writes],
        )
        await self._store.commit(writes)
        return await self._read_own_era()

    def _writes_for_era(self, listing: Listing, accepted: Position) -> list[Write]:
        """Return what begins an era, or what the era that another one began lacks."""
        state = self._state
        if shows_other_history(state, listing, accepted):
            marker = next_marker_write(state, listing, accepted, uuid.uuid4().hex)
            return [marker, *newer_tables(state, listing)]
        if listing.era > state.position.era:
            return newer_tables(state, listing)
        return []


def _log_reachability(reachable: bool, error: str) -> None:
    if reachable:
        logger.info("store answers")
    else:
        logger.warning("store lost", error=error)
