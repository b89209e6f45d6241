# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Parameters of placement and region shares that experiments may change.

Production uses the defaults (`PRODUCTION`). Experiments pass other values to disable a
rule or to try a threshold, so the rules need no branches for experiments. Constants
that no experiment changes are defined beside their rule. Owns no state.

Credit is the fraction of the possible reward that answers earn (emulator/results.py);
worth is credit less costs, at most 1. docs/POLICY.md has the experiments. The first
target of a key is the highest-ranked usable one.
"""

import msgspec

__all__ = ["ENTRY_WAIT_SHARE", "PRODUCTION", "WAITING", "Tuning"]

ENTRY_WAIT_SHARE = 0.2
"""Fraction of the latency target for which a request may wait at an entry.

The caller has its refusal within a quarter, which leaves it the time to return. With a
greater value, callers learn too late that they must return. With a smaller one, fewer
runs end while a request waits.
"""

LOAD_NOISE_SHARE = 0.05
"""Least wait at a target at entries where requests wait, in latency targets.

With a value of 0, a free slot would seem taken when the estimated load is too high by a
fraction of a request. With a greater one, requests wait for slots in targets' queues.
"""


class Tuning(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Parameters of the rules; utilization is load over slots."""

    targets_a_key: int = 2
    """Maximum usable targets of a region that may serve a key.

    With a greater value, a key runs cold for each entry and target; six targets had a
    worth of 0.584 instead of 0.678 (65 entries). With a smaller one, requests are
    rejected when the first target is full; one target lowered credit by 0.0077
    (emulation, 12 entries). More candidates are considered, because some are unusable
    (candidates.py).
    """
    cold_room: float = 0.5
    """Utilization below which a key's second target may run it cold.

    A cold run takes about three times as long. With a greater value, cold runs slow
    down all targets when these are busy; without this limit, credit was lower by 0.0094
    (emulation, 12 entries). With a smaller one, requests are rejected although slots
    are free.
    """
    least_wait_share: float = 0.8
    """Lower bound of the maximum queue wait, as a fraction of the latency target.

    With a smaller value, more requests are rejected and retried against the same load.
    A second rejection earns no credit, whereas a request that waits is at worst late.
    0.3 lowered worth from 0.767 to 0.756 (12 entries, high load). With a greater value,
    more of the requests that waited are late: 1.0 for this and `less_urgent` lowered
    worth from 0.784 to 0.763.
    """
    entry_wait_share: float = 0.0
    """Fraction of the latency target left for the wait at entries.

    Placement assumes that each request has spent as much, so that requests that waited
    need no more room than new ones. With a greater value, slots are free while requests
    wait. With a smaller one, new requests take the room that others wait for.
    """
    reserves_expected_run: bool = False
    """Whether a request waits at a target only as long as its expected run allows.

    If not, a warm run is assumed. A run that is likely cold may take longer than the
    latency target; then a request that waits for it makes others late too.
    """
    less_urgent: float = 0.7
    """Fraction of the maximum queue wait that less urgent requests may use.

    With a greater value, urgent requests get no slot earlier than others (see
    `least_wait_share`). With a smaller one, less urgent requests are rejected although
    they would be in time.
    """
    high_pressure: float = 0.9
    """Utilization above which a region moves keys to other regions.

    Thresholds of 0.9 and 0.75 (`low_pressure`) had a worth of 0.775, 0.75 and 0.60 had
    0.767 (12 entries, high load). With a greater value, requests are rejected before
    keys move. With a smaller one, keys move early, run cold elsewhere and cost bytes
    between regions.
    """
    low_pressure: float = 0.75
    """Utilization below which keys of a region's clients return to the region.

    For its worth, see `high_pressure`. With a greater value, keys move back and forth.
    With a smaller one, they stay in other regions.
    """
    overflow_earn: float = 0.03
    """Fraction of requests that may be placed outside their key's region.

    Each request adds as many tokens to the overflow budget. With a greater value, more
    requests run cold in other regions; 0.09 lowered worth by 0.01 to 0.02 (12 entries).
    With a smaller one, requests are rejected while the shares of regions still change.
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
WAITING = Tuning(
    least_wait_share=LOAD_NOISE_SHARE,
    entry_wait_share=ENTRY_WAIT_SHARE,
    reserves_expected_run=True,
)
"""The parameters of requests that one region only may serve, where these wait for room.

Such a request is sent only where it should be answered within its latency target, or
finds a free slot: its region may stay full, and a longer queue would make all answers
late. Requests that other regions may serve leave such a region instead.
"""
