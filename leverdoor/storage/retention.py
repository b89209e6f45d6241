# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides what stays in force when the store comes back from a copy.

The copy lacks the latest changes, which operators and targets write again, and which
leverdoor writes again where they are its own. Until then the replica keeps what it knew
beyond the copy. Nothing orders a lost change and a copied record but their content:

| kind | stays in force | until |
|---|---|---|
| configuration | the higher version | a version as high is written |
| registration | the higher sequence number | one as high is written |
| leaving registration | always | it is written as leaving, or goes |
| removed registration | if the copy is no later | a later one is written, or it goes |
| switch, own record | always, set or removed | it is written or removed |
| temporary record | never | |

A target without a registration in the copy is no matter of this module: it may have
ended meanwhile, and `ExpiredRegistrations` bounds how long it is used.

Owns no state and does no I/O. Relies on the platform to describe records.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import TypeAlias

import msgspec

from leverdoor.model.position import Position
from leverdoor.storage.store import KeyValue

__all__ = [
    "UNREADABLE",
    "DescribeRecord",
    "RecordFacts",
    "RecordKind",
    "Retained",
    "describe_as_temporary",
    "outlasts",
]


UNREADABLE = -1
"""Number of a value that cannot be read: lower than every other."""


class RecordKind(StrEnum):
    """Kind of a record in the store, by who writes it and what orders its values."""

    CONFIGURATION = "configuration"
    """Written by operators and never removed; `RecordFacts.number` is the version."""
    REGISTRATION = "registration"
    """Written by a target; `RecordFacts.number` is the sequence number."""
    SWITCH = "switch"
    """Set and removed by operators; its values have no order."""
    OWN = "own"
    """Written by leverdoor, without a lease."""
    TEMPORARY = "temporary"
    """Written under a lease by a process that writes it again; or of unknown kind."""


class RecordFacts(msgspec.Struct, frozen=True):
    """What a record says about its order."""

    kind: RecordKind
    number: int = 0
    """Version or sequence number, or `UNREADABLE`."""
    leaving: bool = False
    """The registration says that its target leaves, which is final."""


DescribeRecord: TypeAlias = Callable[[str, bytes], RecordFacts]
"""Describes a record by its key and value; the value may be of any content."""


def describe_as_temporary(key: str, value: bytes) -> RecordFacts:
    """Describe every record as one that never stays in force."""
    return RecordFacts(RecordKind.TEMPORARY)


class Retained(msgspec.Struct, frozen=True, array_like=True):
    """A record of an earlier era, or its removal, that stays in force."""

    key: str
    value: bytes | None
    """None if the record was removed."""
    revision: int
    """Revision of its write or removal."""
    era: int
    last_value: bytes = b""
    """For a removed record: its last value; empty if that was not small."""
    last_revision: int = 0
    """For a removed record: the revision of that value."""
    last_facts: RecordFacts | None = None
    """For a removed record whose last value was not small: what that said."""

    @property
    def position(self) -> Position:
        """Position of the write or removal."""
        return Position(self.era, self.revision)


def outlasts(
    retained: Retained,
    stored: KeyValue | None,
    is_written: bool,
    describe: DescribeRecord,
) -> bool:
    """Return whether a retained record stays in force against what the store holds.

    Args:
      retained: the record, or its removal.
      stored: the record under its key in the store.
      is_written: whether `stored` is known to be written or removed in the present era;
        it may be older, of the copy, otherwise.
      describe: describes a record.
    """
    if (stored.value if stored else None) == retained.value:
        return False
    value = retained.last_value if retained.value is None else retained.value
    known = retained.last_facts or describe(retained.key, value)
    if known.kind is RecordKind.TEMPORARY:
        return False
    if known.kind in (RecordKind.SWITCH, RecordKind.OWN):
        return not is_written
    if stored is None:
        return known.kind is RecordKind.CONFIGURATION
    found = describe(stored.key, stored.value)
    if known.kind is RecordKind.CONFIGURATION:
        return found.number < known.number
    if found.leaving:
        return False
    if known.leaving:
        return True
    if retained.value is not None:
        return found.number < known.number
    is_copied = not is_written and stored.revision == retained.last_revision
    return is_copied or found.number <= known.number
