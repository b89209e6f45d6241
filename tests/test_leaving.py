# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of leaving targets, VMs and gates over real sockets on one event loop."""

import asyncio
import json
from collections.abc import AsyncIterator

import aiohttp
import pytest

from bench import Bench, calling, until
from leverdoor import headers as h
from leverdoor.agent.vm_list import VmListMonitor
from leverdoor.client.caller import Reply
from leverdoor.client.operator import Operator
from leverdoor.errors import Code, Refusal
from leverdoor.gate.daemon import Gate
from leverdoor.gate.pool import TargetPool
from leverdoor.membership.ownership import Table
from leverdoor.membership.peers import Peers
from leverdoor.model.resources import (
    Drain,
    Target,
)
from leverdoor.settings import Address, AgentSettings
from leverdoor.storage.vm_list_client import Vm, VmState


async def test_a_drained_target_receives_no_new_request(bench: Bench) -> None:
    operator = Operator([bench.api("vm01")])
    done = await operator.apply([Drain(name="d", target="look-00")])
    await operator.wait(done.revision, 2, 5)
    await operator.close()
    await _check_no_new_request(bench, "look-00")


async def _check_no_new_request(bench: Bench, name: str) -> None:
    before = len(bench.targets[name].log.arrivals)
    async with calling(bench.listen(), bench.listen("vm01")) as caller:
        asked = [caller.request("look", "x") for _ in range(50)]
        replies = await asyncio.gather(*asked, return_exceptions=True)
    assert any(isinstance(r, Reply) for r in replies)
    assert len(bench.targets[name].log.arrivals) == before


@pytest.mark.parametrize("store_down", [False, True])
async def test_a_target_that_announces_leaving_receives_no_new_request(
    bench: Bench, store_down: bool
) -> None:
    bench.kv.store.down = store_down
    bench.kv.store.wake_watches()
    bench.targets["look-00"].faults.leaving = True
    address = str(bench.targets["look-00"].address)
    await until(
        lambda: all(
            g._scheduler.targets._health[address].leaving
            for g in bench.gates.values()
            if g._held_units.held(f"t:{address}")
            and address in g._scheduler.targets._health
        )
    )
    await _check_no_new_request(bench, "look-00")


@pytest.mark.parametrize("store_down", [False, True])
async def test_a_target_on_a_leaving_vm_receives_no_new_request(
    bench: Bench, store_down: bool
) -> None:
    operator = Operator([bench.api("vm00")])
    target = Target(
        name="look-00",
        service="look",
        region="r0",
        domain="r0-0",
        address=str(bench.targets["look-00"].address),
        slots=2,
        vm="host",
    )
    done = await operator.apply([target])
    await operator.wait(done.revision, 2, 5)
    await operator.close()
    bench.kv.store.down = store_down
    bench.kv.store.wake_watches()
    bench.vms._shown = [Vm("vm00"), Vm("vm01"), Vm("host", VmState.LEAVING)]
    await until(
        lambda: all(
            "host" in g._scheduler.pool.leaving_vms for g in bench.gates.values()
        )
    )
    await _check_no_new_request(bench, "look-00")


class _Listed:
    """A VM list with one leaving VM."""

    async def fetch(self) -> list[Vm]:
        return [Vm("host", VmState.LEAVING)]

    async def close(self) -> None:
        pass


async def test_leaving_vms_stay_known_while_the_vm_list_reader_changes() -> None:
    """An agent keeps the leaving VMs for vm_list_lag_ms after its latest reading.

    When the store stops responding to the agent that reads the list, another agent
    takes over and needs time for its first reading.
    """
    here = Address("127.0.0.1", 1)
    settings = AgentSettings("vm00", "r0", "r0-0", here, here, here, (), "http://h")
    watch = VmListMonitor(settings)
    await watch.close()
    watch._list = _Listed()  # type: ignore[assignment]
    await watch.read(Table("r0"), Peers("vm00", "r0"))
    lag_s = settings.vm_list_lag_ms / 1000
    now = asyncio.get_running_loop().time()
    watch.expire_leaving(now + lag_s / 2)
    assert watch.leaving == {"host"}
    watch.expire_leaving(now + lag_s + 0.1)
    assert watch.leaving == frozenset()


async def test_a_look_up_excludes_a_vm_that_the_vm_list_marks_leaving(
    bench: Bench,
) -> None:
    bench.vms._shown = [Vm("vm00", VmState.LEAVING), Vm("vm01")]
    named = {bench.listen("vm00")}
    async with calling(bench.listen("vm01")) as caller:
        async with asyncio.timeout(10):
            while bench.listen("vm00") in named:
                answer = await caller.lookup("look", fresh=True)
                named = {e.address for e in answer.entries}
        reply = await caller.request("look", "x")
    assert named == {bench.listen("vm01")}
    assert reply.status == 200


async def test_without_the_drain_check_a_drained_target_receives_requests(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(TargetPool, "in_service", lambda pool, target: True)
    with pytest.raises(AssertionError):
        await test_a_drained_target_receives_no_new_request(bench)


async def test_a_caller_that_disconnects_cancels_its_look_up(
    bench: Bench, session: aiohttp.ClientSession
) -> None:
    """Without cancellation the requests would run for five minutes."""
    for target in bench.targets.values():
        target.faults.fixed, target.faults.mean_ms = True, 300_000.0
    url = f"http://{bench.listen()}/s/look/x"
    timeout = aiohttp.ClientTimeout(total=0.2)
    with pytest.raises(TimeoutError):
        await session.get(url, timeout=timeout)
    assert any(t.log.arrivals for t in bench.targets.values())
    await until(lambda: not any(t._in_flight for t in bench.targets.values()))


async def _upload_during_shutdown(bench: Bench, leaving: bool = True) -> None:
    """Stop a gate during an upload, end another VM's agent and check the upload.

    With `leaving`, also check that the gate refuses requests while it drains.
    """

    async def slow() -> AsyncIterator[bytes]:
        for _ in range(20):
            yield b"x" * 50_000
            await asyncio.sleep(0.05)

    vm = bench.listen("vm00")
    async with calling(vm) as caller:
        entries = (await caller.lookup("once")).entries
        entries[:] = [e for e in entries if e.address == vm]
        upload = asyncio.create_task(caller.upload("once", "bulk/x", slow(), 1_000_000))
        await asyncio.sleep(0.2)
        bench.gates["vm00"].stop()
        await asyncio.sleep(0.1)
        await bench.end("agent-vm01")
        if leaving:
            await asyncio.sleep(0.5)
            await _check_bound_but_closed(vm)
        reply = await upload
        await bench.stopped("gate-vm00")
    assert json.loads(reply.body)["bytes"] == 1_000_000


async def _check_bound_but_closed(address: str) -> None:
    """Check that the address stays bound and new requests are refused.

    Binding an address proves that its previous process has ended.
    """
    host, port = address.split(":")
    with pytest.raises(OSError):
        await asyncio.start_server(lambda r, w: None, host, int(port))
    url = f"http://{address}/s/look/x"
    async with aiohttp.ClientSession() as session, session.get(url) as answer:
        assert answer.headers[h.CODE] == str(int(Code.LEAVING))


async def test_a_graceful_shutdown_of_a_gate_completes_an_upload(bench: Bench) -> None:
    await _upload_during_shutdown(bench)


async def test_without_draining_a_shutdown_aborts_an_upload(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def at_once(gate: Gate) -> None:
        return None

    monkeypatch.setattr(Gate, "_leave", at_once)
    with pytest.raises(Refusal):
        await _upload_during_shutdown(bench, leaving=False)
