# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP endpoints of an entry besides the proxy: readiness, directory, state, metrics.

Owns no state but the cache of encoded deltas. Relies on the local copy of the store's
state and on the entry's metrics.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from leverdoor.entry.encoded_deltas import EncodedDeltas
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.wire import Wire
from leverdoor.headers import bounded_int
from leverdoor.http.messages import Headers, Request, Response
from leverdoor.model.position import Position
from leverdoor.storage.state import State

__all__ = ["STATE_PATH", "AdminServer"]

STATE_PATH = "/v1/internal/state"
"""Path at which other entries fetch the state's changes since a revision."""
METRICS_PATH = "/metrics"
MAX_UNSENT_BYTES = 16 * 1024 * 1024
"""Bytes of responses that wait for their receivers above which a fetch is rejected.

A tenth of the memory of the smallest VM, and more than a link of 50 Mbit/s sends until
the fetches time out. With a greater value, all entries that fetch a large state at once
exhaust the memory. With a smaller one, more of them turn to another peer.
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
        unsent_bytes: Callable[[], int],
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
          unsent_bytes: returns the bytes of responses that wait for their receivers.
        """
        self._wire = wire
        self._state = state
        self._metrics = metrics
        self._is_ready = is_ready
        self._addresses = addresses
        self._lookup_ttl_s = lookup_ttl_s
        self._unsent_bytes = unsent_bytes
        self._deltas = EncodedDeltas(state)

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

        Status 503 if too many responses wait to be sent; the caller turns to another
        peer.
        """
        revision = bounded_int(request.query, "since", 0)
        # An earlier release sends no era, and means the one that it is served in.
        era = bounded_int(request.query, "era", self._state.position.era)
        unsent = self._unsent_bytes()
        if unsent > MAX_UNSENT_BYTES:
            logger.warning("fetch rejected", unsent_bytes=unsent)
            return Response(503)
        delta = self._deltas.get(Position(era, revision))
        return _response(delta.data, "Content-Encoding", delta.coding)

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
