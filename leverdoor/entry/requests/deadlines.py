# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Deadline arithmetic of the request path, as pure functions.

The entry aborts a request (`PlacementRequest.until`) at the earlier of the client's
deadline and the route's timeout, minus `CLIENT_MARGIN_S`. It stops waiting for the
target's reply `TARGET_MARGIN_S` earlier.

`deadline_ms` is a duration that starts with the arrival of the request; `deadline_at`
is a loop time in seconds. Owns no state.
"""

from leverdoor.model.resources import Route

__all__ = ["DEFAULT_DEADLINE_MS", "request_deadline", "target_deadline", "remaining_ms"]

DEFAULT_DEADLINE_MS = 30_000
"""Deadline of a request without a deadline header, in ms.

Long enough for a bulk upload. A greater value makes requests wait longer for a target
that hangs. A smaller one aborts uploads over slow links.
"""
CLIENT_MARGIN_S = 0.02
"""Margin for sending the response to the client, in seconds.

Several times the network latency of 1 to 3 ms between client and entry. A greater value
shortens the time in which a target may reply. With a smaller one, late responses and
refusals reach the client after its deadline.
"""
MIN_REQUEST_TIME_S = 0.001
"""Minimum time for a request whose deadline does not exceed the margin, in seconds.

Without it, such a request would be aborted before placement refuses it with an error
code.
"""
TARGET_MARGIN_S = 0.03
"""Margin for sending a refusal when a target exceeds its deadline, in seconds.

Lets a busy event loop send the refusal before the client's deadline. A greater value
discards replies that would still arrive in time. With a smaller one, the client times
out and does not learn whether its request may have run.
"""
MIN_TARGET_DEADLINE_MS = 1
"""Minimum deadline sent to a target, in ms, so that the target never treats it as
expired."""


def request_deadline(arrived: float, deadline_ms: int, route: Route) -> float:
    """Return the loop time at which the entry aborts a request, in seconds.

    Args:
      arrived: loop time at which the request headers arrived, in seconds.
      deadline_ms: the client's deadline in ms, or `DEFAULT_DEADLINE_MS`.
      route: the route, whose timeout limits the deadline unless it is 0.
    """
    if route.timeout_ms:
        deadline_ms = min(deadline_ms, route.timeout_ms)
    return arrived + max(deadline_ms / 1000 - CLIENT_MARGIN_S, MIN_REQUEST_TIME_S)


def target_deadline(deadline_at: float) -> float:
    """Return the loop time at which waiting for a target's reply ends, in seconds.

    Args:
      deadline: loop time at which the entry aborts the request, in seconds.
    """
    return deadline_at - TARGET_MARGIN_S


def remaining_ms(deadline_at: float, now: float) -> int:
    """Return the time remaining until a deadline in ms, as sent to a target."""
    return max(int((deadline_at - now) * 1000), MIN_TARGET_DEADLINE_MS)
