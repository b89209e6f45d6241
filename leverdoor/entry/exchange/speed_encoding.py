# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Binary encoding of the slowness of targets, in 6 bytes a target.

Times are sent as ages, since the clocks of entries differ. Owns no state.
"""

import struct
from collections.abc import Iterable

from leverdoor.entry.exchange.encoding import AGE_STEP_S, serialize_ages
from leverdoor.entry.placement.speed_estimate import AS_USUAL, TargetSpeed

__all__ = ["MAX_SPEEDS", "SLOWNESS_STEP", "parse_speeds", "serialize_speeds"]

MAX_SPEEDS = 64
"""Maximum targets in a message: 384 bytes, a quarter of a packet.

Enough for a region in which one of six of 400 targets is slow. With more, the newest
are sent.
"""
SLOWNESS_STEP = 1 / 32
"""Resolution of the slowness; a byte covers values from 1 to 8.97.

A smaller step would not cover `placement.speed_estimate.MAX_SLOWNESS`. A greater one is
noticed in the times expected.
"""
MAX_STEPS = 255
"""Greatest slowness in a row, in steps above AS_USUAL: the greatest byte."""
ROW = struct.Struct("<IBB")
"""Target, slowness above AS_USUAL in steps, and age as in `encoding.serialize_ages`."""


def serialize_speeds(speeds: Iterable[TargetSpeed]) -> bytes:
    """Serialize the newest MAX_SPEEDS rows; ages are rounded up."""
    newest = sorted(speeds, key=lambda speed: speed.age_s)[:MAX_SPEEDS]
    ages = serialize_ages(speed.age_s for speed in newest)
    return b"".join(
        ROW.pack(speed.target, _steps(speed.slowness), age)
        for speed, age in zip(newest, ages, strict=True)
    )


def _steps(slowness: float) -> int:
    """Return a slowness in steps above AS_USUAL."""
    return min(max(round((slowness - AS_USUAL) / SLOWNESS_STEP), 0), MAX_STEPS)


def parse_speeds(data: bytes) -> list[TargetSpeed]:
    """Parse at most MAX_SPEEDS rows; ignore a truncated one."""
    complete_size = min(len(data) - len(data) % ROW.size, MAX_SPEEDS * ROW.size)
    return [
        TargetSpeed(target, AS_USUAL + steps * SLOWNESS_STEP, age * AGE_STEP_S)
        for target, steps, age in ROW.iter_unpack(data[:complete_size])
    ]
