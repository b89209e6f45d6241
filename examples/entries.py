# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Entries on one machine, beside stand-ins of the platform: routes and a stop."""

import asyncio
import json
import signal
import time
from collections import Counter

from leverdoor.standins.entry_process import EntryProcess, Place
from leverdoor.standins.entry_site import SAMPLE_ROUTES, Answer, EntrySite
from leverdoor.standins.upstreams import UpstreamStandin

PLACES = {
    "entry-a1": Place("a1", "a"),
    "entry-a2": Place("a2", "a"),
    "entry-b1": Place("b1", "b"),
}
ZONES = ("a1", "a2", "b1")
LOOKUPS = 150
KEYS = 12
CONCURRENT = 20
QUOTA_REQUESTS = 60
WORKSPACES: list[dict[str, object]] = [
    {"name": "police", "api-keys": ["key-of-police"], "priority": 0},
    {"name": "ward", "api-keys": ["key-of-ward"], "rate-per-s": 4, "burst": 4},
]
UPLOAD = bytes(4 * 1024 * 1024)


def say(text: str) -> None:
    """Print one line of what happens."""
    print(text, flush=True)


async def look_up(site: EntrySite, entry: EntryProcess) -> Counter[str]:
    """Send look-ups of a few things and count which target served them."""
    before = {n: len(t.runs) for n, t in site.targets.items()}
    room = asyncio.Semaphore(CONCURRENT)

    async def one(number: int) -> Answer:
        key = {"X-Affinity-Key": str(number % KEYS)}
        async with room:
            return await site.request(entry, "GET", "/look/x", None, key)

    answers = await asyncio.gather(*(one(i) for i in range(LOOKUPS)))
    statuses = Counter(str(a.status) for a in answers)
    say(f"looked up   {LOOKUPS} at {entry.name}: answers {dict(statuses)}")
    return Counter({n: len(t.runs) - before[n] for n, t in site.targets.items()})


async def until_routed(site: EntrySite, path: str) -> float:
    """Wait until every entry routes a path; returns how long it took."""
    began = time.monotonic()
    for entry in site.entries.values():
        while (await site.request(entry, "GET", path)).status != 200:
            await asyncio.sleep(0.01)
    return time.monotonic() - began


async def use(site: EntrySite) -> None:
    """Do what clients and operators do."""
    first = site.entries["entry-a1"]
    while len(await site.resolve(first)) < 2:
        await asyncio.sleep(0.05)
    say(f"directory   for zone a1: {', '.join(await site.resolve(first))}")
    served = await look_up(site, first)
    say(f"served by   {dict(+served)}")
    answer = await site.request(first, "POST", "/upload/night", UPLOAD)
    digest = json.loads(answer.body)["digest"]
    say(f"uploaded    {len(UPLOAD) >> 20} MB: {answer.status}, digest {digest[:12]}")
    added = {**SAMPLE_ROUTES[0], "name": "new", "path-prefix": "/new/"}
    site.configure([*SAMPLE_ROUTES, added])
    took_s = await until_routed(site, "/new/x")
    say(f"configured  a route more, in force at all entries in {took_s:.2f} s")
    busy = asyncio.create_task(look_up(site, first))
    await asyncio.sleep(0.02)
    first.send(signal.SIGTERM)
    await busy
    status = await first.ended()
    say(f"stopped     {first.name} while it answered: status {status}")
    left = site.entries["entry-a2"]
    say(f"directory   for zone a2 now: {', '.join(await site.resolve(left))}")
    await use_workspaces(site, left)


async def use_workspaces(site: EntrySite, entry: EntryProcess) -> None:
    """Let two workspaces ask, one of which has a small quota."""
    site.configure(SAMPLE_ROUTES, tenants=WORKSPACES)
    while (await site.request(entry, "GET", "/look/x")).status != 401:
        await asyncio.sleep(0.01)
    say("configured  two workspaces: requests without a key are answered 401")
    for workspace in WORKSPACES:
        key = {"X-Credential": str(workspace["api-keys"][0])}  # type: ignore[index]
        answers = [
            await site.request(entry, "GET", "/look/x", None, key)
            for _ in range(QUOTA_REQUESTS)
        ]
        statuses = Counter(str(a.status) for a in answers)
        say(f"looked up   {QUOTA_REQUESTS} as {workspace['name']}: {dict(statuses)}")


async def main() -> None:
    """Start entries and stand-ins, use them, and end them all."""
    targets = [
        UpstreamStandin(f"i-{service}-{zone}-{i}", service, zone, slots=8)
        for service in ("look", "file")
        for zone in ZONES
        for i in range(2)
    ]
    site = EntrySite(PLACES, targets)
    say(f"starting    entries: {len(PLACES)} entries, {len(targets)} targets, a store")
    try:
        await site.start()
        await use(site)
    finally:
        await site.stop()
    say("done        entries, nothing left running")


if __name__ == "__main__":
    asyncio.run(main())
