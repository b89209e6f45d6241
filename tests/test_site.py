# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The promises on real processes that are killed, frozen, cut off and stopped.

What is checked is what the stand-in targets saw and what callers were told.
"""

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import pytest

from bench import calling
from leverdoor.client.caller import Caller
from leverdoor.client.load import Load, LoadPlan, LoadResult, Stream
from leverdoor.client.operator import Operator
from leverdoor.errors import Code, LeverdoorError, Refusal, Run
from leverdoor.model.resources import ClientBlocks, Drain, Tier, resource_key
from leverdoor.standins.deployments import Deployment, build
from leverdoor.standins.site import Site, configure, target_logs
from leverdoor.standins.targets import TargetLog

AGENT = [
    "--gossip-interval-ms=100",
    "--vm-list-interval-ms=300",
    "--vm-list-lag-ms=1500",
]
GATE = ["--lookup-ttl-ms=500", "--leave-grace-s=0.5"]
SECONDS = 8.0
WINDOW_S = 1.0
CAP_UNITS = 40
DOWN = {"down": True}


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    made = Site(build("utility", 0.5), tmp_path, 20.0, AGENT, GATE)
    try:
        made.start()
        asyncio.run(configured(made))
        yield made
    finally:
        made.stop()


async def configured(site: Site) -> None:
    await (await configure(site)).close()


def plan(site: Site, rate: float = 60.0) -> LoadPlan:
    return LoadPlan(
        (
            Stream("call-records", "ward", rate * 2, attempts=3),
            Stream("call-records", "towers", rate, attempts=3),
            Stream("disputes", "ward", rate / 2, "POST", body=100, attempts=3),
            Stream("records", "police", rate / 2, "PUT", body=100, attempts=3),
        ),
        SECONDS,
    )


async def load_while(site: Site, *faults: tuple[float, object]) -> LoadResult:
    """Send a load and bring about faults at their times."""
    load = Load(list(site.gate.values()), plan(site))

    async def strike() -> None:
        began = time.monotonic()
        for at, fault in faults:
            await asyncio.sleep(max(0.0, began + at - time.monotonic()))
            assert callable(fault)
            await asyncio.to_thread(fault)

    result, _ = await asyncio.gather(load.run(), strike())
    return result


async def until_served(site: Site) -> None:
    """Look up until it is answered, however late a busy machine may be."""
    async with calling(*site.gate.values(), name="ward") as caller:
        while True:
            try:
                await caller.request("call-records", "x", deadline_ms=5_000)
            except Refusal:
                await asyncio.sleep(0.1)
            else:
                return


def check_promises(
    result: LoadResult, found: dict[str, TargetLog], deployment: Deployment
) -> None:
    """P1 to P5, from the targets' logs and the callers' answers."""
    by_id: dict[str, int] = {}
    for log in found.values():
        assert log.most_in_flight <= log.slots
        for a in log.arrivals:
            by_id[a.request_id] = by_id.get(a.request_id, 0) + a.ran
    assert sum(s.wrong for s in result.streams) == 0
    assert sum(s.good for s in result.streams) > 0
    for request_id, run in result.told.items():
        if run == Run.NO:
            assert by_id.get(request_id, 0) == 0, request_id
    keys: dict[str, int] = {}
    for log in found.values():
        for a in log.arrivals:
            if a.key:
                keys[a.key] = keys.get(a.key, 0) + a.ran
    assert keys
    assert max(keys.values()) == 1


def check_shifts(found: dict[str, TargetLog], deployment: Deployment, dead: str) -> int:
    """P1: with a region dead, its callers' requests are foreign elsewhere."""
    worst = 0
    for region in {t.region for t in deployment.targets} - {dead}:
        at = sorted(
            a.at
            for t in deployment.targets
            if t.region == region and t.service == "call-records"
            for a in found[t.name].arrivals
        )
        for i, first in enumerate(at):
            worst = max(worst, sum(first <= x < first + WINDOW_S for x in at[i:]))
    return worst


def test_promises_hold_under_kills_and_freezes(site: Site) -> None:
    frozen = site.deployment.vms[1].vm

    def start_again() -> None:
        site.start_gate(site.deployment.vms[0])

    result = asyncio.run(
        load_while(
            site,
            (1.0, lambda: site.kill("gate-vm00")),
            (1.5, lambda: site.signal(f"gate-{frozen}", signal.SIGSTOP)),
            (2.0, lambda: site.kill("agent-vm02")),
            (3.0, start_again),
            (4.0, lambda: site.start_agent(site.deployment.vms[2])),
            (5.0, lambda: site.signal(f"gate-{frozen}", signal.SIGCONT)),
            (6.0, lambda: site.kill("gate-vm03")),
        )
    )
    check_promises(result, target_logs(site), site.deployment)


def test_promises_hold_when_the_store_goes_and_vms_are_replaced(site: Site) -> None:
    names = [v.vm for v in site.deployment.vms]

    def store(**faults: object) -> None:
        site.post(site.kv, "/standin/faults", faults)

    def lose_vm() -> None:
        site.kill("gate-vm00")
        site.kill("agent-vm00")
        site.list_vms({n: "live" for n in names if n != "vm00"}, lag_s=0.5)

    def vm_comes_back() -> None:
        site.start_agent(site.deployment.vms[0])
        site.start_gate(site.deployment.vms[0])
        site.list_vms(dict.fromkeys(names, "live"), lag_s=1.0)

    result = asyncio.run(
        load_while(
            site,
            (0.5, lambda: store(hang=True)),
            (1.0, lose_vm),
            (2.5, vm_comes_back),
            (3.0, lambda: store(down=True)),
            (4.0, lambda: store(delay_s=0.3, lose_answers=3)),
            (5.0, lambda: site.list_vms({n: "leaving" for n in names[:1]} | {})),
            (6.0, lambda: site.list_vms(dict.fromkeys(names, "live"))),
        )
    )
    check_promises(result, target_logs(site), site.deployment)


def test_promises_hold_when_a_region_dies(site: Site) -> None:
    """Callers of the dead region go on elsewhere, within the caps.

    All callers here are of its client block, so all that other regions get
    is shifted traffic.
    """
    dead = "kolkata"

    async def map_callers() -> None:
        operator = Operator(list(site.api.values()))
        blocks = ClientBlocks(name="all", networks={dead: ["127.0.0.0/8"]})
        done = await operator.apply([blocks])
        await operator.wait(done.revision, len(site.deployment.vms), 10)
        await operator.close()

    asyncio.run(map_callers())
    kept: dict[str, TargetLog] = {}

    def kill_region() -> None:
        kept.update(target_logs(site, dead))
        for vm in site.deployment.vms:
            if vm.region == dead:
                site.kill(f"gate-{vm.vm}")
                site.kill(f"agent-{vm.vm}")
        site.kill(f"targets-{dead}")

    result = asyncio.run(load_while(site, (2.0, kill_region)))
    asyncio.run(until_served(site))
    alive = {
        name: log
        for region in ("siliguri", "durgapur")
        for name, log in target_logs(site, region).items()
    }
    runs = [a for log in alive.values() for a in log.arrivals if a.ran]
    assert all(log.most_in_flight <= log.slots for log in alive.values())
    assert all(log.most_in_flight <= log.slots for log in kept.values())
    assert runs
    assert sum(s.wrong for s in result.streams) == 0
    found = {n: TargetLog("", 0, 0, []) for n in kept} | alive
    assert 0 < check_shifts(found, site.deployment, dead) <= CAP_UNITS
    told_no = {i for i, run in result.told.items() if run == Run.NO}
    assert not told_no & {a.request_id for a in runs}


def test_a_drained_region_shifts_within_its_caps(site: Site) -> None:
    home = "kolkata"
    entries = [site.gate[v.vm] for v in site.deployment.vms if v.region == home]

    async def play() -> None:
        operator = Operator(list(site.api.values()))
        done = await operator.apply([Drain(name="d", region=home)])
        await operator.wait(done.revision, len(site.deployment.vms), 10)
        await operator.close()
        await asyncio.sleep(0.5)
        stream = Stream("call-records", "ward", 200.0, entries=tuple(entries))
        await Load(entries, LoadPlan((stream,), 4.0)).run()

    asyncio.run(play())
    worst = check_shifts(target_logs(site), site.deployment, home)
    assert 0 < worst <= CAP_UNITS


def test_accepted_configuration_survives_everything_starting_again(
    site: Site,
) -> None:
    d = site.deployment

    async def play() -> None:
        operator = Operator(list(site.api.values()))
        done = await operator.apply([Tier(name="counter", weight=77)])
        await operator.wait(done.revision, len(d.vms), 10)
        await asyncio.to_thread(site.post, site.kv, "/standin/faults", {"down": True})
        with pytest.raises(LeverdoorError) as e:
            await operator.apply([Tier(name="counter", weight=78)])
        assert e.value.code is Code.STORE_UNAVAILABLE
        assert e.value.retry_after_ms > 0
        for vm in d.vms[1:]:
            site.kill(f"agent-{vm.vm}")
            site.start_agent(vm)
            await in_force(site, vm.vm, done.revision)
        for vm in d.vms:
            for kind in ("agent", "gate"):
                site.kill(f"{kind}-{vm.vm}")
            site.start_agent(vm)
            site.start_gate(vm)
        await asyncio.sleep(1.0)
        with pytest.raises(LeverdoorError) as e:
            await operator.get_one("tier/counter")
        assert e.value.code in (Code.NO_CONFIGURATION, Code.STORE_UNAVAILABLE)
        await asyncio.to_thread(site.post, site.kv, "/standin/faults", {})
        for vm in d.vms:
            await in_force(site, vm.vm, done.revision)
        await operator.close()

    asyncio.run(play())


@pytest.mark.parametrize("fault", ["frozen", "region dead"])
def test_configuration_reaches_all_that_live(site: Site, fault: str) -> None:
    """One agent is frozen longer than any time-out, or a region is dead."""
    d = site.deployment
    struck = d.vms[:1]
    if fault == "region dead":
        struck = [v for v in d.vms if v.region == d.vms[0].region]

    async def play() -> None:
        operator = Operator([site.api[v.vm] for v in d.vms if v not in struck])
        for v in struck:
            if fault == "frozen":
                site.signal(f"agent-{v.vm}", signal.SIGSTOP)
            else:
                site.kill(f"agent-{v.vm}")
                site.kill(f"gate-{v.vm}")
        await asyncio.sleep(4.0)
        done = await operator.apply([Tier(name="counter", weight=77)])
        for v in d.vms:
            if v not in struck:
                await in_force(site, v.vm, done.revision)
        for v in struck:
            if fault == "frozen":
                site.signal(f"agent-{v.vm}", signal.SIGCONT)
            else:
                site.start_agent(v)
                site.start_gate(v)
            await in_force(site, v.vm, done.revision)
        await operator.close()

    asyncio.run(play())


async def in_force(site: Site, vm: str, revision: int) -> None:
    """Wait until an agent has a revision, and see that it is the right one."""
    operator = Operator([site.api[vm]])
    async with asyncio.timeout(30):
        while True:
            try:
                item = json.loads(await operator.get_one("tier/counter"))
                if item["revision"] >= revision:
                    break
            except LeverdoorError:
                pass
            await asyncio.sleep(0.1)
    assert item["revision"] == revision
    assert item["resource"]["weight"] == 77
    await operator.close()


@pytest.mark.timeout(150)
def test_a_planned_stop_cuts_no_long_upload(site: Site) -> None:
    """A weekend log of over a minute across stops of all on its way."""
    seconds, chunk = 64, b"x" * 20_000

    async def slow() -> AsyncIterator[bytes]:
        for _ in range(seconds * 10):
            yield chunk
            await asyncio.sleep(0.1)

    async def play() -> None:
        vm = site.deployment.vms[0]
        async with calling(site.gate[vm.vm], name="towers") as caller:
            only_entry(caller, await caller.lookup("records"), site.gate[vm.vm])
            length = seconds * 10 * len(chunk)
            upload = asyncio.create_task(
                caller.upload("records", "batch/night", slow(), length)
            )
            await asyncio.sleep(3)
            site.signal(f"gate-{vm.vm}", signal.SIGTERM)
            site.kill(f"agent-{vm.vm}")
            await asyncio.sleep(3)
            await drain_where_it_runs(site)
            for other in site.deployment.vms[1:]:
                site.signal(f"gate-{other.vm}", signal.SIGTERM)
            await asyncio.to_thread(site.post, site.kv, "/standin/faults", DOWN)
            site.signal(f"gate-{vm.vm}", signal.SIGSTOP)
            await asyncio.sleep(2)
            site.signal(f"gate-{vm.vm}", signal.SIGCONT)
            reply = await upload
        assert json.loads(reply.body)["bytes"] == length

    asyncio.run(play())
    for vm in site.deployment.vms:
        assert site.processes[f"gate-{vm.vm}"].wait(15) == 0


def only_entry(caller: Caller, answer: object, address: str) -> None:
    """Have a caller use one entry only."""
    entries = caller._cache["records"].answer.entries
    entries[:] = [e for e in entries if e.address == address]


async def drain_where_it_runs(site: Site) -> None:
    found = await asyncio.to_thread(target_logs, site)
    name = next(n for n, log in found.items() if log.most_in_flight)
    operator = Operator([site.api["vm01"], site.api["vm02"]])
    done = await operator.apply([Drain(name="d", target=name)])
    assert done.keys == [resource_key(Drain(name="d", target=name))]
    await operator.close()


def test_refusals_come_at_once_with_when_to_come_back(site: Site) -> None:
    async def play() -> None:
        async with calling(*site.gate.values(), name="towers") as caller:
            began = time.monotonic()
            asked = [
                caller.request("disputes", "x", "POST", b"x", 5000, attempts=1)
                for _ in range(1500)
            ]
            found = await asyncio.gather(*asked, return_exceptions=True)
            took = time.monotonic() - began
        refused = [e for e in found if isinstance(e, Refusal) and e.run is Run.NO]
        assert refused
        assert all(e.retry_after_ms > 0 for e in refused)
        assert took < 60

    asyncio.run(play())
