# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Runs one daemon on one loop until a signal asks it to stop."""

import asyncio
import signal
from typing import Protocol

from aiohttp import web

from leverdoor.settings import Address

__all__ = ["Daemon", "run_daemon", "serve_apps"]


class Daemon(Protocol):
    """What can be run and asked to stop."""

    async def run(self) -> None:
        """Run until stopped."""

    def stop(self) -> None:
        """Ask it to end."""


def run_daemon(daemon: Daemon) -> None:
    """Run a daemon until SIGTERM or SIGINT."""
    asyncio.run(_run(daemon))


async def _run(daemon: Daemon) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop)
    await daemon.run()


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
        """Ask it to end."""
        self._stop.set()


def serve_apps(apps: list[tuple[web.Application, Address]]) -> None:
    """Serve HTTP applications until a signal asks to stop."""
    run_daemon(AppsDaemon(apps))
