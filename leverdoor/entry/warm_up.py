# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The rule for which entries send requests to a cold target.

Owns no state; relies on the membership view for the regions of the live entries.
"""

from leverdoor.entry.membership.members import Membership
from leverdoor.model.resources import Target

__all__ = ["may_warm_up"]


def may_warm_up(membership: Membership, target: Target) -> bool:
    """Return whether this entry may send requests to a target that warms up.

    Only entries of the target's region may, unless that region has no entries. A
    request from another region would incur the crossing and the slow cold run.

    Args:
      membership: the entries known to this entry.
      target: the cold target.
    """
    if membership.own.region == target.region:
        return True
    return not membership.count_in_region(target.region)
