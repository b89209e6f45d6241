# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of gates and their peers over real sockets on one event loop."""

import asyncio
import json

import aiohttp
import pytest

from bench import CAP, Bench, calling, deployment, running, runs, until
from leverdoor import headers as h
from leverdoor.agent.probing import PROBE_PATH
from leverdoor.client.caller import Reply
from leverdoor.client.operator import Operator
from leverdoor.errors import Code, Refusal, Run
from leverdoor.gate.hop_client import HopResponse
from leverdoor.model.resources import (
    Drain,
)
from leverdoor.standins.deployments import Deployment, TargetPlan


async def test_every_caller_gets_its_own_answer(bench: Bench) -> None:
    async with calling(bench.listen(), bench.listen("vm01")) as caller:

        async def answered(path: str) -> Reply:
            """Retry until a response arrives; a busy machine may miss deadlines."""
            while True:
                try:
                    return await caller.request("look", path)
                except Refusal:
                    await asyncio.sleep(0.05)

        replies = await asyncio.gather(
            *(answered(f"x?size={i * 997}") for i in range(100))
        )
    for i, reply in enumerate(replies):
        body = json.loads(reply.body)
        assert body["request_id"] == reply.request_id
        assert len(body["pad"]) == i * 997


async def test_no_target_exceeds_its_slots(bench: Bench) -> None:
    async with calling(bench.listen(), bench.listen("vm01")) as caller:
        asked = [caller.request("look", "x") for _ in range(200)]
        replies = await asyncio.gather(*asked, return_exceptions=True)
    assert len([r for r in replies if isinstance(r, Reply)]) >= 8
    for target in bench.targets.values():
        assert target.log.most_in_flight <= target.log.slots


async def test_a_truncated_response_is_an_error(
    bench: Bench, session: aiohttp.ClientSession
) -> None:
    for target in bench.targets.values():
        target.faults.cut_answers = 10
    url = f"http://{bench.listen()}/s/look/x?size=600000"
    with pytest.raises(aiohttp.ClientPayloadError):
        async with session.get(url) as answer:
            await answer.read()


async def _serve_undelimited_responses(bench: Bench) -> asyncio.Server:
    """Replace the look-up targets by one that marks a response's end by closing."""

    async def serve_undelimited(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if PROBE_PATH.encode() in head:
            writer.write(b"HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n")
        else:
            writer.write(b"HTTP/1.0 200 OK\r\n\r\npart")
        writer.close()

    server = await asyncio.start_server(serve_undelimited, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    await _replace_targets(bench, "look", f"127.0.0.1:{port}")
    return server


async def test_a_response_without_a_delimiter_is_an_error(
    bench: Bench, session: aiohttp.ClientSession
) -> None:
    server = await _serve_undelimited_responses(bench)
    async with session.get(f"http://{bench.listen()}/s/look/x") as answer:
        assert answer.status == 502
        assert answer.headers[h.RUN] == Run.MAYBE
    server.close()


async def test_without_the_delimiter_check_a_truncated_response_looks_complete(
    bench: Bench, session: aiohttp.ClientSession, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(HopResponse, "delimited", True)
    server = await _serve_undelimited_responses(bench)
    async with session.get(f"http://{bench.listen()}/s/look/x") as answer:
        assert (answer.status, await answer.read()) == (200, b"part")
    server.close()


async def test_a_response_that_names_another_request_is_an_error(
    bench: Bench, session: aiohttp.ClientSession
) -> None:
    """A surplus response on a kept connection was relayed to the next caller."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        other = f"{h.REQUEST_ID}: other\r\n".encode()
        writer.write(b"HTTP/1.1 200 OK\r\n" + other + b"Content-Length: 2\r\n\r\nno")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    await _replace_targets(bench, "look", f"127.0.0.1:{port}")
    async with session.get(f"http://{bench.listen()}/s/look/x") as answer:
        assert answer.status == 502
        assert answer.headers[h.RUN] == Run.MAYBE
    server.close()


async def _replace_targets(bench: Bench, service: str, address: str) -> None:
    """Replace the targets of a service by one at an address."""
    operator = Operator([bench.api("vm00")])
    for name in bench.targets:
        if name.startswith(service):
            await operator.delete(f"target/{name}")
    plan = TargetPlan("only", service, "r0", "r0-0", 4)
    made = Deployment([], [plan], []).target_resources({"only": address})
    await operator.apply(made)
    await operator.close()
    await until(
        lambda: any(
            f"t:{address}" in g._held_units.rows
            and g._held_units.free(f"t:{address}", asyncio.get_running_loop().time())
            for g in bench.gates.values()
        )
    )


@pytest.mark.parametrize("size", [1000, 300_000])
async def test_a_truncated_upload_never_runs(bench: Bench, size: int) -> None:
    reader, writer = await asyncio.open_connection(*bench.listen().split(":"))
    path = "/s/once/bulk/x"
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n"
    writer.write(head.encode() + b"x" * (size // 2))
    await writer.drain()
    await asyncio.sleep(0.1)
    writer.close()
    await asyncio.sleep(0.2)
    assert runs(bench, "once") == []


@pytest.mark.parametrize(
    "head",
    [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: +5\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Bad Header: x\r\n",
        "X: " + "y" * 20_000 + "\r\n",
    ],
)
async def test_bad_framing_never_reaches_a_target(bench: Bench, head: str) -> None:
    reader, writer = await asyncio.open_connection(*bench.listen().split(":"))
    text = f"POST /s/look/x HTTP/1.1\r\nHost: a\r\n{head}\r\n5\r\nhello\r\n0\r\n\r\n"
    writer.write(text.encode())
    line = await reader.readline()
    assert line.split()[1] == b"400"
    writer.close()
    assert runs(bench, "look") == []


async def test_a_slow_body_holds_no_slot(bench: Bench) -> None:
    reader, writer = await asyncio.open_connection(*bench.listen().split(":"))
    writer.write(b"POST /s/look/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx")
    before = bench.free()
    await asyncio.sleep(0.1)
    assert bench.free() == before
    line = await reader.readline()
    assert line.split()[1] == b"408"
    writer.close()


async def test_hop_by_hop_headers_are_not_forwarded(
    bench: Bench, session: aiohttp.ClientSession
) -> None:
    found: list[str] = []

    async def show(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        found.append(head.decode().lower())
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close, X-Hop\r\n"
            b"X-Hop: 1\r\nX-Kept: 1\r\nLeverdoor-Run: no\r\n\r\nok"
        )
        writer.close()

    server = await asyncio.start_server(show, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    await _replace_targets(bench, "look", f"127.0.0.1:{port}")
    sent = {"Connection": "X-Mine", "X-Mine": "1", "TE": "x", "X-Passes": "1"}
    sent |= {h.HOP: "1", h.TIER: "t"}
    url = f"http://{bench.listen()}/s/look/x"
    async with session.get(url, headers=sent) as answer:
        assert answer.headers[h.RUN] == "yes"
        assert "X-Kept" in answer.headers
        assert "X-Hop" not in answer.headers
    request = next(f for f in found if "/x " in f)
    assert "x-passes" in request
    assert "x-mine" not in request
    assert "\nte:" not in request
    assert "leverdoor-tier" not in request
    server.close()


# Refusals and overload.


async def test_a_request_reported_as_not_run_did_not_run(
    bench: Bench, session: aiohttp.ClientSession
) -> None:
    """Overloads the targets and compares the callers' responses with target logs."""
    for target in bench.targets.values():
        target.faults.mean_ms = 30.0
    reported_run: dict[str, str] = {}

    async def one(i: int) -> None:
        head = {h.REQUEST_ID: f"id{i}", h.DEADLINE: "150"}
        url = f"http://{bench.listen(f'vm0{i % 2}')}/s/look/x"
        async with session.get(url, headers=head) as answer:
            reported_run[f"id{i}"] = answer.headers[h.RUN]
            if answer.headers[h.RUN] == Run.NO:
                assert int(answer.headers[h.RETRY_AFTER_MS]) > 0

    await asyncio.gather(*(one(i) for i in range(400)))
    ran = set(runs(bench, "look"))
    refused = {i for i, run in reported_run.items() if run == Run.NO}
    assert refused
    assert not refused & ran


async def test_a_shedding_target_that_reports_idle_serves_no_request(
    bench: Bench,
) -> None:
    shedding = bench.targets["look-00"]
    shedding.faults.shed = shedding.faults.lie_idle = True
    async with calling(bench.listen(), bench.listen("vm01")) as caller:
        for _ in range(40):
            reply = await caller.request("look", "x")
            assert reply.served_by == "r0/look-01"


async def test_a_service_without_targets_is_refused_with_retry_after(
    bench: Bench,
) -> None:
    operator = Operator([bench.api("vm00")])
    for name in ("look-00", "look-01"):
        await operator.delete(f"target/{name}")
    await operator.close()
    # Only the slots of `once` are left; a heartbeat then informs the other gate.
    await until(lambda: bench.free() == 4)
    await asyncio.sleep(0.3)
    async with calling(bench.listen()) as caller:
        with pytest.raises(Refusal) as e:
            await caller.request("look", "x", deadline_ms=300)
    assert e.value.code is Code.NO_TARGET
    assert e.value.retry_after_ms > 0


# Shift caps.


async def test_shifted_requests_do_not_exceed_the_shift_cap() -> None:
    async with running(deployment(vms=2, regions=2)) as bench:
        for target in bench.targets.values():
            target.faults.mean_ms = 5.0
        operator = Operator([bench.api("vm00")])
        done = await operator.apply([Drain(name="d", region="r0")])
        await operator.wait(done.revision, 4, 5)
        await operator.close()

        refused: list[str] = []

        async def one(caller_vm: str) -> bool:
            async with calling(bench.listen(caller_vm)) as caller:
                try:
                    await caller.request("look", "x", deadline_ms=1500)
                except Refusal as e:
                    refused.append(str(e))
                    return e.run is not Run.NO
                return True

        vms = [f"vm0{i % 2}" for i in range(30)]
        served = await asyncio.gather(*(one(vm) for vm in vms))
        at = sorted(
            a.at
            for name, t in bench.targets.items()
            if name.startswith("look-1")
            for a in t.log.arrivals
        )
        assert sum(served) == len(at), refused
        assert len(at) > CAP.units, refused
        for i in range(len(at) - CAP.units):
            assert at[i + CAP.units] - at[i] >= CAP.window_ms / 1000
