# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which connections parse what they received, and how much, in a turn of the loop.

One event loop serves all callers, and the same number of bytes costs very different
time: a head of many short fields, or chunks of one byte, a thousand times that of a
plain body. The work of each turn is therefore bounded. Connections that had least work
of late come first, and those that sent several requests come later, so that ordinary
callers are served beside costly ones and beside those that send many requests ahead.

Work is counted in callbacks of the parser, about a microsecond each. Owns the queues of
connections that wait for their turn; lost with the process.
"""

import asyncio
from collections import deque
from typing import Protocol

__all__ = [
    "HEAD_END",
    "REQUEST_WORK",
    "SLICE_WORK",
    "ParseScheduler",
    "RecentWork",
    "holds_several",
]

TURN_WORK = 4_000
"""Work in a turn of the event loop, in callbacks: a few milliseconds.

With a greater value, ordinary callers wait longer in each turn. With a smaller one, a
turn of the loop costs more than the work in it.
"""
SLICE_WORK = 400
"""Work after which a connection waits for its next turn, in callbacks.

Two requests. With a smaller value, ordinary pages wait for more turns; a greater one
lets single connections fill a turn.
"""
REQUEST_WORK = 200
"""Work that a request counts for besides its fields, in callbacks.

To handle one takes 70 to 460 microseconds. With a greater value, a turn has fewer
requests than time for them; with a smaller one, requests sent ahead fill long turns.
"""
LEVELS = 8
"""Levels of recent work: below one request, one, two to three, four to seven, ...

With more, connections that send a hundred requests a second are told apart too. With
fewer, those that send a few wait among these.
"""
LIGHT_WORK = 4_000.0
"""Recent work up to which a connection parses without waiting, in callbacks.

Twenty requests within a second. With a greater value, a costly connection delays those
that are received later in a turn. With a smaller one, ordinary clients wait as well.
"""
HEAD_END = b"\r\n\r\n"
"""End of the head of a request."""
HALF_LIFE_S = 1.0
"""Time after which work counts for half, in seconds."""


class RecentWork:
    """The work of a connection, of which the past counts for less."""

    __slots__ = ("_at", "_work")

    def __init__(self, now: float) -> None:
        """Create it without work, at a loop time in seconds."""
        self._work = 0.0
        self._at = now

    def add(self, work: int, now: float) -> None:
        """Add work that was done now."""
        self._work = self.at(now) + work
        self._at = now

    def at(self, now: float) -> float:
        """Return the recent work, in callbacks."""
        return float(self._work * 0.5 ** ((now - self._at) / HALF_LIFE_S))


class ScheduledConnection(Protocol):
    """What the scheduler needs of a connection."""

    @property
    def recent_work(self) -> RecentWork:
        """Its recent work."""

    @property
    def sends_ahead(self) -> bool:
        """Whether more than one request waits to be parsed."""

    def parse_slice(self) -> None:
        """Parse received bytes for about `SLICE_WORK`."""


def holds_several(data: bytes) -> bool:
    """Return whether received bytes hold the heads of several requests.

    It costs little, and may be mistaken about bytes of a body.
    """
    return data.count(HEAD_END) > 1


def work_level(connection: ScheduledConnection, now: float) -> int:
    """Return the level of a connection; those of lower levels come first."""
    requests = int(connection.recent_work.at(now)) // REQUEST_WORK
    level = min(requests.bit_length(), LEVELS - 1)
    return max(level, 1) if connection.sends_ahead else level


class ParseScheduler:
    """The connections of a process that wait to parse what they received."""

    def __init__(self) -> None:
        """Create a scheduler for the running event loop."""
        self._waiting: list[deque[ScheduledConnection]] = [
            deque() for _ in range(LEVELS)
        ]
        """Those that wait, by the level that they had then."""
        self._work = 0
        """Work that was done in this turn of the loop."""
        self._turn_ends = False
        """Whether the end of this turn is scheduled."""

    def may_parse(self, connection: ScheduledConnection, now: float) -> bool:
        """Return whether a connection may parse a slice at once.

        Otherwise it is to wait in the queue.
        """
        if self._work >= TURN_WORK:
            return False
        if connection.recent_work.at(now) > LIGHT_WORK:
            return False
        return not any(self._waiting[: work_level(connection, now) + 1])

    def wait(self, connection: ScheduledConnection, now: float) -> None:
        """Let a connection wait for its turn; it must not wait already."""
        self._waiting[work_level(connection, now)].append(connection)
        self._schedule()

    def count(self, connection: ScheduledConnection, work: int, now: float) -> None:
        """Count the work of a connection in this turn."""
        connection.recent_work.add(work, now)
        self._work += work
        self._schedule()

    def _schedule(self) -> None:
        if not self._turn_ends:
            self._turn_ends = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        """Let connections parse, by level, until the turn is used up.

        The last slice is for the highest level, so that nobody waits for ever.
        """
        self._turn_ends = False
        self._work = 0
        try:
            while self._work < TURN_WORK:
                queues = [queue for queue in self._waiting if queue]
                if not queues:
                    return
                is_last = self._work >= TURN_WORK - SLICE_WORK
                queues[-1 if is_last else 0].popleft().parse_slice()
        finally:
            # An error of one connection must not leave the others waiting.
            if any(self._waiting):
                self._schedule()
