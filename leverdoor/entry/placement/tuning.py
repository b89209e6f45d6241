# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What decisions weigh: one value that the decision parts take.

Production uses the defaults. Experiments pass others, to switch a mechanism off or
to weigh a bound, so that no branch for them stands in the decisions themselves.
"""

import msgspec

__all__ = ["PRODUCTION", "Tuning"]


class Tuning(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds and switches of placement and spill; docs/POLICY.md has their trials."""

    targets_a_key: int = 2
    """Targets of a key that may serve it in a region.

    Six in place of two made runs cold at each entry (65 entries, worth 0.584 beside
    0.678).
    """
    cold_room: float = 0.5
    """Load over slots up to which a key's second target may be asked for it cold.

    A cold run takes about three times as long: where targets are busy, it makes all
    of them slower.
    """
    least_wait_share: float = 0.8
    """Longest wait that is always accepted, as a share of the target latency.

    Worth at 12 entries under high load, loads estimated without bias: 0.3 gives 0.756,
    0.8 gives 0.767. A request that is refused comes back to the same load, and its
    second refusal earns nothing; one that waits is late at worst.
    """
    less_urgent: float = 0.7
    """Part of the longest wait that is left to less urgent routes.

    With 1.0 for it and for `least_wait_share` worth was 0.763 in place of 0.784.
    """
    high_pressure: float = 0.9
    """Load over slots from which on a region gives keys away.

    Worth at 12 entries under high load: with 0.9 and 0.75 for 0.75 and 0.60 0.775 for
    0.767; the lower ones were found with loads that were estimated a third too high.
    """
    low_pressure: float = 0.75
    """Load over slots up to which a region takes its keys back; see above."""
    overflow_earn: float = 0.03
    """Part of requests that may leave their key's region at once.

    Three times as much lost 0.01 to 0.02 of worth at 12 entries.
    """
    learns_warmth: bool = True
    """Whether run times say how likely a choice runs cold.

    Else a first choice passes for warm and any other, unless seen, for cold.
    """
    avoids_slow: bool = True
    """Whether targets that are ejected as slow serve only when no other can."""


PRODUCTION = Tuning()
"""What entries use."""
