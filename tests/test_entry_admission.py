# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""End-to-end tests of requests that wait for room at entry processes."""

import asyncio
import re
import signal
from collections.abc import AsyncIterator
from itertools import count

import pytest

from entry_bench import NOT_RUN, PLACES, check_promises, runs
from leverdoor.platform.settings import METRICS_PORT
from leverdoor.sessions import new_session
from leverdoor.standins.entry_process import EntryProcess
from leverdoor.standins.entry_site import Answer, EntrySite
from leverdoor.standins.upstreams import UpstreamStandin

BURST = 60
"""Requests that are sent at once; the targets have four slots."""


@pytest.fixture
async def small_site() -> AsyncIterator[EntrySite]:
    """Three entries whose requests wait for room, and targets with few slots.

    All targets are in one region, so that no request may leave it.
    """
    targets = [
        UpstreamStandin(f"i-{service}-{i}", service, "a1", 1, 0.02)
        for service in ("look", "file")
        for i in range(4)
    ]
    site = EntrySite(PLACES, targets, ["base", "pressure"])
    try:
        await site.start()
        yield site
    finally:
        await site.stop()


async def waited(entry: EntryProcess, outcome: str) -> float:
    """Return how many requests waited at an entry, by what came of them."""
    host = entry.ports["frontend"].partition(":")[0]
    async with (
        new_session(5.0) as session,
        session.get(f"http://{host}:{METRICS_PORT}/metrics") as response,
    ):
        text = await response.text()
    name = r"leverdoor_entry_waited_seconds_count\{outcome=\"%s\",\S+ (\S+)"
    return sum(float(count) for count in re.findall(name % outcome, text))


class Bursts:
    """Bursts of requests that must not run twice, all sent at once to one entry."""

    def __init__(self, site: EntrySite) -> None:
        self.site = site
        self.entry = site.entries["n1"]
        self._numbers = count(1)

    def send(self) -> list[asyncio.Task[Answer]]:
        numbers = [next(self._numbers) for _ in range(BURST)]
        return [
            asyncio.create_task(
                self.site.request(
                    self.entry, "POST", f"/file/{n}", b"x", request_id=f"{n:016x}"
                )
            )
            for n in numbers
        ]

    async def until_a_run_begins(self) -> None:
        before = runs(self.site).total()
        while runs(self.site).total() == before:
            await asyncio.sleep(0.001)


async def test_a_burst_waits_or_is_refused_and_no_refused_request_runs(
    small_site: EntrySite,
) -> None:
    bursts = Bursts(small_site)
    answers: list[Answer] = []
    while not answers or await waited(bursts.entry, "placed") == 0:
        answers += await asyncio.gather(*bursts.send())
    check_promises(small_site, answers, {a.request_id for a in answers})
    assert {a.status for a in answers} == {200, 503}
    refused = [a for a in answers if a.status == 503]
    assert all(float(a.headers["Retry-After"]) > 0 for a in refused)


async def test_requests_of_clients_that_leave_while_they_wait_never_run(
    small_site: EntrySite,
) -> None:
    bursts = Bursts(small_site)
    sent = 0
    while not sent or await waited(bursts.entry, "left") == 0:
        tasks = bursts.send()
        sent += len(tasks)
        await bursts.until_a_run_begins()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    ran = runs(small_site)
    assert len(ran) < sent and max(ran.values()) == 1
    answers: list[Answer] = []
    while 200 not in {a.status for a in answers}:
        answers += await asyncio.gather(*bursts.send())
    check_promises(small_site, answers, {a.request_id for a in answers})


async def test_a_planned_stop_answers_all_requests_that_wait(
    small_site: EntrySite,
) -> None:
    bursts = Bursts(small_site)
    tasks = bursts.send()
    await bursts.until_a_run_begins()
    bursts.entry.send(signal.SIGTERM)
    answers = await asyncio.gather(*tasks)
    check_promises(small_site, answers, {a.request_id for a in answers})
    assert all(a.status == 200 or a.status in NOT_RUN for a in answers)
    assert await bursts.entry.ended() == 0


async def test_without_the_setting_no_request_waits(site: EntrySite) -> None:
    bursts = Bursts(site)
    answers = await asyncio.gather(*bursts.send())
    check_promises(site, answers, {a.request_id for a in answers})
    for outcome in ("placed", "refused", "left"):
        assert await waited(bursts.entry, outcome) == 0
