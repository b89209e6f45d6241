# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The memory of a process, as the kernel counts it.

Owns no state.
"""

import os
from pathlib import Path

from loguru import logger

__all__ = ["UNKNOWN_BYTES", "resident_bytes"]

PROC = Path("/proc")
"""Where the kernel tells of processes (proc(5)), each in a folder of its number."""
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
