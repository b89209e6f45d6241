# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides whether a request counts as the cause of crashes.

The rule balances two errors: sending on a request that crashes its targets, and
refusing a harmless request that was running when targets crashed. The third crash
quarantines a request if the crashes are attributed to it, the fourth in any case. A
request that may be harmless soon gets a trial run.

Pure; owns no state. Relies on the crashes in a `CrashTable`.
"""

from enum import IntEnum

from leverdoor.quarantine.crashes import CrashTable, count_events, count_independent

__all__ = ["MIN_CRASHES", "Verdict", "judge_request"]

MIN_CRASHES = 3
"""Independent crashes attributed to a request after which it is quarantined.

The operator requires at most three more sends after the third crash. A greater value
lets more targets crash; a smaller one quarantines harmless requests whose retries ran
next to the cause. benchmarks/quarantine.py compares a rule that only counts crashes.
"""
MIN_CRASHES_UNATTRIBUTED = 4
"""Independent crashes after which a request is quarantined without attribution.

It is one more than `MIN_CRASHES` and applies if other requests at the crashes were seen
more often, since the cause may be among those seen less often: without this rule, the
cause was sent 11 times too often while a region was cut off. With a greater value, more
targets crash; with a smaller one, 120 of 5,212 harmless attempts were refused in place
of 11.
"""
CERTAIN_SHARE = 0.5
"""Least share of the crash events that must be a request's own for certainty.

It refers to the events from the request's first crash to its last; targets that crash
together count as one event. Half means that the request explains most crashes. With a
greater share, two fatal requests at a time each get one more run. With a smaller one,
harmless requests stay quarantined where targets keep crashing by themselves.
"""


class Verdict(IntEnum):
    """What the crashes of targets indicate about a request."""

    HARMLESS = 0
    """There is no evidence, or too little."""
    UNSURE = 1
    """The request may be the cause or may have been running by chance."""
    CAUSE = 2
    """No other request and no other reason explains the crashes as well."""


def judge_request(crash_table: CrashTable, fingerprint: int) -> Verdict:
    """Judge a request by the crashes of targets.

    Args:
      crash_table: the crashes that any entry saw.
      fingerprint: fingerprint of the request.
    """
    crashes = crash_table.attributed_crashes(fingerprint)
    if count_independent(crashes, fingerprint) < MIN_CRASHES:
        # Requests that are still sent may be running at more crashes than the cause.
        unattributed = (
            crash_table.independent_count(fingerprint) >= MIN_CRASHES_UNATTRIBUTED
        )
        return Verdict.UNSURE if unattributed else Verdict.HARMLESS
    rivals = set.intersection(*(set(c.runs) for c in crashes)) - {fingerprint}
    times = [c.at for c in crashes]
    all_times = crash_table.crash_times(min(times), max(times))
    certain = count_events(times) >= CERTAIN_SHARE * count_events(all_times)
    return Verdict.UNSURE if rivals or not certain else Verdict.CAUSE
