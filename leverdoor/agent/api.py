# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The resource API, which every agent serves over HTTP.

Owns the event queues of its watchers, which are lost with the process. Queries read the
agent's replica of the store, which may lag; commands write to the store through
`storage/configuration.py`.
"""

import asyncio
import re
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec
from aiohttp import web
from loguru import logger
from returns.result import Failure, Result

from leverdoor.agent.reports import Reporter
from leverdoor.agent.watch_queue import WatchQueue
from leverdoor.codec import pack, serialize_json
from leverdoor.errors import Code, ConfigError, LeverdoorError
from leverdoor.guarded_connection import guard_requests
from leverdoor.metrics import AgentMetrics
from leverdoor.model.position import UNKNOWN_ERA, Position
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

__all__ = ["MAX_BODY_BYTES", "Api", "Change", "Item", "ItemList", "Status"]

WHOLE_NUMBER = re.compile(r"[0-9]{1,18}", re.ASCII)
"""A revision, an era or a time: a decimal number that fits 64 bits."""
MAX_BODY_BYTES = 1_000_000
"""Maximum size of a request body in bytes; equals the store's limit for a value."""
BOOKMARK_S = 5.0
"""Interval of bookmarks on an idle watch, in seconds; below common idle timeouts."""
REPORT_WATCH_S = 1.0
"""Interval of reports to a watcher, in seconds; sufficient for human readers."""
NO_CONFIGURATION_RETRY_MS = 500
"""Retry-After in ms while the agent has no replica of the store yet.

About the time that a new agent needs to fetch the state from a peer.
"""
NO_RESOURCE = msgspec.Raw(b"null")
"""`Change.resource` of a delete or a bookmark."""


class Item(msgspec.Struct):
    """A resource and its state at the gates.

    `in_force` is the number of live gates that have it in force, `entries` that of all
    live gates.
    """

    revision: int
    resource: msgspec.Raw
    in_force: int = 0
    entries: int = 0


class ItemList(msgspec.Struct, omit_defaults=True):
    """Resources at one position, from which a watch can continue."""

    revision: int
    items: list[Item]
    era: int = UNKNOWN_ERA
    """Era of `revision`; omitted on a site whose store was never restored."""


class Change(msgspec.Struct, omit_defaults=True):
    """One line of a watch: a put, a delete, or a bookmark with only a position."""

    revision: int
    type: str
    key: str = ""
    resource: msgspec.Raw = NO_RESOURCE
    era: int = UNKNOWN_ERA
    """As in `ItemList`."""


class Status(msgspec.Struct):
    """Number of gates that have a revision in force, and of all live gates."""

    revision: int
    in_force: int
    entries: int


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def _handle_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Convert exceptions to problem responses with an error code."""
    try:
        return await handler(request)
    except LeverdoorError as e:
        return _problem_response(e)
    except web.HTTPException as e:
        if e.status == 404:
            return _problem_response(
                LeverdoorError(Code.NOT_FOUND, f"no {request.path}")
            )
        return _problem_response(LeverdoorError(Code.MALFORMED, e.reason))


class Api:
    """HTTP handlers of the resource API."""

    def __init__(
        self,
        configuration: Configuration,
        state: State,
        reporter: Reporter,
        metrics: AgentMetrics,
    ) -> None:
        """Create the handlers from the components of an agent."""
        self._configuration = configuration
        self._state = state
        self._reporter = reporter
        self._metrics = metrics

    def app(self) -> web.Application:
        """Return the web application with all routes."""
        app = web.Application(
            middlewares=[guard_requests, _handle_errors], client_max_size=MAX_BODY_BYTES
        )
        app.router.add_get("/v1/resources", self._list)
        app.router.add_get("/v1/resources/{kind}", self._list)
        app.router.add_get("/v1/resources/{kind}/{name}", self._get)
        app.router.add_put("/v1/resources/{kind}/{name}", self._put)
        app.router.add_delete("/v1/resources/{kind}/{name}", self._delete)
        app.router.add_post("/v1/apply", self._apply)
        app.router.add_get("/v1/watch", self._watch)
        app.router.add_get("/v1/reports/{name}", self._report)
        app.router.add_route("*", "/v1/reports/{name}", self._reject_write)
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
            _check_kind(kind)
        self._require_configuration()
        prefix = RESOURCES + (f"{kind}/" if kind else "")
        items = [self._build_item(e) for e in self._state.list_prefix(prefix)]
        era, revision = self._state.position
        return json_response(ItemList(revision, items, era))

    async def _get(self, request: web.Request) -> web.StreamResponse:
        key = _parse_key(request)
        self._require_configuration()
        entry = self._state.entries.get(RESOURCES + key)
        if entry is None:
            raise LeverdoorError(Code.NOT_FOUND, f"there is no {key}")
        response = json_response(self._build_item(entry))
        response.headers["ETag"] = f'"{entry.revision}"'
        return response

    def _build_item(self, entry: KeyValue) -> Item:
        in_force, entries = self._reporter.in_force(entry.revision)
        return Item(entry.revision, msgspec.Raw(entry.value), in_force, entries)

    async def _status(self, request: web.Request) -> web.StreamResponse:
        revision = _parse_number(request, "revision", self._state.revision)
        return json_response(Status(revision, *self._reporter.in_force(revision)))

    async def _internal_state(self, request: web.Request) -> web.StreamResponse:
        """Return the changes that a peer lacks."""
        since = Position(_parse_era(request), _parse_number(request, "since", 0))
        return web.Response(body=pack(self._state.delta(since)))

    async def _report(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        if "watch" not in request.query:
            return json_response(await self._reporter.report(name))
        # Reject an unknown name before the response starts.
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
        """Stream all changes after a position without gaps.

        A revision without an era is one of a store that was never restored. If this
        store was, the same number may stand for a change of the lost history.
        """
        self._require_configuration()
        kind = request.query.get("kind", "")
        if kind:
            _check_kind(kind)
        since = self._state.position
        if "since" in request.query:
            since = Position(_parse_era(request), _parse_number(request, "since", 0))
        prefix = RESOURCES + (f"{kind}/" if kind else "")
        is_covered = self._state.log_covers(since)
        if not is_covered or _lacks_changes(self._state.delta(since), prefix):
            raise LeverdoorError(Code.COMPACTED, revision=self._state.revision)
        return await _stream_lines(request, self._change_lines(prefix, since))

    async def _change_lines(self, prefix: str, after: Position) -> AsyncIterator[bytes]:
        """Yield changes as lines until one is lost to this agent or watcher."""
        queue = WatchQueue()
        subscription = self._state.changes.subscribe(queue.put)
        try:
            delta: Delta | None = self._state.delta(after)
            era, since = after
            while True:
                if delta is None or delta.full or _lacks_changes(delta, prefix):
                    return
                for event in delta.events:
                    if event.revision > since and event.key.startswith(prefix):
                        yield serialize_json(_build_change(event, era))
                since = max(since, delta.revision)
                try:
                    async with asyncio.timeout(BOOKMARK_S):
                        delta = await queue.get()
                except TimeoutError:
                    yield serialize_json(Change(since, "bookmark", era=era))
                    delta = Delta(since, since, False, [], era)
        finally:
            subscription.dispose()

    async def _healthz(self, request: web.Request) -> web.StreamResponse:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.StreamResponse:
        self._require_configuration()
        return web.Response(text="ready\n")

    def _require_configuration(self) -> None:
        if self._state.revision == 0:
            raise LeverdoorError(
                Code.NO_CONFIGURATION, retry_after_ms=NO_CONFIGURATION_RETRY_MS
            )

    # Commands.

    async def _put(self, request: web.Request) -> web.StreamResponse:
        key = _parse_key(request)
        resource = parse_resource(await request.read())
        if resource_key(resource) != key:
            raise ConfigError(
                Code.CONTRADICTION,
                f"the path names {key}, the body {resource_key(resource)}",
                field="name",
            )
        return await self._write([resource], request)

    async def _apply(self, request: web.Request) -> web.StreamResponse:
        return await self._write(parse_resources(await request.read()), request)

    async def _write(
        self, resources: list[Resource], request: web.Request
    ) -> web.StreamResponse:
        condition = _parse_condition(request)
        conditions = {}
        if condition is not None:
            conditions = {resource_key(r): condition for r in resources}
        dry_run = "dry_run" in request.query
        return _apply_response(
            await self._configuration.apply(resources, conditions, dry_run)
        )

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        dry_run = "dry_run" in request.query
        return _apply_response(
            await self._configuration.delete(
                _parse_key(request), _parse_condition(request), dry_run
            )
        )

    async def _reject_write(self, request: web.Request) -> web.StreamResponse:
        raise LeverdoorError(Code.READ_ONLY)


def _lacks_changes(delta: Delta, prefix: str) -> bool:
    """Return whether a delta leaves out changes of keys under a prefix."""
    return any(s.key.startswith(prefix) for s in delta.superseded)


def _build_change(event: Event, era: int) -> Change:
    key = event.key.removeprefix(RESOURCES)
    if event.value is None:
        return Change(event.revision, "delete", key, era=era)
    return Change(event.revision, "put", key, msgspec.Raw(event.value), era)


def _check_kind(kind: str) -> None:
    if kind not in KINDS:
        raise LeverdoorError(
            Code.NOT_FOUND, f"there is no kind {kind}; kinds: {', '.join(KINDS)}"
        )


def _parse_key(request: web.Request) -> str:
    kind = request.match_info["kind"]
    _check_kind(kind)
    return f"{kind}/{request.match_info['name']}"


def _parse_number(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not WHOLE_NUMBER.fullmatch(text):
        raise ConfigError(
            Code.UNKNOWN_FIELD, f"{name} must be a whole number", field=name
        )
    return int(text)


def _parse_era(request: web.Request) -> int:
    """Return the era that a request names; `UNKNOWN_ERA` if none."""
    if "era" not in request.query:
        return UNKNOWN_ERA
    return _parse_number(request, "era", 0)


def _parse_condition(request: web.Request) -> int | None:
    """Return the required revision from If-Match or If-None-Match, or None."""
    if request.headers.get("If-None-Match") == "*":
        return 0
    text = request.headers.get("If-Match", "").strip('"')
    if not text:
        return None
    if not WHOLE_NUMBER.fullmatch(text):
        raise ConfigError(
            Code.UNKNOWN_FIELD, "If-Match must be a revision", field="If-Match"
        )
    return int(text)


def _apply_response(result: Result[Applied, LeverdoorError]) -> web.Response:
    if isinstance(result, Failure):
        return _problem_response(result.failure())
    return json_response(result.unwrap())


def _problem_response(e: LeverdoorError) -> web.Response:
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
