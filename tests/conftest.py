# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Fixtures that several test files share."""

from collections.abc import AsyncIterator

import aiohttp
import pytest

from bench import Bench, deployment, running
from entry_bench import PLACES, targets
from leverdoor.standins.entry_site import EntrySite


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
