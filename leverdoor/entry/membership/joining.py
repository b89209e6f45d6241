# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How an entry that starts finds the others, and gets the state from one of them.

Listing everything from the store and watching it costs each start some five calls,
which are counted and limited. One listing of the entries alone finds peers that have
the state. The store is listed whole only by those with the widest links of a region,
and by entries that find no peer with the state.

Owns from when this entry may follow the store (`settled_at`), for one process. Relies
on `Roles` for the place of this entry, on `PeerFetcher` for fetches and on the store
for the listing; an unavailable store is logged and taken for an empty list.
"""

import asyncio
from collections.abc import Mapping
from random import Random

from leverdoor.entry.events import Events
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.roles import Roles
from leverdoor.errors import LeverdoorError
from leverdoor.storage.fetching import PeerFetcher
from leverdoor.storage.state import State
from leverdoor.storage.store import KeyValue, LeasingStore

__all__ = ["Joining"]

TRIES = 3
"""Groups of peers asked for the state, one after the other.

With `TRY_S`, a start without any live peer waits for 0.75 s at most.
"""
PEERS_AT_ONCE = 2
"""Peers asked at once: one may be dead. More fetch the state for nothing."""
TRY_S = 0.25
"""Longest wait for one group, in seconds.

An answer takes some 10 ms within a region. Shorter, a busy peer is given up; longer, a
start among dead peers takes longer.
"""
STAGGER_S = 0.1
"""Wait of each next group of entries by link before it lists the store, in seconds.

News of a state that the first ones listed arrive within that time. Shorter, all list
the store at a start of all; longer, the last ones start later.
"""
MOST_STAGGER_S = 0.8
"""Longest such wait, in seconds: bounds a start when no entry has a state."""
ALONE_S = 1.0
"""Longest wait of an entry that finds no others, in seconds; the wait is random.

When all start for the first time, the first that lists sends news to the others.
Shorter, more of them list; longer, a lone entry starts later.
"""
SETTLE_S = 1.0
"""Time after a start in which an entry with a peer's state does not follow the store.

In seconds. Five rounds, by then it knows those that do. Shorter, it lists and watches
for nothing; longer, changes wait if no other entry follows.
"""


class Joining:
    """The start of one entry, from no peers known to having the state."""

    def __init__(
        self,
        store: LeasingStore,
        prefix: str,
        membership: Membership,
        roles: Roles,
        state: State,
        puller: PeerFetcher,
        events: Events,
        rng: Random,
    ) -> None:
        """Create it.

        Args:
          store: the platform's service.
          prefix: of the entries' keys.
          membership: the entries known.
          roles: places them by their links.
          state: the copy of the store, empty as yet.
          puller: fetches from peers.
          events: the entry's log.
          rng: where all chance comes from.
        """
        self._store = store
        self._prefix = prefix
        self._membership = membership
        self._roles = roles
        self._state = state
        self._puller = puller
        self._events = events
        self._rng = rng
        self._has_state = asyncio.Event()
        self.settled_at = 0.0
        """Monotonic time from which this entry may be a follower of the store."""
        state.changes.subscribe(lambda _: self._has_state.set())

    async def find(self) -> Mapping[str, KeyValue]:
        """Return the entries' keys in the store; none if it does not answer."""
        try:
            listing = await self._store.read_stale(self._prefix)
        except LeverdoorError as e:
            self._events.process("peers not read", error=str(e))
            return {}
        found = {e.key: e for e in listing.entries}
        now = asyncio.get_running_loop().time()
        self._membership.add_registered({k: e.value for k, e in found.items()}, now)
        return found

    async def fetch(self, followers: int) -> None:
        """Get the state from a peer, or return when this entry is to list the store.

        Those with the widest links list at once: when all entries were killed, the
        others have the state from them a moment later.

        Args:
          followers: how many entries of a region list at once.
        """
        place = self._roles.place_by_link()
        if place is not None and place < followers:
            return
        for _ in range(TRIES):
            peers = self._choose()
            if not peers or self._has_state.is_set():
                break
            if await self._puller.fetch_first_newer(peers, TRY_S):
                break
        if not self._has_state.is_set():
            await self._wait(self._patience_s(followers))
        if self._has_state.is_set():
            loop = asyncio.get_running_loop()
            self.settled_at = loop.time() + SETTLE_S
            self._events.process("joined", revision=self._state.revision)

    def _choose(self) -> list[str]:
        """Choose peers at random: of the own failure domain, if it has enough."""
        near = self._membership.in_own_domain()
        if len(near) < PEERS_AT_ONCE:
            near = self._membership.in_own_region()
        chosen = self._rng.sample(near, min(PEERS_AT_ONCE, len(near)))
        return [member.pull for member in chosen]

    def _patience_s(self, followers: int) -> float:
        """Return how long to wait for a peer's state before listing the store, in s."""
        place = self._roles.place_by_link()
        if place is None:
            return self._rng.random() * ALONE_S
        return min(place // followers * STAGGER_S, MOST_STAGGER_S)

    async def _wait(self, patience_s: float) -> None:
        try:
            async with asyncio.timeout(patience_s):
                await self._has_state.wait()
        except TimeoutError:
            self._events.process("no peer has the state", waited_s=patience_s)
