# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What targets say of themselves in answers binds the entry that was told."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

from entry_bench import check_own
from leverdoor.standins.entry_site import Answer, EntrySite
from leverdoor.standins.soak.report_promise import arrivals_by_entry, report_breaches
from leverdoor.standins.upstreams import UpstreamStandin

PAUSE_S = 1 / 60
"""Time between two look-ups."""
KEYS = 40
SERVED_SHARE = 0.97
"""Least part of look-ups that is served while other targets have room."""
REST = "2.5"


class LookUps:
    """Look-ups of many keys, sent to all entries in turn, and their answers."""

    def __init__(self, site: EntrySite) -> None:
        self._site = site
        self.answers: list[Answer] = []
        self.senders: dict[str, tuple[str, float]] = {}
        """By request id, the entry it was sent to, and when."""

    async def _ask(self, number: int) -> None:
        entries = list(self._site.entries.values())
        entry = entries[number % len(entries)]
        request_id = f"{number:016x}"
        self.senders[request_id] = (entry.name, asyncio.get_running_loop().time())
        key = {"X-Affinity-Key": str(number % KEYS)}
        path = f"/look/{number}"
        answer = await self._site.request(entry, "GET", path, None, key, request_id)
        self.answers.append(answer)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Send them while the block runs; then wait for all answers."""
        pending: set[asyncio.Task[None]] = set()

        async def send() -> None:
            number = 1
            while True:
                task = asyncio.create_task(self._ask(number))
                pending.add(task)
                task.add_done_callback(pending.discard)
                number += 1
                await asyncio.sleep(PAUSE_S)

        sender = asyncio.create_task(send())
        try:
            yield
        finally:
            sender.cancel()
            await asyncio.gather(*pending)

    def breaches(self, target: UpstreamStandin) -> list[str]:
        """Return how entries did not heed what a target said."""
        arrivals = arrivals_by_entry(target.arrivals, self.senders)
        return list(report_breaches(target.name, arrivals, lambda *_: False))

    def served_share(self) -> float:
        """Return the part of look-ups that was answered with success."""
        for answer in self.answers:
            check_own(answer)
        return sum(a.status == 200 for a in self.answers) / len(self.answers)


async def test_a_target_that_said_that_it_leaves_gets_nothing_more(
    site: EntrySite,
) -> None:
    """The store goes on calling it ready."""
    look_ups = LookUps(site)
    leaving = site.targets["i-look-a1-0"]
    async with look_ups.running():
        await asyncio.sleep(1.0)
        leaving.leaving = "1"
        await asyncio.sleep(6.0)
    assert any(a.leaving for a in leaving.arrivals)
    assert look_ups.breaches(leaving) == []
    assert look_ups.served_share() >= SERVED_SHARE


async def test_a_target_that_asked_for_rest_is_left_alone_meanwhile(
    site: EntrySite,
) -> None:
    """Callers are served by the targets that have room."""
    look_ups = LookUps(site)
    resting = [site.targets["i-look-a1-0"], site.targets["i-look-b1-1"]]
    async with look_ups.running():
        await asyncio.sleep(1.0)
        for target in resting:
            target.rest = REST
        await asyncio.sleep(8.0)
    assert all(any(a.rest_s for a in t.arrivals) for t in resting)
    assert [b for t in resting for b in look_ups.breaches(t)] == []
    assert look_ups.served_share() >= SERVED_SHARE


async def test_where_all_targets_rest_requests_are_refused_at_once_and_served_after(
    site: EntrySite,
) -> None:
    """With a time to come back of the rest that is left; none of those ran."""
    look_ups = LookUps(site)
    resting = [t for t in site.targets.values() if t.service == "look"]
    async with look_ups.running():
        await asyncio.sleep(1.0)
        for target in resting:
            target.rest = REST
        await asyncio.sleep(1.5)
        for target in resting:
            target.rest = ""
        await asyncio.sleep(4.0)
    assert [b for t in resting for b in look_ups.breaches(t)] == []
    ran = {r.request_id for t in resting for r in t.runs}
    refused = [
        a
        for a in look_ups.answers
        if a.status == 503 and json.loads(a.body)["name"] == "TARGETS_RESTING"
    ]
    assert refused
    for answer in refused:
        assert answer.request_id not in ran
        assert 0.1 < float(answer.headers["Retry-After"]) <= float(REST) + 0.5
    assert look_ups.answers[-1].status == 200
    logged = [e for entry in site.entries.values() for e in entry.events()]
    events = {e["event"] for e in logged}
    assert "target_rest" in events
    assert "target_ejected" not in events


async def test_absurd_words_of_a_target_change_nothing(site: EntrySite) -> None:
    """One turns requests away for what is no time, one says neither yes nor no."""
    look_ups = LookUps(site)
    odd, unclear = site.targets["i-look-a1-0"], site.targets["i-look-b1-1"]
    async with look_ups.running():
        odd.rest = "soon"
        unclear.leaving = "perhaps"
        await asyncio.sleep(2.0)
        odd.rest = ""
        since = asyncio.get_running_loop().time()
        await asyncio.sleep(2.0)
    for target in (odd, unclear):
        assert any(r.at > since for r in target.runs), target.name
    logged = [e for entry in site.entries.values() for e in entry.events()]
    unreadable = {e["what"] for e in logged if e["event"] == "report_unreadable"}
    assert unreadable == {"leaving", "rest"}
