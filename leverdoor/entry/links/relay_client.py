# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Opens connections to targets through peers.

Owns no state besides the handshakes in progress. Relies on `relay_selector` for the
peers and on `relay_protocol` for the handshake.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar

from loguru import logger

from leverdoor.entry.links.relay_protocol import (
    HEAD_END,
    MAX_HEAD_BYTES,
    RelayProtocolError,
    RelayRequest,
    RelayStatus,
    parse_relay_reply,
    serialize_relay_request,
)
from leverdoor.entry.links.relay_selector import RelaySelector
from leverdoor.entry.membership.member import Member, relay_address
from leverdoor.model.resources import Target
from leverdoor.settings import parse_address

__all__ = ["NoRelay", "RelayClient", "TargetUnreached"]


class Stream(Protocol):
    """The protocol of a stream to a target."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport of an accepted stream."""

    def close(self) -> None:
        """Close the stream."""


P = TypeVar("P", bound=Stream)

HANDSHAKE_TIMEOUT_S = 1.2
"""Maximum duration of a handshake with one peer, in seconds.

A peer needs up to 0.8 s to find that a target does not answer. With a smaller value
its judgment is lost, with a greater one requests wait for a dead peer.
"""
PEER_CONNECT_TIMEOUT_S = 0.4
"""Timeout of the connection to a peer, in seconds; live ones are asked only."""


HEDGE_DELAY_S = 0.2
"""Time without an answer after which another peer is asked as well, in seconds.

More than a round trip between regions; a peer that has just lost its links needs more.
"""


class NoRelay(Exception):
    """No peer opened a stream, and none could tell whether the target runs."""


class TargetUnreached(Exception):
    """A peer that has links does not reach the target.

    Attributes:
      refused: whether the target's VM refused the connection.
    """

    def __init__(self, peer: str, refused: bool) -> None:
        """Initialize the error with the name of the peer."""
        super().__init__(f"peer {peer} does not reach it")
        self.refused = refused


class RelayClient:
    """Asks peers for streams to targets."""

    def __init__(self, selector: RelaySelector, own_host: str) -> None:
        """Create the client.

        Args:
          selector: selects the peers.
          own_host: this entry's host, by which peers recognize it.
        """
        self.selector = selector
        self._own_host = own_host

    async def open(
        self,
        target: Target,
        priority: int,
        may_pass: Callable[[str], bool],
        create_protocol: Callable[[Member], P],
    ) -> P:
        """Open a stream to a target through the first peer that accepts it.

        Args:
          target: the target.
          priority: priority of the request to be sent.
          may_pass: returns whether the request may pass through a region.
          create_protocol: returns the protocol of a stream through a peer.
        Raises:
          NoRelay: no peer accepted.
          TargetUnreached: a peer with links does not reach the target.
        """
        now = asyncio.get_running_loop().time()
        peers = self.selector.select(target, may_pass, now)
        asked: list[asyncio.Task[P]] = []
        waiting: set[asyncio.Task[P]] = set()
        refusals: list[str] = []
        opened: asyncio.Task[P] | None = None
        try:
            while peers or waiting:
                if peers:
                    ask = self._ask(peers.pop(0), target, priority, create_protocol)
                    asked.append(asyncio.ensure_future(ask))
                    waiting.add(asked[-1])
                done, waiting = await asyncio.wait(
                    waiting,
                    timeout=HEDGE_DELAY_S if peers else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    try:
                        stream = task.result()
                    except _Refused as e:
                        refusals.append(str(e))
                    else:
                        opened = task
                        return stream
        finally:
            for task in asked:
                if task is not opened:
                    task.cancel()
                    task.add_done_callback(_close_unused)
        raise NoRelay("; ".join(refusals) or "no peer with links is known")

    async def _ask(
        self,
        peer: Member,
        target: Target,
        priority: int,
        create_protocol: Callable[[Member], P],
    ) -> P:
        """Ask one peer for a stream, and note if it can't be had there.

        Raises:
          _Refused: the peer refuses or was not reached, without a judgment on the
            target.
          TargetUnreached: the peer does not reach the target.
        """
        loop = asyncio.get_running_loop()
        try:
            return await self._open_through(peer, target, priority, create_protocol)
        except (OSError, TimeoutError, RelayProtocolError) as e:
            self.selector.record_failure(peer.name, loop.time())
            raise _Refused(f"{peer.name}: {e!r}") from None
        except _Refused:
            self.selector.record_refusal(peer.name, loop.time())
            raise

    async def _open_through(
        self,
        peer: Member,
        target: Target,
        priority: int,
        create_protocol: Callable[[Member], P],
    ) -> P:
        """Open a stream through one peer.

        Raises:
          OSError: the peer could not be reached.
          TimeoutError: the peer did not answer in time.
          RelayProtocolError: the reply is malformed.
          _Refused: the peer refuses, without a judgment on the target.
          TargetUnreached: the peer does not reach the target.
        """
        address = relay_address(parse_address(peer.pull))
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            async with asyncio.timeout(PEER_CONNECT_TIMEOUT_S):
                transport, handshake = await loop.create_connection(
                    _Handshake,
                    address.host,
                    address.port,
                    local_addr=(self._own_host, 0),
                )
            try:
                request = RelayRequest(target.address, priority)
                transport.write(serialize_relay_request(request))
                status = await handshake.status
                return self._take_over(peer, status, transport, create_protocol)
            except BaseException:
                transport.abort()
                raise

    def _take_over(
        self,
        peer: Member,
        status: RelayStatus,
        transport: asyncio.Transport,
        create_protocol: Callable[[Member], P],
    ) -> P:
        """Return the protocol of an accepted stream, attached to its transport."""
        if status in (RelayStatus.REFUSED, RelayStatus.SILENT):
            raise TargetUnreached(peer.name, status is RelayStatus.REFUSED)
        if status is not RelayStatus.CONNECTED:
            if status is RelayStatus.FORBIDDEN:
                logger.warning("peer forbids a stream", peer=peer.name)
            raise _Refused(f"{peer.name}: {status.name}")
        protocol = create_protocol(peer)
        assert isinstance(protocol, asyncio.Protocol)
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        return protocol


def _close_unused(task: "asyncio.Task[P]") -> None:
    """Close a stream that was opened although another peer had answered first."""
    if task.cancelled() or task.exception() is not None:
        return
    task.result().close()


class _Refused(Exception):
    """A peer refused a stream without a judgment on the target."""


class _Handshake(asyncio.Protocol):
    """Receives the reply of a peer."""

    def __init__(self) -> None:
        self.status: asyncio.Future[RelayStatus] = asyncio.Future()
        self._received = bytearray()

    def data_received(self, data: bytes) -> None:
        """Parse the reply once it is complete."""
        self._received += data
        if self.status.done():
            return
        if self._received.endswith(HEAD_END):
            self._finish()
        elif len(self._received) > MAX_HEAD_BYTES or HEAD_END in self._received:
            self.status.set_exception(RelayProtocolError("bytes after the reply"))

    def _finish(self) -> None:
        try:
            self.status.set_result(parse_relay_reply(bytes(self._received)))
        except RelayProtocolError as e:
            self.status.set_exception(e)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the handshake."""
        if not self.status.done():
            self.status.set_exception(ConnectionResetError("closed in the handshake"))
            # The waiting task may have been cancelled.
            self.status.exception()
