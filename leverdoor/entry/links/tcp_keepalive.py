# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""TCP keep-alive and user timeout, which detect a failed VM of a target.

The kernel closes the connections of a process that exits. If a VM loses power, only
these timeouts detect it. Owns no state. Relies on the kernel, which fails the
connection with a timeout error.
"""

import contextlib
import socket

__all__ = ["set_keepalive_options"]

USER_TIMEOUT_MS = 2_500
"""Time without a TCP acknowledgement after which a target is unreachable, in ms.

If set, it also decides when keep-alive gives up, at the first probe that is due after
this time; the kernel then ignores the number of probes. It is between the times at
which the last probe and the one after it are due.
"""
KEEPALIVE_IDLE_S = 1
"""Idle time before the first keep-alive probe in seconds; the kernel's minimum."""
KEEPALIVE_INTERVAL_S = 1
"""Interval between keep-alive probes in seconds; the kernel's minimum."""
KEEPALIVE_PROBES = 2
"""Unanswered probes after which a connection is dead.

A single unanswered probe may be a lost packet. Applies where `USER_TIMEOUT_MS` is not
supported.
"""

SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def set_keepalive_options(sock: socket.socket) -> None:
    """Set the socket options, ignoring those that the system does not support."""
    for level, option, value in SOCKET_OPTIONS:
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)
