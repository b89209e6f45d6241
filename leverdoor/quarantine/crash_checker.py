# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Finds out whether a target ended, or only lost an answer.

A target that closes a connection without an answer may have ended, with all that it was
running, or may be well. The answer itself doesn't tell; a new connection does at once.

Owns the checks under way and the lost runs that wait for them; lost with the process.
Relies on its caller to make the check and to log what it found.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import TypeAlias

from leverdoor.model.resources import Target
from leverdoor.quarantine.crashes import LostRun

__all__ = ["CheckTarget", "CrashChecker", "TakeChecked", "TargetCheckResult"]


class TargetCheckResult(StrEnum):
    """What a new connection to a target showed."""

    ENDED = "ended"
    """It was refused: the VM is there, the target's process is not."""
    SERVES = "serves"
    """It was taken."""
    SILENT = "silent"
    """There was no answer."""


CheckTarget: TypeAlias = Callable[[Target], Awaitable[TargetCheckResult]]
"""Opens a new connection to a target."""
TakeChecked: TypeAlias = Callable[
    [Target, TargetCheckResult, list[LostRun], float], None
]
"""Called with a target, what the check found, the runs of this process whose answers it
lost, and how long the check took, in seconds."""


class CrashChecker:
    """Looks at targets that closed connections without an answer."""

    def __init__(self, check: CheckTarget, take: TakeChecked) -> None:
        """Create it without any check under way."""
        self._check_target = check
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
            found = await self._check_target(target)
        finally:
            runs = self._lost.pop(target.name)
        self._take(target, found, runs, loop.time() - began)
