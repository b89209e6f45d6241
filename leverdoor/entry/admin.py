# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP endpoints of an entry besides the proxy: readiness, directory, state, metrics.

Owns a cache of the deltas encoded at the current position; it is lost with the process.
Relies on the local copy of the store's state and on the entry's metrics.
"""

import asyncio
import zlib
from collections.abc import Callable

from leverdoor.codec import pack
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.wire import Wire
from leverdoor.headers import bounded_int
from leverdoor.http.messages import Headers, Request, Response
from leverdoor.model.position import START, Position
from leverdoor.storage.fetching import DEFLATE
from leverdoor.storage.state import State

__all__ = ["STATE_PATH", "AdminServer"]

STATE_PATH = "/v1/internal/state"
"""Path at which other entries fetch the state's changes since a revision."""
METRICS_PATH = "/metrics"
COMPRESSION_THRESHOLD_BYTES = 1_400
"""Size in bytes above which a delta exceeds one packet and is compressed.

A smaller value spends processor time on deltas that fit one packet anyway. A greater
value sends more bytes over narrow links.
"""
ZLIB_LEVEL = 1
"""zlib compression level for deltas.

Greater levels block the event loop, and so requests, for longer and save few bytes.
"""


class AdminServer:
    """Handles readiness checks, entry look-ups, state fetches and metrics scrapes."""

    def __init__(
        self,
        wire: Wire,
        state: State,
        metrics: EntryMetrics,
        is_ready: Callable[[], bool],
        addresses: Callable[[str, str, float], list[str]],
        lookup_ttl_s: float,
    ) -> None:
        """Create the server.

        Args:
          wire: the platform's paths and formats.
          state: the copy of the store that other entries may fetch.
          metrics: the entry's metrics.
          is_ready: returns whether the entry serves requests.
          addresses: returns entry addresses for a client's region and failure domain
            at a loop time in seconds.
          lookup_ttl_s: how long clients may cache a look-up, in seconds.
        """
        self._wire = wire
        self._state = state
        self._metrics = metrics
        self._is_ready = is_ready
        self._addresses = addresses
        self._lookup_ttl_s = lookup_ttl_s
        self._encoded: dict[Position, tuple[bytes, str]] = {}
        """Encoded delta and its content coding, by the requesting entry's position."""
        self._encoded_position = START
        """Position up to which the cached deltas lead."""

    async def handle(self, request: Request) -> Response:
        """Dispatch a request by its path; unknown paths get status 404."""
        path = request.path
        if path == self._wire.resolve_path:
            return self._handle_lookup(request)
        if path == self._wire.ready_path:
            return Response(200 if self._is_ready() else 503)
        if path == STATE_PATH:
            return self._handle_state_fetch(request)
        if path == METRICS_PATH:
            self._metrics.set_memory(self._state.held_bytes())
            return _response(self._metrics.text(), "Content-Type", "text/plain")
        return Response(404)

    def _handle_state_fetch(self, request: Request) -> Response:
        """Return the changes since the requested revision, compressed if they are long.

        The encoded delta is cached because many entries fetch it after a change.
        """
        revision = bounded_int(request.query, "since", 0)
        position = self._state.position
        if self._encoded_position != position:
            self._encoded_position = position
            self._encoded.clear()
        # An earlier release sends no era, and means the one that it is served in.
        since = Position(bounded_int(request.query, "era", position.era), revision)
        encoded = self._encoded.get(since)
        if encoded is None:
            encoded = self._encoded[since] = _compress(pack(self._state.delta(since)))
        data, coding = encoded
        return _response(data, "Content-Encoding", coding)

    def _handle_lookup(self, request: Request) -> Response:
        """Return the entries that a client may use; status 503 if there are none."""
        self._metrics.lookups.inc()
        lookup = self._wire.parse_resolve(request.query)
        now = asyncio.get_running_loop().time()
        addresses = self._addresses(lookup.region, lookup.domain, now)
        if not addresses:
            return Response(503)
        body = self._wire.serialize_resolve(addresses, self._lookup_ttl_s)
        return _response(body, "Content-Type", "application/json")


def _response(body: bytes, name: str, value: str) -> Response:
    """Return a response with a body and one header."""
    return Response(200, headers=Headers([(name, value)]), body=body)


def _compress(data: bytes) -> tuple[bytes, str]:
    """Return the data as it is sent, and its content coding."""
    if len(data) <= COMPRESSION_THRESHOLD_BYTES:
        return data, "identity"
    return zlib.compress(data, ZLIB_LEVEL), DEFLATE
