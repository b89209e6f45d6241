# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Runs one daemon on one loop until a signal asks it to stop.

Every daemon (agent, gate, entry, stand-ins) starts here: signals, the restart of a
loop that failed, and the look at a settings file that changed. Owns the signal
handlers of the process; relies on `leverdoor.signals` for what came earlier.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Protocol

from aiohttp import web
from loguru import logger

from leverdoor.settings import Address
from leverdoor.signals import SighupRecorder

__all__ = ["Daemon", "watch_file", "supervise", "run_daemon", "serve_apps"]

RESTART_S = 1.0
"""Pause before a loop that failed is run again, in seconds.

Without it a loop that fails at once would take the whole core; a longer one leaves
heartbeats or the store's watch off for that long.
"""
SETTINGS_POLL_S = 2.0
"""Seconds between two looks at the settings file.

Below the 2.5 s within which a changed setting must be used; one `stat` a look.
"""


class Daemon(Protocol):
    """A program that runs until it is stopped."""

    async def run(self) -> None:
        """Run until stopped."""

    def stop(self) -> None:
        """Begin the stop; `run` returns when it is complete."""


def run_daemon(
    daemon: Daemon,
    reload: Callable[[], None] | None = None,
    early: SighupRecorder | None = None,
    settings: Path | None = None,
) -> None:
    """Run a daemon until SIGTERM or SIGINT.

    Args:
      daemon: what to run.
      reload: called at SIGHUP; None ignores the signal.
      early: notes a SIGHUP that came before the loop; `reload` is called for it.
      settings: a file; `reload` is called when it changes without a signal.
    """
    asyncio.run(_run(daemon, reload or _pass_over, early, settings))


def _pass_over() -> None:
    """Do nothing at SIGHUP, which by default would end the process."""


async def supervise(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run a daemon's loop, and again after a fault, which must not end the rest.

    Args:
      name: what to call it in the log.
      work: starts the loop.
    """
    while True:
        try:
            return await work()
        except Exception as e:
            logger.exception("loop failed, starts again", loop=name, error=repr(e))
            await asyncio.sleep(RESTART_S)


async def watch_file(path: Path, call: Callable[[], None]) -> None:
    """Call whenever a file has changed, until cancelled.

    Args:
      path: of the file; while it can't be read, it has not changed.
      call: takes the change.
    """
    before = _stamp(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_S)
        now = _stamp(path)
        if now not in (None, before):
            before = now
            call()


def _stamp(path: Path) -> tuple[int, int] | None:
    """Return what changes whenever a file is written or replaced."""
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_ino


async def _run(
    daemon: Daemon,
    reload: Callable[[], None],
    early: SighupRecorder | None,
    settings: Path | None,
) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
    if early is not None and early.received:
        loop.call_soon(reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop)
    following = None
    if settings is not None:
        following = asyncio.create_task(watch_file(settings, reload))
    try:
        await daemon.run()
    finally:
        if following is not None:
            following.cancel()


class AppsDaemon:
    """Serves HTTP applications, each at its address."""

    def __init__(self, apps: list[tuple[web.Application, Address]]) -> None:
        """Create it; nothing is opened yet."""
        self._apps = apps
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serve until stopped."""
        runners = []
        for app, address in self._apps:
            runner = web.AppRunner(
                app, handler_cancellation=True, access_log=None, shutdown_timeout=0.1
            )
            await runner.setup()
            site = web.TCPSite(runner, address.host, address.port)
            await site.start()
            runners.append(runner)
        await self._stop.wait()
        for runner in runners:
            await runner.cleanup()

    def stop(self) -> None:
        """Begin the stop."""
        self._stop.set()


def serve_apps(apps: list[tuple[web.Application, Address]]) -> None:
    """Serve HTTP applications until a signal asks to stop."""
    run_daemon(AppsDaemon(apps))
