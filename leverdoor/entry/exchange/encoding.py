# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Bytes of rows of entries, of their ages and of 32-bit hashes in messages; pure.

A byte an age and 13 bytes a row keep a digest of hundreds of entries in few packets.
"""

import struct
from collections.abc import Iterable

import xxhash

from leverdoor.entry.membership.member import DigestRow

__all__ = [
    "AGE_STEP_S",
    "OLDEST_STEPS",
    "parse_ids",
    "parse_rows",
    "rows_hash",
    "serialize_ages",
    "serialize_ids",
    "serialize_rows",
]

AGE_STEP_S = 0.02
"""Unit of an age in a digest, in seconds: a tenth of a round.

One byte then reaches 5.1 s, beyond each silence that counts. Smaller, far entries would
be off the scale; greater, ages are rounded up by more.
"""
OLDEST_STEPS = 255
"""Greatest age in steps that a byte holds; it means that or older."""
ROW = struct.Struct("<IQB")
"""Identity, incarnation and state of an entry."""
ID = struct.Struct("<I")
"""One hash of 32 bits."""


def serialize_rows(rows: Iterable[DigestRow]) -> bytes:
    """Serialize the incarnations and states of entries."""
    return b"".join(ROW.pack(r.id, r.incarnation, r.state) for r in rows)


def parse_rows(data: bytes) -> list[DigestRow]:
    """Parse the incarnations and states of entries; a row cut short is left out."""
    whole = len(data) - len(data) % ROW.size
    return [DigestRow(*fields) for fields in ROW.iter_unpack(data[:whole])]


def rows_hash(data: bytes) -> int:
    """Return the hash by which ages refer to serialized rows."""
    return xxhash.xxh32_intdigest(data)


def serialize_ages(ages_s: Iterable[float]) -> bytes:
    """Serialize ages in seconds, rounded up to whole steps."""
    steps = (-int(-max(age, 0.0) // AGE_STEP_S) for age in ages_s)
    return bytes(min(step, OLDEST_STEPS) for step in steps)


def serialize_ids(ids: Iterable[int]) -> bytes:
    """Serialize hashes of 32 bits."""
    return b"".join(ID.pack(i) for i in ids)


def parse_ids(data: bytes) -> list[int]:
    """Parse hashes of 32 bits; one cut short is left out."""
    whole = len(data) - len(data) % ID.size
    return [i for (i,) in ID.iter_unpack(data[:whole])]
