# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Records of quarantined requests in the store, where they survive all entries.

A record has no lease: a lease that expired while the store is unavailable would release
the request. Its age is measured by wall clocks, since monotonic clocks end with a
process; a clock that is off by seconds shifts the end of a hold by as much. Any program
may write to the store, so this module clamps the values to the ranges of a notice. Owns
no state.
"""

from typing import Annotated

import msgspec

from leverdoor.codec import decode_json, serialize_json
from leverdoor.quarantine.crashes import CRASH_RETENTION_S
from leverdoor.quarantine.quarantine import HOLD_S, MAX_TRIALS, TRIAL_DELAY_S, Hold

__all__ = [
    "QuarantineRecord",
    "hold_from_record",
    "parse_record",
    "record_from_hold",
    "serialize_record",
]

MAX_TIME_MS = (1 << 53) - 1
"""Greatest time of a record, in ms: the greatest integer that is exact in JSON."""


class QuarantineRecord(msgspec.Struct, frozen=True):
    """The stored record of a hold; operators may read and delete it."""

    held_at_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
    """When the request was quarantined, in milliseconds since the epoch."""
    first_s: float
    """Time from the first crash that counts to the quarantine, in seconds."""
    entry: str
    """Name of the entry that wrote the record."""
    tries: int = 0
    """The number of trials left for a request that may be harmless."""


def parse_record(data: bytes) -> QuarantineRecord:
    """Parse a record.

    Raises:
      msgspec.MsgspecError: the data is not a valid record.
    """
    return decode_json(data, QuarantineRecord)


def serialize_record(record: QuarantineRecord) -> bytes:
    """Serialize a record."""
    return serialize_json(record)


def record_from_hold(
    hold: Hold, entry: str, now: float, wall_s: float
) -> QuarantineRecord:
    """Return the record of a hold.

    Args:
      hold: the hold on a request.
      entry: this entry's name.
      now: monotonic time in seconds.
      wall_s: seconds since the epoch at that time.
    """
    held_at_ms = round((wall_s - (now - hold.quarantined_at)) * 1000)
    return QuarantineRecord(
        held_at_ms,
        round(hold.quarantined_at - hold.first_crash_at, 3),
        entry,
        hold.tries,
    )


def hold_from_record(
    record: QuarantineRecord, fingerprint: int, now: float, wall_s: float
) -> Hold:
    """Return the hold of a record, with its values clamped to their ranges.

    The age is clamped to at least 0 and at most `HOLD_S`.

    Args:
      record: the record in the store.
      fingerprint: fingerprint of the request.
      now: monotonic time in seconds.
      wall_s: seconds since the epoch at that time.
    """
    age_s = min(max(wall_s - record.held_at_ms / 1000, 0.0), HOLD_S)
    quarantined_at = now - age_s
    first_crash_at = quarantined_at - min(max(record.first_s, 0.0), CRASH_RETENTION_S)
    tries = min(max(record.tries, 0), MAX_TRIALS)
    return Hold(
        fingerprint,
        first_crash_at,
        quarantined_at,
        tries,
        quarantined_at + TRIAL_DELAY_S,
    )
