# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Parameters of placement and region shares that experiments may change.

Production uses the defaults (`PRODUCTION`). Experiments pass other values to disable a
rule or to try a threshold, so the rules need no branches for experiments. Constants
that no experiment changes are defined beside their rule. Owns no state.

Worth is credit less prices, 1 at most; docs/POLICY.md describes the trials.
"""

import msgspec

__all__ = ["PRODUCTION", "Tuning"]


class Tuning(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Parameters of the rules; utilization is load over slots."""

    targets_a_key: int = 2
    """Maximum usable targets of a region that may serve a key.

    With a greater value, a key runs cold for each entry and target (six: worth 0.584
    beside 0.678, 65 entries). With a smaller one, requests are rejected when the first
    target is full (no second one: -0.0077 of credit, emulated, 12 entries). More
    candidates are considered, because some are unusable (candidates.py).
    """
    cold_room: float = 0.5
    """Utilization below which a key's second target may run it cold.

    A cold run takes about three times as long. With a greater value, cold runs slow
    down all targets when these are busy (any utilization: -0.0094 of credit, emulated,
    12 entries). With a smaller one, requests are rejected beside free slots.
    """
    least_wait_share: float = 0.8
    """Longest wait that is always accepted, as a fraction of the latency target.

    With a smaller value, more requests are rejected and retried against the same load,
    and a second rejection earns no credit; a request that waits is late at worst (0.3:
    worth 0.756 beside 0.767, 12 entries, high load). With a greater one, more of the
    requests that waited are late (1.0 here and for `less_urgent`: 0.763 beside 0.784).
    """
    less_urgent: float = 0.7
    """Fraction of the longest wait that less urgent requests may use.

    With a greater value, urgent requests get no slot earlier than others (see
    `least_wait_share`). With a smaller one, less urgent requests are rejected although
    they would be in time.
    """
    high_pressure: float = 0.9
    """Utilization above which a region moves keys to other regions.

    At 12 entries under high load, 0.9 with 0.75 for `low_pressure` has a worth of
    0.775, beside 0.767 for 0.75 with 0.60. With a greater value, requests are rejected
    before keys move. With a smaller one, keys move early, run cold elsewhere and cost
    bytes between regions.
    """
    low_pressure: float = 0.75
    """Utilization below which a region takes its keys back.

    The worth for `high_pressure` was measured together with this value. With a greater
    value, keys move back and forth. With a smaller one, they stay in other regions.
    """
    overflow_earn: float = 0.03
    """Fraction of requests that may leave their key's region at once.

    With a greater value, more requests run cold in other regions (three times as much
    cost 0.01 to 0.02 of worth at 12 entries). With a smaller one, requests are rejected
    while the shares of regions still change.
    """
    learns_warmth: bool = True
    """Whether the probability of a cold run is learned from run times.

    If not, a key's first target counts as warm, and any other target as cold unless it
    has answered the key.
    """
    avoids_slow: bool = True
    """Whether targets ejected as slow serve only if no other target can."""


PRODUCTION = Tuning()
"""The parameters that entries use."""
