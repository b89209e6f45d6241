# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which entry runs a request once more that is held back and may be harmless.

Owns no state; relies on all entries knowing the same others, as far as they are in
touch. Two that differ both try it, which may cost a second target.
"""

import xxhash

from leverdoor.entry.membership.members import Membership

__all__ = ["tries_for_all"]


def tries_for_all(membership: Membership, fingerprint: int) -> bool:
    """Return whether this entry tries a request for all.

    The first of all that are known by a hash of both, silent ones included: an entry
    that is cut off leaves the request untried rather than having it tried twice.

    Args:
      membership: the entries known here.
      fingerprint: the request's.
    """
    own = _order(membership.own.name, fingerprint)
    return all(own < _order(name, fingerprint) for name in membership.names())


def _order(name: str, fingerprint: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed=fingerprint)
