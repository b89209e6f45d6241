# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of entry processes under a series of random faults, drawn from a seed."""

import asyncio
import signal
from random import Random

import pytest

from entry_bench import (
    check_promises,
)
from leverdoor.standins.entry_process import EntryProcess
from leverdoor.standins.entry_site import SAMPLE_ROUTES, Answer, EntrySite
from leverdoor.standins.metadata import MetadataFaults


async def inject_fault(site: EntrySite, rng: Random, ended_targets: set[str]) -> None:
    """Inject one random fault."""
    kind = rng.choice(["kill", "stop", "store", "history", "config", "target"])
    # n3 keeps running, so that requests always find a running entry.
    entry = site.entries[rng.choice(sorted(set(site.entries) - {"n3"}))]
    if kind in ("kill", "stop") and entry.running:
        entry.send(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
        await entry.ended()
        await entry.start()
    elif kind == "store":
        faults = rng.choice(
            [
                MetadataFaults(silent=True),
                MetadataFaults(busy=503),
                MetadataFaults(reset=True),
                MetadataFaults(delay_s=0.3),
            ]
        )
        site.store.faults = faults
        await asyncio.sleep(0.5)
        site.store.faults = MetadataFaults()
    elif kind == "history":
        site.store.forget_history()
    elif kind == "config":
        site.configure(SAMPLE_ROUTES)
    else:
        candidates = sorted(
            n for n in site.targets if n.endswith("-0") and n not in ended_targets
        )
        if candidates:
            name = rng.choice(candidates)
            ended_targets.add(name)
            if rng.random() < 0.5:
                await site.end_target(name)
            else:
                site.drain_target(name)


async def send_requests(
    site: EntrySite, stop: asyncio.Event, client_number: int, unsafe_ids: set[str]
) -> list[Answer]:
    """Send requests in sequence, each to a random running entry, until `stop`."""
    rng = Random(client_number)
    collected: list[Answer] = []
    i = 0
    while not stop.is_set():
        i += 1
        request_id = f"{client_number:08x}{i:08x}"
        running: list[EntryProcess] = [e for e in site.entries.values() if e.running]
        entry = rng.choice(running)
        headers = {"X-Affinity-Key": str(rng.randrange(20))}
        if rng.random() < 0.5:
            unsafe_ids.add(request_id)
            collected.append(
                await site.request(
                    entry, "POST", "/file/x", b"x" * 100, headers, request_id
                )
            )
        else:
            collected.append(
                await site.request(entry, "GET", "/look/x", None, headers, request_id)
            )
        await asyncio.sleep(0.005)
    return collected


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_guarantees_hold_under_a_series_of_faults(
    site: EntrySite, seed: int
) -> None:
    rng = Random(seed)
    stop = asyncio.Event()
    unsafe_ids: set[str] = set()
    tasks = [
        asyncio.create_task(send_requests(site, stop, n, unsafe_ids)) for n in range(4)
    ]
    ended_targets: set[str] = set()
    for _ in range(5):
        await inject_fault(site, rng, ended_targets)
        await asyncio.sleep(0.2)
    for entry in site.entries.values():
        await site.ready(entry)
    stop.set()
    answers = [a for collected in await asyncio.gather(*tasks) for a in collected]
    check_promises(site, answers, unsafe_ids)
    assert sum(a.status == 200 for a in answers) > 0
    last = await site.request(site.entries["n1"], "GET", "/look/x")
    assert last.status == 200
