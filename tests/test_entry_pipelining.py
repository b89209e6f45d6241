# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Requests that clients send before the first answer, at an entry with its targets."""

import asyncio
import json
import re
import signal
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from bench import until
from leverdoor.standins.entry_process import Place
from leverdoor.standins.entry_site import SAMPLE_ROUTES, EntrySite
from leverdoor.standins.upstreams import UpstreamStandin

HELD = "/look/held"
"""Path of requests whose runs the test releases."""


class HoldingTarget(UpstreamStandin):
    """A target that answers some requests only when the test says so."""

    def __init__(self, name: str, service: str) -> None:
        super().__init__(name, service, "a1", slots=16, work_s=0.001)
        self.released = asyncio.Event()

    async def _answer(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = await super()._answer(request, headers)
        if request.path == HELD:
            await self.released.wait()
        return response

    def reached_by(self) -> set[str]:
        return {arrival.request_id for arrival in self.arrivals}

    def answered(self) -> set[str]:
        return {a.request_id for a in self.arrivals if a.answered_at}


@pytest.fixture
async def targets() -> dict[str, HoldingTarget]:
    return {s: HoldingTarget(f"i-{s}", s) for s in ("look", "file")}


@pytest.fixture
async def held_site(targets: dict[str, HoldingTarget]) -> AsyncIterator[EntrySite]:
    site = EntrySite({"n1": Place("a1", "a")}, list(targets.values()))
    try:
        await site.start([{**route, "timeout-ms": 30_000} for route in SAMPLE_ROUTES])
        yield site
    finally:
        for target in targets.values():
            target.released.set()
        await site.stop()


def request(request_id: str, path: str, method: str = "GET") -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: records.example\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 30000\r\n"
        f"X-Affinity-Key: {request_id}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def connect(
    site: EntrySite,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = site.front(site.entries["n1"]).split(":")
    return await asyncio.open_connection(host, int(port))


async def read_answer(reader: asyncio.StreamReader) -> tuple[bytes, str]:
    """Return the head of the next answer and the id that its body states."""
    async with asyncio.timeout(20):
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"\r\nContent-Length: (\d+)", head)
        assert length is not None
        body = await reader.readexactly(int(length[1]))
    assert head.startswith(b"HTTP/1.1 200 ")
    return head, json.loads(body)["id"]


async def test_safe_requests_on_one_connection_reach_targets_side_by_side(
    held_site: EntrySite, targets: dict[str, HoldingTarget]
) -> None:
    """The five behind a slow one are answered by targets while it still runs."""
    reader, writer = await connect(held_site)
    ids = [f"r{i}" for i in range(6)]
    paths = [HELD, *(f"/look/{i}" for i in range(1, 6))]
    writer.write(b"".join(map(request, ids, paths)))
    await until(lambda: targets["look"].answered() == set(ids[1:]))
    assert "r0" in targets["look"].reached_by()
    targets["look"].released.set()
    assert [(await read_answer(reader))[1] for _ in ids] == ids
    writer.close()


async def test_an_unsafe_request_behind_a_safe_one_waits_for_its_answer(
    held_site: EntrySite, targets: dict[str, HoldingTarget]
) -> None:
    reader, writer = await connect(held_site)
    writer.write(request("safe", HELD) + request("unsafe", "/file/x", "POST"))
    await until(lambda: "safe" in targets["look"].reached_by())
    assert not targets["file"].reached_by()
    targets["look"].released.set()
    assert [(await read_answer(reader))[1] for _ in range(2)] == ["safe", "unsafe"]
    writer.close()


async def test_a_client_that_leaves_ends_all_its_runs(
    held_site: EntrySite, targets: dict[str, HoldingTarget]
) -> None:
    """A target drops a run when its connection closes: none is ever answered."""
    _, writer = await connect(held_site)
    ids = [f"r{i}" for i in range(4)]
    writer.write(b"".join(request(i, HELD) for i in ids))
    await until(lambda: targets["look"].reached_by() == set(ids))
    writer.transport.abort()
    events = held_site.entries["n1"].events
    await until(
        lambda: (
            {e["request_id"] for e in events() if e["event"] == "client_left"}
            == set(ids)
        )
    )
    targets["look"].released.set()
    assert not targets["look"].answered()


async def test_an_entry_that_stops_answers_all_requests_of_a_connection(
    held_site: EntrySite, targets: dict[str, HoldingTarget]
) -> None:
    reader, writer = await connect(held_site)
    ids = ["r0", "r1", "r2", "unsafe"]
    writer.write(b"".join(request(i, HELD) for i in ids[:3]))
    writer.write(request("unsafe", "/file/x", "POST"))
    await until(lambda: targets["look"].reached_by() == set(ids[:3]))
    held_site.entries["n1"].send(signal.SIGTERM)
    events = held_site.entries["n1"].events
    await until(lambda: any(e.get("change") == "leaving" for e in events()))
    targets["look"].released.set()
    answers = [await read_answer(reader) for _ in ids]
    assert [answered_id for _, answered_id in answers] == ids
    closing = [b"Connection: close" in head for head, _ in answers]
    assert closing == [False, False, False, True]
    assert await reader.read() == b""
    writer.close()
