# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The number by which entries tell each other of a target. Owns no state."""

import xxhash

__all__ = ["target_id"]


def target_id(name: str) -> int:
    """Return the 32 bits by which entries tell each other of a target.

    Among 3,000 targets two share them with a chance of 0.001. Two that end at the same
    moment then count as one end; of two that name limits the newest word counts for
    both.
    """
    return xxhash.xxh32_intdigest(name.encode())
