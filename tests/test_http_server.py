# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The HTTP server: order and overlap of pipelined requests, framing, slow clients."""

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from random import Random

import pytest

import leverdoor
from leverdoor.http.messages import Headers, Request, Response
from leverdoor.http.request_parser import PARSED_BYTES
from leverdoor.http.server import FixedLimits, HttpServer
from leverdoor.http.server_connection import (
    MAX_HELD_BYTES,
    MAX_PIPELINED,
)

PACKAGE = Path(leverdoor.__file__).parent
PATIENCE_S = 20
"""Longest wait for what must happen, in seconds."""


class Desk:
    """A handler whose answers the test releases one by one, by path.

    Requests with the method GET may be repeated.
    """

    def __init__(self) -> None:
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.bodies: dict[str, bytes] = {}
        self.answers: dict[str, asyncio.Future[Response]] = {}
        self.overlapped = 0
        self.unread = 0
        self.server = HttpServer(
            self.handle, lambda r: r.method == "GET", self._overlap, self._pause
        )

    def _overlap(self) -> None:
        self.overlapped += 1

    def _pause(self) -> None:
        self.unread += 1

    def answer(self, path: str) -> "asyncio.Future[Response]":
        """Return the future of the answer to a path."""
        made: asyncio.Future[Response] = asyncio.Future()
        return self.answers.setdefault(path, made)

    def release(self, path: str, body: bytes = b"", close: bool = False) -> None:
        """Let the request of a path be answered, by default with its path."""
        body = body or path.encode()
        self.answer(path).set_result(Response(200, body=body, close=close))

    async def handle(self, request: Request) -> Response:
        self.started.append(request.path)
        try:
            return await self.answer(request.path)
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE_S):
        while not condition():
            await asyncio.sleep(0.001)


async def settle() -> None:
    """Let the server process all that it received."""
    for _ in range(20):
        await asyncio.sleep(0.001)


class Client:
    """A raw connection to a server."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, *requests: str, method: str = "GET") -> None:
        """Send requests of these paths at once."""
        self.writer.write(b"".join(request(r, method) for r in requests))

    async def read(self) -> tuple[int, bytes]:
        """Return status and body of the next answer."""
        head, body = await self.read_whole()
        return int(head.split(b" ")[1]), body

    async def read_whole(self) -> tuple[bytes, bytes]:
        """Return head and body of the next answer."""
        async with asyncio.timeout(PATIENCE_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"\r\nContent-Length: (\d+)", head)
            return head, await self.reader.readexactly(int(length[1]) if length else 0)

    async def rest(self) -> bytes:
        """Return all that still comes before the connection ends."""
        async with asyncio.timeout(PATIENCE_S):
            return await self.reader.read()


def request(path: str, method: str = "GET") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


@contextlib.asynccontextmanager
async def serving(
    server: HttpServer, limits: FixedLimits | None = None
) -> AsyncIterator[Client]:
    """Listen and connect one client."""
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        lambda: server.create_connection(limits or FixedLimits()), "127.0.0.1", 0
    )
    port = listener.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024 * 1024)
    try:
        yield Client(reader, writer)
    finally:
        writer.close()
        listener.close()
        await server.shutdown(0.1)


async def test_six_safe_requests_run_side_by_side_and_are_answered_in_order() -> None:
    """None starts only after an earlier one ended; the last is ready first."""
    desk = Desk()
    paths = [f"/{i}" for i in range(6)]
    async with serving(desk.server) as client:
        client.send(*paths)
        await until(lambda: len(desk.started) == 6)
        assert not any(answer.done() for answer in desk.answers.values())
        for path in reversed(paths):
            desk.release(path)
        assert [(await client.read())[1].decode() for _ in paths] == paths
    assert desk.started == paths
    assert desk.overlapped == 5


async def test_a_silent_first_request_does_not_stop_the_runs_behind_it() -> None:
    """Its answers are held until it is answered, and then all are sent."""
    desk = Desk()
    async with serving(desk.server) as client:
        client.send("/silent", "/b", "/c")
        desk.release("/b")
        desk.release("/c")
        await until(lambda: len(desk.started) == 3)
        await settle()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await client.reader.read(1)
        desk.release("/silent")
        assert [(await client.read())[1] for _ in range(3)] == [
            b"/silent",
            b"/b",
            b"/c",
        ]


async def test_an_unsafe_request_waits_until_all_before_it_are_answered() -> None:
    """What stands behind a closing answer is sent again, whatever its kind."""
    desk = Desk()
    async with serving(desk.server) as client:
        client.send("/a", "/b")
        client.send("/unsafe", method="POST")
        client.send("/c")
        await until(lambda: desk.started == ["/a", "/b"])
        desk.release("/a")
        assert await client.read() == (200, b"/a")
        await settle()
        assert desk.started == ["/a", "/b"]
        desk.release("/b")
        await until(lambda: "/unsafe" in desk.started)
        await settle()
        assert "/c" not in desk.started
        desk.release("/unsafe")
        desk.release("/c")
        assert [(await client.read())[1] for _ in range(3)] == [
            b"/b",
            b"/unsafe",
            b"/c",
        ]


@pytest.mark.parametrize("closing", ["/a", "/b"])
async def test_requests_behind_a_closing_answer_are_cancelled(closing: str) -> None:
    desk = Desk()
    async with serving(desk.server) as client:
        client.send("/a", "/b", "/c")
        client.send("/unsafe", method="POST")
        await until(lambda: len(desk.started) == 3)
        desk.release(closing, close=True)
        if closing == "/b":
            await until(lambda: desk.cancelled == ["/c"])
            desk.release("/a")
        answers = await client.rest()
        assert answers.count(b"HTTP/1.1 200 OK") == (2 if closing == "/b" else 1)
        assert answers.count(b"Connection: close") == 1
        assert answers.endswith(closing.encode())
        await settle()
    assert desk.started == ["/a", "/b", "/c"]
    assert desk.cancelled == (["/c"] if closing == "/b" else ["/b", "/c"])


async def test_a_closing_answer_drops_requests_whose_runs_did_not_begin() -> None:
    """A run that is created and cancelled before its first step sends nothing."""
    desk = Desk()
    desk.release("/a", close=True)
    async with serving(desk.server) as client:
        client.send("/a")
        client.send("/unsafe", method="POST")
        assert (await client.rest()).endswith(b"/a")
        await settle()
    assert desk.started == ["/a"]


async def test_a_client_that_leaves_cancels_all_its_runs() -> None:
    desk = Desk()
    async with serving(desk.server) as client:
        client.send("/a", "/b", "/c")
        await until(lambda: len(desk.started) == 3)
        client.writer.transport.abort()
        await until(lambda: sorted(desk.cancelled) == ["/a", "/b", "/c"])
        assert not desk.server.connections


async def test_a_client_that_leaves_is_noticed_while_its_requests_are_not_read() -> (
    None
):
    """Its connection pauses, since it sent more requests than may be parsed."""
    desk = Desk()
    async with serving(desk.server) as client:
        client.send(*(f"/{i:04}" for i in range(2_000)))
        await until(lambda: len(desk.started) == MAX_PIPELINED)
        await settle()
        assert len(desk.started) == MAX_PIPELINED
        [connection] = desk.server.connections
        in_one_part = PARSED_BYTES // len(request("/0000"))
        assert len(connection._exchanges) <= MAX_PIPELINED + in_one_part
        client.writer.close()
        await until(lambda: len(desk.cancelled) == MAX_PIPELINED)


async def test_a_client_that_does_not_read_starts_no_further_requests() -> None:
    """Its answers are held for a bounded time; then the connection is cut."""
    desk = Desk()
    large = bytes(16 * 1024 * 1024)
    limits = FixedLimits(idle_timeout_ms=300)
    async with serving(desk.server, limits) as client:
        desk.release("/a", large)
        client.send("/a")
        await until(lambda: desk.unread == 1)
        client.send("/b", "/c")
        await settle()
        assert desk.started == ["/a"]
        await until(lambda: not desk.server.connections)
    assert desk.started == ["/a"]


async def test_a_received_request_waits_while_the_answer_before_it_is_unread() -> None:
    desk = Desk()
    large = bytes(16 * 1024 * 1024)
    async with serving(desk.server) as client:
        client.send("/a", "/b", method="POST")
        await until(lambda: desk.started == ["/a"])
        desk.release("/a", large)
        await until(lambda: desk.unread == 1)
        await settle()
        assert desk.started == ["/a"]
        desk.release("/b")
        assert (await client.read())[1] == large
        assert (await client.read())[1] == b"/b"


async def test_a_slow_head_is_not_counted_while_its_connection_is_not_parsed() -> None:
    """The rest of the head was received, and waits for earlier answers."""
    desk = Desk()
    limits = FixedLimits(header_timeout_ms=50)
    paths = [f"/{i:04}" for i in range(2_000)]
    async with serving(desk.server, limits) as client:
        client.send(*paths)
        await until(lambda: len(desk.started) == MAX_PIPELINED)
        await asyncio.sleep(0.1)
        for path in paths:
            desk.release(path)
        assert [(await client.read())[1].decode() for _ in paths] == paths


async def test_a_client_that_reads_slowly_gets_the_whole_answer() -> None:
    desk = Desk()
    large = bytes(32 * 1024 * 1024)
    limits = FixedLimits(idle_timeout_ms=300)
    async with serving(desk.server, limits) as client:
        desk.release("/a", large)
        client.send("/a")
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert b"Content-Length: %d\r\n" % len(large) in head
        received = 0
        while received < len(large):
            chunk = await client.reader.read(512 * 1024)
            assert chunk
            received += len(chunk)
            await asyncio.sleep(0.02)
        assert desk.unread == 1


async def test_held_answers_are_bounded() -> None:
    """Beyond the bound no further request starts until the first is answered."""
    desk = Desk()
    paths = [f"/{i}" for i in range(MAX_PIPELINED)]
    large = bytes(MAX_HELD_BYTES + 1)
    async with serving(desk.server) as client:
        client.send("/0", "/1")
        await until(lambda: len(desk.started) == 2)
        desk.release("/1", large)
        await settle()
        client.send(*paths[2:])
        await settle()
        assert desk.started == ["/0", "/1"]
        for path in ("/0", *paths[2:]):
            desk.release(path)
        answers = [(await client.read())[1] for _ in paths]
    assert answers == [b"/0", large, *(p.encode() for p in paths[2:])]


async def test_a_leaving_server_answers_all_it_received_and_closes_after_the_last() -> (
    None
):
    desk = Desk()
    async with serving(desk.server) as client:
        client.send("/a", "/b")
        client.send("/unsafe", method="POST")
        await until(lambda: len(desk.started) == 2)
        desk.server.leaving = True
        for path in ("/b", "/a", "/unsafe"):
            desk.release(path)
        heads = [(await client.read_whole()) for _ in range(3)]
        assert [body for _, body in heads] == [b"/a", b"/b", b"/unsafe"]
        assert [b"Connection: close" in head for head, _ in heads] == [
            False,
            False,
            True,
        ]
        assert await client.rest() == b""


async def test_a_connection_is_busy_until_its_answers_are_sent() -> None:
    """A stop must not close a connection whose answers wait for one another."""
    desk = Desk()
    async with serving(desk.server) as client:
        client.send("/a")
        client.send("/unsafe", method="POST")
        await until(lambda: desk.started == ["/a"])
        [connection] = desk.server.connections
        assert connection.busy
        desk.release("/a")
        desk.release("/unsafe")
        assert await client.read() == (200, b"/a")
        assert await client.read() == (200, b"/unsafe")
        await until(lambda: not connection.busy)


async def echo(request: Request) -> Response:
    """Answer with what was received."""
    body = b""
    while chunk := await request.read_chunk():
        body += chunk
    return Response(200, body=request.target.encode("latin-1") + b"|" + body)


STREAM = (
    b"GET /a?x=%2F HTTP/1.1\r\nHost: a\r\n\r\n"
    b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
    b"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"
    b"\r\nGET /d HTTP/1.1\r\nHost: a\r\n\r\n"
)
STREAM_ANSWERS = [b"/a?x=%2F|", b"/b|hello", b"/c|abcde", b"/d|"]


@pytest.mark.parametrize("seed", range(8))
async def test_requests_are_the_same_however_their_bytes_are_split(seed: int) -> None:
    rng = Random(seed)
    server = HttpServer(echo, lambda request: request.method == "GET")
    async with serving(server) as client:
        rest = STREAM
        while rest:
            size = rng.randrange(1, 30)
            client.writer.write(rest[:size])
            rest = rest[size:]
            await asyncio.sleep(0)
        answers = [(await client.read())[1] for _ in STREAM_ANSWERS]
    assert answers == STREAM_ANSWERS


async def test_a_long_body_is_received_no_faster_than_it_is_read() -> None:
    """The unread part of a body stays within the buffers of a connection."""
    received: list[Request] = []
    reading = asyncio.Event()

    async def read_later(request: Request) -> Response:
        received.append(request)
        await reading.wait()
        return await echo(request)

    body = Random(1).randbytes(8 * 1024 * 1024)
    async with serving(HttpServer(read_later)) as client:
        client.writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body)
        )
        client.writer.write(body)
        await until(lambda: bool(received) and received[0].buffered > 0)
        await settle()
        assert received[0].buffered < 1024 * 1024
        reading.set()
        assert (await client.read())[1] == b"/x|" + body


async def test_an_early_answer_keeps_the_connection_once_the_body_has_arrived() -> None:
    async def answer_early(request: Request) -> Response:
        return Response(200, body=request.path.encode())

    async with serving(HttpServer(answer_early)) as client:
        client.writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n"
        )
        assert await client.read() == (200, b"/x")
        client.writer.write(b"GET /smuggled HTTP/1.1\r\n\r\n".ljust(300_000, b"x"))
        client.send("/y")
        assert await client.read() == (200, b"/y")


async def test_an_unanswered_expectation_closes_the_connection() -> None:
    """The client may send the body or the next request, which look alike."""

    async def refuse(request: Request) -> Response:
        return Response(413)

    async with serving(HttpServer(refuse)) as client:
        client.writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        answer = await client.rest()
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert b"\r\nConnection: close\r\n" in answer


HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
MALFORMED = [
    pytest.param(HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
    pytest.param(HEAD + b"Content-Length: 1, 1\r\n\r\na", 400),
    pytest.param(HEAD + b"Content-Length: +1\r\n\r\na", 400),
    pytest.param(
        HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400
    ),
    pytest.param(
        HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400
    ),
    pytest.param(HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
    pytest.param(HEAD + b"Transfer-Encoding: identity\r\n\r\n", 400),
    pytest.param(HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\nab\r\n0\r\n\r\n", 400),
    pytest.param(HEAD + b"A: b\n\r\n", 400),
    pytest.param(HEAD + b"A: b\r\n c\r\n\r\n", 400),
    pytest.param(HEAD + b"A : b\r\n\r\n", 400),
    pytest.param(b"GET /x HTTP/1.1\nHost: a\n\n", 400),
    pytest.param(b"GET /x HTTP/1.1\r\n\r\n", 400),
    pytest.param(HEAD + b"Host: b\r\n\r\n", 400),
    pytest.param(
        HEAD + b"Connection: upgrade\r\nUpgrade: h2c\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    pytest.param(b"GET /x\r\n\r\n", 400),
    pytest.param(b"GET /x HTTP/2.0\r\n\r\n", 400),
    pytest.param(b"CONNECT a:1 HTTP/1.1\r\n\r\n", 400),
    pytest.param(
        b"POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400
    ),
    pytest.param(b"GET /" + b"x" * 20_000 + b" HTTP/1.1\r\n\r\n", 431),
    pytest.param(HEAD + b"A: " + b"x" * 20_000 + b"\r\n\r\n", 431),
    pytest.param(HEAD + b"A: " + b"x" * 100_000, 431),
    pytest.param(HEAD + b"".join(b"A%d: x\r\n" % i for i in range(20_000)), 431),
]


@pytest.mark.parametrize(("sent", "status"), MALFORMED)
async def test_malformed_requests_end_the_connection_after_earlier_answers(
    sent: bytes, status: int
) -> None:
    desk = Desk()
    desk.release("/a")
    desk.answer("/x")
    async with serving(desk.server) as client:
        client.send("/a")
        client.writer.write(sent + request("/smuggled"))
        assert await client.read() == (200, b"/a")
        if "/x" in desk.started:
            desk.release("/x")
        answer = await client.rest()
    statuses = re.findall(rb"HTTP/1.1 (\d+)", answer)
    assert b"Connection: close" in answer
    assert statuses in ([b"%d" % status], [b"200"])
    assert "/smuggled" not in desk.started


@pytest.mark.parametrize(
    "endless", [b"0\r\nTrailer: ", b"1;extension=", b"0\r\n" + b"A: b\r\n" * 90_000]
)
async def test_endless_fields_in_a_body_end_the_connection(endless: bytes) -> None:
    """They would be held in memory, or keep the connection busy, for ever."""
    async with serving(HttpServer(echo)) as client:
        client.writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        client.writer.write(endless + b"x" * 500_000)
        with contextlib.suppress(ConnectionError):
            await client.rest()


async def test_a_slow_head_behind_a_running_request_is_answered_in_its_turn() -> None:
    desk = Desk()
    limits = FixedLimits(header_timeout_ms=50)
    async with serving(desk.server, limits) as client:
        client.send("/a")
        client.writer.write(b"GET /b HT")
        await until(lambda: desk.started == ["/a"])
        await asyncio.sleep(0.1)
        desk.release("/a")
        assert await client.read() == (200, b"/a")
        assert (await client.rest()).startswith(b"HTTP/1.1 408 ")


async def test_idle_connections_close_without_an_answer() -> None:
    limits = FixedLimits(idle_timeout_ms=50)
    async with serving(Desk().server, limits) as client:
        assert await client.rest() == b""


async def test_http_1_0_and_head() -> None:
    async def answer(request: Request) -> Response:
        return Response(200, headers=Headers([("X-A", "b")]), body=b"body")

    async with serving(HttpServer(answer)) as client:
        client.writer.write(b"HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n")
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert b"\r\nContent-Length: 4\r\n" in head
        client.writer.write(b"GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        head, body = await client.read_whole()
        assert b"\r\nConnection: keep-alive\r\n" in head
        assert body == b"body"
        client.writer.write(b"GET /x HTTP/1.0\r\n\r\n")
        assert (await client.rest()).endswith(b"\r\n\r\nbody")


async def test_a_request_for_another_protocol_is_served_as_usual() -> None:
    upgrade = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    async with serving(HttpServer(echo)) as client:
        client.writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n" + upgrade + b"\r\n")
        client.writer.write(HEAD + upgrade + b"Content-Length: 4\r\n\r\nab")
        assert (await client.read())[1] == b"/x|"
        client.writer.write(b"cd")
        client.send("/y")
        assert (await client.read())[1] == b"/x|abcd"
        assert (await client.read())[1] == b"/y|"


def test_the_entrys_server_side_imports_no_other_http_library() -> None:
    """An entry on a small VM needs less memory without one."""
    loads = re.compile(
        r"^\s*(?:from|import) (?:aiohttp|yarl|multidict)\b", re.MULTILINE
    )
    for folder in ("entry", "http"):
        for path in (PACKAGE / folder).rglob("*.py"):
            assert not loads.search(path.read_text()), path


async def test_a_failing_handler_is_an_error_of_the_server() -> None:
    async def fail(request: Request) -> Response:
        raise ValueError("broken")

    async with serving(HttpServer(fail)) as client:
        client.send("/x")
        assert (await client.rest()).startswith(b"HTTP/1.1 500 ")
