# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The connection pool, and targets that reset idle connections."""

import asyncio
from collections.abc import Callable

import pytest

from desk import target
from leverdoor.entry.requests import idle_timeouts
from leverdoor.entry.requests.connection import ReplyLost, TargetWithdrawn
from leverdoor.entry.requests.connection_pool import ConnectionPool
from leverdoor.entry.requests.connector import Connector
from leverdoor.entry.requests.idle_timeouts import (
    REDUCED_IDLE_S,
    REDUCTION_DURATION_S,
    IdleTimeouts,
)
from leverdoor.entry.requests.outgoing_request import OutgoingRequest
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.http.reply_proof import ReplyNames
from leverdoor.model.resources import Target
from leverdoor.quarantine.crash_checker import TargetCheckResult

LONG_IDLE_S = 2 * REDUCED_IDLE_S


def accepts_requests() -> bool:
    """Stand in for a target that accepts requests."""
    return True


PROMPT_RESET_S = 0.01


def create_pool(
    on_reset: Callable[[str], None] = lambda service: None,
    on_reply: Callable[[Target, TargetReply], None] = lambda target, reply: None,
    on_connect: Callable[[str, str], None] = lambda service, result: None,
) -> ConnectionPool:
    return ConnectionPool(
        ReplyNames("x-id"), Connector("a", on_reply, on_connect), on_reset
    )


def test_prompt_reset_of_idle_connection_reduces_idle_timeout() -> None:
    timeouts = IdleTimeouts()
    assert timeouts.max_idle_s("s", 0.0) > 1e9
    assert timeouts.record_lost_reply("s", LONG_IDLE_S, PROMPT_RESET_S, 0.0)
    assert not timeouts.record_lost_reply("s", LONG_IDLE_S, PROMPT_RESET_S, 1.0)
    assert timeouts.max_idle_s("s", 2.0) == REDUCED_IDLE_S
    assert timeouts.max_idle_s("other", 2.0) > 1e9
    assert timeouts.max_idle_s("s", 1.0 + REDUCTION_DURATION_S) > 1e9


def test_other_lost_replies_do_not_reduce_idle_timeout() -> None:
    timeouts = IdleTimeouts()
    assert not timeouts.record_lost_reply("s", 0.0, PROMPT_RESET_S, 0.0)
    assert not timeouts.record_lost_reply("s", LONG_IDLE_S, 1.0, 0.0)
    assert timeouts.max_idle_s("s", 0.0) > 1e9


@pytest.mark.parametrize("entries", [1, 12, 195, 300])
async def test_idle_connections_of_all_entries_stay_within_target_limit(
    entries: int,
) -> None:
    """Idle connections of all entries must stay below the target's connection limit.

    If each entry keeps up to 16 idle connections, 195 entries keep 3,120 where the
    target accepts 390 and resets the rest.
    """

    async def serve(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await r.read()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    connections = create_pool()
    connections.entries = entries
    connections.max_connections = {"s": 390}
    one = target("one", address=address)
    checks = [connections.probe(one) for _ in range(20)]
    assert set(await asyncio.gather(*checks)) == {TargetCheckResult.SERVES}
    idle = connections.idle_count(one)
    assert 0 < idle * entries < 390
    assert idle == 16 or (idle + 1) * entries > 0.8 * 390
    connections.close()
    server.close()


def make_request(request_id: str) -> OutgoingRequest:
    head = f"POST / HTTP/1.1\r\nHost: h\r\nX-Id: {request_id}\r\n\r\n"
    return OutgoingRequest(request_id, "POST", head.encode(), b"")


async def test_connections_of_resetting_service_are_not_reused_after_idling(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The target replies once on each connection and resets it on the next byte."""
    monkeypatch.setattr(idle_timeouts, "RESET_WITHIN_S", 30.0)

    async def serve(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        head = await r.readuntil(b"\r\n\r\n")
        request_id = head.split(b"X-Id: ")[1].split(b"\r\n")[0]
        w.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: %b\r\n\r\n" % request_id
        )
        await r.read(1)
        w.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    reset_services: list[str] = []
    connections = create_pool(reset_services.append)
    one, two = target("one", address=address), target("two", address=address)
    for t in (one, two):
        await connections.exchange(t, make_request("first"), accepts_requests)
    await asyncio.sleep(LONG_IDLE_S)
    with pytest.raises(ReplyLost):
        await connections.exchange(one, make_request("second"), accepts_requests)
    assert reset_services == ["s"]
    reply = await connections.exchange(two, make_request("third"), accepts_requests)
    assert reply.status == 200
    assert connections.connector.opened == 3
    connections.close()
    server.close()


async def test_check_distinguishes_serving_from_ended_target() -> None:
    """The connection of a successful check is kept for the next request."""

    async def serve(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await r.readuntil(b"\r\n\r\n")
        w.write(b"HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 0\r\n\r\n")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    connections = create_pool()
    one = target("one", address=address)
    assert await connections.probe(one) is TargetCheckResult.SERVES
    reply = await connections.exchange(one, make_request("first"), accepts_requests)
    assert reply.status == 200
    assert connections.connector.opened == 1
    connections.close()
    server.close()
    await server.wait_closed()
    assert await connections.probe(one) is TargetCheckResult.ENDED


async def test_opened_and_refused_connections_are_counted_apart() -> None:
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    results: list[tuple[str, str]] = []
    connections = create_pool(on_connect=lambda *r: results.append(r))
    one = target("one", address=address)
    await connections.probe(one)
    connections.close()
    server.close()
    await server.wait_closed()
    await connections.probe(one)
    assert results == [("s", "opened"), ("s", "refused")]


async def test_request_is_not_sent_to_withdrawn_target() -> None:
    """A target may withdraw while a connection opens, which can take up to 0.8 s."""
    received = bytearray()

    async def serve(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        received.extend(await r.read())
        w.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    connections = create_pool()
    one = target("one", address=address)
    with pytest.raises(TargetWithdrawn):
        await connections.exchange(one, make_request("first"), lambda: False)
    server.close()
    await server.wait_closed()
    assert not received
    assert connections.idle_count(one) == 0


async def test_report_is_processed_before_reply_is_returned() -> None:
    """The callback runs before `exchange` returns, so cancellation loses no report."""
    reported: list[int] = []

    async def serve(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        await r.readuntil(b"\r\n\r\n")
        w.write(b"HTTP/1.1 503 no\r\nX-Id: first\r\nContent-Length: 0\r\n\r\n")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    one = target("one", address=address)

    def handle_reply(t: Target, reply: TargetReply) -> None:
        assert t is one
        reported.append(reply.status)
        request.cancel()

    connections = create_pool(on_reply=handle_reply)
    sending = connections.exchange(one, make_request("first"), accepts_requests)
    request = asyncio.create_task(sending)
    with pytest.raises(asyncio.CancelledError):
        await request
    assert reported == [503]
    connections.close()
    server.close()
