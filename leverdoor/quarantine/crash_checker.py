# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Checks whether a target crashed or only failed to answer one request.

A target that closes a connection without a response may have crashed, with all its
runs, or may be healthy. Only a new connection to the target tells these cases apart.

Owns the checks in progress and the runs whose outcome depends on them. Both are lost
with the process. Relies on its caller to open the connection and to log the result.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import TypeAlias

from leverdoor.model.resources import Target
from leverdoor.quarantine.crashes import LostRun

__all__ = [
    "CrashChecker",
    "HandleResult",
    "IsInService",
    "OpenConnection",
    "TargetCheckResult",
]


class TargetCheckResult(StrEnum):
    """The result of opening a new connection to a target."""

    ENDED = "ended"
    """The connection was refused: the VM runs, but the target's process does not."""
    SERVES = "serves"
    """The connection was accepted."""
    SILENT = "silent"
    """The connection attempt got no answer."""


OpenConnection: TypeAlias = Callable[[Target], Awaitable[TargetCheckResult]]
"""Opens a new connection to a target. If it raises, the runs get no result."""
HandleResult: TypeAlias = Callable[
    [Target, TargetCheckResult, list[LostRun], float], None
]
"""Called with a target, the result of its check, the runs of this process on the target
that got no response while it was in service, and the duration of the check in seconds.
"""
IsInService: TypeAlias = Callable[[Target], bool]
"""Returns whether a target is in service now: registered, and not leaving."""


class CrashChecker:
    """Checks targets that closed connections without a response."""

    def __init__(
        self,
        open_connection: OpenConnection,
        handle_result: HandleResult,
        is_in_service: IsInService = lambda target: True,
    ) -> None:
        """Create a checker without checks in progress.

        Args:
          open_connection: opens a new connection to a target.
          handle_result: called with the result of each check.
          is_in_service: asked when a run is lost. The registration of a target that
            crashed may go before the check has a result.
        """
        self._open_connection = open_connection
        self._handle_result = handle_result
        self._is_in_service = is_in_service
        self._waiting_runs: dict[str, list[LostRun]] = {}
        """By target name, the runs that wait for the result of its check."""
        self._checks: set[asyncio.Task[None]] = set()

    def check(self, target: Target, run: LostRun) -> None:
        """Start a check of a target; runs lost during a check share its result."""
        runs = [run] if self._is_in_service(target) else []
        waiting = self._waiting_runs.get(target.name)
        if waiting is not None:
            waiting += runs
            return
        self._waiting_runs[target.name] = runs
        task = asyncio.ensure_future(self._check(target))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _check(self, target: Target) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            result = await self._open_connection(target)
        finally:
            runs = self._waiting_runs.pop(target.name)
        self._handle_result(target, result, runs, loop.time() - began)
