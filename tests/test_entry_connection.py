# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Connections to targets that answer wrongly: late, twice, short, early, unframed."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from leverdoor.entry.requests.connection import (
    AnswerLost,
    RequestNotSent,
    TargetConnection,
    open_connection,
)
from leverdoor.entry.requests.replies import TargetReply

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
ID = "x-id"


def answer(request_id: str, body: bytes = b"ok", extra: bytes = b"") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + extra + b"\r\n" + body


def request(request_id: str, method: str = "GET") -> bytes:
    return f"{method} / HTTP/1.1\r\nHost: h\r\nX-Id: {request_id}\r\n\r\n".encode()


class Target:
    """A server that follows a script on each connection."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.port = 0

    async def __aenter__(self) -> "Target":
        self._server = await asyncio.start_server(self._run, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._script(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def connect(self) -> TargetConnection:
        return await open_connection("127.0.0.1", self.port, 2.0, lambda _: None)


async def head(reader: asyncio.StreamReader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


async def send(
    connection: TargetConnection,
    request_id: str,
    body: bytes | AsyncIterator[bytes] = b"",
    method: str = "GET",
) -> TargetReply:
    async with asyncio.timeout(5):
        return await connection.exchange(
            request(request_id, method), body, request_id, ID, method == "HEAD"
        )


async def test_a_connection_serves_one_request_after_another() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        for name in ("1", "2"):
            await head(r)
            w.write(answer(name, name.encode()))
        await r.read()

    async with Target(script) as target:
        connection = await target.connect()
        assert (await send(connection, "1")).body == b"1"
        assert (await send(connection, "2")).body == b"2"
        assert not connection.closed
        connection.close()


async def test_a_late_surplus_answer_is_not_the_next_requests() -> None:
    """It comes when the next request is already sent, in its answer's place."""

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await head(r)
        w.write(answer("1", b"first"))
        await head(r)
        w.write(answer("1", b"again"))
        w.write(answer("2", b"second"))
        await r.read()

    async with Target(script) as target:
        connection = await target.connect()
        assert (await send(connection, "1")).body == b"first"
        assert (await send(connection, "2")).body == b"second"
        connection.close()


async def test_bytes_that_nobody_asked_for_end_the_connection() -> None:
    surplus = asyncio.Event()

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await head(r)
        w.write(answer("1"))
        await surplus.wait()
        w.write(answer("1", b"surplus"))
        await r.read()

    async with Target(script) as target:
        connection = await target.connect()
        await send(connection, "1")
        surplus.set()
        async with asyncio.timeout(5):
            while not connection.closed:
                await asyncio.sleep(0.001)
        with pytest.raises(RequestNotSent):
            await send(connection, "2")


async def test_a_second_answer_in_one_piece_ends_the_connection() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await head(r)
        w.write(answer("1", b"first") + answer("1", b"surplus"))
        await r.read()

    async with Target(script) as target:
        connection = await target.connect()
        assert (await send(connection, "1")).body == b"first"
        assert connection.closed


LOST = [
    pytest.param(b"", id="closed"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX-Id", id="cut in the head"),
    pytest.param(answer("1", b"whole")[:-2], id="cut in the body"),
    pytest.param(
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        id="cut in a chunk",
    ),
    pytest.param(b"these are no bytes of HTTP\r\n\r\n", id="no answer"),
    pytest.param(answer("7", b"another's"), id="another request's"),
]


@pytest.mark.parametrize("data", LOST)
async def test_answers_that_are_not_whole_are_lost(data: bytes) -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await head(r)
        w.write(data)

    async with Target(script) as target:
        connection = await target.connect()
        with pytest.raises(AnswerLost):
            await send(connection, "1")
        assert connection.closed


async def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await head(r)
        w.write(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart ")
        await w.drain()
        w.write(b"and rest")

    async with Target(script) as target:
        connection = await target.connect()
        assert (await send(connection, "1")).body == b"part and rest"
        assert connection.closed


async def test_an_answer_without_a_length_that_is_reset_is_lost() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await head(r)
        w.write(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
        await w.drain()
        sock = w.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async with Target(script) as target:
        connection = await target.connect()
        with pytest.raises(AnswerLost):
            await send(connection, "1")


async def test_an_early_answer_ends_the_connection() -> None:
    """The target would read what follows as the rest of the body."""
    released = asyncio.Event()

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await head(r)
        w.write(answer("1", b"no"))
        await r.read()

    async def parts() -> AsyncIterator[bytes]:
        yield b"first part"
        await released.wait()
        yield b"never sent"

    async with Target(script) as target:
        connection = await target.connect()
        reply = await send(connection, "1", parts(), "POST")
        assert reply.early
        assert connection.closed


async def test_a_body_that_breaks_off_breaks_the_request_off() -> None:
    seen = bytearray()
    ended = asyncio.Event()

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await head(r)
        try:
            while data := await r.read(100):
                seen.extend(data)
        finally:
            ended.set()

    async def parts() -> AsyncIterator[bytes]:
        yield b"first"
        raise ConnectionResetError("the client left")

    async with Target(script) as target:
        connection = await target.connect()
        with pytest.raises(ConnectionResetError):
            await send(connection, "1", parts(), "POST")
        assert connection.closed
        async with asyncio.timeout(5):
            await ended.wait()


async def test_cancelling_closes_the_connection() -> None:
    closed = asyncio.Event()

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await head(r)
        try:
            await r.read()
        finally:
            closed.set()

    async with Target(script) as target:
        connection = await target.connect()
        task = asyncio.create_task(send(connection, "1"))
        await asyncio.sleep(0.01)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        async with asyncio.timeout(5):
            await closed.wait()


async def test_closing_is_announced() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await head(r)
        w.write(answer("1", b"ok", b"Connection: close\r\n"))
        await r.read()

    async with Target(script) as target:
        connection = await target.connect()
        assert (await send(connection, "1")).status == 200
        assert connection.closed


async def test_an_interim_answer_is_passed_over() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await head(r)
        w.write(b"HTTP/1.1 100 Continue\r\n\r\n" + answer("1", b"real"))
        await r.read()

    async with Target(script) as target:
        connection = await target.connect()
        assert (await send(connection, "1")).body == b"real"
        connection.close()


async def test_an_answer_to_head_has_no_body() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await head(r)
        w.write(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 50\r\n\r\n")
        await r.read()

    async with Target(script) as target:
        connection = await target.connect()
        assert (await send(connection, "1", method="HEAD")).body == b""


async def test_a_port_that_is_dead_was_not_sent_to() -> None:
    async with Target(lambda r, w: asyncio.sleep(0)) as target:
        port = target.port
    with pytest.raises(RequestNotSent):
        await open_connection("127.0.0.1", port, 1.0, lambda _: None)
