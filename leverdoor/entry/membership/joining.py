# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How an entry that starts finds the others, and gets the state from one of them.

Listing everything from the store and watching it costs each start some five priced
calls. One cheap listing of the entries alone names peers that have the state; the
store is listed whole only by entries that find none.
"""

import asyncio
from collections.abc import Mapping
from random import Random

from leverdoor.entry.events import Events
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.roles import Roles
from leverdoor.errors import LeverdoorError
from leverdoor.storage.following import PeerFollower
from leverdoor.storage.state import State
from leverdoor.storage.store import KeyValue, LeasingStore

__all__ = ["Joining"]

TRIES = 3
"""Groups of peers asked for the state, one after the other."""
PEERS_AT_ONCE = 2
"""Peers asked at once; one may be dead."""
TRY_S = 0.25
"""Longest wait for one group, in seconds; an answer takes some 10 ms within a region.

The groups together keep a start without any living peer waiting for 0.75 s at most.
"""
STAGGER_S = 0.1
"""Wait of each next entry by rank before it lists the store, in seconds: news of a
state that the first ones listed arrive within that time."""
MOST_STAGGER_S = 0.8
"""Longest such wait, in seconds; chosen."""
ALONE_S = 1.0
"""Longest wait of an entry that finds no others, in seconds: when all start for the
first time, the first that lists tells the others."""
SETTLE_S = 1.0
"""Time after a start in which an entry that got the state from a peer does not follow
the store itself: by then it has heard who does."""


class Joining:
    """The start of one entry, from knowing nobody to having the state."""

    def __init__(
        self,
        store: LeasingStore,
        prefix: str,
        membership: Membership,
        roles: Roles,
        state: State,
        puller: PeerFollower,
        events: Events,
        rng: Random,
    ) -> None:
        """Create it.

        Args:
          store: the platform's service.
          prefix: under which the entries write themselves.
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
        """Read who is written in the store; nobody if it does not answer."""
        try:
            listing = await self._store.read_stale(self._prefix)
        except LeverdoorError as e:
            self._events.process("peers not read", error=str(e))
            return {}
        found = {e.key: e for e in listing.entries}
        now = asyncio.get_running_loop().time()
        self._membership.add_registered({k: e.value for k, e in found.items()}, now)
        return found

    async def fetch(self, watchers: int) -> None:
        """Get the state from a peer, or wait until it is this entry's turn to list.

        Those with the widest links list at once: when all entries were killed, the
        others have the state from them a moment later.

        Args:
          watchers: how many entries of a region list at once.
        """
        rank = self._roles.place_by_link()
        if rank is not None and rank < watchers:
            return
        for _ in range(TRIES):
            peers = self._choose()
            if not peers or self._has_state.is_set():
                break
            if await self._puller.pull_any(peers, TRY_S):
                break
        if not self._has_state.is_set():
            await self._wait(self._patience_s(watchers))
        if self._has_state.is_set():
            loop = asyncio.get_running_loop()
            self.settled_at = loop.time() + SETTLE_S
            self._events.process("joined", revision=self._state.revision)

    def _choose(self) -> list[str]:
        """Choose peers to ask: of the own domain while there are some, by chance."""
        live, silent = self._membership.in_own_domain(0.0)
        near = [*live, *silent]
        if len(near) < PEERS_AT_ONCE:
            near = self._membership.in_own_region()
        chosen = self._rng.sample(near, min(PEERS_AT_ONCE, len(near)))
        return [member.pull for member in chosen]

    def _patience_s(self, watchers: int) -> float:
        """Return how long to wait for others' news before listing the store."""
        rank = self._roles.place_by_link()
        if rank is None:
            return self._rng.random() * ALONE_S
        return min(rank // watchers * STAGGER_S, MOST_STAGGER_S)

    async def _wait(self, patience_s: float) -> None:
        try:
            async with asyncio.timeout(patience_s):
                await self._has_state.wait()
        except TimeoutError:
            self._events.process("no peer has the state", waited_s=patience_s)
