# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The rule by which a request counts as the cause that targets end.

Two errors are weighed: a request that ends its targets and is sent on, and a harmless
one that was there when targets ended and is turned away. The third end holds a request
back that was there at the most, the fourth any; where it may be harmless, it is tried
once more soon.

Pure; owns no state. Relies on the ends in a `CrashBook`.
"""

from enum import IntEnum

from leverdoor.quarantine.crashes import CrashBook, distinct, moments

__all__ = ["ENOUGH", "Verdict", "judge_request"]

ENOUGH = 3
"""Ends, one after the other, after which a request is held back.

The operator's bound: after the third it may be sent three times more. Greater: more
targets end. Smaller: harmless requests that were retried beside the cause are held
back. Counting alone: see benchmarks/quarantine.py.
"""
ENOUGH_BESIDE = 4
"""The same where others were present at its ends more often.

One more, since the cause may be among those seen less often: with a region cut off 11
sends too many without it. Greater: more targets end then. Smaller: 120 of 5,212
harmless attempts refused where 11 are now.
"""
SURE_SHARE = 0.5
"""Part of the moments with ends at which a request was present, to be sure of it.

Of those from its first end to its last; targets that end at one moment count once. Most
of what ended. Greater: two such requests at a time run once more each. Smaller:
where targets keep ending by themselves, harmless requests stay held back.
"""


class Verdict(IntEnum):
    """What the ends of targets say of a request."""

    HARMLESS = 0
    """Nothing, or too little."""
    UNSURE = 1
    """It may be the cause, and may have been there by chance."""
    CAUSE = 2
    """No other request and no other reason fits as well."""


def judge_request(book: CrashBook, fingerprint: int) -> Verdict:
    """Return what the ends of targets say of a request.

    Args:
      book: the ends of targets that any entry saw.
      fingerprint: the request's.
    """
    crashes = book.attributed(fingerprint)
    if distinct(crashes, fingerprint) < ENOUGH:
        # Requests that are sent on beside the cause can be at more ends than it.
        hidden = book.count(fingerprint) >= ENOUGH_BESIDE
        return Verdict.UNSURE if hidden else Verdict.HARMLESS
    rivals = set.intersection(*(set(c.runs) for c in crashes)) - {fingerprint}
    times = [c.at for c in crashes]
    all_times = book.times(min(times), max(times))
    most = moments(times) >= SURE_SHARE * moments(all_times)
    return Verdict.UNSURE if rivals or not most else Verdict.CAUSE
