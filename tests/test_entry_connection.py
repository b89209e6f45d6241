# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Connections to targets whose replies are late, duplicate, truncated or early."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from unittest.mock import Mock

import pytest

from leverdoor.entry.requests.connection import (
    LONG_REPLY_BYTES,
    RECEIVE_BUFFER_BYTES,
    ReplyLost,
    RequestNotSent,
    TargetConnection,
    open_connection,
)
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.http.reply_proof import ReplyNames

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
NAMES = ReplyNames("x-id")
STRICT = ReplyNames("x-id", signature="x-stamp", not_run="x-not-run")


def make_reply(request_id: str, body: bytes = b"ok", extra: bytes = b"") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + extra + b"\r\n" + body


def make_request(request_id: str, method: str = "GET") -> bytes:
    return f"{method} / HTTP/1.1\r\nHost: h\r\nX-Id: {request_id}\r\n\r\n".encode()


class ScriptedTarget:
    """A server that runs a script on each connection."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.port = 0

    async def __aenter__(self) -> "ScriptedTarget":
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


async def read_head(reader: asyncio.StreamReader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


async def exchange_request(
    connection: TargetConnection,
    request_id: str,
    body: bytes | AsyncIterator[bytes] = b"",
    method: str = "GET",
    names: ReplyNames = NAMES,
) -> TargetReply:
    async with asyncio.timeout(5):
        return await connection.exchange(
            make_request(request_id, method), body, request_id, names, method == "HEAD"
        )


async def test_connection_is_reused_for_successive_requests() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        for name in ("1", "2"):
            await read_head(r)
            w.write(make_reply(name, name.encode()))
        await r.read()

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        assert (await exchange_request(connection, "1")).body == b"1"
        assert (await exchange_request(connection, "2")).body == b"2"
        assert not connection.closed
        connection.close()


async def test_late_surplus_reply_is_not_matched_to_next_request() -> None:
    """The surplus reply arrives after the next request was sent."""

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(make_reply("1", b"first"))
        await read_head(r)
        w.write(make_reply("1", b"again"))
        w.write(make_reply("2", b"second"))
        await r.read()

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        assert (await exchange_request(connection, "1")).body == b"first"
        assert (await exchange_request(connection, "2")).body == b"second"
        connection.close()


async def test_unsolicited_bytes_close_connection() -> None:
    surplus = asyncio.Event()

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(make_reply("1"))
        await surplus.wait()
        w.write(make_reply("1", b"surplus"))
        await r.read()

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        await exchange_request(connection, "1")
        surplus.set()
        async with asyncio.timeout(5):
            while not connection.closed:
                await asyncio.sleep(0.001)
        with pytest.raises(RequestNotSent):
            await exchange_request(connection, "2")


async def test_two_replies_in_one_write_close_connection() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(make_reply("1", b"first") + make_reply("1", b"surplus"))
        await r.read()

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        assert (await exchange_request(connection, "1")).body == b"first"
        assert connection.closed


PIECES = [
    b"HTTP/1.1 503 Service Unavail",
    b"HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nContent-Le",
    b"HTTP/1.1 503 Service Unavailable\r\nX-Any: ",
    b"H",
]
"""Beginnings of a second reply."""


@pytest.mark.parametrize("piece", PIECES)
async def test_piece_of_a_second_reply_closes_connection(piece: bytes) -> None:
    """The next reply was read as its rest: 200 became 503, the promise of no run."""

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(make_reply("1", b"first") + piece)
        await r.read()

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        assert (await exchange_request(connection, "1")).body == b"first"
        assert connection.closed


def write_between_replies(data: bytes) -> Script:
    """Return a script that writes bytes between the second request and its reply."""

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(make_reply("1", b"first", b"X-Stamp: s\r\n"))
        await read_head(r)
        w.write(data)
        await w.drain()
        w.write(make_reply("2", b"second", b"X-Stamp: s\r\n"))
        await r.read()

    return script


@pytest.mark.parametrize("piece", PIECES)
async def test_late_piece_of_a_second_reply_does_not_change_the_next(
    piece: bytes,
) -> None:
    async with ScriptedTarget(write_between_replies(piece)) as target:
        connection = await target.connect()
        await exchange_request(connection, "1", names=STRICT)
        with pytest.raises(ReplyLost):
            await exchange_request(connection, "2", names=STRICT)
        assert connection.closed


SURPLUS_REPLIES = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nsurplus bytes",
    b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 503 no\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
]


@pytest.mark.parametrize("surplus", SURPLUS_REPLIES)
async def test_surplus_reply_without_id_is_not_matched_to_next_request(
    surplus: bytes,
) -> None:
    """Clients got it as a success; a 503 let the request run at a second target."""
    async with ScriptedTarget(write_between_replies(surplus)) as target:
        connection = await target.connect()
        await exchange_request(connection, "1", names=STRICT)
        reply = await exchange_request(connection, "2", names=STRICT)
        assert (reply.status, reply.body) == (200, b"second")
        assert connection.closed


async def test_unsigned_success_is_lost() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(make_reply("1", b"unsigned"))
        await r.read()

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        with pytest.raises(ReplyLost):
            await exchange_request(connection, "1", names=STRICT)


LOST_REPLIES = [
    pytest.param(b"", id="closed"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX-Id", id="truncated headers"),
    pytest.param(make_reply("1", b"whole")[:-2], id="truncated body"),
    pytest.param(
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        id="truncated chunk",
    ),
    pytest.param(b"these are no bytes of HTTP\r\n\r\n", id="not HTTP"),
    pytest.param(make_reply("7", b"another's"), id="reply to another request"),
]


@pytest.mark.parametrize("data", LOST_REPLIES)
async def test_incomplete_or_malformed_reply_is_lost(data: bytes) -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(data)

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        with pytest.raises(ReplyLost):
            await exchange_request(connection, "1")
        assert connection.closed


async def test_reply_without_length_ends_with_connection() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart ")
        await w.drain()
        w.write(b"and rest")

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        assert (await exchange_request(connection, "1")).body == b"part and rest"
        assert connection.closed


async def test_reply_without_length_is_lost_on_reset() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
        await w.drain()
        sock = w.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        with pytest.raises(ReplyLost):
            await exchange_request(connection, "1")


async def test_early_reply_closes_connection() -> None:
    """On a reused connection, the target would read the next request as body."""
    released = asyncio.Event()

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(make_reply("1", b"no"))
        await r.read()

    async def parts() -> AsyncIterator[bytes]:
        yield b"first part"
        await released.wait()
        yield b"never sent"

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        reply = await exchange_request(connection, "1", parts(), "POST")
        assert reply.early
        assert connection.closed


async def test_failed_request_body_aborts_request() -> None:
    seen = bytearray()
    ended = asyncio.Event()

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        try:
            while data := await r.read(100):
                seen.extend(data)
        finally:
            ended.set()

    async def parts() -> AsyncIterator[bytes]:
        yield b"first"
        raise ConnectionResetError("the client left")

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        with pytest.raises(ConnectionResetError):
            await exchange_request(connection, "1", parts(), "POST")
        assert connection.closed
        async with asyncio.timeout(5):
            await ended.wait()


async def test_cancellation_closes_connection() -> None:
    closed = asyncio.Event()

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        try:
            await r.read()
        finally:
            closed.set()

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        task = asyncio.create_task(exchange_request(connection, "1"))
        await asyncio.sleep(0.01)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        async with asyncio.timeout(5):
            await closed.wait()


async def test_connection_close_header_closes_connection() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(make_reply("1", b"ok", b"Connection: close\r\n"))
        await r.read()

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        assert (await exchange_request(connection, "1")).status == 200
        assert connection.closed


async def test_interim_reply_is_ignored() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(b"HTTP/1.1 100 Continue\r\n\r\n" + make_reply("1", b"real"))
        await r.read()

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        assert (await exchange_request(connection, "1")).body == b"real"
        connection.close()


async def test_reply_to_head_has_no_body() -> None:
    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await read_head(r)
        w.write(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 50\r\n\r\n")
        await r.read()

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        assert (await exchange_request(connection, "1", method="HEAD")).body == b""


async def test_refused_connection_sends_no_request() -> None:
    async with ScriptedTarget(lambda r, w: asyncio.sleep(0)) as target:
        port = target.port
    with pytest.raises(RequestNotSent):
        await open_connection("127.0.0.1", port, 1.0, lambda _: None)


async def test_the_kernel_holds_little_of_a_reply_until_it_proves_to_be_long() -> None:
    """Guards against a buffer that grows while a target sends without end."""

    async def script(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        for name, size in (("1", LONG_REPLY_BYTES // 2), ("2", 2 * LONG_REPLY_BYTES)):
            await read_head(r)
            w.write(make_reply(name, b"x" * size))
        await r.read()

    async with ScriptedTarget(script) as target:
        connection = await target.connect()
        assert connection._transport is not None
        sock = connection._transport.get_extra_info("socket")
        await exchange_request(connection, "1")
        first = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        assert first == RECEIVE_BUFFER_BYTES
        await exchange_request(connection, "2")
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) > first
        connection.close()


CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\nT: v\r\n\r\n"
)


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("reply", [make_reply("1", b"body"), CHUNKED])
async def test_a_reply_that_is_cut_at_any_byte_is_no_reply(
    reply: bytes, reset: bool
) -> None:
    """A part of a head framed an empty success."""
    for end in range(len(reply)):
        connection = TargetConnection(lambda _: None)
        connection.connection_made(Mock(spec=asyncio.Transport))
        sent = asyncio.ensure_future(exchange_request(connection, "1"))
        await asyncio.sleep(0)
        connection.data_received(reply[:end])
        if reset:
            connection.connection_lost(ConnectionResetError())
        else:
            connection.eof_received()
        with pytest.raises(ReplyLost):
            await sent


async def test_a_reply_that_changes_the_protocol_loses_its_request_at_once() -> None:
    """The parser's error ended the turn in which other replies were parsed."""
    connection = TargetConnection(lambda _: None)
    connection.connection_made(Mock(spec=asyncio.Transport))
    sent = asyncio.ensure_future(exchange_request(connection, "1"))
    await asyncio.sleep(0)
    connection.data_received(
        b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nbytes"
    )
    with pytest.raises(ReplyLost):
        await sent
