# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The result of probing a target, which an agent sends to its gate. Owns no state."""

import msgspec

__all__ = ["Probe"]


class Probe(msgspec.Struct, frozen=True, array_like=True):
    """The result of one probe.

    `ok` tells whether the target was reachable, `leaving` whether it is shutting down,
    and `in_flight` how many requests it counts itself. `taken_at` is the agent's
    monotonic time in seconds; it is comparable with the gate's because both run on the
    same VM.
    """

    ok: bool
    leaving: bool = False
    in_flight: int = 0
    taken_at: float = 0.0
    reports: bool = True
    """Whether the target reports its own state; some have no path for reports."""
