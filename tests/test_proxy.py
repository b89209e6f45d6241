# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The loopback proxy passes bytes on and harms them as ordered."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from leverdoor.standins.proxy import LinkFault, LoopbackProxy


class Echo:
    """A proxy before a server that answers each piece with itself."""

    def __init__(self, proxy: LoopbackProxy, port: int) -> None:
        self.proxy = proxy
        self._port = port
        self.received = 0

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self._port)


@pytest.fixture
async def echo() -> AsyncIterator[Echo]:
    found: list[Echo] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            found[0].received += len(data)
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    behind = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    proxy = LoopbackProxy(lambda: behind)
    address = await proxy.start()
    found.append(Echo(proxy, int(address.rpartition(":")[2])))
    yield found[0]
    await proxy.close()
    server.close()


@pytest.mark.parametrize("fault", [LinkFault.NONE, LinkFault.DELAY])
async def test_bytes_come_whole(echo: Echo, fault: LinkFault) -> None:
    echo.proxy.set_fault(fault)
    reader, writer = await echo.open()
    writer.write(b"hello")
    assert await reader.readexactly(5) == b"hello"
    writer.close()


async def test_open_connections_go_silent_for_good_while_new_ones_work(
    echo: Echo,
) -> None:
    reader, writer = await echo.open()
    writer.write(b"hello")
    assert await reader.readexactly(5) == b"hello"
    echo.proxy.silence_open()
    writer.write(b"again")
    new_reader, new_writer = await echo.open()
    new_writer.write(b"other")
    assert await new_reader.readexactly(5) == b"other"
    assert echo.received == len(b"hello") + len(b"other")
    writer.close()
    new_writer.close()


async def test_a_reset_strikes_open_and_new_connections(echo: Echo) -> None:
    reader, writer = await echo.open()
    writer.write(b"hello")
    await reader.readexactly(5)
    echo.proxy.set_fault(LinkFault.RESET)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await reader.readexactly(1)
    reader, writer = await echo.open()
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        writer.write(b"x")
        await reader.readexactly(1)


async def test_what_is_held_back_comes_when_the_fault_ends(echo: Echo) -> None:
    reader, writer = await echo.open()
    writer.write(b"a")
    await reader.readexactly(1)
    echo.proxy.set_fault(LinkFault.HOLD_ANSWERS)
    writer.write(b"b")
    while echo.received < 2:
        await asyncio.sleep(0.01)
    echo.proxy.set_fault(LinkFault.HOLD_REQUESTS)
    assert await reader.readexactly(1) == b"b"
    writer.write(b"c")
    echo.proxy.set_fault(LinkFault.SILENT)
    echo.proxy.set_fault(LinkFault.NONE)
    assert await reader.readexactly(1) == b"c"
    writer.close()


async def test_an_end_is_passed_on(echo: Echo) -> None:
    reader, writer = await echo.open()
    writer.write(b"a")
    await reader.readexactly(1)
    writer.write_eof()
    assert await reader.read() == b""
    writer.close()
