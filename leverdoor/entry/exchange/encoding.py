# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Binary encoding of member rows, heartbeat ages and 32-bit hashes.

An age takes one byte and a row 13 bytes, so that a digest of hundreds of entries fits
into few packets. Owns no state.
"""

import struct
from collections.abc import Iterable

import xxhash

from leverdoor.entry.membership.member import DigestRow

__all__ = [
    "AGE_STEP_S",
    "MAX_AGE_STEPS",
    "parse_hashes",
    "parse_rows",
    "hash_rows",
    "serialize_ages",
    "serialize_hashes",
    "serialize_rows",
]

AGE_STEP_S = 0.02
"""Resolution of an age in a digest, in seconds: a tenth of a round.

One byte covers 5.1 s, which is longer than each time after which an entry counts as
silent. With a smaller step, ages of entries in other regions exceed the range; a
greater step rounds ages up by more.
"""
MAX_AGE_STEPS = 255
"""Largest encodable age, in steps. It stands for this age or any greater one."""
ROW = struct.Struct("<IQB")
"""Member id, incarnation and state of an entry."""
ID = struct.Struct("<I")
"""A 32-bit hash."""


def serialize_rows(rows: Iterable[DigestRow]) -> bytes:
    """Serialize the ids, incarnations and states of entries."""
    return b"".join(ROW.pack(r.id, r.incarnation, r.state) for r in rows)


def parse_rows(data: bytes) -> list[DigestRow]:
    """Parse the ids, incarnations and states of entries; ignore a truncated row."""
    complete_length = len(data) - len(data) % ROW.size
    return [DigestRow(*fields) for fields in ROW.iter_unpack(data[:complete_length])]


def hash_rows(data: bytes) -> int:
    """Return the hash that identifies serialized rows in a `DomainView`."""
    return xxhash.xxh32_intdigest(data)


def serialize_ages(ages_s: Iterable[float]) -> bytes:
    """Serialize ages in seconds, each rounded up to a whole number of steps."""
    steps = (-int(-max(age, 0.0) // AGE_STEP_S) for age in ages_s)
    return bytes(min(step, MAX_AGE_STEPS) for step in steps)


def serialize_hashes(ids: Iterable[int]) -> bytes:
    """Serialize 32-bit hashes."""
    return b"".join(ID.pack(i) for i in ids)


def parse_hashes(data: bytes) -> list[int]:
    """Parse 32-bit hashes; ignore a truncated one."""
    complete_length = len(data) - len(data) % ID.size
    return [i for (i,) in ID.iter_unpack(data[:complete_length])]
