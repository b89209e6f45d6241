# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Fetches of what a peer has of the store and this process lacks.

`DeltaSource` is the way to a peer, over HTTP in `HttpDeltaSource`; `PeerFetcher`
decides which fetches run beside each other. Owns the connections, which fetches are
under way, and from whom they failed lately; all of it is lost with the process. The
copy belongs to `State`, which takes nothing that is older than what it has.
"""

import asyncio
import zlib
from abc import ABC, abstractmethod
from collections.abc import Awaitable

import aiohttp
import msgspec
from loguru import logger

from leverdoor.codec import unpack
from leverdoor.sessions import new_session
from leverdoor.storage.state import Delta, State

__all__ = [
    "DEFLATE",
    "FETCH_ERRORS",
    "READ_TIMEOUT_S",
    "DeltaSource",
    "HttpDeltaSource",
    "PeerFetcher",
]

PULL_TIMEOUT_S = 2.0
"""Longest time to fetch what a peer has, in seconds, for a large state over a narrow
link."""
READ_TIMEOUT_S = 0.4
"""Longest time without a byte from a peer, in seconds; then it is asked once more.

The second time over a connection of its own. Shorter, a busy peer's answer is given up;
longer, a change is later where a connection went silent, of which nothing else tells.
"""
HEDGE_DELAY_S = 0.25
"""Time after which another peer is asked beside one that has not answered, in seconds.

Two round trips between regions. Shorter, slow answers are fetched twice; longer, a
change is later where a peer or the connection to it is silent.
"""
MAX_CONCURRENT_FETCHES = 2
"""Fetches under way at once: bounds the bytes that a slow link carries twice."""
FAILED_PEER_BACKOFF_S = 1.0
"""How long a peer is not asked again after a fetch from it failed, in seconds.

Others, or the store, have the state as well. Shorter, a peer that can't be reached is
asked in place of them; longer, one that recovered is left alone.
"""
IDLE_S = 2.0
"""How long an idle connection to a peer is used again, in seconds.

It may have gone silent without a reset, which only a time-out shows. Shorter, fetches
wait for new connections more often; longer, for time-outs.
"""
SILENCE = aiohttp.ClientTimeout(sock_connect=READ_TIMEOUT_S, sock_read=READ_TIMEOUT_S)
"""`READ_TIMEOUT_S` as the HTTP client takes it."""
FETCH_ERRORS = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    msgspec.MsgspecError,
    zlib.error,
)
"""What a fetch from a peer may fail with."""
DEFLATE = "deflate"
"""Name in HTTP of the coding of zlib."""


class DeltaSource(ABC):
    """Where a peer's newer state is fetched."""

    @abstractmethod
    async def fetch(self, address: str, since: int) -> Delta:
        """Fetch what a peer has beyond a revision.

        Args:
          address: the peer's API address, as `ip:port`.
          since: the revision held here.
        Raises: one of `FETCH_ERRORS`. It may take for ever.
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
            self._session = new_session(idle_s=IDLE_S)
        url = f"http://{address}/v1/internal/state?since={since}"
        headers = {"Accept-Encoding": DEFLATE}
        async with self._session.get(url, headers=headers, timeout=SILENCE) as answer:
            answer.raise_for_status()
            data = await answer.read()
            if answer.headers.get("Content-Encoding") == DEFLATE:
                data = zlib.decompress(data)
            return unpack(data, Delta)


class PeerFetcher:
    """Keeps the copy in step with peers that are ahead."""

    def __init__(self, state: State, source: DeltaSource | None = None) -> None:
        """Create it.

        Args:
          state: the copy to keep in step.
          source: fetches from peers; over HTTP if left out.
        """
        self._state = state
        self._source = source or HttpDeltaSource()
        self._under_way: dict[str, float] = {}
        """By peer, when the fetch from it began."""
        self._failed: dict[str, float] = {}
        """By peer, when a fetch from it failed last."""

    async def close(self) -> None:
        """Close the connections."""
        await self._source.close()

    def may_pull(self, api: str, now: float) -> bool:
        """Return whether a fetch from a peer may begin now.

        One that gets no answer must not hold off all others for its whole time.

        Args:
          api: the peer's API address.
          now: loop time in seconds.
        """
        if api in self._under_way or len(self._under_way) >= MAX_CONCURRENT_FETCHES:
            return False
        failed_at = self._failed.get(api)
        if failed_at is not None and now - failed_at < FAILED_PEER_BACKOFF_S:
            return False
        return all(now - began >= HEDGE_DELAY_S for began in self._under_way.values())

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
        except FETCH_ERRORS as e:
            logger.info("pull failed", error=repr(e))
            return False

    async def pull(self, api: str) -> bool:
        """Fetch from one peer's API address, if that may begin now.

        Returns: whether anything newer came.
        """
        delta = await self.fetch(api)
        return delta is not None and self._state.apply(delta)

    async def fetch(self, api: str) -> Delta | None:
        """Fetch from one peer, if that may begin now, and leave the copy as it is.

        Returns: what the peer has beyond it; None if nothing came.
        """
        now = asyncio.get_running_loop().time()
        if not self.may_pull(api, now):
            return None
        self._under_way[api] = now
        try:
            return await self._fetch(api)
        except FETCH_ERRORS as e:
            logger.info("pull failed", peer=api, error=repr(e))
            self._note_failure(api)
            return None
        finally:
            del self._under_way[api]

    def _note_failure(self, api: str) -> None:
        now = asyncio.get_running_loop().time()
        recent = {
            p: t for p, t in self._failed.items() if now - t < FAILED_PEER_BACKOFF_S
        }
        self._failed = recent | {api: now}

    async def _fetch(self, api: str) -> Delta:
        """Fetch from a peer, a second time if the first connection was silent."""
        async with asyncio.timeout(PULL_TIMEOUT_S):
            try:
                return await self._source.fetch(api, self._state.revision)
            except TimeoutError:
                return await self._source.fetch(api, self._state.revision)
