# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Measures how soon a site of real processes follows what happens to it.

    python benchmarks/recovery.py

Six entry VMs, 23 targets, intervals as they are by default; the VM list lags
by 5 s, its bound is set to 10 s.
"""

import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from leverdoor.client.caller import Caller
from leverdoor.client.load import Load, LoadPlan, Stream
from leverdoor.client.operator import Operator
from leverdoor.errors import LeverdoorError
from leverdoor.model.resources import Drain, Resource, Target, Tier
from leverdoor.standins.deployments import build
from leverdoor.standins.site import Site, configure, free_slots, target_logs

LIST_LAG_S = 5.0
CHANGES = 40
RATE = 150.0


def say(text: str) -> None:
    print(text, flush=True)


async def in_force(site: Site, operator: Operator) -> None:
    """Time from the acceptance until all entries say that they have it."""
    took = [await _one_change(site, operator, i, False) for i in range(CHANGES)]
    _figures("change in force on all 6 entries, store up", took)
    lost = []
    for i in range(10):
        lost.append(await _one_change(site, operator, 500 + i, True))
        _store(site)
        await asyncio.sleep(3.0)
    _figures("the same, store lost right after the acceptance", lost)


async def _one_change(site: Site, operator: Operator, n: int, lose: bool) -> float:
    done = await operator.apply([Tier(name="batch", weight=1 + n, default=True)])
    began = time.monotonic()
    if lose:
        await asyncio.to_thread(_store, site, down=True)
    while True:
        status = await operator.status(done.revision)
        if status.in_force == status.entries == len(site.deployment.vms):
            return time.monotonic() - began
        if time.monotonic() - began > 30:
            return float("inf")
        await asyncio.sleep(0.01)


def _store(site: Site, **faults: object) -> None:
    site.post(site.kv, "/standin/faults", faults)


def _figures(name: str, took: list[float]) -> None:
    ordered = sorted(took)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    say(
        f"| {name} | {statistics.median(took):.2f} | {p99:.2f} | "
        f"{ordered[-1]:.2f} | {len(took)} |"
    )


async def route_around(site: Site, operator: Operator) -> None:
    """Time until no other entry names a killed gate; capacity idle until later."""
    before = await free_slots(operator)
    victim, others = site.deployment.vms[0], site.deployment.vms[1:]
    callers = [Caller([site.gate[v.vm]]) for v in others]
    site.kill(f"gate-{victim.vm}")
    site.kill(f"agent-{victim.vm}")
    began = time.monotonic()
    names = {v.vm: "live" for v in others}
    await asyncio.to_thread(site.list_vms, names, LIST_LAG_S)
    took = await asyncio.gather(
        *(_until_unnamed(c, site.gate[victim.vm], began) for c in callers)
    )
    _figures("killed gate named by no look-up", list(took))
    idle = []
    rest = Operator([site.api[v.vm] for v in others])
    while time.monotonic() - began < 60:
        free = await free_slots(rest)
        idle.append(1 - free / before)
        if free >= before:
            break
        await asyncio.sleep(0.1)
    await rest.close()
    say(
        f"slots idle after a VM of 6 died: {max(idle[1:]):.0%}, until "
        f"{time.monotonic() - began:.1f} s (list lag {LIST_LAG_S:.0f} s, bound 10 s)"
    )
    for c in callers:
        await c.close()
    await asyncio.to_thread(site.list_vms, {v.vm: "live" for v in site.deployment.vms})
    site.start_agent(victim)
    site.start_gate(victim)
    began = time.monotonic()
    while (await _held(operator)).get(victim.vm, 0) == 0:
        await asyncio.sleep(0.1)
    say(f"a replaced VM holds slots again after {time.monotonic() - began:.1f} s")


async def _held(operator: Operator) -> dict[str, int]:
    entries = await operator.report("entries")
    return {v.vm: v.held for v in entries.lines}  # type: ignore[union-attr]


async def _until_unnamed(caller: Caller, address: str, began: float) -> float:
    while True:
        try:
            answer = await caller.lookup("call-records", fresh=True)
            if address not in [e.address for e in answer.entries]:
                return time.monotonic() - began
        except LeverdoorError:
            pass
        await asyncio.sleep(0.02)


async def leaving(site: Site, operator: Operator) -> None:
    """Time from a leave until the target's last new request."""
    names = [t for t in site.deployment.targets if t.service == "call-records"]
    by_name = {t.name: t for t in site.deployment.targets}

    async def drain(name: str) -> None:
        await operator.apply([Drain(name="d", target=name)])

    async def own_word(name: str) -> None:
        faults = {"leaving": True, "mean_ms": 20.0}
        address = site.addresses[name]
        await asyncio.to_thread(site.post, address, "/.standin/faults", faults)

    async def by_list(name: str) -> None:
        vms = {v.vm: "live" for v in site.deployment.vms}
        await asyncio.to_thread(site.list_vms, vms | {f"host-{name}": "leaving"})

    ways: list[tuple[str, Callable[[str], Coroutine[Any, Any, None]], bool]] = [
        ("drain, store up", drain, False),
        ("own word, store up", own_word, False),
        ("VM list without lag, store up", by_list, False),
        ("own word, store down", own_word, True),
        ("VM list without lag, store down", by_list, True),
    ]
    hosts: list[Resource] = [
        Target(
            name=t.name,
            service=t.service,
            region=t.region,
            domain=t.domain,
            address=site.addresses[t.name],
            slots=t.slots,
            vm=f"host-{t.name}",
        )
        for t in names
    ]
    await operator.apply(hosts)
    await asyncio.sleep(1.0)
    for (label, leave, down), target in zip(ways, names, strict=False):
        if down:
            await asyncio.to_thread(_store, site, down=True)
            await asyncio.sleep(0.5)
        took, before = await _last_new(site, by_name[target.name].name, leave)
        say(f"| {label} | {took:.2f} | {before} |")
        if down:
            await asyncio.to_thread(_store, site)
            await asyncio.sleep(3.0)


async def _last_new(
    site: Site, name: str, leave: Callable[[str], Coroutine[Any, Any, None]]
) -> tuple[float, int]:
    """The last time after the leave at which a request came, and how many before."""
    stream = Stream("call-records", "ward", RATE)
    region = next(t.region for t in site.deployment.targets if t.name == name)
    entries = [site.gate[v.vm] for v in site.deployment.vms if v.region == region]
    load = Load(entries, LoadPlan((stream,), 8.0))
    running = asyncio.create_task(load.run())
    await asyncio.sleep(2.0)
    began = time.monotonic()
    await leave(name)
    await running
    log = (await asyncio.to_thread(target_logs, site, region))[name]
    last = max((a.at - began for a in log.arrivals if a.at > began), default=0.0)
    return last, sum(began - 2.0 < a.at <= began for a in log.arrivals)


async def play(site: Site, parts: list[str]) -> None:
    operator = await configure(site)
    say("| time in s | median | p99 | greatest | of |")
    say("|---|---|---|---|---|")
    if "in-force" in parts:
        await in_force(site, operator)
    if "route" in parts:
        await route_around(site, operator)
    if "leaving" not in parts:
        return
    say("| way of leaving | last new request after, s | in the 2 s before |")
    say("|---|---|---|")
    await leaving(site, operator)
    await operator.close()


def main() -> None:
    parts = sys.argv[1:] or ["in-force", "route", "leaving"]
    with tempfile.TemporaryDirectory() as logs:
        site = Site(build("utility", 0.5), Path(logs))
        try:
            site.start()
            asyncio.run(play(site, parts))
        finally:
            site.stop()


if __name__ == "__main__":
    main()
