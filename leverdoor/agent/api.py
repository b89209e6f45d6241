# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The resource API, served by every agent over HTTP.

Owns no state but the queues of its watchers. Queries read the agent's copy of the
store, which may lag; commands go through `storage/configuration.py` to the store.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec
from aiohttp import web
from loguru import logger
from returns.result import Failure, Result

from leverdoor.agent.reports import Reporter
from leverdoor.codec import pack, serialize_json
from leverdoor.errors import Code, ConfigError, LeverdoorError
from leverdoor.metrics import AgentMetrics
from leverdoor.model.resources import (
    KINDS,
    Resource,
    parse_resource,
    parse_resources,
    resource_key,
)
from leverdoor.responses import json_response, problem_response
from leverdoor.storage.configuration import Applied, Configuration
from leverdoor.storage.state import RESOURCES, Delta, State
from leverdoor.storage.store import Event, KeyValue

__all__ = ["Api", "Change", "Item", "ItemList", "Status"]

MAX_BODY = 1_000_000
"""Longest document accepted, in bytes; the longest value of the store."""
BOOKMARK_S = 5.0
"""Seconds between bookmarks to an idle watch: below usual idle time-outs."""
REPORT_WATCH_S = 1.0
"""Seconds between two reports to a watcher: people read them."""
WATCH_QUEUE = 1_000
"""Changes kept for a slow watcher before its watch ends and it has to list again.

Holds a large apply; a greater one costs memory for each slow watcher.
"""
NO_CONFIGURATION_RETRY_MS = 500
"""Retry-After in ms while the agent has no copy of the store yet.

About the time in which a new agent gets it from a peer.
"""
ABSENT = msgspec.Raw(b"null")


class Item(msgspec.Struct):
    """A resource, and how many of all gates have it in force."""

    revision: int
    resource: msgspec.Raw
    in_force: int = 0
    entries: int = 0


class ItemList(msgspec.Struct):
    """Resources at one revision, from which a watch can go on."""

    revision: int
    items: list[Item]


class Change(msgspec.Struct, omit_defaults=True):
    """One line of a watch: put, delete, or a bookmark that has only the revision."""

    revision: int
    type: str
    key: str = ""
    resource: msgspec.Raw = ABSENT


class Status(msgspec.Struct):
    """How many of all gates have a revision in force."""

    revision: int
    in_force: int
    entries: int


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def _errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn errors into numbered problems."""
    try:
        return await handler(request)
    except LeverdoorError as e:
        return _problem(e)
    except web.HTTPException as e:
        if e.status == 404:
            return _problem(LeverdoorError(Code.NOT_FOUND, f"no {request.path}"))
        return _problem(LeverdoorError(Code.MALFORMED, e.reason))


class Api:
    """Handlers of the resource API."""

    def __init__(
        self,
        configuration: Configuration,
        state: State,
        reporter: Reporter,
        metrics: AgentMetrics,
    ) -> None:
        """Create it from an agent's parts."""
        self._configuration = configuration
        self._state = state
        self._reporter = reporter
        self._metrics = metrics

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(middlewares=[_errors], client_max_size=MAX_BODY)
        app.router.add_get("/v1/resources", self._list)
        app.router.add_get("/v1/resources/{kind}", self._list)
        app.router.add_get("/v1/resources/{kind}/{name}", self._get)
        app.router.add_put("/v1/resources/{kind}/{name}", self._put)
        app.router.add_delete("/v1/resources/{kind}/{name}", self._delete)
        app.router.add_post("/v1/apply", self._apply)
        app.router.add_get("/v1/watch", self._watch)
        app.router.add_get("/v1/reports/{name}", self._report)
        app.router.add_route("*", "/v1/reports/{name}", self._read_only)
        app.router.add_get("/v1/status", self._status)
        app.router.add_get("/v1/internal/state", self._internal_state)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/metrics", self._metrics.handle_scrape)
        return app

    # Queries.

    async def _list(self, request: web.Request) -> web.StreamResponse:
        kind = request.match_info.get("kind", "")
        if kind:
            _known_kind(kind)
        self._need_configuration()
        prefix = RESOURCES + (f"{kind}/" if kind else "")
        items = [self._item(e) for e in self._state.under(prefix)]
        return json_response(ItemList(self._state.revision, items))

    async def _get(self, request: web.Request) -> web.StreamResponse:
        key = _key(request)
        self._need_configuration()
        entry = self._state.entries.get(RESOURCES + key)
        if entry is None:
            raise LeverdoorError(Code.NOT_FOUND, f"there is no {key}")
        response = json_response(self._item(entry))
        response.headers["ETag"] = f'"{entry.revision}"'
        return response

    def _item(self, entry: KeyValue) -> Item:
        in_force, entries = self._reporter.in_force(entry.revision)
        return Item(entry.revision, msgspec.Raw(entry.value), in_force, entries)

    async def _status(self, request: web.Request) -> web.StreamResponse:
        revision = _number(request, "revision", self._state.revision)
        return json_response(Status(revision, *self._reporter.in_force(revision)))

    async def _internal_state(self, request: web.Request) -> web.StreamResponse:
        """Give a peer what it lacks."""
        since = _number(request, "since", 0)
        return web.Response(body=pack(self._state.delta(since)))

    async def _report(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        if "watch" not in request.query:
            return json_response(await self._reporter.report(name))
        await self._reporter.report(name)
        return await _stream_lines(request, self._report_lines(name))

    async def _report_lines(self, name: str) -> AsyncIterator[bytes]:
        last = b""
        while True:
            line = serialize_json(await self._reporter.report(name))
            if line != last:
                yield line
            last = line
            await asyncio.sleep(REPORT_WATCH_S)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        """Stream changes after a revision, without a gap."""
        self._need_configuration()
        kind = request.query.get("kind", "")
        if kind:
            _known_kind(kind)
        since = _number(request, "since", self._state.revision)
        if not self._state.can_follow(since):
            raise LeverdoorError(Code.COMPACTED, revision=self._state.revision)
        prefix = RESOURCES + (f"{kind}/" if kind else "")
        return await _stream_lines(request, self._changes(prefix, since))

    async def _changes(self, prefix: str, since: int) -> AsyncIterator[bytes]:
        """Yield changes as lines; ends when the watcher is too slow to follow."""
        queue: asyncio.Queue[Delta | None] = asyncio.Queue(WATCH_QUEUE)

        def put(delta: Delta) -> None:
            if queue.full():
                queue.get_nowait()
                queue.put_nowait(None)
            else:
                queue.put_nowait(delta)

        subscription = self._state.changes.subscribe(put)
        try:
            delta: Delta | None = self._state.delta(since)
            while True:
                if delta is None or delta.full:
                    return
                for event in delta.events:
                    if event.revision > since and event.key.startswith(prefix):
                        yield serialize_json(_change(event))
                since = max(since, delta.revision)
                try:
                    async with asyncio.timeout(BOOKMARK_S):
                        delta = await queue.get()
                except TimeoutError:
                    yield serialize_json(Change(since, "bookmark"))
                    delta = Delta(since, since, False, [])
        finally:
            subscription.dispose()

    async def _healthz(self, request: web.Request) -> web.StreamResponse:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.StreamResponse:
        self._need_configuration()
        return web.Response(text="ready\n")

    def _need_configuration(self) -> None:
        if self._state.revision == 0:
            raise LeverdoorError(
                Code.NO_CONFIGURATION, retry_after_ms=NO_CONFIGURATION_RETRY_MS
            )

    # Commands.

    async def _put(self, request: web.Request) -> web.StreamResponse:
        key = _key(request)
        resource = parse_resource(await request.read())
        if resource_key(resource) != key:
            raise ConfigError(
                Code.CONTRADICTION,
                f"the path says {key}, the body {resource_key(resource)}",
                field="name",
            )
        return await self._write([resource], request)

    async def _apply(self, request: web.Request) -> web.StreamResponse:
        return await self._write(parse_resources(await request.read()), request)

    async def _write(
        self, resources: list[Resource], request: web.Request
    ) -> web.StreamResponse:
        condition = _condition(request)
        conditions = {}
        if condition is not None:
            conditions = {resource_key(r): condition for r in resources}
        dry_run = "dry_run" in request.query
        return _applied(await self._configuration.apply(resources, conditions, dry_run))

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        dry_run = "dry_run" in request.query
        return _applied(
            await self._configuration.delete(
                _key(request), _condition(request), dry_run
            )
        )

    async def _read_only(self, request: web.Request) -> web.StreamResponse:
        raise LeverdoorError(Code.READ_ONLY)


def _change(event: Event) -> Change:
    key = event.key.removeprefix(RESOURCES)
    if event.value is None:
        return Change(event.revision, "delete", key)
    return Change(event.revision, "put", key, msgspec.Raw(event.value))


def _known_kind(kind: str) -> None:
    if kind not in KINDS:
        raise LeverdoorError(
            Code.NOT_FOUND, f"there is no kind {kind}; kinds: {', '.join(KINDS)}"
        )


def _key(request: web.Request) -> str:
    kind = request.match_info["kind"]
    _known_kind(kind)
    return f"{kind}/{request.match_info['name']}"


def _number(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not text.isdigit():
        raise ConfigError(
            Code.UNKNOWN_FIELD, f"{name} must be a whole number", field=name
        )
    return int(text)


def _condition(request: web.Request) -> int | None:
    """Read If-Match or If-None-Match."""
    if request.headers.get("If-None-Match") == "*":
        return 0
    text = request.headers.get("If-Match", "").strip('"')
    if not text:
        return None
    if not text.isdigit():
        raise ConfigError(
            Code.UNKNOWN_FIELD, "If-Match must be a revision", field="If-Match"
        )
    return int(text)


def _applied(result: Result[Applied, LeverdoorError]) -> web.Response:
    if isinstance(result, Failure):
        return _problem(result.failure())
    return json_response(result.unwrap())


def _problem(e: LeverdoorError) -> web.Response:
    logger.info("api refused", code=int(e.code), detail=e.detail)
    return problem_response(e)


async def _stream_lines(
    request: web.Request, lines: AsyncIterator[bytes]
) -> web.StreamResponse:
    response = web.StreamResponse(
        headers={"Content-Type": "application/x-ndjson", "X-Accel-Buffering": "no"}
    )
    await response.prepare(request)
    async for line in lines:
        await response.write(line + b"\n")
    await response.write_eof()
    return response
