# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What entries tell each other of targets' limits, as bytes; pure.

A row is 12 bytes. Times are sent as ages, since clocks differ.
"""

import math
import struct
from collections.abc import Iterable

from leverdoor.limits.advertised import AdvertisedLimit

__all__ = ["parse_limits", "serialize_limits"]

ROW = struct.Struct("<IfI")
"""Target, requests a second, and age of a word in ms."""
NO_LIMIT = -1.0
"""Stands for a word that there is no limit."""
MOST_MS = (1 << 32) - 1
"""Greatest age that a row holds."""


def serialize_limits(words: Iterable[AdvertisedLimit], now: float) -> bytes:
    """Serialize words one after the other.

    Args:
      words: what targets said.
      now: monotonic time in seconds.
    """
    return b"".join(
        ROW.pack(
            w.target,
            NO_LIMIT if w.per_s is None else w.per_s,
            min(max(round((now - w.at) * 1000), 0), MOST_MS),
        )
        for w in words
    )


def parse_limits(data: bytes, now: float) -> list[AdvertisedLimit]:
    """Parse words; one cut short, or whose limit is no number, is left out.

    Args:
      data: as serialized by another entry.
      now: monotonic time in seconds, from which ages count.
    """
    whole = len(data) - len(data) % ROW.size
    return [
        AdvertisedLimit(target, None if per_s < 0.0 else per_s, now - age_ms / 1000)
        for target, per_s, age_ms in ROW.iter_unpack(data[:whole])
        if math.isfinite(per_s)
    ]
