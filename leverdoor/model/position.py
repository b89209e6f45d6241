# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Positions in the store's history.

A revision orders the changes of one history only. A store that comes back from a copy
has lost its latest changes, and gives their revisions out again; its history is a new
one, in a later era. Whatever compares, keeps or sends a revision uses a `Position`.
"""

from typing import NamedTuple

__all__ = ["START", "UNKNOWN_ERA", "Position", "position_without_era"]

UNKNOWN_ERA = -1
"""Era of a store, or of a message of an earlier release, that names none."""


class Position(NamedTuple):
    """A revision in one era of the store; any in a later era is newer."""

    era: int
    revision: int


def position_without_era(revision: int) -> Position:
    """Return the position of a revision on a site whose store names no era."""
    return Position(UNKNOWN_ERA, revision)


START = Position(UNKNOWN_ERA, 0)
"""Position of an empty replica, before every other."""
