# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Fixtures that several test files share."""

from collections.abc import AsyncIterator

import aiohttp
import pytest

from bench import Bench, deployment, running
from entry_bench import PLACES, targets
from known_red import read_known_red
from leverdoor.standins.entry_site import EntrySite


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the tests that KNOWN-RED.txt lists to fail, and no others."""
    known = {one.test: one for one in read_known_red()}
    for item in items:
        one = known.get(item.nodeid)
        if one is not None:
            reason = f"issue {one.issue}: {one.cause}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list, so that no run hides it."""
    for one in read_known_red():
        terminalreporter.write_line(f"KNOWN RED {one.test}: {one.cause}")


@pytest.fixture
async def bench() -> AsyncIterator[Bench]:
    async with running(deployment()) as b:
        yield b


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as s:
        yield s


@pytest.fixture
async def site() -> AsyncIterator[EntrySite]:
    made = EntrySite(PLACES, targets())
    try:
        await made.start()
        yield made
    finally:
        await made.stop()
