# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Lets a starting entry discover its peers and fetch the state from one of them.

Listing the whole store and watching it costs about five calls per start, and the store
counts and limits calls. Listing only the registered entries is enough to find peers
that have the state. Only entries that find no peer with the state list the whole store,
those with the widest links of a region first.

Owns the time from which this entry may follow the store (`may_follow_store_from`); it
is lost with the process. Relies on `Roles` for the rank of this entry, on
`PeerFetcher` for fetches and on the store for the listing. If the store is
unavailable, the error is logged and the listing counts as empty.
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

__all__ = ["JoinProcedure"]

MAX_ATTEMPTS = 3
"""Maximum number of attempts to fetch the state from peers.

With `ATTEMPT_TIMEOUT_S`, the attempts take at most 0.75 s if no peer is live.
"""
PEERS_PER_ATTEMPT = 2
"""Number of peers from which the state is requested in parallel; one may be dead.

A higher value transfers redundant copies of the state.
"""
ATTEMPT_TIMEOUT_S = 0.25
"""Timeout of one attempt, in seconds.

A response takes about 10 ms within a region. A shorter timeout gives up on busy peers;
a longer one delays the start if the selected peers are dead.
"""
LIST_STAGGER_S = 0.1
"""Additional delay in seconds of each further group before it lists the store.

Entries are ranked by link bandwidth, and each group has `follower_count` entries. After
the first group listed the store, its announcement of a newer state arrives within this
time. A shorter delay lets all entries list the store when all start at once; a longer
one delays the start of the last groups.
"""
MAX_LIST_STAGGER_S = 0.8
"""Maximum of the staggered delay, in seconds.

It bounds the start time when no entry has a state.
"""
MAX_LONE_DELAY_S = 1.0
"""Maximum random delay of an entry that knows no other in its region, in seconds.

When all entries start for the first time, the first one that lists the store announces
the state to the others. With a shorter delay, more entries list the store; with a
longer one, a lone entry starts later.
"""
FOLLOW_DELAY_S = 1.0
"""Time in seconds for which an entry that joined must not follow the store.

It applies if a peer provided the state. After it, five rounds of heartbeats, the entry
knows the followers. With a shorter time, it lists and watches the store needlessly;
with a longer one, changes are delayed if no other entry follows the store.
"""


class JoinProcedure:
    """Discovers peers and fetches the state when an entry starts."""

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
        """Create the procedure and subscribe to changes of the state.

        Args:
          store: client of the platform's store.
          prefix: key prefix under which entries register.
          membership: records of the known entries.
          roles: ranks entries by the bandwidth of their links.
          state: the local copy of the store, still empty.
          puller: fetches the state from peers.
          events: the event log of this entry.
          rng: source of randomness.
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
        self.may_follow_store_from = 0.0
        """Monotonic time in seconds from which this entry may follow the store."""
        state.changes.subscribe(lambda _: self._has_state.set())

    async def discover_peers(self) -> Mapping[str, KeyValue]:
        """Return the registered entries by key; empty if the store does not answer."""
        try:
            listing = await self._store.read_stale(self._prefix)
        except LeverdoorError as e:
            self._events.process("peers not read", error=str(e))
            return {}
        found = {e.key: e for e in listing.entries}
        now = asyncio.get_running_loop().time()
        self._membership.add_registered({k: e.value for k, e in found.items()}, now)
        return found

    async def fetch_state(self, follower_count: int) -> None:
        """Fetch the state from a peer, if one has it.

        The state is still empty afterwards if this entry has to list the store. Entries
        with the widest links query peers only once before they follow the store, so
        that the others can fetch the state from them when all entries start at the same
        time. A peer may know what a restored store lacks.

        Args:
          follower_count: number of entries per region that follow the store at once.
        """
        rank = self._roles.rank_among_known()
        follows_at_once = rank is not None and rank < follower_count
        await self._query_peers(1 if follows_at_once else MAX_ATTEMPTS)
        if not self._has_state.is_set() and not follows_at_once:
            await self._wait_for_state(self._list_delay_s(follower_count))
        if not self._has_state.is_set():
            return
        if not follows_at_once:
            loop = asyncio.get_running_loop()
            self.may_follow_store_from = loop.time() + FOLLOW_DELAY_S
        self._events.process("joined", revision=self._state.revision)

    async def _query_peers(self, attempts: int) -> None:
        """Fetch the state from peers until one has it or all attempts have failed."""
        for _ in range(attempts):
            peers = self._choose_peers()
            if not peers or self._has_state.is_set():
                return
            if await self._puller.fetch_first_newer(peers, ATTEMPT_TIMEOUT_S):
                return

    def _choose_peers(self) -> list[str]:
        """Choose random peers of this failure domain, or of the region if too few."""
        candidates = self._membership.known_in_own_domain()
        if len(candidates) < PEERS_PER_ATTEMPT:
            candidates = self._membership.known_in_own_region()
        chosen = self._rng.sample(candidates, min(PEERS_PER_ATTEMPT, len(candidates)))
        return [member.pull for member in chosen]

    def _list_delay_s(self, follower_count: int) -> float:
        """Return the wait for a peer's state before listing the store, in seconds."""
        rank = self._roles.rank_among_known()
        if rank is None:
            return self._rng.random() * MAX_LONE_DELAY_S
        return min(rank // follower_count * LIST_STAGGER_S, MAX_LIST_STAGGER_S)

    async def _wait_for_state(self, delay_s: float) -> None:
        try:
            async with asyncio.timeout(delay_s):
                await self._has_state.wait()
        except TimeoutError:
            self._events.process("no peer has the state", waited_s=delay_s)
