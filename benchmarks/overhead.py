# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What a gate adds to a direct connection, and its memory under a large upload.

    python benchmarks/overhead.py

Direct and through a gate are measured in turns in one run; ratios carry over
to other machines, times do not.
"""

import asyncio
import re
import statistics
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp

from leverdoor.client.caller import Caller
from leverdoor.client.operator import Operator
from leverdoor.standins.deployments import Deployment, EntryVm, TargetPlan, build
from leverdoor.standins.site import Site, configure

REQUESTS = 3_000
CONCURRENT = 8
TURNS = 3
UPLOAD_BYTES = 1 << 30
CHUNK = b"x" * (256 * 1024)


def deployment(vms: int) -> Deployment:
    shape = build("utility", 0.1)
    region = shape.vms[0].region
    entry = [EntryVm(f"vm{i:02}", region, f"{region}-{i % 2}") for i in range(vms)]
    targets = [
        TargetPlan(f"{service}-0", service, region, f"{region}-0", 16)
        for service in ("call-records", "records")
    ]
    return Deployment(entry, targets, shape.resources)


async def flood(url: str) -> tuple[float, float, float]:
    """Requests a second, p50 and p99 in ms, with a few at a time."""
    took: list[float] = []
    left = iter(range(REQUESTS))
    async with aiohttp.ClientSession() as session:

        async def worker() -> None:
            for _ in left:
                began = time.perf_counter()
                async with session.get(url) as answer:
                    assert answer.status == 200, await answer.read()
                    await answer.read()
                took.append(time.perf_counter() - began)

        began = time.perf_counter()
        await asyncio.gather(*(worker() for _ in range(CONCURRENT)))
        total = time.perf_counter() - began
    took.sort()
    return (
        REQUESTS / total,
        took[len(took) // 2] * 1e3,
        took[int(len(took) * 0.99)] * 1e3,
    )


def rss_mb(pid: int) -> float:
    text = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+)", text)
    assert found
    return int(found.group(1)) / 1024


async def speed(site: Site) -> None:
    direct = f"http://{site.addresses['call-records-0']}/x"
    gate = f"http://{site.gate['vm00']}/s/call-records/x"
    rows: dict[str, list[tuple[float, float, float]]] = {"direct": [], "gate": []}
    for _ in range(TURNS):
        rows["direct"].append(await flood(direct))
        rows["gate"].append(await flood(gate))
    print("| way | requests/s | p50 ms | p99 ms |")
    print("|---|---|---|---|")
    for name, found in rows.items():
        mean = [statistics.mean(r[i] for r in found) for i in range(3)]
        print(f"| {name} | {mean[0]:.0f} | {mean[1]:.2f} | {mean[2]:.2f} |")
    ratios = [
        [g[i] / d[i] for d, g in zip(rows["direct"], rows["gate"], strict=True)]
        for i in range(3)
    ]
    shown = [f"{statistics.mean(r):.2f} ({min(r):.2f} to {max(r):.2f})" for r in ratios]
    print(f"| gate over direct | {shown[0]} | {shown[1]} | {shown[2]} |", flush=True)


async def upload(site: Site) -> None:
    pid = site.processes["gate-vm00"].pid
    before = rss_mb(pid)
    most = before

    async def chunks() -> AsyncIterator[bytes]:
        nonlocal most
        for i in range(UPLOAD_BYTES // len(CHUNK)):
            if i % 64 == 0:
                most = max(most, rss_mb(pid))
            yield CHUNK

    caller = Caller([site.gate["vm00"]], "towers")
    began = time.monotonic()
    await caller.upload("records", "batch/big", chunks(), UPLOAD_BYTES)
    took = time.monotonic() - began
    await caller.close()
    print(
        f"upload of 1 GB: {UPLOAD_BYTES / took / 1e6:.0f} MB/s; the gate's resident "
        f"memory {before:.1f} MB before, {most:.1f} MB at most",
        flush=True,
    )


async def play(site: Site) -> None:
    operator: Operator = await configure(site)
    await speed(site)
    await upload(site)
    await operator.close()


def main() -> None:
    with tempfile.TemporaryDirectory() as logs:
        site = Site(deployment(1), Path(logs), mean_ms=0.01)
        try:
            site.start()
            asyncio.run(play(site))
        finally:
            site.stop()


if __name__ == "__main__":
    main()
