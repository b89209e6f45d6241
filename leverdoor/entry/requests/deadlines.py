# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How long a request may take here, and how much of that a target gets.

All arithmetic on deadlines of the entry stands here, as pure functions:

    client's deadline or the route's time-out, the lesser
      less RETURN_MARGIN_S: the entry gives up (`until` of a request)
      less ANSWER_MARGIN_S: the entry gives up on the target that runs it

Times are loop times in seconds.
"""

from leverdoor.model.resources import Route

__all__ = ["DEFAULT_DEADLINE_MS", "give_up_at", "give_up_on_target_at", "ms_left"]

DEFAULT_DEADLINE_MS = 30_000
"""Time of a request whose client names no deadline, in ms.

A bulk upload fits. Greater, a target that hangs keeps a request longer; smaller,
uploads over slow links are cut.
"""
RETURN_MARGIN_S = 0.02
"""Taken off a deadline for the way back to the client, in seconds.

Several times the 1 to 3 ms between client and entry. Greater, time is lost in which a
target could answer; smaller, a late answer or refusal misses the client.
"""
LEAST_PATIENCE_S = 0.001
"""Time of a request whose deadline is all margin, in seconds.

It is refused by the rules of placement, with a code, rather than by a deadline in the
past.
"""
ANSWER_MARGIN_S = 0.03
"""Taken off the entry's own time while a target runs the request, in seconds.

The refusal is composed and sent on a busy loop before the client's deadline. Greater,
answers that would still be in time are given up; smaller, the client times out and
learns nothing of whether its request may have run.
"""
LEAST_LEFT_MS = 1
"""Least deadline that a target is given, in ms: one that has not passed."""


def give_up_at(arrived: float, deadline_ms: int, route: Route) -> float:
    """Return when the entry gives a request up.

    Args:
      arrived: when its head arrived.
      deadline_ms: the client's deadline, or `DEFAULT_DEADLINE_MS`.
      route: its time-out bounds the deadline; 0 for none.
    """
    if route.timeout_ms:
        deadline_ms = min(deadline_ms, route.timeout_ms)
    return arrived + max(deadline_ms / 1000 - RETURN_MARGIN_S, LEAST_PATIENCE_S)


def give_up_on_target_at(until: float) -> float:
    """Return when a target's answer is no longer waited for.

    Args:
      until: when the entry gives the request up.
    """
    return until - ANSWER_MARGIN_S


def ms_left(until: float, now: float) -> int:
    """Return the deadline that a target is given, in ms from now."""
    return max(int((until - now) * 1000), LEAST_LEFT_MS)
