# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Responses of running entries to long, malformed, slow and concurrent requests."""

import asyncio
import hashlib
import json
from collections.abc import AsyncIterator
from random import Random

import pytest

from entry_bench import (
    PLACES,
    runs,
    until_in_force,
)
from leverdoor.standins.entry_site import SAMPLE_ROUTES, EntrySite
from leverdoor.standins.upstreams import UpstreamStandin


async def test_long_uploads_arrive_complete_with_either_framing(
    site: EntrySite,
) -> None:
    body = Random(5).randbytes(3 * 1024 * 1024)

    async def parts() -> AsyncIterator[bytes]:
        for at in range(0, len(body), 100_000):
            yield body[at : at + 100_000]

    digest = hashlib.sha256(body).hexdigest()
    n1 = site.entries["n1"]
    for sent in (body, parts()):
        answer = await site.request(n1, "POST", "/upload/log", sent)
        assert answer.status == 200
        assert json.loads(answer.body)["digest"] == digest


MALFORMED_REQUESTS = [
    pytest.param(
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /look/z",
        id="two framings",
    ),
    pytest.param(
        "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef", id="two lengths"
    ),
    pytest.param("Content-Length: -1\r\n\r\n", id="negative length"),
    pytest.param("Transfer-Encoding: chunked\r\n\r\nzz\r\n", id="bad chunk"),
    pytest.param("Bad Header : x\r\nContent-Length: 0\r\n\r\n", id="bad header"),
]


@pytest.mark.parametrize("rest", MALFORMED_REQUESTS)
async def test_malformed_requests_are_refused_and_not_forwarded(rest: str) -> None:
    site = EntrySite({"n1": PLACES["n1"]}, [UpstreamStandin("i-1", "file", "a1")])
    try:
        await site.start([dict(SAMPLE_ROUTES[1])])
        host, port = site.entries["n1"].ports["frontend"].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = "POST /file/x HTTP/1.1\r\nHost: records.example\r\nX-Request-Id: 1\r\n"
        writer.write((head + rest).encode())
        async with asyncio.timeout(10):
            answer = await reader.read(4096)
        writer.close()
        assert answer.split(b" ", 2)[1] == b"400"
        assert not runs(site)
    finally:
        await site.stop()


SLOW_REQUESTS = [
    pytest.param(b"", b"", id="nothing"),
    pytest.param(b"GET /look/x HT", b"408", id="incomplete headers"),
]


@pytest.mark.parametrize(("sent", "status"), SLOW_REQUESTS)
async def test_slow_clients_are_disconnected(
    site: EntrySite, sent: bytes, status: bytes
) -> None:
    n1 = site.entries["n1"]
    limits = {"header-timeout-ms": 200, "idle-timeout-ms": 300}
    site.configure(SAMPLE_ROUTES[1:], limits)
    await until_in_force(site, "/look/x", 404)
    host, port = n1.ports["frontend"].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(sent)
    async with asyncio.timeout(10):
        answer = await reader.read()
    writer.close()
    assert answer[9:12] == status


async def test_empty_reply_is_relayed(site: EntrySite) -> None:
    """`relay_response` must not fail if aiohttp sets no Content-Type."""
    n1 = site.entries["n1"]
    for target in site.targets.values():
        target.empty = True
    answer = await site.request(n1, "GET", "/look/x")
    assert (answer.status, answer.body) == (200, b"")


async def test_expect_continue_is_answered(site: EntrySite) -> None:
    host, port = site.entries["n1"].ports["frontend"].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /file/x HTTP/1.1\r\nHost: records.example\r\nX-Request-Id: 1\r\n"
        b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    )
    async with asyncio.timeout(10):
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"ab")
        head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert head.startswith(b"HTTP/1.1 200")
    assert runs(site)["1"] == 1


async def test_saturated_target_refuses_with_retry_after(site: EntrySite) -> None:
    """Requests far beyond the target's slots are refused with a Retry-After header."""
    headers = {"X-Affinity-Key": "one"}
    n1 = site.entries["n1"]
    answers = await asyncio.gather(
        *(site.request(n1, "GET", "/look/x", None, headers) for _ in range(200))
    )
    refused = [a for a in answers if a.status == 503]
    assert refused
    assert all(0 < float(a.headers["Retry-After"]) < 1 for a in refused)
    assert sum(a.status == 200 for a in answers) >= 8
