# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Plays crowds against one process beside ordinary callers, and watches its memory.

A process that goes over its memory is killed, as on its VM: the resident memory and
what the kernel holds for it, received and not read. Owns the process of the crowd.
"""

import asyncio
import sys
from collections.abc import Callable, Collection
from pathlib import Path

import msgspec

from leverdoor.codec import parse_json, serialize_json
from leverdoor.process_memory import resident_bytes
from leverdoor.standins.crowds.callers import Callers, Service
from leverdoor.standins.crowds.client import CrowdReport
from leverdoor.standins.crowds.crowd import Crowd, Endpoint

__all__ = ["CrowdResult", "Watched", "kill_when_set", "play_crowd", "watch_memory"]

LOOK_S = 0.05
"""Interval in which the memory is looked at, in seconds."""
BYTES_PER_MB = 1024 * 1024
TCP_TABLE = Path("/proc/net/tcp")
"""The kernel's table of connections, with the bytes in their queues (proc(5))."""
SETTLE_S = 2.0
"""Time after a crowd has left before the process is looked at again, in seconds."""
CALL_S = 0.05
"""Interval of the ordinary callers, in seconds."""


class Watched(msgspec.Struct):
    """A process whose memory is watched."""

    pid: Callable[[], int]
    """Returns its number, which changes when it starts again."""
    host: str
    """Its loopback address, which no other process has."""
    ports: Collection[int]
    """Ports at which it listens."""
    memory_mb: int


class CrowdResult(msgspec.Struct):
    """What a crowd cost the process and the ordinary callers."""

    name: str
    before_mb: float = 0.0
    peak_mb: float = 0.0
    """Resident memory at its peak."""
    peak_unread_mb: float = 0.0
    """Bytes received and not read, at their peak."""
    after_mb: float = 0.0
    """Resident memory after the crowd has left."""
    killed: bool = False
    """Whether the process went over its memory and was killed."""
    broken: list[str] = []
    """Ids of requests that ran, though their answers promised the opposite."""
    callers: dict[str, Service] = {}
    crowd: CrowdReport = msgspec.field(default_factory=CrowdReport)

    def line(self) -> str:
        """Return the result in one line."""
        fared = ", ".join(
            f"{name} {service.line()}" for name, service in self.callers.items()
        )
        end = " KILLED" if self.killed else ""
        end += f" RAN {len(self.broken)}" if self.broken else ""
        return (
            f"{self.name}: {self.before_mb:.0f} {self.peak_mb:.0f}"
            f"+{self.peak_unread_mb:.0f} {self.after_mb:.0f} MB{end}; {fared}; "
            f"crowd {self.crowd.opened} {self.crowd.statuses}"
        )


async def play_crowd(
    crowd: Crowd,
    endpoint: Endpoint,
    watched: Watched,
    ordinary: dict[str, Endpoint],
    kill: "asyncio.Event",
    seconds: float,
    deadline_s: float,
) -> CrowdResult:
    """Play one crowd.

    Args:
      crowd: its clients.
      endpoint: where they go.
      watched: the process.
      ordinary: by name, where ordinary callers go.
      kill: set when the process goes over its memory; the caller kills it.
      seconds: how long.
      deadline_s: how long an ordinary caller waits, in seconds.
    """
    result = CrowdResult(f"{crowd.name} at {endpoint.path}")
    result.before_mb = _resident_mb(watched)
    watch = asyncio.create_task(watch_memory(watched, result, kill))
    callers = {name: Callers(d, CALL_S, deadline_s) for name, d in ordinary.items()}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "leverdoor.standins.crowds.client",
        crowd.name,
        serialize_json(endpoint).decode(),
        str(seconds),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        await asyncio.gather(*(c.run(seconds) for c in callers.values()))
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        watch.cancel()
    result.callers = {name: c.met for name, c in callers.items()}
    result.crowd = parse_json(output, CrowdReport)
    if not result.killed:
        await asyncio.sleep(SETTLE_S)
        result.after_mb = _resident_mb(watched)
    return result


async def kill_when_set(kill: asyncio.Event, end: Callable[[], None]) -> None:
    """Kill a process as soon as it goes over its memory."""
    await kill.wait()
    end()


async def watch_memory(
    watched: Watched, result: CrowdResult, kill: asyncio.Event
) -> None:
    """Keep the peaks of the memory; set an event if the process goes over its own."""
    while not result.killed:
        used_mb = _resident_mb(watched)
        unread_mb = await asyncio.to_thread(_unread_bytes, watched) / BYTES_PER_MB
        result.peak_mb = max(result.peak_mb, used_mb)
        result.peak_unread_mb = max(result.peak_unread_mb, unread_mb)
        if used_mb + unread_mb > watched.memory_mb:
            result.killed = True
            kill.set()
        await asyncio.sleep(LOOK_S)


def _resident_mb(watched: Watched) -> float:
    """Return the resident memory in MiB, 0 while the process does not run."""
    return resident_bytes(str(watched.pid())) / BYTES_PER_MB


def _unread_bytes(watched: Watched) -> int:
    """Return the bytes that the kernel holds unread for the process's listeners."""
    host = "".join(f"{int(part):02X}" for part in reversed(watched.host.split(".")))
    own = tuple(f"{host}:{port:04X}" for port in watched.ports)
    total = 0
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        parts = line.split()
        # Local address, state 01 (established) or 08 (closed by the client), queues.
        if parts[1] in own and parts[3] in ("01", "08"):
            total += int(parts[4].partition(":")[2], 16)
    return total
