# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Eras of a plain site's store, which names none itself.

A store that was restored from a copy gives revisions out again. A follower that reads
it again compares the listing with its replica; if it shows another history, the
follower writes a marker with the next era, on condition of the marker's revision. All
agents read the era from the marker, so positions are compared as on a store that names
its era. Without a marker, the era is unknown: no restore was seen yet.

Ownership tables never go back, as gates ignore a lower version and units would be
granted twice: a follower writes those that it knows beyond the copy again. Everything
else is in force as the restored store has it.

Owns no state. Relies on listings that are up to date, not those of a lagging member,
and on a replica that has all entries at its revision.
"""

import msgspec

from leverdoor.codec import decode_json
from leverdoor.model.position import UNKNOWN_ERA, Position
from leverdoor.storage.state import PREFIX, TABLES, State
from leverdoor.storage.store import KeyValue, Listing, Write

__all__ = [
    "HISTORY",
    "HistoryMarker",
    "listing_in_own_era",
    "next_marker_write",
    "newer_tables",
    "parse_marker",
    "serialize_marker",
    "shows_other_history",
]

HISTORY = PREFIX + "history"
"""Key of the marker."""
UNWRITTEN_TABLE = -1
"""Version of a table that the store lacks; lower than every other."""


class HistoryMarker(msgspec.Struct, frozen=True):
    """Value of the marker."""

    era: int
    id: str
    """Random; two histories that reached the same era have different ids."""


def parse_marker(value: bytes) -> HistoryMarker:
    """Parse a marker.

    Raises:
      msgspec.MsgspecError: the value is malformed.
    """
    return decode_json(value, HistoryMarker)


def serialize_marker(marker: HistoryMarker) -> bytes:
    """Serialize a marker."""
    return msgspec.json.encode(marker)


def listing_in_own_era(listing: Listing) -> Listing:
    """Return a listing with the era that its marker names.

    A malformed marker names none; the next one replaces it.
    """
    stored = _stored_marker(listing)
    try:
        era = parse_marker(stored.value).era if stored else UNKNOWN_ERA
    except msgspec.MsgspecError:
        era = UNKNOWN_ERA
    return Listing(listing.revision, listing.entries, era)


def shows_other_history(state: State, listing: Listing, accepted: Position) -> bool:
    """Return whether a listing belongs to no history that this site has accepted.

    Args:
      state: the replica.
      listing: all entries, in the era of their marker; read after `accepted`.
      accepted: the newest position that this process or any peer had.
    """
    if listing.position < max(state.position, accepted):
        return True
    if listing.era > state.position.era:
        return False
    stored, known = _stored_marker(listing), state.entries.get(HISTORY)
    if (stored.value if stored else None) != (known.value if known else None):
        return True
    if any(_differs(state, e) for e in listing.entries):
        return True
    return listing.revision == state.revision and len(listing.entries) != len(
        state.entries
    )


def _differs(state: State, stored: KeyValue) -> bool:
    """Return whether the replica should have a stored entry and does not."""
    if stored.revision > state.revision:
        return False
    known = state.entries.get(stored.key)
    if known is None:
        return True
    return (known.revision, known.value) != (stored.revision, stored.value)


def next_marker_write(
    state: State, listing: Listing, accepted: Position, marker_id: str
) -> Write:
    """Return the conditional write that begins the next era.

    Args:
      state: the replica.
      listing: the listing that shows another history.
      accepted: the newest position that this process or any peer had.
      marker_id: a random id.
    """
    era = max(state.position.era, listing.era, accepted.era) + 1
    stored = _stored_marker(listing)
    value = serialize_marker(HistoryMarker(era, marker_id))
    return Write(HISTORY, value, stored.revision if stored else 0)


def newer_tables(state: State, listing: Listing) -> list[Write]:
    """Return the conditional writes of tables that a new era lacks.

    Args:
      state: the replica, of the era before.
      listing: all entries in the new era.
    """
    stored = {e.key: e for e in listing.entries}
    found = []
    for known in state.list_prefix(TABLES):
        present = stored.get(known.key)
        if _table_version(known) > _table_version(present):
            expected_revision = present.revision if present else 0
            found.append(Write(known.key, known.value, expected_revision))
    return found


def _table_version(entry: KeyValue | None) -> int:
    # Entries on the platform import this module and have no tables.
    from leverdoor.membership.ownership import parse_table

    return parse_table(entry.value).version if entry else UNWRITTEN_TABLE


def _stored_marker(listing: Listing) -> KeyValue | None:
    return next((e for e in listing.entries if e.key == HISTORY), None)
