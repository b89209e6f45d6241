# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The rule by which a request counts as the cause that targets end.

Two errors are weighed: a request that ends its targets and is sent on, and a harmless
one that was there when targets ended and is turned away. Pure; owns no state. Relies on
the ends in a `CrashBook`.
"""

from leverdoor.quarantine.crashes import CrashBook, moments, separate

__all__ = ["ENOUGH", "ENOUGH_AMONG_MANY", "is_cause"]

ENOUGH = 3
"""Ends, one after the other, after which a request counts as their cause.

The operator's bound: after the third it may be sent three times more. Greater: more
targets end. Smaller: harmless requests that were retried beside the cause are held
back.
"""
ENOUGH_AMONG_MANY = 5
"""The same while many targets end for other reasons, or another request fits as well.

Chosen: two sends after the third, so that one is left of the three that the operator
allows. Greater: none is left. Smaller: while a third of all runs are lost, one in forty
requests is lost three times in a row, one in 400 five times.
"""
LEAST_SHARE = 0.25
"""Part of the moments with ends that a request was present at, for `ENOUGH` to count.

Of those from its first end to its last; targets that end at one moment count once.

Chosen: up to four such requests at a time are known by their third end. Greater: fewer
are. Smaller: where targets keep ending by themselves, harmless requests are held back.
"""


def is_cause(book: CrashBook, fingerprint: int, held: set[int]) -> bool:
    """Return whether a request counts as the cause that targets ended.

    Args:
      book: the ends of targets that any entry saw.
      fingerprint: the request's.
      held: requests that count as causes already; ends with one of them say nothing
        against another.
    """
    crashes = book.crashes(fingerprint, held)
    count = separate(c.runs[fingerprint] for c in crashes)
    if count < ENOUGH:
        return False
    if count >= ENOUGH_AMONG_MANY:
        return True
    rivals = set.intersection(*(set(c.runs) for c in crashes)) - {fingerprint}
    if rivals:
        return False
    times = [c.at for c in crashes]
    all_times = book.between(min(times), max(times), held)
    return moments(times) >= LEAST_SHARE * moments(all_times)
