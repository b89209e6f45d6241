# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Measures real agents at several fleet sizes: memory, processor, bytes, calls.

    python benchmarks/agents.py 12 24 36 48

Agents only, in regions of four, each a process; the store and the VM list are
stand-ins. A change goes in at one agent and is timed until all have it.
"""

import asyncio
import re
import statistics
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import msgspec

from leverdoor.agent.api import Status
from leverdoor.client.operator import Operator
from leverdoor.model.resources import Region, Resource, Service, Tier, WorkClass
from leverdoor.standins.deployments import Deployment, EntryVm
from leverdoor.standins.site import Site

REGION_VMS = 4
SETTLE_S = 4.0
MEASURE_S = 10.0
CHANGES = 15


def fleet(size: int) -> Deployment:
    vms = []
    regions = -(-size // REGION_VMS)
    for i in range(size):
        region = f"r{i % regions}"
        vms.append(EntryVm(f"vm{i:03}", region, f"{region}-{i // regions % 2}"))
    resources: list[Resource] = [
        Region(name=f"r{r}", domains=[f"r{r}-0", f"r{r}-1"]) for r in range(regions)
    ]
    resources.append(Service(name="s", work=WorkClass.LOOKUP))
    return Deployment(vms, [], resources)


def cpu_s(pid: int) -> float:
    """User and system time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def rss_mb(pid: int) -> float:
    text = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+)", text)
    assert found
    return int(found.group(1)) / 1024


async def metric(session: aiohttp.ClientSession, api: str, name: str) -> float:
    async with session.get(f"http://{api}/metrics") as answer:
        text = await answer.text()
    found = re.search(rf"^{re.escape(name)} (\S+)$", text, re.M)
    return float(found.group(1)) if found else 0.0


async def store_calls(session: aiohttp.ClientSession, site: Site) -> tuple[int, int]:
    async with session.get(f"http://{site.kv}/standin/counts") as answer:
        counts = await answer.json()
    return counts["reads"] + counts["writes"], counts["waiting"]


async def reach_all(
    session: aiohttp.ClientSession, operator: Operator, site: Site, n: int
) -> float:
    """Time from a change's acceptance until every agent has it."""
    done = await operator.apply([Tier(name="t", weight=1 + n)])
    began = time.monotonic()
    left = list(site.api.values())
    while left:
        found = await asyncio.gather(*(_revision(session, a) for a in left))
        left = [a for a, r in zip(left, found, strict=True) if r < done.revision]
        await asyncio.sleep(0.01)
    return time.monotonic() - began


async def _revision(session: aiohttp.ClientSession, api: str) -> int:
    async with session.get(f"http://{api}/v1/status") as answer:
        return msgspec.json.decode(await answer.read(), type=Status).revision


async def measure(site: Site, size: int) -> None:
    apis = list(site.api.values())
    pids = [p.pid for name, p in site.processes.items() if name.startswith("agent")]
    operator = Operator(apis[:1])
    async with aiohttp.ClientSession() as session:
        done = await operator.apply(site.deployment.resources)
        while min([await _revision(session, a) for a in apis]) < done.revision:
            await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)
        sent = [await metric(session, a, SENT) for a in apis]
        calls, _ = await store_calls(session, site)
        cpu = [cpu_s(p) for p in pids]
        await asyncio.sleep(MEASURE_S)
        cores = [(cpu_s(p) - c) / MEASURE_S for p, c in zip(pids, cpu, strict=True)]
        bytes_s = [
            (await metric(session, a, SENT) - s) / MEASURE_S
            for a, s in zip(apis, sent, strict=True)
        ]
        after, waiting = await store_calls(session, site)
        took = [await reach_all(session, operator, site, i) for i in range(CHANGES)]
    await operator.close()
    took.sort()
    print(
        f"| {size} | {statistics.mean(map(rss_mb, pids)):.1f} | "
        f"{100 * statistics.mean(cores):.2f} | {statistics.mean(bytes_s):.0f} | "
        f"{(after - calls) / MEASURE_S:.2f} | {waiting} | "
        f"{statistics.median(took):.2f} | {took[-1]:.2f} |",
        flush=True,
    )


SENT = 'leverdoor_gossip_bytes{direction="sent"}'


def main() -> None:
    sizes = [int(a) for a in sys.argv[1:]] or [12, 24, 36, 48]
    print(
        "| agents | MB resident | % of a core | gossip bytes/s sent | "
        "store calls/s | watches waiting | change everywhere, median s | greatest s |"
    )
    print("|---|---|---|---|---|---|---|---|", flush=True)
    for size in sizes:
        with tempfile.TemporaryDirectory() as logs:
            site = Site(fleet(size), Path(logs))
            try:
                site.start_kv()
                site.spawn("vms", "standins.cli", "vms", "--listen", site.vms)
                site.wait_port(site.kv)
                for vm in site.deployment.vms:
                    site.start_agent(vm)
                for vm in site.deployment.vms:
                    site.wait_port(site.api[vm.vm])
                asyncio.run(measure(site, size))
            finally:
                site.stop()


if __name__ == "__main__":
    main()
