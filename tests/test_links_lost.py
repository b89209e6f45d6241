# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Entries that lose their links to targets, as real processes."""

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from entry_bench import check_promises, targets
from leverdoor.standins.entry_process import Place
from leverdoor.standins.entry_site import Answer
from leverdoor.standins.link_cuts import LinkCutKind
from leverdoor.standins.partition_site import PartitionSite

PLACES = {
    "n1": Place("a1", "a"),
    "n2": Place("a1", "a"),
    "n3": Place("a2", "a"),
    "n4": Place("b1", "b"),
    "n5": Place("b1", "b"),
    "n6": Place("b2", "b"),
}
CUT = ("n1", "n2", "n4")
CONTACT_S = 4.0
"""Time after which an entry has to serve again, in seconds."""
MIN_SERVED_RATIO = 2 / 3
"""Served share at entries without links, over that at the others."""


@asynccontextmanager
async def partition_site() -> AsyncIterator[PartitionSite]:
    made = PartitionSite(PLACES, targets())
    try:
        await made.start()
        yield made
    finally:
        await made.stop()


class Load:
    """Look-ups and filings at chosen entries, at a steady rate."""

    def __init__(self, site: PartitionSite) -> None:
        self._site = site
        self._number = 0
        self.unsafe_ids: set[str] = set()
        self.answers: list[Answer] = []

    async def send(self, entry: str) -> Answer:
        self._number += 1
        request_id = f"{self._number:016x}"
        headers = {"X-Affinity-Key": str(self._number % 20)}
        if self._number % 3:
            method, path, body = "GET", "/look/x", None
        else:
            method, path, body = "POST", "/file/x", b"x" * 100
            self.unsafe_ids.add(request_id)
        answer = await self._site.request(
            self._site.entries[entry], method, path, body, headers, request_id
        )
        self.answers.append(answer)
        return answer

    async def run(
        self, entries: tuple[str, ...], seconds: float, per_s: float
    ) -> list[Answer]:
        """Send at each entry for some seconds; returns the answers."""
        sent = []
        for _ in range(round(seconds * per_s)):
            sent += [asyncio.create_task(self.send(e)) for e in entries]
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*sent)


def served(answers: list[Answer]) -> float:
    return sum(a.status == 200 for a in answers) / len(answers)


async def check_served_without_links(kind: LinkCutKind) -> None:
    """Entries without links are served at least two thirds as often as the others."""
    async with partition_site() as site:
        load = Load(site)
        whole = tuple(n for n in PLACES if n not in CUT)
        assert served(await load.run(tuple(PLACES), 1.0, 10)) > MIN_SERVED_RATIO
        site.cut_links(CUT, site.targets, kind)
        await load.run(CUT, CONTACT_S, 10)
        cut_answers, whole_answers = await asyncio.gather(
            load.run(CUT, 2.0, 10), load.run(whole, 2.0, 10)
        )
        assert served(cut_answers) >= MIN_SERVED_RATIO * served(whole_answers)
        check_promises(site, load.answers, load.unsafe_ids)


async def until_logged(
    site: PartitionSite, entries: tuple[str, ...], text: str
) -> None:
    """Wait until entries have written a line that contains a text."""
    while not all(text in site.entries[n].log.read_text() for n in entries):
        await asyncio.sleep(0.02)


async def test_requests_are_refused_at_once_when_no_entry_has_links() -> None:
    """They are served again once links are back, without a restart."""
    async with partition_site() as site:
        load = Load(site)
        entries = tuple(PLACES)
        await load.run(entries, 1.0, 10)
        site.cut_links(entries, site.targets, LinkCutKind.HANG)
        sending = asyncio.create_task(load.run(entries, 3.0, 10))
        await until_logged(site, entries, '"service":"","region":""')
        await sending
        for answer in await load.run(entries, 0.5, 10):
            assert answer.status == 503
            assert json.loads(answer.body)["name"] == "TARGETS_UNREACHABLE"
            assert answer.headers["Retry-After"]
        site.restore_links(entries)
        while served(await load.run(entries, 0.2, 10)) < 1.0:
            pass
        check_promises(site, load.answers, load.unsafe_ids)


async def test_refused_connections_of_one_entry_quarantine_no_requests() -> None:
    """A cut that refuses looks as if each target in use had ended."""
    async with partition_site() as site:
        load = Load(site)
        entries = tuple(PLACES)
        for _ in range(4):
            await load.run(entries, 0.5, 10)
            site.cut_links(CUT, site.targets, LinkCutKind.RESET)
            await load.run(entries, 1.0, 10)
            site.restore_links(CUT)
        for name in entries:
            events = site.entries[name].events()
            assert not [e["message"] for e in events if "message" in e][:1]
            assert not [e for e in events if e.get("event") == "quarantine"]
            assert not [e for e in events if e.get("found") == "ended"]


async def test_look_ups_name_entries_with_links_first() -> None:
    async with partition_site() as site:
        load = Load(site)
        await load.run(tuple(PLACES), 1.0, 10)
        site.cut_links(CUT, site.targets, LinkCutKind.HANG)
        sending = asyncio.create_task(load.run(CUT, 4.0, 10))
        cut_fronts = {site.front(site.entries[n]) for n in CUT}
        for name in PLACES:
            while cut_fronts & set(await site.resolve(site.entries[name])):
                await asyncio.sleep(0.05)
        await sending
        site.restore_links(CUT)
        while not cut_fronts <= {
            a for n in PLACES for a in await site.resolve(site.entries[n])
        }:
            await load.run(CUT, 0.2, 10)


async def test_a_planned_stop_of_a_peer_loses_no_requests() -> None:
    async with partition_site() as site:
        load = Load(site)
        await load.run(tuple(PLACES), 1.0, 10)
        site.cut_links(CUT, site.targets, LinkCutKind.HANG)
        await load.run(CUT, CONTACT_S, 10)
        sending = asyncio.create_task(load.run(CUT, 6.0, 10))
        site.entries["n3"].send(signal.SIGTERM)
        await site.entries["n3"].ended()
        assert {a.status for a in await sending} == {200}
        check_promises(site, load.answers, load.unsafe_ids)


async def test_entries_whose_links_hang_are_served_as_often_as_others() -> None:
    await check_served_without_links(LinkCutKind.HANG)


async def test_entries_whose_links_are_reset_are_served_as_often_as_others() -> None:
    await check_served_without_links(LinkCutKind.RESET)


async def test_entries_whose_new_links_are_refused_are_served_as_often_as_others() -> (
    None
):
    await check_served_without_links(LinkCutKind.REFUSE)
