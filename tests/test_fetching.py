# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Fetching newer state from peers of which some do not respond."""

import asyncio
import zlib

import pytest

from leverdoor.http.client_connection import MAX_RESPONSE_BYTES
from leverdoor.http.messages import Headers, Request, Response
from leverdoor.http.server import HttpServer
from leverdoor.model.position import START, Position
from leverdoor.storage.fetching import (
    DEFLATE,
    FAILED_PEER_BACKOFF_S,
    HEDGE_DELAY_S,
    MAX_CONCURRENT_FETCHES,
    DeltaSource,
    FetchRejected,
    HttpDeltaSource,
    PeerFetcher,
)
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import Event
from virtual_clock import run_virtual

CHANGE = Delta(0, 5, True, [Event(5, "k", b"v")])


class FakePeers(DeltaSource):
    """Transport to peers that respond at once or never."""

    def __init__(self, silent: set[str]) -> None:
        self.silent = silent
        self.queried: list[str] = []

    async def fetch(self, address: str, since: Position) -> Delta:
        self.queried.append(address)
        if address in self.silent:
            await asyncio.Event().wait()
        return CHANGE


async def start_fetches(fetcher: PeerFetcher, *peers: str) -> list[asyncio.Task[bool]]:
    """Start fetches one after another without waiting for their results."""
    tasks = [asyncio.ensure_future(fetcher.pull(peer)) for peer in peers]
    await asyncio.sleep(0)
    return tasks


def test_fetch_without_a_response_does_not_block_the_next() -> None:
    async def run() -> None:
        state = State()
        source = FakePeers({"a"})
        fetcher = PeerFetcher(state, source)
        await start_fetches(fetcher, "a", "b")
        assert source.queried == ["a"]
        await asyncio.sleep(HEDGE_DELAY_S + 0.01)
        (second,) = await start_fetches(fetcher, "b")
        assert await second
        assert state.revision == CHANGE.revision

    run_virtual(run())


def test_number_of_concurrent_fetches_is_limited() -> None:
    async def run() -> None:
        names = [f"p{i}" for i in range(MAX_CONCURRENT_FETCHES + 2)]
        source = FakePeers(set(names))
        fetcher = PeerFetcher(State(), source)
        for name in names:
            await start_fetches(fetcher, name)
            await asyncio.sleep(HEDGE_DELAY_S + 0.01)
        assert source.queried == names[:MAX_CONCURRENT_FETCHES]

    run_virtual(run())


def test_peer_is_skipped_for_a_while_after_a_failure() -> None:
    async def run() -> None:
        source = FakePeers({"a"})
        fetcher = PeerFetcher(State(), source)
        assert not await fetcher.pull("a")
        source.silent.clear()
        assert not await fetcher.pull("a")
        await asyncio.sleep(FAILED_PEER_BACKOFF_S + 0.01)
        assert await fetcher.pull("a")

    run_virtual(run())


def test_late_response_does_not_revert_the_replica() -> None:
    """A fetched state that is older than the replica is ignored."""

    async def run() -> None:
        state = State()
        fetcher = PeerFetcher(state, FakePeers(set()))
        state.apply(Delta(0, 9, True, [Event(9, "k", b"newer")]))
        assert not await fetcher.pull("a")
        assert state.revision == 9
        assert state.entries["k"].value == b"newer"

    run_virtual(run())


INVALID_RESPONSES = [
    pytest.param(b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n\x93\x00", id="error"),
    pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", id="no state"),
    pytest.param(
        b"HTTP/1.1 200 OK\r\nContent-Encoding: deflate\r\nContent-Length: 1\r\n\r\nx",
        id="not compressed",
    ),
    pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", id="truncated"),
    pytest.param(b"", id="closed"),
]


@pytest.mark.parametrize("response", INVALID_RESPONSES)
async def test_invalid_response_is_a_failed_fetch(response: bytes) -> None:
    """Another exception would end the caller's loop."""

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    state = State()
    fetcher = PeerFetcher(state, HttpDeltaSource())
    assert await fetcher.fetch(f"{host}:{port}") is None
    assert not fetcher.may_fetch(f"{host}:{port}", asyncio.get_running_loop().time())
    assert state.revision == 0
    await fetcher.close()
    server.close()


async def test_a_compressed_response_is_limited_too() -> None:
    """A few kB from a faulty peer filled the memory."""
    endless = zlib.compress(bytes(4 * MAX_RESPONSE_BYTES))

    async def handle(_: Request) -> Response:
        headers = Headers([("Content-Encoding", DEFLATE)])
        return Response(200, headers=headers, body=endless)

    server = HttpServer(handle)
    listener = await asyncio.get_running_loop().create_server(
        server.create_connection, "127.0.0.1", 0
    )
    source = HttpDeltaSource()
    port = listener.sockets[0].getsockname()[1]
    with pytest.raises(FetchRejected):
        await source.fetch(f"127.0.0.1:{port}", START)
    await source.close()
    listener.close()
    await server.shutdown(1.0)
