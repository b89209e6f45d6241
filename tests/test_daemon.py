# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of what runs daemons."""

import asyncio

import pytest

from leverdoor import daemon


async def test_a_loop_that_fails_starts_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(daemon, "RESTART_S", 0.0)
    starts = 0

    async def work() -> None:
        nonlocal starts
        starts += 1
        if starts < 3:
            raise ValueError("fault")

    await daemon.keep_running("work", work)
    assert starts == 3


async def test_a_loop_can_be_cancelled() -> None:
    task = asyncio.create_task(daemon.keep_running("wait", asyncio.Event().wait))  # type: ignore[arg-type]
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
