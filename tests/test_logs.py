# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of logs: JSON lines that follow a request through every hop."""

import json
from collections.abc import Iterator

import aiohttp
import pytest
from loguru import logger

from bench import Bench
from leverdoor import headers as h
from leverdoor.logs import setup_logs


@pytest.fixture
def debug_logs() -> Iterator[None]:
    setup_logs("test", "vm", "DEBUG")
    yield
    logger.remove()


async def test_a_request_is_followed_through_its_hops(
    bench: Bench,
    session: aiohttp.ClientSession,
    debug_logs: None,
    capsys: pytest.CaptureFixture[str],
) -> None:
    bench.gates["vm00"]._held_units.rows.clear()
    head = {h.REQUEST_ID: "followed", "Authorization": "secret-key"}
    url = f"http://{bench.listen()}/s/look/x"
    async with session.post(url, data=b"secret-body", headers=head) as answer:
        assert answer.status == 200
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    fields = [line["fields"] for line in lines]
    mine = [f for f in fields if f.get("request_id") == "followed"]
    assert {f["forwarded"] for f in mine} == {"True", "False"}
    assert "secret" not in json.dumps(lines)
