# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of what runs daemons."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import pytest

from leverdoor import lifecycle


async def test_a_loop_that_fails_starts_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle, "RESTART_S", 0.0)
    starts = 0

    async def work() -> None:
        nonlocal starts
        starts += 1
        if starts < 3:
            raise ValueError("fault")

    await lifecycle.supervise("work", work)
    assert starts == 3


async def test_a_loop_can_be_cancelled() -> None:
    task = asyncio.create_task(lifecycle.supervise("wait", asyncio.Event().wait))  # type: ignore[arg-type]
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_a_reload_asked_for_at_the_start_ends_nothing(tmp_path: Path) -> None:
    """A process that still reads its settings when SIGHUP comes goes on."""
    settings = tmp_path / "settings"
    os.mkfifo(settings)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "leverdoor.platform",
        env=os.environ | {"LEVERDOOR_SETTINGS": str(settings)},
        stderr=asyncio.subprocess.PIPE,
    )
    writer = await asyncio.to_thread(open, settings, "wb")
    process.send_signal(signal.SIGHUP)
    writer.write(b"not settings")
    writer.close()
    _, told = await process.communicate()
    assert process.returncode is not None and process.returncode > 0
    assert b"JSON" in told


async def test_a_file_that_changes_without_a_signal_is_noticed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(lifecycle, "SETTINGS_POLL_S", 0.01)
    settings = tmp_path / "settings"
    settings.write_text("1")
    seen: list[str] = []
    told = asyncio.Event()

    def take() -> None:
        seen.append(settings.read_text())
        told.set()

    task = asyncio.create_task(lifecycle.watch_file(settings, take))
    await asyncio.sleep(0.05)
    assert seen == []
    settings.unlink()
    await asyncio.sleep(0.05)
    fresh = tmp_path / "fresh"
    fresh.write_text("2")
    fresh.replace(settings)
    await told.wait()
    assert seen == ["2"]
    task.cancel()
