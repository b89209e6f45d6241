# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A fatal request that comes on and on, beside a store that comes back from a copy.

Guards against a request that was never quarantined because it crashed targets more
often than entries waited for reports: 15 targets ended before the store's return and up
to 23 after it. Harmless requests beside it must not be quarantined.
"""

import asyncio
import signal
from random import Random

import pytest

from entry_bench import check_own
from leverdoor.errors import Code
from leverdoor.standins.entry_process import Place
from leverdoor.standins.entry_site import Answer, EntrySite
from leverdoor.standins.metadata import MetadataFaults
from leverdoor.standins.upstreams import UpstreamStandin

FATAL = "/look/fatal"
ENTRIES = 6
TARGETS_PER_REGION = 10
GAP_S = 0.15
"""Time between two fatal requests, in seconds; shorter than the wait for reports."""
COPY_AGE_S = 4.0
KNOWN_S = 3.0
"""Time from the first fatal request to the store's loss, in seconds."""
AWAY_S = 0.8
AFTER_S = 5.0
"""Time for which is sent after the store's return, in seconds."""
MAX_LATE_SENDS = 3
"""Sends that the operator allows once a request is to be known."""


def fatal_runs(site: EntrySite) -> int:
    return sum(r.path == FATAL for t in site.targets.values() for r in t.runs)


class Callers:
    """One caller of the fatal request, and one of harmless ones, at any entries."""

    def __init__(self, site: EntrySite, seed: int) -> None:
        self._site = site
        self._rng = Random(seed)
        self.unreachable: set[str] = set()
        """Entries that get no requests."""
        self.harmless: list[Answer] = []
        self._tasks = [
            asyncio.ensure_future(self._send_on(self._fatal)),
            asyncio.ensure_future(self._send_on(self._harmless)),
        ]
        self._sent: set[asyncio.Task[None]] = set()
        self._numbers = 0

    async def _send_on(self, send: object) -> None:
        while True:
            task = asyncio.ensure_future(send())  # type: ignore[operator]
            self._sent.add(task)
            task.add_done_callback(self._sent.discard)
            await asyncio.sleep(GAP_S)

    async def _request(self, path: str) -> Answer:
        names = sorted(self._site.entries.keys() - self.unreachable)
        entry = self._site.entries[self._rng.choice(names)]
        return await self._site.request(entry, "GET", path)

    async def _fatal(self) -> None:
        await self._request(FATAL)

    async def _harmless(self) -> None:
        self._numbers += 1
        self.harmless.append(await self._request(f"/look/{self._numbers}"))

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, *self._sent, return_exceptions=True)


def build_site() -> EntrySite:
    places = {f"n{i}": Place(f"{'abc'[i % 3]}1", "abc"[i % 3]) for i in range(ENTRIES)}
    targets = [
        UpstreamStandin(f"i-{region}-{i}", "look", f"{region}1")
        for region in "abc"
        for i in range(TARGETS_PER_REGION)
    ]
    return EntrySite(places, targets)


def is_quarantined(answer: Answer) -> bool:
    return str(Code.QUARANTINED.value).encode() in answer.body and answer.status == 503


@pytest.mark.parametrize("beside", ["nothing", "an entry cut off", "an entry starting"])
async def test_a_known_fatal_request_ends_few_targets_after_a_restored_store(
    beside: str,
) -> None:
    site = build_site()
    callers = None
    try:
        await site.start()
        copy = site.store.copy()
        await asyncio.sleep(COPY_AGE_S - KNOWN_S)
        other = site.entries["n1"]
        if beside == "an entry cut off":
            other.send(signal.SIGSTOP)
        site.crash_paths.add(FATAL)
        callers = Callers(site, seed=1)
        if beside != "nothing":
            callers.unreachable.add("n1")
        await asyncio.sleep(KNOWN_S)
        if beside == "an entry starting":
            other.send(signal.SIGKILL)
            await other.ended()
        site.store.faults = MetadataFaults(busy=503)
        await asyncio.sleep(AWAY_S)
        known = fatal_runs(site)
        site.store.restore(copy)
        for name in site.targets.keys() & site._runners.keys():
            site.register(name)
        site.store.faults = MetadataFaults()
        if beside == "an entry cut off":
            other.send(signal.SIGCONT)
        if beside == "an entry starting":
            await other.start()
            await site.ready(other)
        callers.unreachable.clear()
        await asyncio.sleep(AFTER_S)
        await callers.stop()
        assert known >= 3
        assert fatal_runs(site) - known <= MAX_LATE_SENDS
        assert callers.harmless
        for answer in callers.harmless:
            check_own(answer)
            assert not is_quarantined(answer), answer
    finally:
        if callers is not None:
            await callers.stop()
        site.entries["n1"].send(signal.SIGCONT)
        await site.stop()
