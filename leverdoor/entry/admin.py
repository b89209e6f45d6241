# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What an entry answers besides requests: readiness, directory, state, metrics.

Owns the encoded answers to other entries at the state's present revision, a cache.
"""

import asyncio
import zlib
from collections.abc import Callable

from aiohttp import web

from leverdoor.codec import pack
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.wire import Wire
from leverdoor.headers import bounded_int
from leverdoor.storage.fetching import DEFLATE
from leverdoor.storage.state import State

__all__ = ["PULL_PATH", "AdminServer"]

PULL_PATH = "/v1/internal/state"
"""Where other entries fetch what changed since a revision."""
METRICS_PATH = "/metrics"
COMPRESSION_THRESHOLD_BYTES = 1_400
"""Bytes beyond which a delta does not fit one packet and is compressed.

Smaller, processor time is spent on answers that are one packet anyway; greater, more
bytes cross narrow links.
"""
ZLIB_LEVEL = 1
"""Level of zlib for states.

Greater levels hold up the loop, on which requests wait, for somewhat fewer bytes.
"""


class AdminServer:
    """The handler of all that is not a client's request."""

    def __init__(
        self,
        wire: Wire,
        state: State,
        metrics: EntryMetrics,
        is_ready: Callable[[], bool],
        addresses: Callable[[str, str, float], list[str]],
        ttl_s: float,
    ) -> None:
        """Create it.

        Args:
          wire: the paths and formats of the surroundings.
          state: the copy of the store that other entries may fetch.
          metrics: the entry's metrics.
          is_ready: whether the entry serves.
          addresses: entries to name, by a client's region and domain and the time.
          ttl_s: how long an answer of the directory may be kept, in seconds.
        """
        self._wire = wire
        self._state = state
        self._metrics = metrics
        self._is_ready = is_ready
        self._addresses = addresses
        self._ttl_s = ttl_s
        self._encoded: dict[int, tuple[bytes, str]] = {}
        """Data and its coding, by the revision that the asking entry has."""
        self._encoded_revision = 0
        """The state's revision at which they were encoded."""

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer by the path."""
        path = request.path
        if path == self._wire.resolve_path:
            return self._resolve(request)
        if path == self._wire.ready_path:
            return web.Response(status=200 if self._is_ready() else 503)
        if path == PULL_PATH:
            return self._delta(request)
        if path == METRICS_PATH:
            return web.Response(body=self._metrics.text(), content_type="text/plain")
        return web.Response(status=404)

    def _delta(self, request: web.BaseRequest) -> web.StreamResponse:
        """Send another entry what it lacks, compressed if it is long.

        When something has just changed, many entries fetch the same.
        """
        since = bounded_int(request.query, "since", 0)
        revision = self._state.revision
        if self._encoded_revision != revision:
            self._encoded_revision = revision
            self._encoded.clear()
        encoded = self._encoded.get(since)
        if encoded is None:
            encoded = self._encoded[since] = _compress(pack(self._state.delta(since)))
        data, coding = encoded
        return web.Response(body=data, headers={"Content-Encoding": coding})

    def _resolve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Name the entries that a client may use; 503 if there are none."""
        self._metrics.lookups.inc()
        lookup = self._wire.parse_resolve(request.query)
        now = asyncio.get_running_loop().time()
        addresses = self._addresses(lookup.region, lookup.domain, now)
        if not addresses:
            return web.Response(status=503)
        return web.Response(
            body=self._wire.serialize_resolve(addresses, self._ttl_s),
            content_type="application/json",
        )


def _compress(data: bytes) -> tuple[bytes, str]:
    """Return the bytes to send, and the name of their coding."""
    if len(data) <= COMPRESSION_THRESHOLD_BYTES:
        return data, "identity"
    return zlib.compress(data, ZLIB_LEVEL), DEFLATE
