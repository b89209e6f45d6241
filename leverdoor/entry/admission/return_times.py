# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides when the callers of refused requests are to return.

Requests that are refused together must not return together. Each gets a turn of its
own, at half the rate at which the region serves; new requests use the rest. Less urgent
requests get their turn after the urgent ones.

Owns the last turn given out, by service, region and priority. It is lost with the
process.
"""

from random import Random

from leverdoor.entry.placement.placement_request import PlacementRequest, RoomEstimate
from leverdoor.entry.placement.queue_wait import MS_PER_S
from leverdoor.entry.placement.retry_delays import MIN_RETRY_AFTER_MS

__all__ = ["ReturnTimes"]

RETURNING_SHARE = 0.5
"""Share of a region's runs that are given out as turns.

With a greater value, requests that return find the room taken by new ones. With a
smaller one, callers return after their latency target.
"""
HONOURED_SHARE = 1 / 3
"""Share of the time left for which callers heed Retry-After."""
LATE_SPREAD = 0.5
"""Share of the honoured time, at its end, over which all later turns are spread."""


class ReturnTimes:
    """Gives refused requests of one region of a service a time to return."""

    def __init__(self, rng: Random) -> None:
        """Create it without requests.

        Args:
          rng: the source of all random numbers.
        """
        self._rng = rng
        self._last_turns: dict[int, float] = {}
        """By priority, monotonic time in seconds."""

    def retry_after_ms(
        self, request: PlacementRequest, room: RoomEstimate, entries: int, now: float
    ) -> int:
        """Return the time after which a refused request is to return, in ms.

        Args:
          request: the request.
          room: the estimate of room for it.
          entries: entries of the region, all of which give out turns.
          now: monotonic time in seconds.
        """
        turn_at = self._next_turn(request.priority, room, entries, now)
        delay_s = turn_at - now
        left_s = self._time_left_s(request, now)
        honoured_s = HONOURED_SHARE * left_s
        if delay_s <= honoured_s:
            self._last_turns[request.priority] = turn_at
        elif delay_s <= left_s:
            delay_s = honoured_s * (1.0 - LATE_SPREAD * self._rng.random())
        return max(round(delay_s * MS_PER_S), 1)

    def _next_turn(
        self, priority: int, room: RoomEstimate, entries: int, now: float
    ) -> float:
        """Return the time of the next turn of a priority, in seconds."""
        least_s = max(room.time_to_room_s, MIN_RETRY_AFTER_MS / MS_PER_S)
        given = [at for p, at in self._last_turns.items() if p <= priority]
        earliest = max(now + least_s, *given) if given else now + least_s
        mean_interval_s = room.interval_s * entries / RETURNING_SHARE
        interval_s = mean_interval_s * 2.0 * self._rng.random()
        return earliest + interval_s

    def _time_left_s(self, request: PlacementRequest, now: float) -> float:
        """Return how long the caller will still wait, in seconds."""
        until = request.arrived_at + request.deadline_ms / MS_PER_S
        return max(until, request.expires_at) - now
