# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A look-up that ends each target that runs it, on a plain site.

The same cause as at entries (test_fatal_requests.py): a gate knows nothing of a request
beyond its last attempt, and gates tell each other nothing of requests.
"""

import asyncio

import aiohttp
from aiohttp import web

from bench import LOOKUP, Bench, deployment, running
from leverdoor.standins.targets import TargetStandin

FATAL = "fatal"
ENOUGH = 3
"""Targets that may end before a request counts as the cause."""
MOST_MORE = 3
"""How often it may be sent on once that was to be known everywhere."""
KNOWN_S = 4.0
"""Within which time all gates in touch are to know it, in seconds."""
DOWN_S = 0.1
"""How long a target that ended is away, in seconds."""
PAUSE_S = 0.3
"""Pause between two attempts of callers, in seconds: ejected targets are back."""
ROUNDS = 10


class Crashes:
    """Targets that end as they begin to run the fatal request."""

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


async def test_a_look_up_that_ends_its_targets_is_held_back_at_all_gates() -> None:
    async with running(deployment(targets=4)) as bench, aiohttp.ClientSession() as s:
        crashes = Crashes(bench)
        gates = [bench.listen(), bench.listen("vm01")]

        async def send(gate: str) -> None:
            async with s.get(f"http://{gate}/s/{LOOKUP.name}/{FATAL}") as answer:
                await answer.read()

        while crashes.count < ENOUGH:
            await send(gates[0])
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(KNOWN_S)
        before = crashes.count
        for _ in range(ROUNDS):
            for gate in gates:
                await send(gate)
            await asyncio.sleep(PAUSE_S)
        await crashes.end()
        assert crashes.count - before <= MOST_MORE
