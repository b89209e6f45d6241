# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Keeps a process's State in step: from the store, or from peers.

A few processes of each region are elected to watch the store (`StoreFollower`); all
others fetch what they lack from one that is ahead (`PeerFollower`). Both are used by
agents and entries. Owns the watch and the HTTP session; the copy belongs to `State`.
"""

import asyncio
import zlib
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from random import Random

import aiohttp
import msgspec
import xxhash
from loguru import logger

from leverdoor.codec import unpack
from leverdoor.errors import Code, LeverdoorError, StoreUnavailable
from leverdoor.membership.peers import Peers
from leverdoor.sessions import new_session
from leverdoor.storage.state import PREFIX, Delta, State
from leverdoor.storage.store import Store

__all__ = [
    "DEFLATE",
    "FETCH_FAULTS",
    "DeltaSource",
    "HttpDeltaSource",
    "PeerFollower",
    "StoreFollower",
    "elected",
]

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
PULL_TIMEOUT_S = 2.0
"""Longest time to fetch what a peer has, in seconds: a peer that needs longer is slow
or dead, and the next one is asked."""
ELECTION_POLL_S = 0.5
"""Seconds between two checks of the election: part of the time until a dead follower is
replaced, at no cost to the store."""
FETCH_FAULTS = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    msgspec.MsgspecError,
    zlib.error,
)
"""What a fetch from a peer may fail with."""
DEFLATE = "deflate"
"""Name in HTTP of the coding of zlib."""


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
                self._set_reachable(True, "")
                self._state.extend(events)
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
        self._set_reachable(True, "")
        if not self._state.reset(listing) and listing.revision < self._state.revision:
            logger.error(
                "the store is behind what was accepted",
                store=listing.revision,
                held=self._state.revision,
            )
            raise StoreUnavailable("the store went back")


def _log(reachable: bool, why: str) -> None:
    if reachable:
        logger.info("store answers")
    else:
        logger.warning("store lost", error=why)


class DeltaSource(ABC):
    """Where a peer's newer state is fetched."""

    @abstractmethod
    async def fetch(self, address: str, since: int) -> Delta:
        """Fetch what a peer has beyond a revision.

        Args:
          address: the peer's API address, as `ip:port`.
          since: the revision held here.
        Raises: one of `FETCH_FAULTS`. It may take for ever.
        """

    async def close(self) -> None:  # noqa: B027
        """Give back connections; there may be none."""


class HttpDeltaSource(DeltaSource):
    """Fetches over HTTP."""

    def __init__(self) -> None:
        """Create it; nothing is opened yet."""
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def fetch(self, address: str, since: int) -> Delta:
        """Fetch what a peer has beyond a revision."""
        if self._session is None:
            self._session = new_session()
        url = f"http://{address}/v1/internal/state?since={since}"
        headers = {"Accept-Encoding": DEFLATE}
        async with self._session.get(url, headers=headers) as answer:
            answer.raise_for_status()
            data = await answer.read()
            if answer.headers.get("Content-Encoding") == DEFLATE:
                data = zlib.decompress(data)
            return unpack(data, Delta)


class PeerFollower:
    """Fetches what a peer has and this process lacks."""

    def __init__(self, state: State, source: DeltaSource | None = None) -> None:
        """Create it.

        Args:
          state: the copy to keep in step.
          source: fetches from peers; over HTTP if left out.
        """
        self._state = state
        self._source = source or HttpDeltaSource()
        self._pulling = False

    async def close(self) -> None:
        """Close the connections."""
        await self._source.close()

    @property
    def busy(self) -> bool:
        """Return whether a fetch is under way."""
        return self._pulling

    async def pull_any(self, apis: list[str], patience_s: float) -> bool:
        """Fetch from several peers at once; the first that has a state is enough.

        Args:
          apis: their API addresses.
          patience_s: longest time for it, in seconds.
        Returns: whether anything newer came.
        """
        fetches = [asyncio.create_task(self._fetch(api)) for api in apis]
        try:
            async with asyncio.timeout(patience_s):
                for fetched in asyncio.as_completed(fetches):
                    if await self._took(fetched):
                        return True
        except TimeoutError:
            logger.info("no peer answered in time", peers=apis)
        finally:
            for fetch in fetches:
                fetch.cancel()
            await asyncio.gather(*fetches, return_exceptions=True)
        return False

    async def _took(self, fetched: Awaitable[Delta]) -> bool:
        try:
            return self._state.apply(await fetched)
        except FETCH_FAULTS as e:
            logger.info("pull failed", error=repr(e))
            return False

    async def pull(self, api: str) -> bool:
        """Fetch from one peer's API address.

        Returns: whether anything newer came.
        """
        if self._pulling:
            return False
        self._pulling = True
        try:
            delta = await self._fetch(api)
        except FETCH_FAULTS as e:
            logger.info("pull failed", peer=api, error=repr(e))
            return False
        finally:
            self._pulling = False
        return self._state.apply(delta)

    async def _fetch(self, api: str) -> Delta:
        async with asyncio.timeout(PULL_TIMEOUT_S):
            return await self._source.fetch(api, self._state.revision)
