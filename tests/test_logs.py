# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of logs: JSON lines with one request id on every hop, and no secrets."""

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


async def test_every_hop_logs_the_request_id_and_no_secrets(
    bench: Bench,
    session: aiohttp.ClientSession,
    debug_logs: None,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Without targets of its own, this gate forwards the request to another one.
    bench.gates["vm00"]._held_units.rows.clear()
    request_headers = {h.REQUEST_ID: "followed", "Authorization": "secret-key"}
    url = f"http://{bench.listen()}/s/look/x"
    async with session.post(
        url, data=b"secret-body", headers=request_headers
    ) as response:
        assert response.status == 200
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    fields = [line["fields"] for line in lines]
    request_fields = [f for f in fields if f.get("request_id") == "followed"]
    # The first gate logs False, the one that received the forwarded request True.
    assert {f["forwarded"] for f in request_fields} == {"True", "False"}
    assert "secret" not in json.dumps(lines)
