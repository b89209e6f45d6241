# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Sends and receives heartbeats over UDP.

Owns the socket and its byte counters, which are lost with the process. Relies on no
delivery guarantees: datagrams may be lost or duplicated. Datagrams that cannot be
decoded are logged and dropped.
"""

import asyncio
import zlib
from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

import msgspec
from loguru import logger

from leverdoor.codec import pack, unpack
from leverdoor.errors import SettingsError
from leverdoor.settings import Address, parse_address

__all__ = ["GossipSocket"]

MAX_MESSAGE_BYTES = 60_000
"""Maximum size of a decompressed message, in bytes; a UDP datagram carries 65,507.

Longer messages are truncated and then dropped as undecodable.
"""

M = TypeVar("M")


class GossipSocket(asyncio.DatagramProtocol, Generic[M]):
    """UDP socket for messages in compressed MessagePack."""

    def __init__(self, message_type: Any, on_message: Callable[[M], None]) -> None:
        """Create the socket; `open` binds it.

        Args:
          message_type: type of the messages, or a union of tagged types.
          on_message: called with each received message.
        """
        self._message_type = message_type
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self.sent_bytes = 0
        self.received_bytes = 0

    async def open(self, listen: Address) -> None:
        """Bind the socket to an address."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, listen.port)
        )

    def send(self, message: M, to: str) -> None:
        """Send a message to one peer without waiting for its delivery."""
        self.send_all(message, [to])

    def send_all(self, message: M, to: Iterable[str]) -> None:
        """Send one message to several peers; do nothing if the socket is not open."""
        if self._transport is None or self._transport.is_closing():
            return
        data = zlib.compress(pack(message), 1)
        for recipient in to:
            address = parse_address(recipient)
            self.sent_bytes += len(data)
            self._transport.sendto(data, (address.host, address.port))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and deliver its message; drop it if decoding fails."""
        self.received_bytes += len(data)
        try:
            raw = zlib.decompressobj().decompress(data, MAX_MESSAGE_BYTES)
            self._on_message(unpack(raw, self._message_type))
        except (zlib.error, msgspec.MsgspecError, SettingsError) as e:
            logger.warning("bad gossip", sender=addr[0], error=str(e))

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable peers, which are detected by their missing heartbeats."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
