# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Opens the listening sockets of servers.

Owns no state; the caller owns the listeners.
"""

import asyncio
import socket
from collections.abc import Callable

from loguru import logger

from leverdoor.settings import Address

__all__ = [
    "RECEIVE_BUFFER_BYTES",
    "WAITING_BUFFER_BYTES",
    "bound_receive_buffer",
    "listen",
    "widen_receive_buffer",
]

WAITING_BUFFER_BYTES = 8 * 1024
"""Receive buffer of a connection until a long body is announced, in bytes.

It holds the head of an ordinary request. No budget counts what it holds before that:
a full backlog has 32 MiB. A greater value takes more of a small VM beside a crowd. With
a smaller one, heads take more round trips.
"""
RECEIVE_BUFFER_BYTES = 64 * 1024
"""Receive buffer of a connection that sends a long body, in bytes.

It holds what a link of 80 Mbit/s carries while a packet travels to a client 3 ms away
and back. Bytes in it count as memory of the VM: with the kernel's default, a connection
that is not read may hold 32 MiB. A smaller value slows uploads.
"""
BACKLOG = 4_096
"""Listen backlog: maximum number of connections that wait to be accepted.

They are accepted within a second, also while each takes the place of another. With a
smaller value, the kernel drops connections of ordinary clients beside a crowd, and they
try again after a second or three. With a greater value, connections wait beyond the
deadlines of their requests.
"""
TURN_ACCEPTS = 16
"""Connections of a listener that are accepted in a turn of the event loop.

A greater value lets a crowd of new connections fill a turn; each costs a tenth of a
millisecond. A smaller one costs more turns for a burst.
"""


async def listen(
    server: Callable[[], asyncio.BaseProtocol], address: Address
) -> asyncio.Server:
    """Listen on an address.

    Args:
      server: creates the protocol of each connection.
      address: where to listen.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _set_receive_buffer(sock, WAITING_BUFFER_BYTES)
        sock.setblocking(False)
        sock.bind((address.host, address.port))
        loop = asyncio.get_running_loop()
        # asyncio accepts as many connections in a turn as its backlog.
        listener = await loop.create_server(server, sock=sock, backlog=TURN_ACCEPTS)
        sock.listen(BACKLOG)
        return listener
    except BaseException:
        sock.close()
        raise


def widen_receive_buffer(transport: asyncio.BaseTransport) -> None:
    """Let a connection receive a long body at the rate of its link."""
    sock = transport.get_extra_info("socket")
    _set_receive_buffer(sock, RECEIVE_BUFFER_BYTES)
    try:
        # The window stays within the buffer of the listener otherwise (tcp(7)).
        option = socket.TCP_WINDOW_CLAMP
        sock.setsockopt(socket.IPPROTO_TCP, option, RECEIVE_BUFFER_BYTES)
    except OSError as e:
        logger.debug("the window of a connection stays small", error=repr(e))


def bound_receive_buffer(transport: asyncio.BaseTransport, size: int) -> None:
    """Bound what the kernel holds for a connection that is not read."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        _set_receive_buffer(sock, size)


def _set_receive_buffer(sock: socket.socket, size: int) -> None:
    """Set the size that the kernel gives; it doubles what it is told (socket(7))."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size // 2)
