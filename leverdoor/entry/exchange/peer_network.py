# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Transport of messages, and fetching of states, among entries.

`PeerNetwork` is the interface. `SocketNetwork` implements it with UDP and HTTP and owns
the datagram socket and the HTTP client. Lost messages are not retransmitted.
"""

from abc import abstractmethod
from collections.abc import Callable, Iterable

from leverdoor.entry.exchange.messages import Message
from leverdoor.membership.gossip import GossipSocket
from leverdoor.model.position import Position
from leverdoor.settings import Address
from leverdoor.storage.fetching import DeltaSource, HttpDeltaSource
from leverdoor.storage.state import Delta

__all__ = ["PeerNetwork", "SocketNetwork"]


class PeerNetwork(DeltaSource):
    """Interface of the transport to other entries."""

    @abstractmethod
    async def open(
        self, listen: Address, on_message: Callable[[Message], None]
    ) -> None:
        """Start to receive messages.

        Args:
          listen: the local address.
          on_message: called with each received message.
        """

    @abstractmethod
    def send_all(self, message: Message, addresses: Iterable[str]) -> None:
        """Send a message to several addresses, each without guaranteed delivery."""


class SocketNetwork(PeerNetwork):
    """Sends messages by UDP and fetches states by HTTP."""

    def __init__(self) -> None:
        """Create the network without opening a socket."""
        self._socket: GossipSocket[Message] | None = None
        self._delta_source = HttpDeltaSource()

    async def open(
        self, listen: Address, on_message: Callable[[Message], None]
    ) -> None:
        """Bind the datagram socket to this address."""
        self._socket = GossipSocket(Message, on_message)
        await self._socket.open(listen)

    def send_all(self, message: Message, addresses: Iterable[str]) -> None:
        """Send one datagram to each address; do nothing until the socket is open."""
        if self._socket is not None:
            self._socket.send_all(message, addresses)

    async def fetch(self, address: str, since: Position) -> Delta:
        """Fetch the changes after a position from another entry."""
        return await self._delta_source.fetch(address, since)

    async def close(self) -> None:
        """Close the datagram socket and the HTTP connections."""
        if self._socket is not None:
            self._socket.close()
        await self._delta_source.close()
