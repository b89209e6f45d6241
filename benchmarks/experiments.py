# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Loads and faults on a site of real processes, and what came of each.

    python benchmarks/experiments.py --deployment utility
    python benchmarks/experiments.py --only steady,flood

Half of a deployment's size and slower targets than it has, since one machine
carries generator, gates and targets. Every answer is checked whole and its
own; targets' logs are checked against slots, caps, keys and what was told.
"""

import argparse
import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from leverdoor.client.load import Load, LoadPlan, LoadResult, Stream, StreamResult
from leverdoor.client.operator import Operator
from leverdoor.errors import Run
from leverdoor.model.resources import Drain
from leverdoor.standins.deployments import DEPLOYMENTS, build
from leverdoor.standins.site import Site, configure, target_logs

MEAN_MS = 150.0
SECONDS = 10.0
CAP_UNITS = 40


class Setting:
    """A running site, its look-up service and what it can carry."""

    def __init__(self, site: Site, operator: Operator, name: str) -> None:
        self.site, self.operator = site, operator
        shape = DEPLOYMENTS[name]
        self.lookup = shape.services[0].service.name
        self.once = shape.services[1].service.name
        self.mixed = shape.services[2].service.name
        self.regions = shape.regions
        self.high, self.low = shape.tiers[0].callers[0], ""
        slots = [t.slots for t in site.deployment.targets if t.service == self.lookup]
        self.capacity = sum(slots) / (MEAN_MS / 1000)

    def entries(self, region: str = "") -> tuple[str, ...]:
        vms = self.site.deployment.vms
        return tuple(self.site.gate[v.vm] for v in vms if region in ("", v.region))

    def streams(self, load: float, **more: object) -> list[Stream]:
        """Look-ups from every region, two of three from the paid tier."""
        each = load * self.capacity / len(self.regions)
        found = []
        for region in self.regions:
            for caller, share in ((self.high, 2 / 3), (self.low, 1 / 3)):
                found.append(
                    Stream(
                        self.lookup,
                        caller,
                        each * share,
                        entries=self.entries(region),
                        **more,  # type: ignore[arg-type]
                    )
                )
        return found

    async def order(self, name: str, **faults: object) -> None:
        body = {"mean_ms": MEAN_MS} | faults
        address = self.site.addresses[name]
        await asyncio.to_thread(self.site.post, address, "/.standin/faults", body)

    def targets(self, region: str = "", service: str = "") -> list[str]:
        return [
            t.name
            for t in self.site.deployment.targets
            if region in ("", t.region) and service in ("", t.service)
        ]


Fault = Callable[[], Awaitable[None]]


async def run(
    s: Setting, streams: list[Stream], fault: Fault | None = None
) -> LoadResult:
    load = Load(s.entries(), LoadPlan(tuple(streams), SECONDS))
    running = asyncio.create_task(load.run())
    if fault is not None:
        await asyncio.sleep(SECONDS / 4)
        await fault()
    return await running


def steady(load: float) -> Callable[[Setting], Awaitable[LoadResult]]:
    async def play(s: Setting) -> LoadResult:
        return await run(s, s.streams(load))

    return play


async def region_lost(s: Setting) -> LoadResult:
    dead = s.regions[0]

    async def fault() -> None:
        for v in s.site.deployment.vms:
            if v.region == dead:
                s.site.kill(f"gate-{v.vm}")
                s.site.kill(f"agent-{v.vm}")
        s.site.kill(f"targets-{dead}")

    return await run(s, s.streams(0.7, attempts=3), fault)


async def liar(s: Setting) -> LoadResult:
    await s.order(s.targets(s.regions[0], s.lookup)[0], shed=True, lie_idle=True)
    return await run(s, s.streams(0.8))


async def no_reports(s: Setting) -> LoadResult:
    for name in s.targets(service=s.lookup):
        await s.order(name, reports=False)
    return await run(s, s.streams(0.8))


async def cold_move(s: Setting) -> LoadResult:
    """A region is drained; the others' caches are cold for its callers."""
    for region in s.regions[1:]:
        for name in s.targets(region, s.lookup):
            await s.order(name, cold_factor=2.0, cold_requests=60)

    async def fault() -> None:
        await s.operator.apply([Drain(name="move", region=s.regions[0])])

    return await run(s, s.streams(0.5), fault)


async def domain_drain(s: Setting) -> LoadResult:
    async def fault() -> None:
        await s.operator.apply([Drain(name="d", domain=f"{s.regions[0]}-0")])

    return await run(s, s.streams(0.6), fault)


async def retry_storm(s: Setting) -> LoadResult:
    """All look-up targets are out for two seconds; callers keep repeating."""

    async def fault() -> None:
        for name in s.targets(service=s.lookup):
            await s.order(name, shed=True)
        await asyncio.sleep(2.0)
        for name in s.targets(service=s.lookup):
            await s.order(name)

    return await run(s, s.streams(0.8, attempts=8, deadline_ms=2000), fault)


async def flood(s: Setting) -> LoadResult:
    streams = s.streams(0.6)
    for region in s.regions:
        rate = s.capacity / len(s.regions)
        streams.append(Stream(s.lookup, s.low, rate, entries=s.entries(region)))
    return await run(s, streams)


async def night_batch(s: Setting) -> LoadResult:
    """Bulk uploads beside corrections on the same targets."""
    prefix = DEPLOYMENTS_BULK[s.mixed]
    bulk = Stream(
        s.mixed, s.low, 40.0, "POST", prefix + "x", body=60_000, deadline_ms=5000
    )
    people = Stream(s.mixed, s.high, 20.0, "POST", "entry", body=200)
    return await run(s, [bulk, people, *s.streams(0.6)])


DEPLOYMENTS_BULK = {
    shape.services[2].service.name: shape.services[2].service.bulk_prefixes[0]
    for shape in DEPLOYMENTS.values()
}
EXPERIMENTS: dict[str, Callable[[Setting], Awaitable[LoadResult]]] = {
    "steady 50%": steady(0.5),
    "steady 80%": steady(0.8),
    "steady 95%": steady(0.95),
    "steady 120%": steady(1.2),
    "region lost at 70%": region_lost,
    "one target sheds and reports idle, 80%": liar,
    "no reports, 80%": no_reports,
    "region drained onto cold caches, 50%": cold_move,
    "domain drained, 60%": domain_drain,
    "retry storm after 2 s without targets, 80%": retry_storm,
    "flood of the lowest tier, 160%": flood,
    "bulk beside corrections": night_batch,
}


def broken(s: Setting, result: LoadResult) -> list[str]:
    """Name the promises that the targets' logs show broken."""
    found = []
    alive = {t.region for t in s.site.deployment.targets} & {
        name.removeprefix("targets-") for name in s.site.processes
    }
    logs = {n: v for r in alive for n, v in target_logs(s.site, r).items()}
    if any(log.most_in_flight > log.slots for log in logs.values()):
        found.append("P2")
    ran = {a.request_id for log in logs.values() for a in log.arrivals if a.ran}
    if any(r == Run.NO and i in ran for i, r in result.told.items()):
        found.append("P4")
    keys: dict[str, int] = {}
    for log in logs.values():
        for a in log.arrivals:
            keys[a.key] = keys.get(a.key, 0) + a.ran
    if any(n > 1 for key, n in keys.items() if key):
        found.append("P5")
    if any(r.wrong for r in result.streams):
        found.append("P3")
    return found


def merged(results: list[StreamResult], caller: str) -> StreamResult:
    """Add up streams of one caller; the worst of their percentiles."""
    total = StreamResult("", caller, codes={}, served_by={})
    for r in results:
        if r.caller != caller or not r.sent:
            continue
        total.sent += r.sent
        total.good += r.good
        total.p50_ms = max(total.p50_ms, r.p50_ms)
        total.p99_ms = max(total.p99_ms, r.p99_ms)
        total.p999_ms = max(total.p999_ms, r.p999_ms)
        total.hint_ms = max(total.hint_ms, r.hint_ms)
        for code, n in r.codes.items():
            total.codes[code] = total.codes.get(code, 0) + n
    return total


def row(name: str, tier: str, r: StreamResult, extra: str) -> str:
    codes = ", ".join(f"{c} {n}" for c, n in sorted(r.codes.items())) or "none"
    share = r.good / r.sent if r.sent else 0.0
    return (
        f"| {name} | {tier} | {r.sent} | {share:.1%} | {r.p50_ms:.0f} | "
        f"{r.p99_ms:.0f} | {r.p999_ms:.0f} | {codes} | {r.hint_ms:.0f} | {extra} |"
    )


async def play(site: Site, deployment: str, name: str) -> list[str]:
    operator = await configure(site)
    s = Setting(site, operator, deployment)
    result = await EXPERIMENTS[name](s)
    wrong = ", ".join(await asyncio.to_thread(broken, s, result)) or "none"
    await operator.close()
    high = merged(result.streams, s.high)
    low = merged(result.streams, s.low)
    return [row(name, "paid", high, wrong), row(name, "default", low, "")]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=list(DEPLOYMENTS), default="utility")
    parser.add_argument("--only", default="")
    args = parser.parse_args()
    wanted = [w for w in args.only.split(",") if w]
    print(
        "| experiment | tier | sent | good | p50 ms | p99 ms | p99.9 ms | "
        "refused | mean hint ms | promises broken |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|", flush=True)
    for name in EXPERIMENTS:
        if wanted and not any(w in name for w in wanted):
            continue
        with tempfile.TemporaryDirectory() as logs:
            site = Site(build(args.deployment, 0.5), Path(logs), MEAN_MS)
            try:
                site.start()
                for line in asyncio.run(play(site, args.deployment, name)):
                    print(line, flush=True)
            finally:
                site.stop()


if __name__ == "__main__":
    main()
