# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What the connections to all targets share while they receive replies.

Owns the memory of replies and the scheduler that bounds the work of parsing them; lost
with the process.
"""

from leverdoor.entry.requests.reply_memory import ReplyMemory
from leverdoor.http.parse_scheduler import ParseScheduler

__all__ = ["ReplyResources"]


class ReplyResources:
    """Memory and processor time for the replies of targets."""

    def __init__(self, memory_mb: int = 0) -> None:
        """Create them without any reply.

        Args:
          memory_mb: memory of the VM in MiB; 0 if unknown.
        """
        self.memory = ReplyMemory(memory_mb)
        self.scheduler = ParseScheduler()
