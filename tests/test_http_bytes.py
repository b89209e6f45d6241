# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Byte-exact HTTP requests and responses of stores, entries and gates.

The literals are the protocol: do not change them to make a test pass.
"""

import asyncio
import contextlib
import re
import zlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec
import pytest

from bench import Bench, deployment, running, until
from entry_bench import until_in_force
from leverdoor import headers as h
from leverdoor.agent.probing import PROBE_PATH
from leverdoor.client.operator import Operator
from leverdoor.codec import unpack
from leverdoor.entry.admin import AdminServer
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.errors import Code, Refusal
from leverdoor.http.server import HttpServer
from leverdoor.model.position import START, position_without_era
from leverdoor.platform.store import PlatformStore
from leverdoor.platform.wire_format import wire
from leverdoor.responses import problem_response
from leverdoor.standins.deployments import Deployment, TargetPlan
from leverdoor.standins.entry_process import Place
from leverdoor.standins.entry_site import EntrySite
from leverdoor.standins.upstreams import UpstreamStandin
from leverdoor.storage.etcd import EtcdStore
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import (
    Commit,
    Event,
    KeyValue,
    Lease,
    Listing,
    Store,
    Write,
)

# Requests to the stores.


class RawServer:
    """Sends fixed responses in order and records the requests.

    Probes of a target's load receive status 404 and are not recorded.
    """

    def __init__(self, *answers: bytes) -> None:
        self.requests: list[bytes] = []
        self._answers = list(answers)
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while self._answers:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                if PROBE_PATH.encode() in head:
                    writer.write(b"HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.requests.append(head + body)
                writer.write(self._answers.pop(0))
        writer.close()

    def single_request(self) -> tuple[str, bytes]:
        """Return the request line and the body of the only request."""
        [request] = self.requests
        head, _, body = request.partition(b"\r\n\r\n")
        return head.split(b"\r\n")[0].decode(), body


def json_reply(body: bytes) -> bytes:
    """Return a response with a JSON body."""
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    )


async def read_first_events(store: Store) -> list[Event]:
    """Return the first events of a watch."""
    watch = store.watch("op/", position_without_era(7))
    try:
        return await anext(watch)
    finally:
        await watch.aclose()  # type: ignore[attr-defined]


class StoreCall(msgspec.Struct, frozen=True):
    """A store operation, its request, and the result of parsing a response."""

    name: str
    make: Callable[[Any], Awaitable[Any]]
    line: str
    body: bytes
    answer: bytes
    result: Any


WRITES = [Write("op/a", b"1", 6), Write("op/b", b"2"), Write("op/c", None, 0)]
ETCD_CALLS = [
    StoreCall(
        "read",
        lambda store: store.read("op/"),
        "POST /v3/kv/range HTTP/1.1",
        b'{"key":"b3Av","range_end":"b3Aw"}',
        b'{"header":{"revision":"9"},"kvs":'
        b'[{"key":"b3AvYQ==","value":"MQ==","mod_revision":"8"}]}',
        Listing(9, [KeyValue("op/a", b"1", 8)]),
    ),
    StoreCall(
        "commit",
        lambda store: store.commit(WRITES),
        "POST /v3/kv/txn HTTP/1.1",
        b'{"compare":['
        b'{"key":"b3AvYQ==","target":"MOD","result":"EQUAL","mod_revision":"6"},'
        b'{"key":"b3AvYw==","target":"MOD","result":"EQUAL","mod_revision":"0"}],'
        b'"success":[{"request_put":{"key":"b3AvYQ==","value":"MQ=="}},'
        b'{"request_put":{"key":"b3AvYg==","value":"Mg=="}},'
        b'{"request_delete_range":{"key":"b3AvYw=="}}]}',
        b'{"header":{"revision":"9"},"succeeded":true}',
        Commit(True, 9),
    ),
    StoreCall(
        "watch",
        read_first_events,
        "POST /v3/watch HTTP/1.1",
        b'{"create_request": {"key": "b3Av", "range_end": "b3Aw", '
        b'"start_revision": "8", "progress_notify": true}}',
        b'{"result":{"header":{"revision":"9"},"events":['
        b'{"kv":{"key":"b3AvYQ==","value":"MQ==","mod_revision":"8"}},'
        b'{"type":"DELETE","kv":{"key":"b3AvYg==","mod_revision":"9"}}]}}\n',
        [Event(8, "op/a", b"1"), Event(9, "op/b", None)],
    ),
]


@pytest.mark.parametrize("call", ETCD_CALLS, ids=lambda call: call.name)
async def test_etcd_call(call: StoreCall) -> None:
    server = RawServer(json_reply(call.answer))
    async with server as address:
        store = EtcdStore([f"http://{address}"])
        assert await call.make(store) == call.result
        await store.close()
    assert server.single_request() == (call.line, call.body)


ITEM = b'{"private-key":"op/a","revision":8,"value":"MQ==","lease":5}'
PLATFORM_CALLS = [
    StoreCall(
        "read",
        lambda store: store.read("op/"),
        "GET /api/kv-range?path-prefix=op/ HTTP/1.1",
        b"",
        b'{"items":[' + ITEM + b'],"more":false,"at":9}',
        Listing(9, [KeyValue("op/a", b"1", 8, 5)]),
    ),
    StoreCall(
        "stale read",
        lambda store: store.read_stale("op/"),
        "GET /api/kv-range?path-prefix=op/&stale=1 HTTP/1.1",
        b"",
        b'{"items":[],"more":false,"at":9}',
        Listing(9, []),
    ),
    StoreCall(
        "watch",
        read_first_events,
        "GET /api/kv-watch?path-prefix=op/&after=7&wait-ms=50 HTTP/1.1",
        b"",
        b'{"events":['
        + ITEM
        + b',{"private-key":"op/b","revision":9,"gone":true}],"at":9}',
        [Event(8, "op/a", b"1"), Event(9, "op/b", None)],
    ),
    StoreCall(
        "commit",
        lambda store: store.commit(WRITES),
        "POST /api/kv-txn HTTP/1.1",
        b'{"expected-revision":[{"private-key":"op/a","revision":6},'
        b'{"private-key":"op/c","revision":0}],'
        b'"put":[{"private-key":"op/a","value":"MQ==","lease":0},'
        b'{"private-key":"op/b","value":"Mg==","lease":0}],'
        b'"removals":["op/c"]}',
        b'{"revision":9}',
        Commit(True, 9),
    ),
    StoreCall(
        "keep",
        lambda store: store.renew_lease(Lease(5)),
        "POST /api/kv-keep/5 HTTP/1.1",
        b"",
        b"{}",
        True,
    ),
    StoreCall(
        "let go",
        lambda store: store.revoke_lease(Lease(5)),
        "DELETE /api/kv-lease-end/5 HTTP/1.1",
        b"",
        b"{}",
        None,
    ),
]


@pytest.mark.parametrize("call", PLATFORM_CALLS, ids=lambda call: call.name)
async def test_platform_call(call: StoreCall) -> None:
    server = RawServer(json_reply(call.answer))
    async with server as address:
        store = PlatformStore(address)
        assert await call.make(store) == call.result
        await store.close()
    assert server.single_request() == (call.line, call.body)


async def test_registration_on_the_platform() -> None:
    """Registration creates a lease and then a key under it."""
    server = RawServer(json_reply(b'{"lease":5}'), json_reply(b'{"revision":9}'))
    async with server as address:
        store = PlatformStore(address)
        assert await store.put_with_lease("leverdoor/entries/n1", b"1", 15.0) == Lease(
            5
        )
        await store.close()
    granted, put = (request.partition(b"\r\n\r\n") for request in server.requests)
    assert granted[0].startswith(b"POST /api/kv-lease HTTP/1.1\r\n")
    assert granted[2] == b'{"ttl_ms":15000}'
    assert put[0].startswith(b"POST /api/kv-txn HTTP/1.1\r\n")
    assert put[2] == (
        b'{"expected-revision":[],"put":[{"private-key":"leverdoor/entries/n1",'
        b'"value":"MQ==","lease":5}],"removals":[]}'
    )


# Requests and responses of entries and gates.


def test_header_names() -> None:
    """The header names between callers, gates and targets without a platform."""
    assert {name: getattr(h, name) for name in h.__all__ if name.isupper()} == {
        "CALLER": "Leverdoor-Caller",
        "CODE": "Leverdoor-Code",
        "DEADLINE": "Leverdoor-Deadline-Ms",
        "HOME": "Leverdoor-Home",
        "HOP": "Leverdoor-Hop",
        "KEY": "Idempotency-Key",
        "LEAVING": "Leverdoor-Leaving",
        "NOT_RUN": "Leverdoor-Not-Run",
        "REQUEST_ID": "Leverdoor-Request-Id",
        "RETRY_AFTER_MS": "Leverdoor-Retry-After-Ms",
        "RUN": "Leverdoor-Run",
        "SERVED_BY": "Leverdoor-Served-By",
        "TIER": "Leverdoor-Tier",
    }


def mask_variable_fields(data: bytes) -> bytes:
    """Replace the header values and addresses that differ between runs or versions."""
    for name in (b"Date", b"Server", b"[\\w-]*Deadline-Ms"):
        data = re.sub(rb"(?im)^(%b): [^\r]+" % name, rb"\1: *", data)
    return re.sub(rb"127\.\d+\.\d+\.\d+:\d+", b"HOST:PORT", data)


async def exchange(address: str, *lines: str, body: bytes = b"") -> bytes:
    """Send a request over a new connection and return the masked response."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: (\d+)", head)
    assert length
    answer = head + await reader.readexactly(int(length[1]))
    writer.close()
    return mask_variable_fields(answer)


def route(name: str, **fields: object) -> dict[str, object]:
    """Return a route of the platform to the service with the same name."""
    prefix = f"/{name}/"
    named = {"name": name, "host": "records.example", "path-prefix": prefix}
    return {**named, "kind": "unsafe", "service": name, **fields}


class EntryCase(msgspec.Struct, frozen=True):
    """A reply of a target to an entry, and the resulting response to the client."""

    name: str
    target: bytes
    client: bytes


ENTRY_REQUEST = (
    "POST /file/a?b=%2F HTTP/1.1",
    "Host: records.example",
    "X-Request-Id: r1",
    "X-Deadline-Ms: 2000",
    "X-Tenant: forged",
    "Leverdoor-Run: x",
    "X-Other: c",
    "Connection: x-hop",
    "X-Hop: d",
    "X-Affinity-Key: k",
    "Content-Length: 3",
)
ENTRY_TO_TARGET = (
    b"POST /file/a?b=%2F HTTP/1.1\r\n"
    b"Host: records.example\r\n"
    b"X-Request-Id: r1\r\n"
    b"X-Other: c\r\n"
    b"X-Affinity-Key: k\r\n"
    b"x-deadline-ms: *\r\n"
    b"x-expect-instance: t1\r\n"
    b"Content-Length: 3\r\n"
    b"\r\n"
    b"abc"
)
ENTRY_CASES = [
    EntryCase(
        "served",
        b"HTTP/1.1 200 Fine\r\nX-Request-Id: r1\r\nX-Server-Stamp: t1.1\r\n"
        b"X-Server-Load: 1,0,4\r\nContent-Type: text/plain\r\nX-Other: a\r\n"
        b"Connection: x-hop\r\nX-Hop: d\r\nContent-Length: 2\r\n\r\nhi",
        b"HTTP/1.1 200 Fine\r\nx-request-id: r1\r\nx-server-stamp: t1.1\r\n"
        b"x-server-load: 1,0,4\r\ncontent-type: text/plain\r\nx-other: a\r\n"
        b"Content-Length: 2\r\nDate: *\r\nServer: *\r\n\r\nhi",
    ),
    EntryCase(
        "refused",
        b"HTTP/1.1 503 No\r\nX-Request-Id: r1\r\nX-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
        b"x-request-id: r1\r\nRetry-After: 0.250\r\nContent-Length: 80\r\n"
        b"Date: *\r\nServer: *\r\n\r\n"
        b'{"code":3016,"name":"TARGET_REFUSED","detail":"status 503",'
        b'"retry_after_ms":250}',
    ),
    EntryCase(
        "failed",
        b"HTTP/1.1 500 Oops\r\nX-Request-Id: r1\r\nContent-Length: 3\r\n\r\nbad",
        b"HTTP/1.1 500 Oops\r\nx-request-id: r1\r\nContent-Length: 3\r\n"
        b"Content-Type: application/octet-stream\r\nDate: *\r\nServer: *\r\n\r\nbad",
    ),
    EntryCase(
        "lost",
        b"",
        b"HTTP/1.1 502 Bad Gateway\r\nContent-Type: application/json\r\n"
        b"x-request-id: r1\r\nContent-Length: 80\r\nDate: *\r\nServer: *\r\n\r\n"
        b'{"code":3101,"name":"ANSWER_LOST","detail":"closed by the target",'
        b'"run":"maybe"}',
    ),
]


@contextlib.asynccontextmanager
async def run_entry_for_target(target: str) -> AsyncIterator[EntrySite]:
    """Run an entry with a single target of the service `file`."""
    site = EntrySite({"n1": Place("a1", "a")}, [])
    registered = UpstreamStandin("t1", "file", "a1").entry(target)
    site.store.put("servers/t1", registered)
    try:
        await site.start([route("file"), route("look")])
        yield site
    finally:
        await site.stop()


@pytest.mark.parametrize("case", ENTRY_CASES, ids=lambda case: case.name)
async def test_request_through_an_entry(case: EntryCase) -> None:
    server = RawServer(case.target)
    async with server as target, run_entry_for_target(target) as site:
        front = site.front(site.entries["n1"])
        assert await exchange(front, *ENTRY_REQUEST, body=b"abc") == case.client
    assert [mask_variable_fields(request) for request in server.requests] == [
        ENTRY_TO_TARGET
    ]


async def test_long_body_through_an_entry() -> None:
    """The body is streamed, and Content-Length precedes the entry's own headers."""
    body = b"x" * 600_000
    request = (*ENTRY_REQUEST[:-1], "Content-Length: 600000")
    server = RawServer(ENTRY_CASES[0].target)
    async with server as target, run_entry_for_target(target) as site:
        front = site.front(site.entries["n1"])
        assert await exchange(front, *request, body=body) == ENTRY_CASES[0].client
    [(head, _, received_body)] = [r.partition(b"\r\n\r\n") for r in server.requests]
    assert received_body == body
    assert mask_variable_fields(head) == (
        b"POST /file/a?b=%2F HTTP/1.1\r\nHost: records.example\r\n"
        b"X-Request-Id: r1\r\nX-Other: c\r\nX-Affinity-Key: k\r\n"
        b"Content-Length: 600000\r\nx-deadline-ms: *\r\nx-expect-instance: t1"
    )


async def test_requests_answered_by_entry() -> None:
    async with RawServer() as target, run_entry_for_target(target) as site:
        ports = site.entries["n1"].ports
        assert await exchange(
            ports["frontend"],
            "GET /nowhere HTTP/1.1",
            "Host: records.example",
            "X-Request-Id: r1",
        ) == (
            b"HTTP/1.1 404 Not Found\r\nContent-Type: application/json\r\n"
            b"x-request-id: r1\r\nContent-Length: 67\r\nDate: *\r\nServer: *\r\n\r\n"
            b'{"code":3014,"name":"NO_ROUTE","detail":"records.example /nowhere"}'
        )
        answer = await exchange(
            ports["directory"],
            "GET /api/resolve?name=records.example&region=a&zone=a1 HTTP/1.1",
            "Host: a",
        )
        assert re.sub(rb"Length: \d+", b"Length: *", answer) == (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: *\r\nDate: *\r\nServer: *\r\n\r\n"
            b'{"addresses":["HOST:PORT"],"ttl-s":2.0}'
        )
        assert await exchange(
            ports["ready"], "GET /api/readiness HTTP/1.1", "Host: a"
        ) == (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nDate: *\r\nServer: *\r\n\r\n")


async def test_target_receives_workspace_name_instead_of_key() -> None:
    """The target receives the workspace name instead of the key."""
    server = RawServer(ENTRY_CASES[0].target)
    async with server as target, run_entry_for_target(target) as site:
        tenant = {"name": "w1", "api-keys": ["key"]}
        site.configure([route("file"), route("look")], tenants=[tenant])
        await until_in_force(site, "/look/x", 401)
        front = site.front(site.entries["n1"])
        answer = await exchange(front, *ENTRY_REQUEST, "X-Credential: key", body=b"abc")
    assert answer == ENTRY_CASES[0].client
    assert [mask_variable_fields(request) for request in server.requests] == [
        ENTRY_TO_TARGET.replace(
            b"x-deadline-ms: *", b"x-tenant: w1\r\nx-deadline-ms: *"
        )
    ]


async def test_workspace_key_beyond_ascii_is_recognized() -> None:
    """Keys are compared as text, other values are passed on byte for byte."""
    server = RawServer(ENTRY_CASES[0].target)
    async with server as target, run_entry_for_target(target) as site:
        tenant = {"name": "w1", "api-keys": ["schlüssel"]}
        site.configure([route("file"), route("look")], tenants=[tenant])
        await until_in_force(site, "/look/x", 401)
        front = site.front(site.entries["n1"])
        more = ("X-Credential: schlüssel", "X-Name: größe")
        answer = await exchange(front, *ENTRY_REQUEST, *more, body=b"abc")
    assert answer == ENTRY_CASES[0].client
    assert "\r\nX-Name: größe\r\n".encode() in server.requests[0]


class GateCase(msgspec.Struct, frozen=True):
    """The request line of a caller, and the response that the gate generates."""

    line: str
    answer: bytes


GATE_CASES = [
    GateCase(
        "GET /s/once/a HTTP/1.1",
        b"HTTP/1.1 428 Precondition Required\r\nContent-Type: application/json\r\n"
        b"Leverdoor-Code: 3007\r\nLeverdoor-Run: no\r\nLeverdoor-Request-Id: r1\r\n"
        b"Content-Length: 97\r\nDate: *\r\nServer: *\r\n\r\n"
        b'{"code":3007,"name":"KEY_REQUIRED","detail":'
        b'"The service runs at most once; send an issued key."}',
    ),
    GateCase(
        "GET /s/nowhere/a HTTP/1.1",
        b"HTTP/1.1 404 Not Found\r\nContent-Type: application/json\r\n"
        b"Leverdoor-Code: 3001\r\nLeverdoor-Run: no\r\nLeverdoor-Request-Id: r1\r\n"
        b"Content-Length: 74\r\nDate: *\r\nServer: *\r\n\r\n"
        b'{"code":3001,"name":"UNKNOWN_SERVICE","detail":'
        b'"No service of this name."}',
    ),
    GateCase(
        "GET /readyz HTTP/1.1",
        b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\n"
        b"Content-Length: 6\r\nDate: *\r\nServer: *\r\n\r\nready\n",
    ),
]


async def add_target(bench: Bench, address: str) -> None:
    """Add a target to the service `look` and wait until it is usable."""
    plan = TargetPlan("only", "look", "r0", "r0-0", 4)
    operator = Operator([bench.api()])
    await operator.apply(Deployment([], [plan], []).target_resources({"only": address}))
    await operator.close()
    await until(lambda: bench.free() > 0)


async def test_requests_through_a_gate() -> None:
    server = RawServer(
        b"HTTP/1.1 200 Fine\r\nX-Other: a\r\nContent-Type: text/plain\r\n"
        b"Connection: x-hop\r\nX-Hop: d\r\nLeverdoor-Run: x\r\n"
        b"Content-Length: 2\r\n\r\nhi",
    )
    site = running(deployment(vms=1, targets=0))
    async with server as target, site as bench:
        await add_target(bench, target)
        answer = await exchange(
            bench.listen(),
            "POST /s/look/a?b=%2F HTTP/1.1",
            "Host: records.example",
            "Leverdoor-Request-Id: r1",
            "Leverdoor-Caller: c1",
            "Leverdoor-Deadline-Ms: 1500",
            "Leverdoor-Run: x",
            "X-Other: c",
            "Connection: x-hop",
            "X-Hop: d",
            "Content-Length: 3",
            body=b"abc",
        )
        for case in GATE_CASES:
            assert case.answer == await exchange(
                bench.listen(), case.line, "Host: a", "Leverdoor-Request-Id: r1"
            )
    assert answer == (
        b"HTTP/1.1 200 OK\r\nX-Other: a\r\nContent-Type: text/plain\r\n"
        b"Content-Length: 2\r\nLeverdoor-Request-Id: r1\r\nLeverdoor-Code: 0\r\n"
        b"Leverdoor-Run: yes\r\nLeverdoor-Served-By: r0/only\r\n"
        b"Date: *\r\nServer: *\r\n\r\nhi"
    )
    assert [mask_variable_fields(request) for request in server.requests] == [
        b"POST /a?b=%2F HTTP/1.1\r\nHost: HOST:PORT\r\nX-Other: c\r\n"
        b"Content-Length: 3\r\nLeverdoor-Request-Id: r1\r\n"
        b"Leverdoor-Deadline-Ms: *\r\n\r\nabc"
    ]


def test_refusal_of_a_gate() -> None:
    """Retry-After is rounded up to whole seconds."""
    refusal = Refusal(Code.QUEUE_FULL, "busy", retry_after_ms=1_250)
    answer = problem_response(refusal, "r1")
    assert answer.status == 503
    assert dict(answer.headers) == {
        "Content-Type": "application/json",
        "Leverdoor-Code": "3002",
        "Leverdoor-Run": "no",
        "Leverdoor-Request-Id": "r1",
        "Retry-After": "2",
        "Leverdoor-Retry-After-Ms": "1250",
    }
    assert answer.body == (
        b'{"code":3002,"name":"QUEUE_FULL","detail":"busy","retry_after_ms":1250}'
    )


def test_error_of_a_gate() -> None:
    answer = problem_response(Refusal(Code.ANSWER_LOST, "cut short"), "r1")
    assert answer.status == 502
    assert dict(answer.headers) == {
        "Content-Type": "application/json",
        "Leverdoor-Code": "3101",
        "Leverdoor-Run": "maybe",
        "Leverdoor-Request-Id": "r1",
    }
    assert answer.body == (
        b'{"code":3101,"name":"ANSWER_LOST","detail":"cut short","run":"maybe"}'
    )


class StatePull(msgspec.Struct, frozen=True):
    """A stored value, and the headers of the response that transfers it to a peer."""

    name: str
    value: bytes
    head: bytes
    coding: Callable[[bytes], bytes]


STATE_PULL_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Encoding: %b\r\nContent-Length: *\r\n"
    b"Content-Type: application/octet-stream\r\nDate: *\r\nServer: *"
)
STATE_PULLS = [
    StatePull("short", b"{}", STATE_PULL_HEAD % b"identity", bytes),
    StatePull("long", b"{}" * 1_000, STATE_PULL_HEAD % b"deflate", zlib.decompress),
]


@pytest.mark.parametrize("pull", STATE_PULLS, ids=lambda pull: pull.name)
async def test_state_pull_from_entry(pull: StatePull) -> None:
    """The response is compressed if the state does not fit into one packet."""
    state = State()
    state.apply(Delta(0, 5, True, [Event(5, "op/a", pull.value)]))
    admin = AdminServer(
        wire({}), state, EntryMetrics(), lambda: True, lambda *_: [], 1.0, lambda: 0
    )
    server = HttpServer(admin.handle)
    listener = await asyncio.get_running_loop().create_server(
        server.create_connection, "127.0.0.1", 0
    )
    answer = await exchange(
        f"127.0.0.1:{listener.sockets[0].getsockname()[1]}",
        "GET /v1/internal/state?since=0 HTTP/1.1",
        "Host: a",
    )
    listener.close()
    await server.shutdown(1.0)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert re.sub(rb"Length: \d+", b"Length: *", head) == pull.head
    assert unpack(pull.coding(body), Delta) == state.delta(START)
