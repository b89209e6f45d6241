# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Messages to and from the other entries, and fetches of newer states.

Owns when news of a newer state were sent last; lost with the process. Relies on
`Exchange` for what to send, on a `PeerNetwork` for the way to other entries, on
`PeerFetcher` for fetches, and on the loop's clock. A datagram that is lost is not sent
again: the next round's replaces it.
"""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from leverdoor.entry.configuration.catalog_keeper import CatalogKeeper
from leverdoor.entry.events import Events
from leverdoor.entry.exchange.exchange import Exchange
from leverdoor.entry.exchange.exchange_types import EntryStatus, PeerUpdate, Sending
from leverdoor.entry.exchange.messages import (
    Message,
    RoomAnswer,
    RoomMessage,
    RoomRequest,
)
from leverdoor.entry.exchange.peer_network import PeerNetwork
from leverdoor.settings import Address
from leverdoor.storage.fetching import PeerFetcher
from leverdoor.storage.state import State

__all__ = ["PeerLink", "TakeRoomMessage", "TakeUpdate"]

NEWS_S = 0.03
"""Pause before news are sent, in seconds.

Changes in a row are then sent once. Greater, each change is later everywhere by as
much, at each of three steps.
"""
BUSY_NEWS_S = 0.15
"""Least time between two news, in seconds.

A change takes an entry 1.9 ms with 541 targets and 195 entries, and a fetch from a peer
about as much. Followers that get the same changes at different moments would have all
entries do that up to thirty times a second. Greater, changes are later: over the three
steps to the last entry it adds 0.45 s at most, of a bound of 2.5 s.
"""

SLOW_FETCH_S = 0.3
"""Time of a fetch from which on it is logged, in seconds: several round trips between
regions."""

TakeRoomMessage: TypeAlias = Callable[[RoomMessage, float], RoomAnswer | None]
"""Called with a question for room or an answer, and the monotonic time in seconds;
returns the answer to a question that another entry asked."""
TakeUpdate: TypeAlias = Callable[[PeerUpdate, float], None]
"""Called with what was learned, and the monotonic time in seconds."""


class PeerLink:
    """The connection of this entry to the others."""

    def __init__(
        self,
        exchange: Exchange,
        network: PeerNetwork,
        state: State,
        keeper: CatalogKeeper,
        events: Events,
        status: Callable[[], EntryStatus],
        take: TakeUpdate,
        take_room: TakeRoomMessage,
    ) -> None:
        """Create it; nothing is opened yet.

        Args:
          exchange: decides what to send to whom, and what is learned.
          network: the way to the other entries.
          state: the copy of the store in force here.
          keeper: gets the source of a newer state.
          events: the entry's log.
          status: returns the status of this entry.
          take: passes what was learned on to the other parts.
          take_room: takes questions for room at targets, and answers to own ones.
        """
        self._exchange = exchange
        self._network = network
        self._state = state
        self._keeper = keeper
        self._events = events
        self._status = status
        self._take = take
        self._take_room = take_room
        self.puller = PeerFetcher(state, network)
        self._news_due = False
        self._news_at = 0.0

    async def open(self, listen: Address) -> None:
        """Bind the address that datagrams reach."""
        await self._network.open(listen, self._take_message)

    async def close(self) -> None:
        """Close the ways to other entries."""
        await self._network.close()

    def round(self, now: float) -> None:
        """Send the heartbeats and digests of a round."""
        sendings, update = self._exchange.round(self._status(), now)
        self._send(sendings)
        self._take_update(update, now)

    def announce(self) -> None:
        """Send a heartbeat at once, since this entry's state changed."""
        now = asyncio.get_running_loop().time()
        self._send(self._exchange.announce(self._status(), now))

    def announce_leave(self) -> None:
        """Send a heartbeat to the whole region: this entry leaves."""
        self._send(self._exchange.announce_leave(self._status()))

    def spread_news(self) -> None:
        """Announce a newer state soon, once for several changes.

        Aggregators pass it on at once; with digests alone the last entries would
        have it after three rounds.
        """
        if not self._news_due:
            self._news_due = True
            loop = asyncio.get_running_loop()
            at = max(loop.time() + NEWS_S, self._news_at + BUSY_NEWS_S)
            loop.call_at(at, self._send_news)

    def _send_news(self) -> None:
        self._news_due = False
        now = asyncio.get_running_loop().time()
        self._news_at = now
        revision = self._state.revision
        answer = self._keeper.confirmation.tell(revision, now)
        self._send(self._exchange.news(revision, answer, now))

    def _send(self, sendings: list[Sending]) -> None:
        for sending in sendings:
            self._network.send_all(sending.message, sending.to)

    def ask_room(self, request: RoomRequest, address: str) -> None:
        """Send a question for room at a target to the entry that limits it."""
        self._network.send_all(request, [address])

    def _take_message(self, message: Message) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(message, RoomMessage):
            self._answer_room(message, now)
            return
        self._take_update(self._exchange.take(message, self._state.revision, now), now)

    def _answer_room(self, message: RoomMessage, now: float) -> None:
        answer = self._take_room(message, now)
        asked_by = message.sender if isinstance(message, RoomRequest) else ""
        if answer is not None and asked_by:
            self._network.send_all(answer, [asked_by])

    def _take_update(self, update: PeerUpdate, now: float) -> None:
        self._take(update, now)
        if update.source:
            asyncio.ensure_future(self._pull(update.source))

    async def _pull(self, address: str) -> None:
        """Fetch what another entry has and this one lacks."""
        loop = asyncio.get_running_loop()
        began, since = loop.time(), self._state.revision
        if not self.puller.may_fetch(address, began):
            return
        delta = await self.puller.fetch(address)
        self._keeper.source = address
        newer = delta is not None and self._state.apply(delta)
        self._keeper.source = "store"
        took_s = loop.time() - began
        if not newer or took_s > SLOW_FETCH_S:
            self._events.fetch(address, newer, since, self._state.revision, took_s)
