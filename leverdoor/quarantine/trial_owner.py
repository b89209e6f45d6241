# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selects the process that runs the trials of a quarantined request.

A trial is one more run of a quarantined request that may be harmless. The processes are
entries or gates. Owns no state. Relies on all connected processes having the same view
of the others. Two processes with different views may both run a trial, which may crash
a second target.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["is_trial_owner"]


def is_trial_owner(own: str, others: Iterable[str], fingerprint: int) -> bool:
    """Return whether this process runs the trials of a request.

    Rendezvous hashing selects one of all known processes. Silent processes take part,
    so that the two sides of a partition do not both run a trial; if the selected
    process is cut off, there is none.

    Args:
      own: name of this process.
      others: names of the other known processes.
      fingerprint: fingerprint of the request.
    """
    own_weight = _hash_weight(own, fingerprint)
    return all(own_weight < _hash_weight(name, fingerprint) for name in others)


def _hash_weight(name: str, fingerprint: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed=fingerprint)
