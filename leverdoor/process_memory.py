# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The memory of a process, as the kernel counts it.

Owns no state.
"""

import ctypes
import os
from pathlib import Path

from loguru import logger

__all__ = [
    "UNKNOWN_BYTES",
    "free_large_blocks_at_once",
    "resident_bytes",
    "return_free_memory",
]

PROC = Path("/proc")
"""Where the kernel tells of processes (proc(5)), each in a folder of its number."""
M_MMAP_THRESHOLD = -3
"""Parameter of mallopt(3): size from which a block is mapped on its own."""
LARGE_BLOCK_BYTES = 128 * 1024
"""Size from which a freed block goes back to the system at once.

The C library begins with this size and raises it, up to 32 MiB, whenever a larger block
is freed. The memory of large bodies would then stay with the process.
"""
UNKNOWN_BYTES = -1
"""The kernel did not tell."""


def resident_bytes(process: str = "self") -> int:
    """Return the resident memory of a process in bytes, or `UNKNOWN_BYTES`.

    Args:
      process: its number; "self" for this one.
    """
    try:
        # Sizes in pages; the second one is the resident memory.
        pages = int((PROC / process / "statm").read_text().split()[1])
    except (OSError, ValueError, IndexError) as e:
        logger.info("resident memory unknown", error=repr(e))
        return UNKNOWN_BYTES
    return pages * os.sysconf("SC_PAGE_SIZE")


def free_large_blocks_at_once() -> None:
    """Let freed blocks of `LARGE_BLOCK_BYTES` or more go back to the system at once."""
    try:
        accepted = ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    except (OSError, AttributeError) as e:
        logger.info("the C library has no mallopt", error=repr(e))
        return
    if not accepted:
        logger.info("the C library did not accept the size of large blocks")


def return_free_memory() -> None:
    """Return to the system what the C library keeps of freed blocks."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError) as e:
        logger.info("the C library has no malloc_trim", error=repr(e))
