# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which entries share the requests that a cold target bears. Owns no state."""

from leverdoor.entry.membership.members import Membership
from leverdoor.model.resources import Target

__all__ = ["count_sharers"]


def count_sharers(membership: Membership, target: Target) -> int:
    """Return how many entries share a cold target's allowance.

    They are the entries of the target's failure domain; if there are none, those of its
    region; else all. Entries count that were known within the last minute, silent ones
    included: the operator's bound on a cold target holds while they can't be reached.

    Args:
      membership: the entries known here.
      target: the cold target.
    Returns: their number, this entry included; 0 if this entry is not among them.
    """
    own = membership.own
    in_domain = membership.count_in_domain(target.domain)
    if in_domain:
        return in_domain if own.domain == target.domain else 0
    in_region = membership.count_in_region(target.region)
    if in_region:
        return in_region if own.region == target.region else 0
    return membership.count
