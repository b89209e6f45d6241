# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The memory of this process, as the kernel counts it.

Owns no state.
"""

import os
from pathlib import Path

from loguru import logger

__all__ = ["UNKNOWN_BYTES", "resident_bytes"]

STATM = Path("/proc/self/statm")
"""Sizes of this process in pages; the second is its resident memory (proc(5))."""
UNKNOWN_BYTES = -1
"""The kernel did not tell."""


def resident_bytes() -> int:
    """Return the resident memory in bytes, or `UNKNOWN_BYTES`."""
    try:
        pages = int(STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError) as e:
        logger.info("resident memory unknown", error=repr(e))
        return UNKNOWN_BYTES
    return pages * os.sysconf("SC_PAGE_SIZE")
