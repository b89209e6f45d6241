# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Quarantine of a look-up that crashes each target that runs it, on a plain site.

Guards against gates that do not record crashes across requests or do not exchange
quarantine notices. test_fatal_requests.py tests the same failure at entries.
"""

import asyncio

import aiohttp
from aiohttp import web

from bench import LOOKUP, Bench, deployment, running
from leverdoor.standins.targets import TargetStandin

FATAL = "fatal"
CRASHES_BEFORE_QUARANTINE = 3
"""Number of target crashes after which the request is quarantined."""
MAX_FURTHER_CRASHES = 3
"""Maximum number of crashes after PROPAGATION_S."""
PROPAGATION_S = 4.0
"""Time in which all connected gates should learn of the quarantine, in seconds."""
DOWN_S = 0.1
"""Downtime of a crashed target, in seconds."""
PAUSE_S = 0.3
"""Pause between attempts, in seconds; ejections of targets end meanwhile."""
ROUNDS_AFTER_QUARANTINE = 10


class Crashes:
    """Makes targets crash when they start to run the fatal request."""

    def __init__(self, bench: Bench) -> None:
        self.count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        for target in bench.targets.values():
            self._watch(bench, target)

    def _watch(self, bench: Bench, target: TargetStandin) -> None:
        runner = next(
            r
            for r in bench._runners
            if f":{target.address.port}" in next(iter(r.sites)).name
        )
        serve = target._run

        async def run(request: web.Request, *more: object) -> web.StreamResponse:
            if not request.path.endswith(FATAL):
                return await serve(request, *more)  # type: ignore[arg-type]
            self.count += 1
            task = asyncio.ensure_future(self._restart(runner, target))
            self._tasks.add(task)
            assert request.transport is not None
            request.transport.abort()
            raise asyncio.CancelledError

        target._run = run  # type: ignore[assignment]

    async def _restart(self, runner: web.AppRunner, target: TargetStandin) -> None:
        for site in list(runner.sites):
            await site.stop()
        await asyncio.sleep(DOWN_S)
        address = target.address
        await web.TCPSite(runner, address.host, address.port).start()

    async def end(self) -> None:
        await asyncio.gather(*self._tasks)


async def test_a_look_up_that_crashes_its_targets_is_quarantined_at_all_gates() -> None:
    async with running(deployment(targets=4)) as bench, aiohttp.ClientSession() as s:
        crashes = Crashes(bench)
        gates = [bench.listen(), bench.listen("vm01")]

        async def send(gate: str) -> None:
            async with s.get(f"http://{gate}/s/{LOOKUP.name}/{FATAL}") as answer:
                await answer.read()

        while crashes.count < CRASHES_BEFORE_QUARANTINE:
            await send(gates[0])
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(PROPAGATION_S)
        before = crashes.count
        for _ in range(ROUNDS_AFTER_QUARANTINE):
            for gate in gates:
                await send(gate)
            await asyncio.sleep(PAUSE_S)
        await crashes.end()
        assert crashes.count - before <= MAX_FURTHER_CRASHES
