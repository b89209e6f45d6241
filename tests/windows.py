# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The operator's bound on what a limited target gets, as tests look at it."""

from collections.abc import Iterable

__all__ = ["allowed", "most_in_a_window"]

WINDOW_S = 4.0
"""Any window of this length is looked at, in seconds."""
OVERSHOOT_X = 1.5
SLACK = 5
"""What may come in a window: so many times the limit, and so many requests more."""


def allowed(per_s: float) -> float:
    """Return the requests of a window that a limit allows."""
    return OVERSHOOT_X * per_s * WINDOW_S + SLACK


def most_in_a_window(times: Iterable[float]) -> int:
    """Return the most requests of any window, from their times in seconds."""
    ordered = sorted(times)
    first = most = 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
