# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Finds out whether a target ended, or only lost an answer.

A target that closes a connection without an answer may have ended, with all that it was
running, or may be well. The answer itself doesn't tell; a new connection does at once.

Owns the checks under way and the lost runs that wait for them; lost with the process.
Relies on `connections` for the check.
"""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from leverdoor.entry.events import Events
from leverdoor.entry.requests.connections import Connections, TargetCheck
from leverdoor.model.resources import Target
from leverdoor.quarantine.crashes import LostRun

__all__ = ["EndedTargets", "TakeEnd"]

TakeEnd: TypeAlias = Callable[[Target, list[LostRun]], None]
"""Called with a target that ended, and the runs of this entry that ended with it."""


class EndedTargets:
    """Looks at targets that closed connections without an answer."""

    def __init__(self, connections: Connections, events: Events, take: TakeEnd) -> None:
        """Create it without any check under way.

        Args:
          connections: makes the checks.
          events: the log.
          take: gets each target that ended.
        """
        self._connections = connections
        self._events = events
        self._take = take
        self._lost: dict[str, list[LostRun]] = {}
        """By target, the runs that wait for its check."""
        self._checks: set[asyncio.Task[None]] = set()

    def check(self, target: Target, run: LostRun) -> None:
        """Have a target looked at; runs that it loses meanwhile share the check."""
        waiting = self._lost.get(target.name)
        if waiting is not None:
            waiting.append(run)
            return
        self._lost[target.name] = [run]
        task = asyncio.ensure_future(self._check(target))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _check(self, target: Target) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            found = await self._connections.check(target)
        finally:
            runs = self._lost.pop(target.name)
        took_s = loop.time() - began
        self._events.target_checked(
            target.name, target.service, found.value, len(runs), took_s
        )
        if found is TargetCheck.ENDED:
            self._take(target, runs)
