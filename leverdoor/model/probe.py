# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What a target reports of itself, as an agent passes it to its gate."""

import msgspec

__all__ = ["Probe"]


class Probe(msgspec.Struct, frozen=True, array_like=True):
    """One report of a target: reachable, leaving, and its own in-flight count.

    `taken_at` is the agent's monotonic time in seconds; gate and agent run on one VM,
    so their clocks agree.
    """

    ok: bool
    leaving: bool = False
    in_flight: int = 0
    taken_at: float = 0.0
    reports: bool = True
    """Whether the target reports anything of itself; not all have a path for it."""
