# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What an entry that receives no digests may take of a quota.

The others reserve the same for it (entry/exchange/use_merging.py), so that the sides
of a cut together stay within the quota, whatever is requested of them. After RESERVATION_S
they reserve nothing more, and it takes next to nothing.

Owns no state.
"""

import msgspec

from leverdoor.workspaces.allowance import EVEN_SHARE

__all__ = ["RESERVATION_S", "ISOLATED_S", "IsolatedEntry", "isolated_use_factor"]

ISOLATED_S = 1.6
"""Time without any digest from which on an entry takes itself for cut off, in seconds:
four digests lost in a row.

Greater: each side of a cut takes what is left to the other for longer. Smaller: lost
datagrams make an entry refuse.
"""
RESERVATION_S = 20.0
"""How long the others reserve what a silent entry may take, in seconds.

Greater: dead entries block a part of quotas for longer. Smaller: an entry that is cut
off for longer refuses nearly all.
"""
MOST_STRETCH = 4.0
"""Times its use that an isolated entry may take at most, and others reserve.

One request in a quiet time must not become a claim on a whole quota. Greater: more is
reserved for silent ones. Smaller: a workspace whose use grows in a cut is refused.
"""
SPARE_AFTER_HOLD = 0.5
"""Part of the spare above the plan that all entries share once nothing is reserved.

Half, since others may be cut off too. Greater: the bound may be passed.
"""


def isolated_use_factor(planned: float, used: float) -> float:
    """Return how many times its use an isolated entry may take.

    Each side of a cut keeps its part of the quota, so that the sides together stay
    within it, whatever is requested of them.

    Args:
      planned: requests of a window up to which all entries admit.
      used: requests of all entries when they last knew of each other.
    """
    return min(max(planned / max(used, 1.0), 1.0), MOST_STRETCH)


class IsolatedEntry(msgspec.Struct, frozen=True):
    """What an isolated entry knows of one quota; requests are those of a window."""

    planned: float
    """Requests up to which all entries together admit."""
    bound: float
    """Requests that must never be passed."""
    entries: int
    """How many entries there are, this one included."""
    isolated_s: float
    """Age of the others' use as it is known, in seconds."""
    reported: int | None
    """Own requests as the others last knew them; None if it never had a digest."""
    others: float
    """Requests of the others when the last digest came."""

    @property
    def ceiling(self) -> float:
        """Return the own requests of a window that may not be passed."""
        if self.isolated_s > RESERVATION_S:
            return (self.bound - self.planned) * SPARE_AFTER_HOLD / self.entries
        even = self.planned / self.entries
        if self.reported is None:
            return EVEN_SHARE * even
        used = self.others + self.reported
        by_use = self.reported * isolated_use_factor(self.planned, used)
        return max(even, EVEN_SHARE * even + (1 - EVEN_SHARE) * by_use)
