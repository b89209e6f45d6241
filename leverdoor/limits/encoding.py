# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Binary encoding of the limits that entries send each other; pure, owns no state.

Each advertisement is a row of 12 bytes. Times are sent as ages, since the clocks of
entries differ.
"""

import math
import struct
from collections.abc import Iterable

from leverdoor.limits.advertised import LimitAdvertisement

__all__ = ["parse_limits", "serialize_limits"]

ROW = struct.Struct("<IfI")
"""Target, requests per second, and age of the advertisement in ms."""
NO_LIMIT = -1.0
"""Encodes that the target has no limit; the parser accepts any negative number."""
MAX_AGE_MS = (1 << 32) - 1
"""Greatest age that a row can hold, in ms."""


def serialize_limits(advertisements: Iterable[LimitAdvertisement], now: float) -> bytes:
    """Serialize limits as consecutive rows.

    Args:
      advertisements: the advertised limits.
      now: monotonic time in seconds.
    """
    return b"".join(
        ROW.pack(
            advertisement.target,
            NO_LIMIT if advertisement.per_s is None else advertisement.per_s,
            min(max(round((now - advertisement.at) * 1000), 0), MAX_AGE_MS),
        )
        for advertisement in advertisements
    )


def parse_limits(data: bytes, now: float) -> list[LimitAdvertisement]:
    """Parse rows; a truncated row, or one whose limit is not finite, is left out.

    Args:
      data: rows that another entry serialized.
      now: monotonic time in seconds, to which the ages refer.
    """
    complete_size = len(data) - len(data) % ROW.size
    return [
        LimitAdvertisement(target, None if per_s < 0.0 else per_s, now - age_ms / 1000)
        for target, per_s, age_ms in ROW.iter_unpack(data[:complete_size])
        if math.isfinite(per_s)
    ]
