# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides whether a request counts as the cause of crashes.

The rule balances two errors: forwarding a request that crashes its targets, and
refusing a harmless request that was running when targets crashed. `MIN_CRASHES`
independent crashes quarantine a request if they are attributed to it, otherwise
`MIN_CRASHES_UNATTRIBUTED` do. A request that may be harmless soon gets a trial run.

Pure; owns no state. Relies on the crashes in a `CrashTable`.
"""

from enum import IntEnum

from leverdoor.quarantine.crashes import CrashTable, count_events, count_independent

__all__ = ["MIN_CRASHES", "Verdict", "judge_request"]

MIN_CRASHES = 3
"""Independent crashes attributed to a request after which it is quarantined.

The operator requires at most three more sends after the third crash. A greater value
lets more targets crash; a smaller one quarantines harmless requests whose retries ran
on the same targets as the cause. benchmarks/quarantine.py compares this rule with one
that only counts crashes.
"""
MIN_CRASHES_UNATTRIBUTED = 4
"""Independent crashes after which a request is quarantined without attribution.

It is one more than `MIN_CRASHES` and applies if other requests were running at more
crashes: the cause may still be the one with fewer. Without this rule, 11 sends too many
of a fatal request happened with a region cut off. With a greater value, more targets
crash then; with a smaller one, 120 of 5,212 harmless attempts were refused, and 11 are
with this one.
"""
CERTAIN_SHARE = 0.5
"""Least share of the crash events at which the cause was running.

It refers to all events from the request's first crash to its last. Below this share,
the verdict is `UNSURE`. Half means that the request accounts for most crashes. With a
greater share, two fatal requests at a time each get one more run. With a smaller one,
harmless requests stay quarantined where targets keep crashing by themselves.
"""


class Verdict(IntEnum):
    """What the crashes of targets indicate about a request."""

    HARMLESS = 0
    """There is no evidence against the request, or too little."""
    UNSURE = 1
    """The request may be the cause or may have been running by chance."""
    CAUSE = 2
    """No other request was running at all its crashes, and few others happened."""


def judge_request(crash_table: CrashTable, fingerprint: int) -> Verdict:
    """Judge a request by the crashes of targets.

    Args:
      crash_table: the crashes that any entry saw.
      fingerprint: fingerprint of the request.
    """
    crashes = crash_table.attributed_crashes(fingerprint)
    if count_independent(crashes, fingerprint) < MIN_CRASHES:
        # A popular request may be running at more crashes than the cause, so that none
        # of them are attributed to the cause.
        unattributed = (
            crash_table.independent_count(fingerprint) >= MIN_CRASHES_UNATTRIBUTED
        )
        return Verdict.UNSURE if unattributed else Verdict.HARMLESS
    rivals = set.intersection(*(set(c.runs) for c in crashes)) - {fingerprint}
    times = [c.ended_at for c in crashes]
    all_times = crash_table.crash_times(min(times), max(times))
    certain = count_events(times) >= CERTAIN_SHARE * count_events(all_times)
    return Verdict.UNSURE if rivals or not certain else Verdict.CAUSE
