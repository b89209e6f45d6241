# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Real entries on loopback, and what must hold of all they answer."""

import asyncio
import contextlib
import json
from collections import Counter
from collections.abc import AsyncIterator

from leverdoor.standins.entry_process import Place
from leverdoor.standins.entry_site import Answer, EntrySite
from leverdoor.standins.upstreams import UpstreamStandin

PLACES = {
    "n1": Place("a1", "a"),
    "n2": Place("a1", "a"),
    "n3": Place("b1", "b"),
}


PAUSE_S = 1 / 60
"""Time between two look-ups of `LookUps`, in seconds."""
KEYS = 40
"""Keys of these look-ups."""
NOT_RUN = (429, 503, 408, 421)


def targets() -> list[UpstreamStandin]:
    return [
        UpstreamStandin(f"i-{service}-{zone}-{i}", service, zone)
        for service in ("look", "file")
        for zone in ("a1", "b1")
        for i in range(2)
    ]


def runs(site: EntrySite) -> Counter[str]:
    return Counter(r.request_id for t in site.targets.values() for r in t.runs)


def check_own(answer: Answer) -> None:
    """A success is the target's whole answer to this request."""
    if answer.status == 200:
        assert json.loads(answer.body)["id"] == answer.request_id
        assert answer.headers["X-Server-Stamp"]
        assert answer.headers["X-Request-Id"] == answer.request_id
    else:
        assert "X-Server-Stamp" not in answer.headers


def check_promises(site: EntrySite, answers: list[Answer], unsafe: set[str]) -> None:
    """No unsafe request ran twice; none that was refused ran."""
    ran = runs(site)
    for answer in answers:
        check_own(answer)
        if answer.request_id in unsafe:
            assert ran[answer.request_id] <= 1, answer
            if answer.status in NOT_RUN:
                assert ran[answer.request_id] == 0, answer
        if answer.status == 200:
            assert ran[answer.request_id] >= 1


async def until_in_force(site: EntrySite, path: str, status: int) -> None:
    """Wait until every running entry answers a path with a status."""
    for entry in site.entries.values():
        if not entry.running:
            continue
        for _ in range(1000):
            answer = await site.request(entry, "GET", path)
            if answer.status == status:
                break
            await asyncio.sleep(0.01)
        else:
            raise AssertionError(f"{path} never became {status} at {entry.name}")


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

    def served_share(self) -> float:
        """Return the part of look-ups that was answered with success."""
        for answer in self.answers:
            check_own(answer)
        return sum(a.status == 200 for a in self.answers) / len(self.answers)
