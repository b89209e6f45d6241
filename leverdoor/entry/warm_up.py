# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which entries use a cold target. Owns no state."""

from leverdoor.entry.membership.members import Membership
from leverdoor.model.resources import Target

__all__ = ["may_warm_up"]


def may_warm_up(membership: Membership, target: Target) -> bool:
    """Return whether this entry may send requests to a target in its warm-up.

    Those of its region may; all may where its region has no entries. From afar a
    request would cross regions to wait for a cold run.

    Args:
      membership: the entries known here.
      target: the cold target.
    """
    if membership.own.region == target.region:
        return True
    return not membership.count_in_region(target.region)
