# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What replies of targets hold while they are received, all connections together.

A reply is received completely before it is relayed, up to 64 MiB. When all replies hold
more than their share of the memory, the connections that began last are not read until
earlier ones are complete, so that their targets wait and nothing fails. The oldest
reply is always received.

Owns which replies are received and what they hold; lost with the process.
"""

from typing import Protocol

from leverdoor.entry.requests.replies import MAX_BODY_BYTES
from leverdoor.http.connection_budget import (
    BYTES_PER_MB,
    DEFAULT_MEMORY_MB,
    connection_bytes,
)

__all__ = ["ReplyMemory", "ReplyReceiver"]

REPLY_SHARE = 0.15
"""Share of the VM's memory that replies may hold while they are received.

Clients that do not read theirs hold another quarter. With a smaller share, large
replies wait for each other sooner.
"""

LARGEST_REPLY_SHARE = 0.9
"""Length of the longest reply, as a share of what connections of clients may hold.

A longer one would be cut off while its client takes it, as it holds too much.
"""


class ReplyReceiver(Protocol):
    """A connection that receives a reply."""

    def pause_reading(self) -> None:
        """Receive nothing until `resume_reading` is called."""

    def resume_reading(self) -> None:
        """Receive again."""


class ReplyMemory:
    """The replies that are received now, the oldest first."""

    def __init__(self, memory_mb: int = 0) -> None:
        """Create it without any reply.

        Args:
          memory_mb: memory of the VM in MiB; 0 if unknown.
        """
        self.max_bytes = int(
            (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB * REPLY_SHARE
        )
        unread_bytes = connection_bytes(memory_mb) * LARGEST_REPLY_SHARE
        self.max_reply_bytes = min(MAX_BODY_BYTES, int(unread_bytes))
        """Maximum length of a reply body."""
        self.held_bytes = 0
        """Bytes of all replies that are not complete."""
        self._replies: dict[ReplyReceiver, int] = {}
        self._paused: dict[ReplyReceiver, None] = {}

    def add(self, receiver: ReplyReceiver, size: int) -> None:
        """Count bytes that were received; pause the connection if they are too many."""
        self._replies[receiver] = self._replies.get(receiver, 0) + size
        self.held_bytes += size
        if self.held_bytes <= self.max_bytes or receiver in self._paused:
            return
        if next(iter(self._replies)) is not receiver:
            self._paused[receiver] = None
            receiver.pause_reading()

    def release(self, receiver: ReplyReceiver) -> None:
        """Forget the reply of a connection, and let others be received."""
        self.held_bytes -= self._replies.pop(receiver, 0)
        if self._paused.pop(receiver, receiver) is None:
            receiver.resume_reading()
        if self.held_bytes <= self.max_bytes:
            resumed = list(self._paused)
        else:
            resumed = [r for r in list(self._replies)[:1] if r in self._paused]
        for other in resumed:
            del self._paused[other]
            other.resume_reading()
