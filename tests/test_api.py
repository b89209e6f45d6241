# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Contract of the resource API and of the command line that uses it."""

import asyncio
import json
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp.test_utils import TestServer
from click.testing import CliRunner

from leverdoor.agent.api import Api
from leverdoor.agent.reports import REPORTS, Reporter
from leverdoor.cli import main
from leverdoor.client.operator import Operator
from leverdoor.errors import Code, LeverdoorError
from leverdoor.membership.peers import Peers
from leverdoor.metrics import AgentMetrics
from leverdoor.model.position import START
from leverdoor.model.resources import ClientBlocks, Region, Tier, serialize_resource
from leverdoor.storage.configuration import Configuration
from leverdoor.storage.state import PREFIX, RESOURCES, Delta, State
from leverdoor.storage.store import Event, MemoryStore
from leverdoor.storage.view import ViewCache

TIER = {"kind": "tier", "name": "a", "weight": 2}


class ApiServer:
    """The API of an agent on an in-memory store."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.state = State()
        cache = ViewCache(self.state)
        self.api = Api(
            Configuration(self.store, self.state, cache),
            self.state,
            Reporter(cache, Peers("vm0", "r"), self.state),
            AgentMetrics(),
        )
        self.server = TestServer(self.api.app())

    @property
    def address(self) -> str:
        return f"{self.server.host}:{self.server.port}"

    async def follow(self) -> None:
        self.state.reset(await self.store.read(PREFIX))
        async for events in self.store.watch(PREFIX, self.state.position):
            self.state.extend(events)


@pytest.fixture
async def api_server() -> AsyncIterator[ApiServer]:
    s = ApiServer()
    await s.server.start_server()
    task = asyncio.create_task(s.follow())
    await asyncio.sleep(0)
    yield s
    task.cancel()
    await s.server.close()


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as s:
        yield s


async def wait_for_replica(s: ApiServer) -> None:
    while s.state.revision < s.store.revision:
        await asyncio.sleep(0.005)


async def test_create_read_replace_delete(
    api_server: ApiServer, session: aiohttp.ClientSession
) -> None:
    url = f"http://{api_server.address}/v1/resources/tier/a"
    async with session.put(url, json=TIER, headers={"If-None-Match": "*"}) as response:
        assert response.status == 200
        revision = (await response.json(content_type=None))["revision"]
    await wait_for_replica(api_server)
    async with session.get(url) as response:
        assert response.headers["ETag"] == f'"{revision}"'
        assert json.loads(await response.read())["resource"].items() >= TIER.items()
    async with session.put(url, json=TIER, headers={"If-Match": "1"}) as response:
        assert response.status == 409
        assert (await response.json(content_type=None))["revision"] == revision
    headers = {"If-Match": str(revision)}
    async with session.delete(url, headers=headers) as response:
        assert response.status == 200
    await wait_for_replica(api_server)
    async with session.get(url) as response:
        assert response.status == 404


BAD_REQUESTS = [
    ("PUT", "/v1/resources/tier/a", "{", Code.MALFORMED),
    ("PUT", "/v1/resources/tier/b", json.dumps(TIER), Code.CONTRADICTION),
    ("PUT", "/v1/resources/none/a", json.dumps(TIER), Code.NOT_FOUND),
    ("GET", "/v1/resources/none", "", Code.NOT_FOUND),
    ("GET", "/v1/watch?since=x", "", Code.UNKNOWN_FIELD),
    ("GET", "/v1/reports/none", "", Code.NOT_FOUND),
    ("PUT", "/v1/reports/burn", "{}", Code.READ_ONLY),
    ("DELETE", "/v1/resources/tier/none", "", Code.NOT_FOUND),
    ("GET", "/nowhere", "", Code.NOT_FOUND),
]


@pytest.mark.parametrize(("method", "path", "body", "code"), BAD_REQUESTS)
async def test_bad_requests_get_a_problem_with_an_error_code(
    api_server: ApiServer,
    session: aiohttp.ClientSession,
    method: str,
    path: str,
    body: str,
    code: Code,
) -> None:
    await wait_for_replica(api_server)
    before = api_server.store.revision
    url = f"http://{api_server.address}{path}"
    async with session.request(method, url, data=body) as response:
        assert json.loads(await response.read())["code"] == code
    assert api_server.store.revision == before


async def test_watch_has_no_gap(api_server: ApiServer) -> None:
    operator = Operator([api_server.address])
    first = await operator.apply([Tier(name="a", weight=1)])
    for weight in (2, 3):
        await operator.apply([Tier(name="a", weight=weight)])
    await wait_for_replica(api_server)
    changes = []
    async for change in operator.watch("tier", first.revision):
        changes.append(change)
        if len(changes) == 2:
            await operator.delete("tier/a")
        if len(changes) == 3:
            break
    await operator.close()
    assert [c.type for c in changes] == ["put", "put", "delete"]
    assert [c.revision for c in changes] == sorted(c.revision for c in changes)


async def test_watch_of_a_compacted_revision_fails(
    api_server: ApiServer,
) -> None:
    operator = Operator([api_server.address])
    await operator.apply([Tier(name="a")])
    await wait_for_replica(api_server)
    full = api_server.state.delta(START).events
    api_server.state.apply(Delta(0, api_server.state.revision + 1, True, full))
    with pytest.raises(LeverdoorError) as e:
        async for _ in operator.watch("tier", 1):
            pass
    assert e.value.code is Code.COMPACTED
    await operator.close()


def blocks(number: int) -> ClientBlocks:
    """Return a resource of more than the log keeps once it is replaced."""
    networks = [f"10.{number}.{i}.0/24" for i in range(200)]
    return ClientBlocks(name="b", networks={"r": networks})


async def test_watch_ends_where_a_large_value_was_replaced(
    api_server: ApiServer,
) -> None:
    """A watch without a gap must not pass over the changes that the log lacks."""
    operator = Operator([api_server.address])
    await operator.apply([Region(name="r", domains=["d"])])
    first = await operator.apply([blocks(0)])
    for number in (1, 2):
        await operator.apply([blocks(number)])
    await operator.apply([Tier(name="a")])
    await wait_for_replica(api_server)
    with pytest.raises(LeverdoorError) as e:
        await anext(operator.watch("clientblocks", first.revision))
    assert e.value.code is Code.COMPACTED
    change = await anext(operator.watch("tier", first.revision))
    assert change.key == "tier/a"
    await operator.close()


async def test_watch_from_a_revision_of_a_lost_history_fails(
    api_server: ApiServer,
) -> None:
    """A client that comes back would miss what the restored store wrote before it."""
    operator = Operator([api_server.address])
    known = await operator.apply([Tier(name="a")])
    await wait_for_replica(api_server)
    full = api_server.state.delta(START).events
    api_server.state.apply(Delta(0, known.revision + 2, True, full, era=0))
    tier = serialize_resource(Tier(name="b"))
    events = [Event(known.revision + 3, RESOURCES + "tier/b", tier)]
    after = known.revision + 2
    api_server.state.apply(Delta(after, after + 1, False, events, era=0))
    with pytest.raises(LeverdoorError) as e:
        await anext(operator.watch("tier", after))
    assert e.value.code is Code.COMPACTED
    listing = await operator.get()
    assert (listing.revision, listing.era) == (after + 1, 0)
    change = await anext(operator.watch("tier", after, listing.era))
    assert (change.key, change.era) == ("tier/b", 0)
    await operator.close()


async def test_agent_without_configuration_is_not_ready(
    session: aiohttp.ClientSession,
) -> None:
    s = ApiServer()
    await s.server.start_server()
    async with session.get(f"http://{s.address}/readyz") as response:
        assert response.status == 503
        assert (await response.json(content_type=None))["code"] == 2003
    async with session.get(f"http://{s.address}/healthz") as response:
        assert response.status == 200
    await s.server.close()


@pytest.mark.parametrize("name", REPORTS)
async def test_reports_are_read(api_server: ApiServer, name: str) -> None:
    operator = Operator([api_server.address])
    assert (await operator.report(name)).lines == []
    await operator.close()


# The command line.


def run(*args: str, stdin: str = "") -> tuple[int, str]:
    result = CliRunner().invoke(main, list(args), input=stdin)
    return result.exit_code, result.output


async def cli(
    api_server: ApiServer, command: str, *args: str, stdin: str = ""
) -> tuple[int, str]:
    flags = (command, f"--api={api_server.address}", *args)
    return await asyncio.to_thread(run, *flags, stdin=stdin)


async def test_the_command_line_applies_gets_and_deletes(api_server: ApiServer) -> None:
    text = json.dumps([TIER, {"kind": "tier", "name": "b"}])
    code, out = await cli(api_server, "apply", "-f", "-", stdin=text)
    assert (code, out.count("accepted")) == (0, 2)
    await wait_for_replica(api_server)
    code, out = await cli(api_server, "get", "tier")
    assert code == 0
    assert [line.split()[1] for line in out.splitlines()[1:]] == ["a", "b"]
    code, out = await cli(api_server, "get", "tier/a")
    assert json.loads(out)["resource"].items() >= TIER.items()
    code, out = await cli(api_server, "delete", "tier/a", "tier/b")
    assert (code, out.count("deleted")) == (0, 2)


async def test_errors_end_with_the_exit_status_of_their_code(
    api_server: ApiServer,
) -> None:
    bad = json.dumps({"kind": "tier", "name": "a", "wieght": 1})
    code, out = await cli(api_server, "apply", "-f", "-", stdin=bad)
    assert code == 11
    assert "wieght" in out
    code, out = await cli(api_server, "delete", "tier/none")
    assert code == 14


async def test_dry_run_stores_nothing(api_server: ApiServer) -> None:
    flags = ("--dry-run", "-f", "-")
    code, out = await cli(api_server, "apply", *flags, stdin=json.dumps(TIER))
    assert (code, "checked" in out) == (0, True)
    assert api_server.store.writes == 0


@pytest.mark.parametrize(
    ("args", "named"),
    [
        (["gate", "--vm=a"], "--region"),
        (["agent", "--vm=a", "--region=r", "--domain=d", "--api=host:1"], "--api"),
        (["gate", "--listen=1.2.3.4:99999"], "--listen"),
        (["agent", "--vm-list-lag-ms=-1"], "--vm-list-lag-ms"),
    ],
)
def test_a_bad_setting_is_named(args: list[str], named: str) -> None:
    code, out = run(*args)
    assert code == 2
    assert named in out


@pytest.mark.parametrize("name", sorted(main.commands))
def test_every_command_has_help(name: str) -> None:
    code, out = run(name, "--help")
    assert code == 0
    assert len(out.splitlines()) > 5
