# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Non-blocking writer of log lines, and the rate limiter of one kind of line.

Owns the lines not yet written and the tokens of the rate limiter. Both are lost with
the process. Relies on a descriptor that supports non-blocking writes.
"""

import os
from collections import deque

__all__ = ["BURST_LINES", "MAX_PENDING_BYTES", "LineRateLimiter", "LineWriter"]

LINES_PER_S = 60.0
"""Average rate of lines of one kind, per second.

It keeps an entry's log below 100 kB/s. With a greater value, logging takes processor
time from requests. With a smaller value, fewer requests can be analysed from the log.
"""
BURST_LINES = 200.0
"""Burst of lines of one kind, so that the beginning of a fault is logged completely."""
MAX_PENDING_BYTES = 256 * 1024
"""Maximum bytes buffered for a slow reader; further lines are dropped.

The buffer holds a few seconds of log. With a greater value, a reader that never returns
costs memory. With a smaller value, a short pause of the reader loses lines.
"""


class LineWriter:
    """Writes lines to a descriptor without waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        """Create the writer and make the descriptor non-blocking.

        Args:
          descriptor: an open file descriptor, owned by the caller.
        """
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped = 0
        """Number of lines dropped because the buffer was full."""
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block or fails.

        The next call writes the rest.
        """
        while self._pending:
            line = self._pending[0]
            try:
                count = os.write(self._descriptor, line)
            except OSError:
                return
            self._pending_bytes -= count
            if count < len(line):
                self._pending[0] = line[count:]
                return
            self._pending.popleft()


class LineRateLimiter:
    """Token bucket that limits the log lines of one kind of event."""

    def __init__(self, now: float) -> None:
        self.tokens = BURST_LINES
        self.refilled_at = now
        self.left_out = 0
        """Number of lines suppressed since the last written line."""

    def try_take(self, now: float) -> bool:
        """Take a token for one line; return False if none is available."""
        self.tokens = min(
            BURST_LINES, self.tokens + (now - self.refilled_at) * LINES_PER_S
        )
        self.refilled_at = now
        if self.tokens < 1.0:
            self.left_out += 1
            return False
        self.tokens -= 1.0
        return True
