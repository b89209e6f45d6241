# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of task restarts, early SIGHUP signals and the settings file watch."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import pytest

from leverdoor import lifecycle


async def test_a_failed_task_is_restarted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle, "RESTART_S", 0.0)
    starts = 0

    async def work() -> None:
        nonlocal starts
        starts += 1
        if starts < 3:
            raise ValueError("fault")

    await lifecycle.supervise("work", work)
    assert starts == 3


async def test_a_supervised_task_can_be_cancelled() -> None:
    task = asyncio.create_task(lifecycle.supervise("wait", asyncio.Event().wait))  # type: ignore[arg-type]
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_sighup_during_startup_does_not_end_the_process(tmp_path: Path) -> None:
    """SIGHUP that arrives while the process reads its settings must not end it.

    Its settings are not JSON, so it exits with an error; a positive return code shows
    that no signal ended it.
    """
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
    _, stderr = await process.communicate()
    assert process.returncode is not None and process.returncode > 0
    assert b"JSON" in stderr


async def test_a_replaced_settings_file_is_detected_without_a_signal(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(lifecycle, "SETTINGS_POLL_S", 0.01)
    settings = tmp_path / "settings"
    settings.write_text("1")
    contents: list[str] = []
    changed = asyncio.Event()

    def on_change() -> None:
        contents.append(settings.read_text())
        changed.set()

    task = asyncio.create_task(lifecycle.watch_file(settings, on_change))
    await asyncio.sleep(0.05)
    assert contents == []
    settings.unlink()
    await asyncio.sleep(0.05)
    replacement = tmp_path / "fresh"
    replacement.write_text("2")
    replacement.replace(settings)
    await changed.wait()
    assert contents == ["2"]
    task.cancel()
