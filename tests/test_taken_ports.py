# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Entries start beside ports that another process holds."""

import asyncio
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from leverdoor.platform.settings import (
    HEARTBEAT_PORT_OFFSET,
    METRICS_PORT,
    STATE_TRANSFER_PORT_OFFSET,
)
from leverdoor.settings import parse_address
from leverdoor.standins.entry_process import EntryProcess
from leverdoor.standins.entry_site import EntrySite

PORTS = {
    "frontend": 0,
    "ready": 1,
    "directory": 2,
    "gossip": 3 + HEARTBEAT_PORT_OFFSET,
    "state": 3 + STATE_TRANSFER_PORT_OFFSET,
}
"""Ports of an entry of a site, counted from the first one."""

pytestmark = pytest.mark.timeout(120)


@contextmanager
def taken(host: str, port: int, kind: socket.SocketKind) -> Iterator[None]:
    """Hold a port."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_REUSEADDR, kind is socket.SOCK_STREAM
        )
        sock.bind((host, port))
        if kind is socket.SOCK_STREAM:
            sock.listen()
        yield


async def stop(entry: EntryProcess) -> str:
    """Stop an entry; returns its host."""
    entry.send(signal.SIGTERM)
    await entry.ended()
    return parse_address(entry.ports["frontend"]).host


async def reports_taken_port(entry: EntryProcess) -> None:
    while not any(e.get("change") == "port taken" for e in entry.events()):
        assert entry.running
        await asyncio.sleep(0.05)


async def test_an_entry_serves_though_its_metrics_port_is_taken(
    site: EntrySite,
) -> None:
    """Its process ended by itself, at each start."""
    entry = next(iter(site.entries.values()))
    host = await stop(entry)
    with taken(host, METRICS_PORT, socket.SOCK_STREAM):
        await entry.start()
        await site.ready(entry)
        assert (await site.request(entry, "GET", "/look/1")).status == 200


@pytest.mark.parametrize("port", PORTS)
async def test_an_entry_waits_for_a_port_that_is_taken(
    site: EntrySite, port: str
) -> None:
    """Its process ended by itself, at each start."""
    entry = next(iter(site.entries.values()))
    host = await stop(entry)
    first = parse_address(entry.ports["frontend"]).port
    kind = socket.SOCK_DGRAM if port == "gossip" else socket.SOCK_STREAM
    with taken(host, first + PORTS[port], kind):
        await entry.start()
        await reports_taken_port(entry)
    await site.ready(entry)
    assert (await site.request(entry, "GET", "/look/1")).status == 200


async def test_an_entry_that_waits_for_a_port_can_be_stopped(site: EntrySite) -> None:
    entry = next(iter(site.entries.values()))
    host = await stop(entry)
    port = parse_address(entry.ports["frontend"]).port
    with taken(host, port, socket.SOCK_STREAM):
        await entry.start()
        await reports_taken_port(entry)
        entry.send(signal.SIGTERM)
        assert await entry.ended() == 0
