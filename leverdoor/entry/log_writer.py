# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Writes log lines without ever waiting for their reader, and bounds their number.

Owns the lines that the reader has not taken yet, and the budget of a kind of line; both
are lost with the process.
"""

import os
from collections import deque

__all__ = ["BURST_LINES", "MAX_PENDING_BYTES", "LineRateLimiter", "LineWriter"]

LINES_PER_S = 60.0
"""Lines of a kind in a second on average.

Logs of an entry stay below 100 kB/s. Greater, logging takes processor time from
requests; smaller, fewer requests can be explained afterwards.
"""
BURST_LINES = 200.0
"""Lines of a kind at once, so that the start of a fault is logged whole."""
MAX_PENDING_BYTES = 256 * 1024
"""Bytes kept for a reader that does not read; then lines are dropped.

A few seconds of log, for a reader that pauses. Greater, a reader that is gone costs
memory; smaller, a short pause costs lines.
"""


class LineWriter:
    """Writes lines to a descriptor that nobody may be reading."""

    def __init__(self, descriptor: int) -> None:
        """Create it; the descriptor is made non-blocking.

        Args:
          descriptor: an open file descriptor, owned by the caller.
        """
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped = 0
        """Lines that were dropped since nobody read."""
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, or keep it for later, or drop it."""
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now; the rest is tried at the next line."""
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
    """Lines that one kind of event may still write."""

    def __init__(self, now: float) -> None:
        self.tokens = BURST_LINES
        self.refilled_at = now
        self.suppressed = 0
        """Lines left out since the last that was written."""

    def try_take(self, now: float) -> bool:
        """Take a line if one is saved; return whether it was."""
        self.tokens = min(
            BURST_LINES, self.tokens + (now - self.refilled_at) * LINES_PER_S
        )
        self.refilled_at = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return False
        self.tokens -= 1.0
        return True
