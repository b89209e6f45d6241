# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which process runs a request once more that is held back and may be harmless.

Owns no state; relies on all processes knowing the same others, as far as they are in
touch. Two that differ both try it, which may cost a second target.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["is_trial_owner"]


def is_trial_owner(own: str, others: Iterable[str], fingerprint: int) -> bool:
    """Return whether a process tries a request for all.

    The first of all that are known by a hash of both, silent ones included: one that is
    cut off leaves the request untried rather than having it tried twice.

    Args:
      own: name of this process.
      others: names of the others that are known.
      fingerprint: the request's.
    """
    place = _place(own, fingerprint)
    return all(place < _place(name, fingerprint) for name in others)


def _place(name: str, fingerprint: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed=fingerprint)
