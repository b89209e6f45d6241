# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The HTTP client against peers that respond in unusual ways or not at all."""

import asyncio
import socket
from collections.abc import AsyncIterator
from unittest.mock import Mock

import pytest

from leverdoor.http import client_connection
from leverdoor.http.client import HttpClient, serialize_request
from leverdoor.http.client_connection import (
    CallTimedOut,
    ClientConnection,
    ConnectFailed,
    HttpResponse,
    ResponseLost,
)
from leverdoor.standins.broken_targets import ENDLESS_REPLIES

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Name: a\r\n\r\nok"
CLOSE = b""
"""In place of a response: the peer closes the connection."""
SILENCE = b" "
"""In place of a response: the peer sends nothing."""
LIMIT_S = 0.05
"""Time limit of calls that reach it, in seconds."""


class Peer:
    """Sends one scripted response for each call, and records the connections."""

    def __init__(self) -> None:
        self.responses: list[bytes] = []
        self.connections: list[list[bytes]] = []
        """Heads of the calls by connection."""
        self.address = ""
        self.ended = asyncio.Event()
        """A connection has ended."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        calls: list[bytes] = []
        self.connections.append(calls)
        try:
            while True:
                calls.append(await reader.readuntil(b"\r\n\r\n"))
                response = self.responses.pop(0)
                if response != SILENCE:
                    writer.write(response)
                delimited = b"Content-Length" in response or b"chunked" in response
                if response != SILENCE and not delimited:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()
            self.ended.set()


@pytest.fixture
async def peer() -> AsyncIterator[Peer]:
    made = Peer()
    server = await asyncio.start_server(made.serve, "127.0.0.1", 0)
    made.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    yield made
    server.close()


@pytest.fixture
async def client() -> AsyncIterator[HttpClient]:
    made = HttpClient()
    yield made
    made.close()


async def get(
    client: HttpClient, peer: Peer, *responses: bytes, timeout_s: float | None = None
) -> HttpResponse:
    peer.responses += responses
    return await client.call("GET", peer.address, "/p", timeout_s=timeout_s)


FRAMINGS = [
    pytest.param(OK, id="length"),
    pytest.param(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        id="chunked",
    ),
    pytest.param(b"HTTP/1.1 200 OK\r\n\r\nok", id="end of connection"),
    pytest.param(b"HTTP/1.1 100 Continue\r\n\r\n" + OK, id="after interim"),
]


@pytest.mark.parametrize("response", FRAMINGS)
async def test_body_is_read_whole(
    client: HttpClient, peer: Peer, response: bytes
) -> None:
    found = await get(client, peer, response)
    assert (found.status, found.body) == (200, b"ok")


async def test_connection_is_used_again(client: HttpClient, peer: Peer) -> None:
    for _ in range(3):
        assert (await get(client, peer, OK)).headers["x-name"] == "a"
    assert [len(calls) for calls in peer.connections] == [3]


async def test_concurrent_calls_use_connections_of_their_own(
    client: HttpClient, peer: Peer
) -> None:
    await asyncio.gather(*(get(client, peer, OK) for _ in range(3)))
    assert [len(calls) for calls in peer.connections] == [1, 1, 1]


NOT_USED_AGAIN = [
    pytest.param(OK.replace(b"X-Name: a", b"Connection: close"), id="closing"),
    pytest.param(OK + OK, id="surplus response"),
    pytest.param(OK + b"surplus", id="surplus bytes"),
    pytest.param(b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", id="HTTP/1.0"),
]


@pytest.mark.parametrize("first", NOT_USED_AGAIN)
async def test_connection_is_not_used_again(
    client: HttpClient, peer: Peer, first: bytes
) -> None:
    await get(client, peer, first)
    second = await get(client, peer, OK.replace(b"ok", b"no"))
    assert second.body == b"no"
    assert [len(calls) for calls in peer.connections] == [1, 1]


async def test_connection_idle_for_too_long_is_not_used_again(peer: Peer) -> None:
    client = HttpClient(idle_s=0.0)
    for _ in range(2):
        await get(client, peer, OK)
    assert [len(calls) for calls in peer.connections] == [1, 1]
    client.close()


async def test_connection_closed_by_the_peer_while_idle_is_not_used_again(
    client: HttpClient, peer: Peer
) -> None:
    await get(client, peer, OK.replace(b"Content-L", b"content-l"))
    await asyncio.sleep(LIMIT_S)
    assert (await get(client, peer, OK)).status == 200


LOST = [
    pytest.param(CLOSE, id="no response"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX-Na", id="part of the head"),
    pytest.param(
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no", id="part of the body"
    ),
    pytest.param(b"no http\r\n\r\n", id="malformed"),
    pytest.param(
        b"HTTP/1.1 101 OK\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        id="upgrade",
    ),
]


@pytest.mark.parametrize("response", LOST)
async def test_lost_response_is_an_error_and_the_call_is_sent_once(
    client: HttpClient, peer: Peer, response: bytes
) -> None:
    """A call that is sent again by the client may be executed twice."""
    peer.responses.append(response)
    with pytest.raises(ResponseLost):
        await client.call("POST", peer.address, "/p")
    assert sum(len(calls) for calls in peer.connections) == 1
    assert (await get(client, peer, OK)).status == 200


async def test_connection_lost_between_calls_does_not_repeat_the_second(
    client: HttpClient, peer: Peer
) -> None:
    await get(client, peer, OK)
    with pytest.raises(ResponseLost):
        await get(client, peer, CLOSE)
    assert [len(calls) for calls in peer.connections] == [2]


async def test_refused_connection_is_told_apart(client: HttpClient) -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        with pytest.raises(ConnectFailed):
            await client.call("GET", address, "/p")


@pytest.mark.parametrize("address", ["", "host:1", "127.0.0.1"])
async def test_invalid_address_fails_the_call(client: HttpClient, address: str) -> None:
    with pytest.raises(ConnectFailed):
        await client.call("GET", address, "/p")


async def test_late_response_is_not_matched_to_the_next_call(
    client: HttpClient, peer: Peer
) -> None:
    with pytest.raises(CallTimedOut):
        await get(client, peer, SILENCE, timeout_s=LIMIT_S)
    await peer.ended.wait()
    assert (await get(client, peer, OK)).body == b"ok"
    assert [len(calls) for calls in peer.connections] == [1, 1]


async def test_silence_within_a_response_is_limited(peer: Peer) -> None:
    client = HttpClient(silence_s=LIMIT_S)
    with pytest.raises(CallTimedOut):
        await get(client, peer, OK[:-1])
    client.close()


async def test_cancelled_call_closes_its_connection(
    client: HttpClient, peer: Peer
) -> None:
    call = asyncio.create_task(get(client, peer, SILENCE))
    while not peer.connections or not peer.connections[0]:
        await asyncio.sleep(0)
    call.cancel()
    with pytest.raises(asyncio.CancelledError):
        await call
    await peer.ended.wait()
    await get(client, peer, OK)
    assert [len(calls) for calls in peer.connections] == [1, 1]


async def test_closing_the_client_fails_calls_in_progress(
    client: HttpClient, peer: Peer
) -> None:
    call = asyncio.create_task(get(client, peer, SILENCE))
    while not peer.connections or not peer.connections[0]:
        await asyncio.sleep(0)
    client.close()
    with pytest.raises(ResponseLost):
        await call


async def test_length_of_a_response_is_limited(
    client: HttpClient, peer: Peer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_connection, "MAX_RESPONSE_BYTES", 40)
    with pytest.raises(ResponseLost):
        await get(client, peer, OK.replace(b"Length: 2", b"Length: 90") + bytes(88))


def test_request_bytes() -> None:
    assert (
        serialize_request(
            "POST", "10.0.0.1:80", "/a", {"k": "x/y z&"}, {"A": "b"}, b"body"
        )
        == b"POST /a?k=x/y+z%26 HTTP/1.1\r\nHost: 10.0.0.1:80\r\nA: b\r\n"
        b"Content-Length: 4\r\n\r\nbody"
    )
    assert (
        serialize_request("GET", "10.0.0.1:80", "/", None, None, None)
        == b"GET / HTTP/1.1\r\nHost: 10.0.0.1:80\r\n\r\n"
    )


@pytest.mark.parametrize(
    "kind", [k for k in ENDLESS_REPLIES if k not in ("zeros", "status-line")]
)
async def test_a_response_without_end_is_lost_within_its_bounds(kind: str) -> None:
    """Names, values and interim responses were held until the call timed out."""
    reply = ENDLESS_REPLIES[kind]
    connection = ClientConnection()
    connection.connection_made(Mock(spec=asyncio.Transport))
    call = asyncio.ensure_future(connection.exchange(b"", None, None))
    await asyncio.sleep(0)
    connection.data_received(reply.start)
    received = 0
    while not connection.closed and received <= 2**26:
        connection.data_received(reply.endless)
        received += len(reply.endless)
    if kind in ("after-a-reply", "replies-to-others"):
        assert (await call).status == 200
    else:
        with pytest.raises(ResponseLost):
            await call
        assert connection._parser is None
    assert connection.closed


@pytest.mark.parametrize("piece_bytes", [1_000, 64 * 1024, 4 * 1024 * 1024])
async def test_a_connection_is_reused_after_a_long_response(piece_bytes: int) -> None:
    connection = ClientConnection()
    connection.connection_made(Mock(spec=asyncio.Transport))
    body = b"x" * 2 * 1024 * 1024
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    for _ in range(2):
        call = asyncio.ensure_future(connection.exchange(b"", None, None))
        await asyncio.sleep(0)
        for start in range(0, len(data), piece_bytes):
            connection.data_received(data[start : start + piece_bytes])
        assert (await call).body == body
    assert not connection.closed
