# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Fetches changes of the store that this process lacks from its peers.

`DeltaSource` is the transport to a peer, implemented over HTTP by `HttpDeltaSource`;
`PeerFetcher` limits the concurrent fetches of `fetch` and `pull`, but not those of
`fetch_first_newer`. Owns the connections, the fetches in progress and the times of
recent failures; all of it is lost with the process. Relies on `State`, which owns the
replica and ignores a delta that is not newer.
"""

import asyncio
import zlib
from abc import ABC, abstractmethod
from collections.abc import Awaitable

import msgspec
from loguru import logger

from leverdoor.codec import unpack
from leverdoor.http.client import HttpClient
from leverdoor.http.client_connection import MAX_RESPONSE_BYTES, HttpCallError
from leverdoor.model.position import UNKNOWN_ERA, Position
from leverdoor.storage.state import Delta, State

__all__ = [
    "DEFLATE",
    "FETCH_ERRORS",
    "READ_TIMEOUT_S",
    "DeltaSource",
    "FetchRejected",
    "HttpDeltaSource",
    "PeerFetcher",
]

FETCH_TIMEOUT_S = 2.0
"""Timeout of a fetch, in seconds; allows for a large state on a slow link."""
READ_TIMEOUT_S = 0.4
"""Longest time without a byte from a peer, in seconds, before the fetch is retried.

The single retry opens a new connection. A shorter timeout aborts the response of a busy
peer. A longer one delays changes when a connection is dead; no other mechanism detects
a dead connection.
"""
HEDGE_DELAY_S = 0.25
"""Time without a response after which a second peer is queried as well, in seconds.

Two round trips between regions. With a shorter delay, slow responses are fetched twice;
with a longer one, changes arrive later when a peer or its connection is silent.
"""
MAX_CONCURRENT_FETCHES = 2
"""Maximum number of concurrent fetches.

Concurrent fetches transfer the same changes; the limit bounds these duplicates on a
slow link.
"""
FAILED_PEER_BACKOFF_S = 1.0
"""How long a peer is skipped after a fetch from it failed, in seconds.

Skipping it is harmless: other peers and the store have the same state. With a shorter
pause, an unreachable peer is queried instead of another one; with a longer one, a
recovered peer is still skipped.
"""
IDLE_CONNECTION_S = 2.0
"""Idle time after which a connection to a peer is not reused, in seconds.

An idle connection may be dead although no reset arrived; only a timeout detects it.
With a shorter limit, fetches open new connections more often; with a longer one, they
wait for timeouts more often.
"""
FETCH_ERRORS = (
    HttpCallError,
    OSError,
    TimeoutError,
    msgspec.MsgspecError,
    zlib.error,
)
"""Exceptions that a fetch from a peer may raise."""
DEFLATE = "deflate"
"""HTTP name of the content coding that zlib implements."""
STATE_PATH = "/v1/internal/state"
"""Path of a peer's state."""
FIRST_ERROR_STATUS = 400
"""First HTTP status of rejected calls."""


class FetchRejected(HttpCallError):
    """The peer answered with an error, or with too much."""


class DeltaSource(ABC):
    """Transport for fetching the newer state of a peer."""

    @abstractmethod
    async def fetch(self, address: str, since: Position) -> Delta:
        """Fetch the changes after a position from a peer.

        The caller limits the total duration.

        Args:
          address: the peer's API address, as `ip:port`.
          since: the position of the local replica.
        Raises: one of `FETCH_ERRORS`.
        """

    async def close(self) -> None:  # noqa: B027
        """Close the connections, if the source has any."""


class HttpDeltaSource(DeltaSource):
    """Fetches deltas from the HTTP API of peers."""

    def __init__(self) -> None:
        """Create a source without opening a connection."""
        self._client = HttpClient(idle_s=IDLE_CONNECTION_S, silence_s=READ_TIMEOUT_S)

    async def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def fetch(self, address: str, since: Position) -> Delta:
        """Fetch the changes after a position from a peer."""
        query = {"since": str(since.revision)}
        if since.era != UNKNOWN_ERA:
            query["era"] = str(since.era)
        response = await self._client.call(
            "GET", address, STATE_PATH, query, headers={"Accept-Encoding": DEFLATE}
        )
        if response.status >= FIRST_ERROR_STATUS:
            raise FetchRejected(f"HTTP {response.status}")
        data = response.body
        if response.headers.get("content-encoding") == DEFLATE:
            data = _decompress(data)
        return unpack(data, Delta)


def _decompress(data: bytes) -> bytes:
    """Decompress a response, whose length is limited as that of a plain one is.

    Raises:
      FetchRejected: it is longer.
      zlib.error: it is malformed.
    """
    decompressor = zlib.decompressobj()
    found = decompressor.decompress(data, MAX_RESPONSE_BYTES)
    if decompressor.unconsumed_tail:
        raise FetchRejected(f"over {MAX_RESPONSE_BYTES} bytes")
    if not decompressor.eof:
        raise zlib.error("incomplete stream")
    return found


class PeerFetcher:
    """Updates the replica from peers with a newer revision."""

    def __init__(self, state: State, source: DeltaSource | None = None) -> None:
        """Create a fetcher.

        Args:
          state: the replica to update.
          source: transport to the peers; HTTP by default.
        """
        self._state = state
        self._source = source or HttpDeltaSource()
        self._started_at: dict[str, float] = {}
        """Start time of the fetch in progress, by peer address."""
        self._failed_at: dict[str, float] = {}
        """Time of the last failed fetch, by peer address."""

    async def close(self) -> None:
        """Close the connections."""
        await self._source.close()

    def may_fetch(self, api: str, now: float) -> bool:
        """Return whether a fetch from a peer may start now.

        A fetch without a response blocks other fetches only for `HEDGE_DELAY_S`, not
        for its whole timeout.

        Args:
          api: the peer's API address.
          now: loop time in seconds.
        """
        if api in self._started_at or len(self._started_at) >= MAX_CONCURRENT_FETCHES:
            return False
        failed_at = self._failed_at.get(api)
        if failed_at is not None and now - failed_at < FAILED_PEER_BACKOFF_S:
            return False
        return all(
            now - started_at >= HEDGE_DELAY_S
            for started_at in self._started_at.values()
        )

    async def fetch_first_newer(self, apis: list[str], timeout_s: float) -> bool:
        """Fetch from several peers concurrently and apply the first newer state.

        Args:
          apis: the API addresses of the peers.
          timeout_s: timeout of the whole call, in seconds.
        Returns: whether a newer state was applied.
        """
        fetches = [asyncio.create_task(self._fetch_with_retry(api)) for api in apis]
        try:
            async with asyncio.timeout(timeout_s):
                for fetched in asyncio.as_completed(fetches):
                    if await self._apply_fetched(fetched):
                        return True
        except TimeoutError:
            logger.info("no peer answered in time", peers=apis)
        finally:
            for fetch in fetches:
                fetch.cancel()
            await asyncio.gather(*fetches, return_exceptions=True)
        return False

    async def _apply_fetched(self, fetched: Awaitable[Delta]) -> bool:
        try:
            return self._state.apply(await fetched)
        except FETCH_ERRORS as e:
            logger.info("pull failed", error=repr(e))
            return False

    async def pull(self, api: str) -> bool:
        """Fetch from one peer, if `may_fetch` permits it, and apply the result.

        Returns: whether a newer state was applied.
        """
        delta = await self.fetch(api)
        return delta is not None and self._state.apply(delta)

    async def fetch(self, api: str) -> Delta | None:
        """Fetch from one peer, if `may_fetch` permits it; do not apply the result.

        Returns: the changes after the replica's revision; None if the fetch did not
          start or failed.
        """
        now = asyncio.get_running_loop().time()
        if not self.may_fetch(api, now):
            return None
        self._started_at[api] = now
        try:
            return await self._fetch_with_retry(api)
        except FETCH_ERRORS as e:
            logger.info("pull failed", peer=api, error=repr(e))
            self._record_failure(api)
            return None
        finally:
            del self._started_at[api]

    def _record_failure(self, api: str) -> None:
        now = asyncio.get_running_loop().time()
        recent = {
            p: t for p, t in self._failed_at.items() if now - t < FAILED_PEER_BACKOFF_S
        }
        self._failed_at = recent | {api: now}

    async def _fetch_with_retry(self, api: str) -> Delta:
        """Fetch from a peer; retry once if the first connection times out."""
        async with asyncio.timeout(FETCH_TIMEOUT_S):
            try:
                return await self._source.fetch(api, self._state.fetch_position)
            except TimeoutError:
                return await self._source.fetch(api, self._state.fetch_position)
