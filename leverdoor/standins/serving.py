# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Serves HTTP applications of stand-ins as a process, until it is stopped.

Owns the listeners; lost with the process.
"""

import asyncio

from aiohttp import web

from leverdoor.lifecycle import run_daemon
from leverdoor.settings import Address

__all__ = ["serve_apps"]


class HttpDaemon:
    """Daemon of the stand-ins: serves HTTP applications, each at its own address."""

    def __init__(self, apps: list[tuple[web.Application, Address]]) -> None:
        """Create the daemon; `run` opens the sockets."""
        self._apps = apps
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serve until `stop` is called, then close all applications."""
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
        """Begin the shutdown."""
        self._stop.set()


def serve_apps(apps: list[tuple[web.Application, Address]]) -> None:
    """Serve HTTP applications until SIGTERM or SIGINT."""
    run_daemon(HttpDaemon(apps))
