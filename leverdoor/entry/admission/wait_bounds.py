# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Bounds the time that a request may wait for room at an entry.

Owns no state; relies on the estimates of placement (placement_request.py).
"""

from leverdoor.entry.placement.placement_request import PlacementRequest, RoomEstimate
from leverdoor.entry.placement.queue_wait import MS_PER_S, RUN_TIME_MARGIN_X
from leverdoor.entry.placement.run_times import DEFAULT_LATENCY_MS
from leverdoor.entry.placement.tuning import ENTRY_WAIT_SHARE

__all__ = ["expected_wait_s", "wait_until"]


def wait_until(request: PlacementRequest, warm_run_s: float) -> float:
    """Return the time until which a request may wait, in seconds of its clock.

    A share of the latency target since its arrival, so that a caller that is refused
    can still return in time, and never so long that no warm run fits before the
    deadline. It is past for a request whose body took long.

    Args:
      request: the request.
      warm_run_s: mean duration of a warm run of such requests, in seconds.
    """
    latency_target_ms = request.route.target_latency_ms or DEFAULT_LATENCY_MS
    share_s = ENTRY_WAIT_SHARE * latency_target_ms / MS_PER_S
    last_start = request.expires_at - RUN_TIME_MARGIN_X * warm_run_s
    return min(request.arrived_at + share_s, last_start)


def expected_wait_s(room: RoomEstimate, waiting_before: int, entries: int) -> float:
    """Return the time after which a request is expected to find room, in seconds.

    Callers choose among the entries of a region at random, so that as many requests are
    taken to wait at each of them.

    Args:
      room: the estimate for this request.
      waiting_before: requests at this entry that are placed before it.
      entries: entries of the region.
    """
    return room.time_to_room_s + waiting_before * entries * room.interval_s
