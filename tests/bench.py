# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A whole site on one loop: real daemons' classes, sockets and stand-ins."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from functools import partial
from random import Random

from aiohttp import web

from leverdoor.agent.daemon import Agent
from leverdoor.client.caller import Caller
from leverdoor.client.operator import Operator
from leverdoor.gate.daemon import Gate
from leverdoor.model.resources import (
    Region,
    Resource,
    Service,
    ShiftCap,
    Tier,
    WorkClass,
)
from leverdoor.settings import AgentSettings, GateSettings, parse_address
from leverdoor.standins.deployments import Deployment, EntryVm, TargetPlan
from leverdoor.standins.kv import KvStandin
from leverdoor.standins.proxy import LoopbackProxy
from leverdoor.standins.site import HOST, free_ports
from leverdoor.standins.targets import TargetStandin
from leverdoor.standins.vms import VmListStandin
from leverdoor.storage.vm_list_client import Vm

TIMEOUT_S = 20.0


LOOKUP = Service(name="look", work=WorkClass.LOOKUP, deadline_ms=2000, linger_ms=50)
ONCE = Service(
    name="once",
    work=WorkClass.ONCE,
    deadline_ms=2000,
    linger_ms=50,
    bulk_prefixes=["bulk/"],
)
CAP = ShiftCap(name="c", service="look", region="r1", units=3, window_ms=400)


def deployment(vms: int = 2, regions: int = 1, targets: int = 2) -> Deployment:
    entry_vms, plans = [], []
    resources: list[Resource] = [LOOKUP, ONCE, Tier(name="t", default=True)]
    for r in range(regions):
        others = {f"r{o}": 1 for o in range(regions) if o != r}
        resources.append(
            Region(name=f"r{r}", domains=[f"r{r}-0", f"r{r}-1"], latency_ms=others)
        )
        for i in range(vms):
            entry_vms.append(EntryVm(f"vm{r}{i}", f"r{r}", f"r{r}-{i % 2}"))
        for service in ("look", "once"):
            for i in range(targets):
                name = f"{service}-{r}{i}"
                plans.append(TargetPlan(name, service, f"r{r}", f"r{r}-{i % 2}", 2))
    if regions > 1:
        resources.append(CAP)
    return Deployment(entry_vms, plans, resources)


def runs(bench: "Bench", service: str) -> list[str]:
    """Request ids that targets of a service ran, in order of arrival."""
    found = [
        a
        for name, t in bench.targets.items()
        if name.startswith(service)
        for a in t.log.arrivals
        if a.ran
    ]
    return [a.request_id for a in sorted(found, key=lambda a: a.at)]


async def until(true: Callable[[], bool], timeout_s: float = TIMEOUT_S) -> None:
    """Wait until something is so."""
    async with asyncio.timeout(timeout_s):
        while not true():
            await asyncio.sleep(0.02)


class Bench:
    """The parts of one deployment."""

    def __init__(
        self, deployment: Deployment, mean_ms: float = 2.0, linked: bool = False
    ) -> None:
        self.deployment = deployment
        self._linked = linked
        count = 5 * len(deployment.vms) + len(deployment.targets) + 2
        ports = [f"{HOST}:{p}" for p in free_ports(count)]
        self.kv = KvStandin()
        self.vms = VmListStandin([Vm(v.vm) for v in deployment.vms])
        self._kv_at, self._vms_at = ports.pop(), ports.pop()
        self.targets: dict[str, TargetStandin] = {}
        for i, t in enumerate(deployment.targets):
            target = TargetStandin(parse_address(ports.pop()), t.slots, Random(i))
            target.faults.mean_ms = mean_ms
            self.targets[t.name] = target
        self.places = {v.vm: [ports.pop() for _ in range(5)] for v in deployment.vms}
        self.links: dict[str, LoopbackProxy] = {}
        self._link_at = {
            v.vm: f"{HOST}:{p}"
            for v, p in zip(
                deployment.vms, free_ports(len(deployment.vms)), strict=True
            )
        }
        self.gates: dict[str, Gate] = {}
        self.agents: dict[str, Agent] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._runners: list[web.AppRunner] = []

    def resources(self) -> list[Resource]:
        addresses = {name: str(t.address) for name, t in self.targets.items()}
        return self.deployment.resources + self.deployment.target_resources(addresses)

    def api(self, vm: str = "vm00") -> str:
        return self.places[vm][0]

    def listen(self, vm: str = "vm00") -> str:
        return self.places[vm][3]

    async def start(self) -> None:
        await self._serve(self.kv.app(), self._kv_at)
        await self._serve(self.vms.app(), self._vms_at)
        for target in self.targets.values():
            await self._serve(target.app(), str(target.address))
        for vm in self.deployment.vms:
            link = LoopbackProxy(partial(self.places[vm.vm].__getitem__, 4))
            await link.start(parse_address(self._link_at[vm.vm]))
            self.links[vm.vm] = link
            self.start_agent(vm)
            self.start_gate(vm)
        operator = Operator([self.api()])
        while not any(t.done() for t in self._tasks.values()):
            with contextlib.suppress(Exception):
                applied = await operator.apply(self.resources())
                break
            await asyncio.sleep(0.05)
        for task in self._tasks.values():
            if task.done():
                task.result()
        await operator.wait(applied.revision, len(self.deployment.vms), TIMEOUT_S)
        await operator.close()
        slots = sum(t.slots for t in self.deployment.targets)
        await until(lambda: self.free() >= slots)

    def free(self) -> int:
        """Slots that all gates could use now."""
        now = asyncio.get_running_loop().time()
        return sum(
            load.free
            for g in self.gates.values()
            for load in g._scheduler.loads(now).values()
        )

    async def _serve(self, app: web.Application, address: str) -> None:
        at = parse_address(address)
        runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, at.host, at.port).start()
        self._runners.append(runner)

    def start_agent(self, vm: EntryVm) -> None:
        api, gossip, link, _, _ = map(parse_address, self.places[vm.vm])
        seeds = tuple(parse_address(p[1]) for p in self.places.values())
        agent = Agent(
            AgentSettings(
                vm=vm.vm,
                region=vm.region,
                domain=vm.domain,
                api=api,
                gossip=gossip,
                link=link,
                store=(f"http://{self._kv_at}",),
                vm_list=f"http://{self._vms_at}/vms",
                seeds=seeds,
                gossip_interval_ms=50,
                vm_list_interval_ms=100,
                vm_list_lag_ms=500,
                probe_interval_ms=200,
                seed=1,
            )
        )
        self.agents[vm.vm] = agent
        self._tasks[f"agent-{vm.vm}"] = asyncio.create_task(agent.run())

    def start_gate(self, vm: EntryVm) -> None:
        _, _, link, listen, relay = map(parse_address, self.places[vm.vm])
        gate = Gate(
            GateSettings(
                vm=vm.vm,
                region=vm.region,
                domain=vm.domain,
                listen=listen,
                relay=relay,
                relay_as=parse_address(self._link_at[vm.vm]) if self._linked else None,
                agent=link,
                lookup_ttl_ms=200,
                leave_grace_s=0.2,
                seed=1,
            )
        )
        self.gates[vm.vm] = gate
        self._tasks[f"gate-{vm.vm}"] = asyncio.create_task(gate.run())

    async def end(self, name: str) -> None:
        """Cancel a daemon without letting it finish anything."""
        task = self._tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def stopped(self, name: str) -> None:
        """Wait until a daemon that was asked to stop has ended."""
        await asyncio.wait_for(self._tasks.pop(name), TIMEOUT_S)

    async def stop(self) -> None:
        for name in sorted(self._tasks, reverse=True):
            await self.end(name)
        for link in self.links.values():
            await link.close()
        for runner in self._runners:
            await runner.cleanup()


@contextlib.asynccontextmanager
async def running(
    deployment: Deployment, mean_ms: float = 2.0, linked: bool = False
) -> AsyncIterator[Bench]:
    """Run a site for the length of a block."""
    bench = Bench(deployment, mean_ms, linked)
    try:
        await bench.start()
        yield bench
    finally:
        await bench.stop()


@contextlib.asynccontextmanager
async def calling(*entries: str, name: str = "") -> AsyncIterator[Caller]:
    """Have a caller for the length of a block."""
    caller = Caller(entries, name, Random(1))
    try:
        yield caller
    finally:
        await caller.close()
