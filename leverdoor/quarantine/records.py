# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What is held back as the store keeps it, so that it outlasts all entries.

A record has no lease: one that ran out while the store is away would release the
request. Its age is told by wall clocks, the only ones that outlast a process; a clock
that is off by seconds shifts the end of a hold by as much. Any program may write to the
store, so figures are brought into range here: what is taken must fit a notice. Owns no
state.
"""

from typing import Annotated

import msgspec

from leverdoor.codec import serialize_json
from leverdoor.quarantine.crashes import MEMORY_S
from leverdoor.quarantine.quarantine import HOLD_S, MOST_TRIES, TRY_AFTER_S, Hold

__all__ = [
    "Record",
    "hold_from_record",
    "parse_record",
    "record_from_hold",
    "serialize_record",
]

MOST_MS = (1 << 53) - 1
"""Greatest time of a record, in milliseconds; the greatest whole number of JSON."""


class Record(msgspec.Struct, frozen=True):
    """One request that is held back; operators may read and remove it."""

    held_at_ms: Annotated[int, msgspec.Meta(ge=0, le=MOST_MS)]
    """Milliseconds since the epoch."""
    first_s: float
    """From the first end that counts to when it was held back, in seconds."""
    entry: str
    """Which entry wrote it."""
    tries: int = 0
    """How often it may still be tried, since it may be harmless."""


def parse_record(data: bytes) -> Record:
    """Parse a record.

    Raises:
      msgspec.MsgspecError: it is not one.
    """
    return msgspec.json.decode(data, type=Record)


def serialize_record(record: Record) -> bytes:
    """Serialize a record."""
    return serialize_json(record)


def record_from_hold(hold: Hold, entry: str, now: float, wall_s: float) -> Record:
    """Return the record of a hold.

    Args:
      hold: what is held back.
      entry: this entry's name.
      now: monotonic time in seconds.
      wall_s: seconds since the epoch at that time.
    """
    held_at_ms = round((wall_s - (now - hold.at)) * 1000)
    return Record(held_at_ms, round(hold.at - hold.first, 3), entry, hold.tries)


def hold_from_record(
    record: Record, fingerprint: int, now: float, wall_s: float
) -> Hold:
    """Return the hold of a record; its figures are brought into range.

    Args:
      record: as the store has it.
      fingerprint: the request's.
      now: monotonic time in seconds.
      wall_s: seconds since the epoch at that time.
    """
    age_s = min(max(wall_s - record.held_at_ms / 1000, 0.0), HOLD_S)
    at = now - age_s
    first = at - min(max(record.first_s, 0.0), MEMORY_S)
    tries = min(max(record.tries, 0), MOST_TRIES)
    return Hold(fingerprint, first, at, tries, at + TRY_AFTER_S)
