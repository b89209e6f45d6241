# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Sends and receives messages among entries, and fetches newer states.

Owns the time of the last announcement, lost with the process. Relies on `Exchange` for
messages and recipients, on `PeerNetwork` for transport, on `PeerFetcher` for fetches,
and on the clock of the event loop. Lost datagrams are not retransmitted; the next round
replaces them.
"""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from leverdoor.entry.configuration.catalog_manager import CatalogManager
from leverdoor.entry.events import Events
from leverdoor.entry.exchange.exchange import Exchange
from leverdoor.entry.exchange.exchange_types import (
    EntryStatus,
    OutgoingMessage,
    PeerUpdate,
)
from leverdoor.entry.exchange.messages import (
    Message,
    PermitMessage,
    PermitRequest,
    PermitResponse,
)
from leverdoor.entry.exchange.peer_network import PeerNetwork
from leverdoor.settings import Address
from leverdoor.storage.fetching import PeerFetcher
from leverdoor.storage.state import State

__all__ = ["PeerLink", "PermitMessageHandler", "PeerUpdateHandler"]

ANNOUNCEMENT_DELAY_S = 0.03
"""Delay before an announcement, in seconds; changes within it are announced together.

If greater, each change arrives later by as much at each of three hops.
"""
ANNOUNCE_PACING_S = 0.15
"""Minimum interval between two announcements, in seconds.

A change costs an entry 1.9 ms with 541 targets and 195 entries, and a fetch from
another entry about as much. Entries that follow the store receive the same changes at
different times, and without pacing would cause this work at all entries up to thirty
times per second. If greater, changes arrive later: pacing adds up to 0.45 s over the
three hops to the last entry, of the permitted 2.5 s.
"""

SLOW_FETCH_S = 0.3
"""Minimum duration of fetches to log, in seconds: several inter-region round trips."""

PermitMessageHandler: TypeAlias = Callable[
    [PermitMessage, float], PermitResponse | None
]
"""Called with a permit request or response and the monotonic time in seconds. Returns
the response to a permit request of another entry."""
PeerUpdateHandler: TypeAlias = Callable[[PeerUpdate, float], None]
"""Called with information from other entries and the monotonic time in seconds."""


class PeerLink:
    """Sends and receives messages and fetches states."""

    def __init__(
        self,
        exchange: Exchange,
        network: PeerNetwork,
        state: State,
        catalog_manager: CatalogManager,
        events: Events,
        get_status: Callable[[], EntryStatus],
        on_update: PeerUpdateHandler,
        on_permit_message: PermitMessageHandler,
    ) -> None:
        """Create the link without opening a socket.

        Args:
          exchange: builds messages and evaluates received ones.
          network: the transport to other entries.
          state: the local copy of the store.
          keeper: logs the source of a newer configuration.
          events: the entry's event log.
          get_status: returns the status of this entry.
          on_update: handles information from other entries.
          on_permit_message: handles permit requests and responses.
        """
        self._exchange = exchange
        self._network = network
        self._state = state
        self._catalog_manager = catalog_manager
        self._events = events
        self._get_status = get_status
        self._on_update = on_update
        self._on_permit_message = on_permit_message
        self.peer_follower = PeerFetcher(state, network)
        self._announcement_scheduled = False
        self._announced_at = 0.0

    async def open(self, listen: Address) -> None:
        """Open the transport and receive messages at this address."""
        await self._network.open(listen, self._handle_message)

    async def close(self) -> None:
        """Close the transport."""
        await self._network.close()

    def round(self, now: float) -> None:
        """Send the heartbeats and digests of a round."""
        outgoing, update = self._exchange.round(self._get_status(), now)
        self._send(outgoing)
        self._apply_update(update, now)

    def announce(self) -> None:
        """Send a heartbeat at once, because the state of this entry changed."""
        now = asyncio.get_running_loop().time()
        self._send(self._exchange.heartbeat_messages(self._get_status(), now))

    def announce_leave(self) -> None:
        """Announce to the whole region that this entry leaves."""
        self._send(self._exchange.leave_messages(self._get_status()))

    def schedule_announcement(self) -> None:
        """Schedule the announcement of a newer revision, once for several changes.

        Each entry that applies the revision announces it again. With digests alone, the
        last entries would receive the revision only after three rounds.
        """
        if not self._announcement_scheduled:
            self._announcement_scheduled = True
            loop = asyncio.get_running_loop()
            at = max(
                loop.time() + ANNOUNCEMENT_DELAY_S,
                self._announced_at + ANNOUNCE_PACING_S,
            )
            loop.call_at(at, self._announce_revision)

    def _announce_revision(self) -> None:
        self._announcement_scheduled = False
        now = asyncio.get_running_loop().time()
        self._announced_at = now
        position = self._state.position
        answer = self._catalog_manager.confirmation.newest_answer(position, now)
        self._send(self._exchange.announce_revision(position, answer, now))

    def _send(self, outgoing: list[OutgoingMessage]) -> None:
        for item in outgoing:
            self._network.send_all(item.message, item.destinations)

    def send_permit_request(self, request: PermitRequest, address: str) -> None:
        """Send a permit request to the limiter of a target."""
        self._network.send_all(request, [address])

    def _handle_message(self, message: Message) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(message, PermitMessage):
            self._handle_permit_message(message, now)
            return
        self._apply_update(self._exchange.take(message, self._state.position, now), now)

    def _handle_permit_message(self, message: PermitMessage, now: float) -> None:
        response = self._on_permit_message(message, now)
        requester = message.sender if isinstance(message, PermitRequest) else ""
        if response is not None and requester:
            self._network.send_all(response, [requester])

    def _apply_update(self, update: PeerUpdate, now: float) -> None:
        self._on_update(update, now)
        if update.source:
            asyncio.ensure_future(self._fetch_state(update.source))

    async def _fetch_state(self, address: str) -> None:
        """Fetch newer state from another entry and apply it."""
        loop = asyncio.get_running_loop()
        started_at, since = loop.time(), self._state.position
        if not self.peer_follower.may_fetch(address, started_at):
            return
        delta = await self.peer_follower.fetch(address)
        # `apply` triggers a log line that contains the source.
        self._catalog_manager.source = address
        applied = delta is not None and self._state.apply(delta)
        self._catalog_manager.source = "store"
        took_s = loop.time() - started_at
        if not applied or took_s > SLOW_FETCH_S:
            self._events.fetch(address, applied, since, self._state.position, took_s)
