# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Plays a crowd from a process of its own, for a bounded time.

Run as `python -m leverdoor.standins.crowds.client CROWD ENDPOINT SECONDS`: its name,
where it goes as JSON, and for how long. Prints what its clients met. Owns their
connections, which end with the process.
"""

import asyncio
import sys
from collections.abc import Callable
from functools import partial
from itertools import count

import msgspec

from leverdoor.codec import parse_json, serialize_json
from leverdoor.settings import parse_address
from leverdoor.standins.crowds.crowd import CROWDS, Crowd, Endpoint, request_head

__all__ = ["CrowdReport", "main"]

OPENING_S = 1.0
"""Time over which the connections are opened, in seconds."""
LOOK_S = 0.01
"""Interval in which due connections are opened, in seconds."""
REOPEN_S = 0.2
"""Time after which a closed connection is opened again, in seconds."""
SEND_S = 0.005
"""Interval in which it is looked whether a part was sent, in seconds."""
NOT_RUN = ("408", "421", "429", "503")
"""Statuses of answers that promise that the request has not run."""
STATUS_BYTES = 12
"""Length of the beginning of an answer, up to its status."""


class CrowdReport(msgspec.Struct):
    """What a crowd met."""

    opened: int = 0
    closed: int = 0
    refused: int = 0
    """Connections that did not open."""
    statuses: dict[str, int] = {}
    """Connections by the status of their first answer."""
    not_run: list[str] = []
    """Ids of first requests whose answer promises that they have not run."""


class _Client(asyncio.BufferedProtocol):
    """One connection of a crowd."""

    def __init__(self, crowd: Crowd, endpoint: Endpoint, name: str) -> None:
        self._crowd = crowd
        self._endpoint = endpoint
        self._name = name
        self._transport: asyncio.Transport | None = None
        self._timers: dict[str, asyncio.TimerHandle] = {}
        """By what is due, when it is."""
        self._buffer = bytearray(max(crowd.read_bytes, 1))
        self.closed: asyncio.Future[None] = asyncio.Future()
        self.status = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._crowd.read_bytes:
            transport.pause_reading()
        transport.write(self._requests())
        self._repeat()
        if self._crowd.reset_s:
            self._call_later("reset", self._crowd.reset_s, transport.abort)

    def _requests(self) -> bytes:
        """Return what is sent first."""
        parts = []
        for request in range(self._crowd.requests):
            request_id = f"{self._name}-{request}"
            parts.append(request_head(self._crowd, self._endpoint, request_id))
            parts.append(bytes(self._crowd.body_bytes))
        return b"".join(parts) + self._crowd.start

    def _call_later(self, due: str, delay_s: float, call: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self._timers[due] = loop.call_later(delay_s, call)

    def _repeat(self) -> None:
        """Send the repeated part when the last one is sent, or once an interval."""
        transport = self._transport
        if transport is None or not self._crowd.repeated:
            return
        if transport.get_write_buffer_size() == 0:
            transport.write(self._crowd.repeated)
        self._call_later("repeat", self._crowd.interval_s or SEND_S, self._repeat)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        if not self.status:
            start = bytes(self._buffer[: min(nbytes, STATUS_BYTES)])
            self.status = start.decode("latin-1")[-3:]
        if self._crowd.read_interval_s and self._transport is not None:
            self._transport.pause_reading()
            interval_s = self._crowd.read_interval_s
            self._call_later("read", interval_s, self._transport.resume_reading)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        for timer in self._timers.values():
            timer.cancel()
        if not self.closed.done():
            self.closed.set_result(None)


def _local_address(number: int) -> str:
    """Return one of the loopback addresses from which clients come."""
    return f"127.251.0.{1 + number}" if number else "127.0.0.1"


async def _keep_open(
    crowd: Crowd, endpoint: Endpoint, number: int, met: CrowdReport
) -> None:
    """Keep one connection of a crowd open."""
    loop = asyncio.get_running_loop()
    address = parse_address(endpoint.address)
    for opening in count():
        name = f"crowd-{number}-{opening}"
        create = partial(_Client, crowd, endpoint, name)
        local = (_local_address(number % crowd.addresses), 0)
        try:
            _, client = await loop.create_connection(
                create, address.host, address.port, local_addr=local
            )
        except OSError:
            met.refused += 1
            await asyncio.sleep(REOPEN_S)
            continue
        met.opened += 1
        await client.closed
        met.closed += 1
        status = client.status or "none"
        met.statuses[status] = met.statuses.get(status, 0) + 1
        if status in NOT_RUN:
            met.not_run.append(f"{name}-0")
        await asyncio.sleep(REOPEN_S)


async def play(crowd: Crowd, endpoint: Endpoint, seconds: float) -> CrowdReport:
    """Play a crowd for a number of seconds."""
    met = CrowdReport()
    tasks: list[asyncio.Task[None]] = []
    loop = asyncio.get_running_loop()
    started = loop.time()
    while (passed_s := loop.time() - started) < seconds:
        # A busy loop opens in one turn all that are due.
        due = int(crowd.connections * min(passed_s / OPENING_S, 1.0))
        for number in range(len(tasks), due):
            tasks.append(asyncio.create_task(_keep_open(crowd, endpoint, number, met)))
        await asyncio.sleep(LOOK_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return met


def main(arguments: list[str]) -> int:
    """Play the crowd that the arguments describe, and print its report."""
    crowd = CROWDS[arguments[0]]
    endpoint = parse_json(arguments[1], Endpoint)
    met = asyncio.run(play(crowd, endpoint, float(arguments[2])))
    sys.stdout.write(serialize_json(met).decode() + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
