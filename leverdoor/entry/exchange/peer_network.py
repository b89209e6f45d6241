# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How messages and fetches reach other entries: over UDP and HTTP, or in memory.

`PeerNetwork` is the interface; `SocketNetwork` owns the datagram socket and the client
that fetches. Nothing is sent again here.
"""

from abc import abstractmethod
from collections.abc import Callable, Iterable

from leverdoor.entry.exchange.messages import Message
from leverdoor.membership.gossip import GossipSocket
from leverdoor.settings import Address
from leverdoor.storage.fetching import DeltaSource, HttpDeltaSource
from leverdoor.storage.state import Delta

__all__ = ["PeerNetwork", "SocketNetwork"]


class PeerNetwork(DeltaSource):
    """The way to the other entries."""

    @abstractmethod
    async def open(
        self, listen: Address, on_message: Callable[[Message], None]
    ) -> None:
        """Receive messages from now on.

        Args:
          listen: the address that they reach.
          take: called with each.
        """

    @abstractmethod
    def send_all(self, message: Message, addresses: Iterable[str]) -> None:
        """Send one message to several addresses; any of them may be lost."""


class SocketNetwork(PeerNetwork):
    """Datagrams for messages, HTTP for fetches."""

    def __init__(self) -> None:
        """Create it; nothing is opened yet."""
        self._socket: GossipSocket[Message] | None = None
        self._deltas = HttpDeltaSource()

    async def open(
        self, listen: Address, on_message: Callable[[Message], None]
    ) -> None:
        """Bind the address that datagrams reach."""
        self._socket = GossipSocket(Message, on_message)
        await self._socket.open(listen)

    def send_all(self, message: Message, addresses: Iterable[str]) -> None:
        """Send one datagram to each address; none before the socket is open."""
        if self._socket is not None:
            self._socket.send_all(message, addresses)

    async def fetch(self, address: str, since: int) -> Delta:
        """Fetch what an entry has beyond a revision."""
        return await self._deltas.fetch(address, since)

    async def close(self) -> None:
        """Close the socket and the connections."""
        if self._socket is not None:
            self._socket.close()
        await self._deltas.close()
