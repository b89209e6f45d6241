# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One entry as a real process: started, signalled, and its log read.

State: the process and where its log stood at its last start. Relies on a settings file
that the site writes.
"""

import asyncio
import json
import os
import resource
import signal
import sys
from pathlib import Path

import msgspec

__all__ = ["EntryProcess", "Place"]

STOP_S = 10.0
"""Longest time that a process may take to end, in seconds."""


class Place(msgspec.Struct, frozen=True):
    """Where an entry or a target stands."""

    zone: str
    region: str


class EntryProcess:
    """One entry as a process."""

    def __init__(
        self, name: str, place: Place, settings: Path, ports: dict[str, str]
    ) -> None:
        """Create it; `start` runs it.

        Args:
          name: its name.
          place: where it stands.
          settings: its settings file.
          ports: by purpose, where it listens.
        """
        self.name = name
        self.place = place
        self.settings = settings
        self.ports = ports
        self.log = settings.with_suffix(".log")
        self.program = "leverdoor.platform"
        self.python = [sys.executable]
        """Command that runs it; another checkout's Python runs that version."""
        self.environment: dict[str, str] = {}
        self.descriptors = 0
        """Number of file descriptors that it may open; 0 for this process's own."""
        self.incarnation = 0
        """How often it was started."""
        self._log_before = 0
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        self._log_before = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self.python,
                "-m",
                self.program,
                env=os.environ
                | {"LEVERDOOR_SETTINGS": str(self.settings)}
                | self.environment,
                stdout=log,
                stderr=log,
            )
        if self.descriptors:
            _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            limits = (self.descriptors, hard)
            resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limits)

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Return the number of the process, which was started."""
        assert self._process is not None
        return self._process.pid

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    async def ended(self) -> int:
        """Wait for the end of the process, and return its status."""
        assert self._process is not None
        async with asyncio.timeout(STOP_S):
            return await self._process.wait()

    def has_logged(self) -> bool:
        """Return whether the process has logged a line since its last start."""
        return self.log.stat().st_size > self._log_before

    def events(self) -> list[dict[str, object]]:
        """Return what the process has logged."""
        lines = self.log.read_bytes().splitlines()
        return [json.loads(line) for line in lines if line.startswith(b"{")]
