# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Runs one daemon on one event loop until SIGTERM or SIGINT.

Every daemon (agent, gate, entry, stand-in) starts here. The module handles signals,
restarts tasks that fail, and polls a settings file for changes. Owns the signal
handlers of the process; relies on `leverdoor.signals` for a SIGHUP received before
the loop starts.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Protocol

from loguru import logger

from leverdoor.process_memory import free_large_blocks_at_once
from leverdoor.signals import SighupRecorder

__all__ = ["Daemon", "watch_file", "supervise", "run_daemon"]

RESTART_S = 1.0
"""Delay before a failed task is restarted, in seconds.

Without a delay, a task that always fails at once would use a whole core. During
the delay the process sends no heartbeats or does not watch the store, so a longer one
prolongs that gap.
"""
SETTINGS_POLL_S = 2.0
"""Interval between polls of the settings file, in seconds.

A changed setting must be in use within 2.5 s, so the interval is shorter. Each poll
costs one `stat` call.
"""


class Daemon(Protocol):
    """A long-running program that `run_daemon` starts and stops."""

    async def run(self) -> None:
        """Run until the shutdown that `stop` begins is complete."""

    def stop(self) -> None:
        """Begin the shutdown; `run` returns when it is complete."""


def run_daemon(
    daemon: Daemon,
    reload: Callable[[], None] | None = None,
    early_sighup: SighupRecorder | None = None,
    settings: Path | None = None,
) -> None:
    """Run a daemon until SIGTERM or SIGINT.

    Args:
      daemon: the daemon to run.
      reload: called on SIGHUP; None ignores the signal.
      early_sighup: records whether a SIGHUP was received before the event loop
        started; if so, `reload` is called once the loop runs.
      settings: path of a settings file; `reload` is also called when it changes.
    """
    free_large_blocks_at_once()
    asyncio.run(_run(daemon, reload or _ignore_sighup, early_sighup, settings))


def _ignore_sighup() -> None:
    """Ignore SIGHUP, whose default action would end the process."""


async def supervise(name: str, task: Callable[[], Awaitable[None]]) -> None:
    """Run a daemon's task and restart it after an exception.

    A failed task must not end the daemon's other tasks. It restarts after RESTART_S;
    a task that returns is not restarted.

    Args:
      name: name of the task in the log.
      task: coroutine function of the task.
    """
    while True:
        try:
            return await task()
        except Exception as e:
            logger.exception("loop failed, starts again", loop=name, error=repr(e))
            await asyncio.sleep(RESTART_S)


async def watch_file(path: Path, on_change: Callable[[], None]) -> None:
    """Poll a file and call back on each change, until cancelled.

    Args:
      path: path of the file; a missing or inaccessible file counts as unchanged.
      on_change: called after each change.
    """
    previous = _file_version(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_S)
        current = _file_version(path)
        if current not in (None, previous):
            previous = current
            on_change()


def _file_version(path: Path) -> tuple[int, int] | None:
    """Return the modification time and inode, to detect writes and replacements."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_ino


async def _run(
    daemon: Daemon,
    reload: Callable[[], None],
    early_sighup: SighupRecorder | None,
    settings: Path | None,
) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
    if early_sighup is not None and early_sighup.received:
        loop.call_soon(reload)
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, daemon.stop)
    watcher = None
    if settings is not None:
        watcher = asyncio.create_task(watch_file(settings, reload))
    try:
        await daemon.run()
    finally:
        if watcher is not None:
            watcher.cancel()
