# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Bounds and switches of placement and spill that experiments may change.

Production uses the defaults (`PRODUCTION`). Experiments pass others, to switch a rule
off or to try a bound; so no branch for them stands in the rules. Constants that no
experiment changes stand beside their rule. Owns no state.

Worth is credit less prices, 1 at most; docs/POLICY.md has the trials.
"""

import msgspec

__all__ = ["PRODUCTION", "Tuning"]


class Tuning(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds and switches; "utilization" is load over slots."""

    targets_a_key: int = 2
    """Most usable targets of a key that may serve it in a region.

    Greater: runs are cold at each entry and target (six: worth 0.584 beside 0.678, 65
    entries). Smaller: a full first target refuses (no second one: -0.0077 of credit,
    emulated, 12 entries). More are looked at, since some are out (candidates.py).
    """
    cold_room: float = 0.5
    """Utilization up to which a key's second target may run it cold.

    A cold run takes about three times as long. Greater: where targets are busy, cold
    runs make all of them slower (any utilization: -0.0094 of credit, emulated, 12
    entries). Smaller: requests are refused beside free slots.
    """
    least_wait_share: float = 0.8
    """Longest wait that is always accepted, as a share of the latency target.

    Smaller: more is refused, comes back to the same load, and its second refusal earns
    nothing; one that waits is late at worst (0.3: worth 0.756 beside 0.767, 12 entries,
    high load). Greater: more of what waited is late (1.0 here and for `less_urgent`:
    0.763 beside 0.784).
    """
    less_urgent: float = 0.7
    """Part of the longest wait that is left to less urgent requests.

    Greater: urgent ones find no slot earlier than others (see `least_wait_share`).
    Smaller: less urgent ones are refused where they would be in time.
    """
    high_pressure: float = 0.9
    """Utilization from which on a region gives keys away.

    Worth at 12 entries under high load: 0.9, and 0.75 for `low_pressure`, gives 0.775
    beside 0.767 of 0.75 and 0.60. Greater: requests are refused before keys move.
    Smaller: keys leave early, run cold elsewhere and cost bytes between regions.
    """
    low_pressure: float = 0.75
    """Utilization below which a region takes its keys back; measured with
    `high_pressure`. Greater: keys move forth and back. Smaller: they stay away."""
    overflow_earn: float = 0.03
    """Part of requests that may leave their key's region at once.

    Greater: more cold runs in other regions (three times as much lost 0.01 to 0.02 of
    worth at 12 entries). Smaller: refusals while shares are on their way.
    """
    learns_warmth: bool = True
    """Whether run times say how likely a run is cold.

    Else a key's first target counts as warm and any other, unless seen, as cold.
    """
    avoids_slow: bool = True
    """Whether targets that are ejected as slow serve only if no other can."""


PRODUCTION = Tuning()
"""What entries use."""
