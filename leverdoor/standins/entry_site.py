# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Entries as real processes on loopback, beside stand-ins of store and targets.

State: the entries' processes, their settings files and logs in a folder of their own,
and the servers of the stand-ins; `stop` ends and removes them. Relies on the entry's
settings file and on the platform's keys of the store.
"""

import asyncio
import json
import os
import signal
import tempfile
from collections.abc import Mapping, Sequence
from functools import partial
from itertools import count
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web
from yarl import URL

from leverdoor.codec import serialize_json
from leverdoor.sessions import new_session
from leverdoor.standins.entry_process import EntryProcess, Place
from leverdoor.standins.metadata import MetadataStandin
from leverdoor.standins.upstreams import UpstreamStandin

__all__ = ["Answer", "EntrySite", "RESTART_S", "SAMPLE_ROUTES"]

HOST = "127.0.0.1"
FIRST_PORT = 8_381
"""First port of an entry, as in the platform's example."""
HOSTS = count()
PROBE_S = 0.02
"""Seconds between two looks while something is awaited."""
TURNS = 3_000
"""Looks before a wait is given up: a minute."""
RESTART_S = 0.3
"""Time from a target's crash to its next start, in seconds."""

SAMPLE_ROUTES: list[dict[str, object]] = [
    {
        "name": "look-up",
        "host": "records.example",
        "path-prefix": "/look/",
        "kind": "safe",
        "service": "look",
        "timeout-ms": 2000,
        "target-latency-ms": 500,
        "priority": 2,
        "max-attempts": 2,
        "session-affinity": True,
    },
    {
        "name": "filing",
        "host": "records.example",
        "path-prefix": "/file/",
        "kind": "unsafe",
        "service": "file",
        "timeout-ms": 2500,
        "target-latency-ms": 600,
        "priority": 1,
        "max-attempts": 2,
    },
    {
        "name": "upload",
        "host": "records.example",
        "path-prefix": "/upload/",
        "kind": "upload",
        "traffic-split": [
            {"service": "file", "weight": 90},
            {"service": "look", "weight": 10},
        ],
        "timeout-ms": 10_000,
        "target-latency-ms": 2000,
        "priority": 1,
    },
]


class Answer(msgspec.Struct, frozen=True):
    """What a client got; status 0 when the connection ended without an answer."""

    request_id: str
    status: int
    body: bytes
    headers: Mapping[str, str]
    """Their names are found in any case."""


class EntrySite:
    """A deployment: the store and the targets here, the entries as processes."""

    def __init__(
        self,
        entries: Mapping[str, Place],
        targets: list[UpstreamStandin],
        contracts: Sequence[str] = (),
        resources: Mapping[str, int] | None = None,
    ) -> None:
        """Create it; `start` runs it.

        Args:
          entries: by name, where each entry stands.
          targets: the targets; their zones must be of those places.
          contracts: parts of the platform's rules that the settings name.
          resources: the resources of each VM that the settings name.
        """
        self._resources = dict(resources or {})
        self._contracts = list(contracts)
        self.store = MetadataStandin()
        self.targets = {t.name: t for t in targets}
        self.entries: dict[str, EntryProcess] = {}
        self._places = dict(entries)
        self._zones = {p.zone: p.region for p in entries.values()}
        self._runners: dict[str, web.AppRunner] = {}
        self._addresses: dict[str, str] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._numbers = count(1)
        self._version = 0
        self.crash_paths: set[str] = set()
        """Paths of requests that end each target that begins to run them."""
        self._crashes: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None

    async def start(self, routes: list[dict[str, object]] | None = None) -> None:
        """Start everything and wait until every entry is ready."""
        address = await self._serve("store", self.store.app())
        self.configure(SAMPLE_ROUTES if routes is None else routes)
        for target in self.targets.values():
            await self.add_target(target)
        for name, place in self._places.items():
            store = await self._link(f"store/{name}", address)
            self.entries[name] = self._entry(name, place, store)
        for entry in self.entries.values():
            await entry.start()
        for entry in self.entries.values():
            await self.ready(entry)

    async def stop(self) -> None:
        """End everything that was started here."""
        for entry in self.entries.values():
            entry.send(signal.SIGKILL)
            if entry.running:
                await entry.ended()
        if self._session is not None:
            await self._session.close()
        for task in list(self._crashes):
            task.cancel()
        await asyncio.gather(*self._crashes, return_exceptions=True)
        for runner in self._runners.values():
            await runner.cleanup()
        self._folder.cleanup()

    async def _link(self, name: str, address: str) -> str:
        """Return the address at which something behind a link is reached."""
        return address

    def front(self, entry: EntryProcess) -> str:
        """Return the address at which clients reach an entry."""
        return entry.ports["frontend"]

    async def _serve(self, name: str, app: web.Application) -> str:
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        self._runners[name] = runner
        return f"{HOST}:{runner.addresses[0][1]}"

    def _entry(self, name: str, place: Place, store: str) -> EntryProcess:
        host = self._host()
        ports = {
            "frontend": f"{host}:{FIRST_PORT}",
            "ready": f"{host}:{FIRST_PORT + 1}",
            "directory": f"{host}:{FIRST_PORT + 2}",
        }
        settings = {
            "node-name": name,
            "ip-address": host,
            "zone": place.zone,
            "region": place.region,
            "zones": self._zones,
            "listen-addresses": ports,
            "internal-port-range": [FIRST_PORT + 3, FIRST_PORT + 9],
            "platform": {"address": store},
            "contracts": self._contracts,
            "limits": self._resources,
        }
        path = Path(self._folder.name) / f"{name}.json"
        path.write_bytes(serialize_json(settings))
        process = EntryProcess(name, place, path, ports)
        process.descriptors = self._resources.get("file-descriptors", 0)
        return process

    def region(self, zone: str) -> str:
        """Return the region of a zone."""
        return self._zones[zone]

    def _host(self) -> str:
        """Return a loopback address that no other entry on this machine has.

        Addresses of their own spare them the search for free ports, which
        others may take in between.
        """
        pid = os.getpid()
        return f"127.{1 + pid % 250}.{1 + pid // 250 % 250}.{1 + next(HOSTS) % 250}"

    # What the operator and the targets do.

    def configure(
        self,
        routes: list[dict[str, object]],
        limits: Mapping[str, int] | None = None,
        tenants: list[dict[str, object]] | None = None,
    ) -> int:
        """Write a configuration; returns the store's revision."""
        self._version += 1
        services = sorted({t.service for t in self.targets.values()})
        config = {
            "version": f"{self._version:08x}",
            "routes": routes,
            "services": [{"name": s, "warmup-per-s": 11.0} for s in services],
            "limits": {"max-body-bytes": 64 * 1024 * 1024, **(limits or {})},
            "tenants": tenants or [],
        }
        return self.store.put("op/config", serialize_json(config))

    async def add_target(self, target: UpstreamStandin) -> None:
        """Start a target and let it write itself."""
        self.targets[target.name] = target
        self._let_crash(target)
        served = await self._serve(target.name, target.app())
        address = await self._link(f"target/{target.name}", served)
        self._addresses[target.name] = address
        self.register(target.name)

    def register(self, name: str) -> None:
        """Let a target write itself, with its state now."""
        entry = self.targets[name].entry(self._addresses[name])
        self.store.put(f"servers/{name}", entry)

    def _let_crash(self, target: UpstreamStandin) -> None:
        """Let fatal requests end a target, as they do each that runs them."""
        target.crash = partial(self.crash_target, target.name)
        target.crash_paths = self.crash_paths

    def drain_target(self, name: str) -> None:
        """Let a target announce that it leaves."""
        self.targets[name].state = "draining"
        self.register(name)

    async def end_target(self, name: str) -> None:
        """End a target without a word; its entry goes."""
        await self._runners.pop(name).cleanup()
        self.store.remove(f"servers/{name}")

    def crash_target(self, name: str) -> None:
        """End a target as when its process crashes: its VM refuses connections.

        Its registration stays for a moment; then it is back under another name.
        """
        task = asyncio.ensure_future(self._crash(name))
        self._crashes.add(task)
        task.add_done_callback(self._crashes.discard)

    async def _crash(self, name: str) -> None:
        if name not in self._runners:
            return
        runner = self._runners.pop(name)
        await self._refuse_connections(name)
        for listener in list(runner.sites):
            await listener.stop()
        for connection in list(runner.server.connections if runner.server else ()):
            connection.force_close()
        await runner.cleanup()
        await asyncio.sleep(RESTART_S)
        self.store.remove(f"servers/{name}")
        before = self.targets[name]
        after = UpstreamStandin(
            f"{name}+", before.service, before.zone, before.slots, before.work_s
        )
        await self.add_target(after)

    async def _refuse_connections(self, name: str) -> None:
        """Let nothing in between take connections for a target that crashed."""

    # What clients do.

    async def ready(self, entry: EntryProcess) -> None:
        """Wait until an entry says that it is ready."""
        for _ in range(TURNS):
            if await self.is_ready(entry):
                return
            await asyncio.sleep(PROBE_S)
        raise TimeoutError(f"{entry.name} is not ready")

    async def is_ready(self, entry: EntryProcess) -> bool:
        """Ask an entry whether it is ready."""
        answer = await self._ask("GET", f"http://{entry.ports['ready']}/api/readiness")
        return answer.status == 200

    async def resolve(self, entry: EntryProcess) -> list[str]:
        """Ask an entry, as a client beside it, where to go."""
        place = entry.place
        url = f"http://{entry.ports['directory']}/api/resolve"
        query = f"?name=records.example&region={place.region}&zone={place.zone}"
        answer = await self._ask("GET", url + query)
        if answer.status != 200:
            return []
        found: list[str] = json.loads(answer.body)["addresses"]
        return found

    async def request(
        self,
        entry: EntryProcess,
        method: str,
        path: str,
        body: object = None,
        headers: Mapping[str, str] | None = None,
        request_id: str = "",
    ) -> Answer:
        """Send one request to an entry."""
        request_id = request_id or f"{next(self._numbers):016x}"
        given = {
            "Host": "records.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "5000",
            **(headers or {}),
        }
        url = f"http://{self.front(entry)}{path}"
        return await self._ask(method, url, body, given, request_id)

    async def _ask(
        self,
        method: str,
        url: str,
        body: object = None,
        headers: Mapping[str, str] | None = None,
        request_id: str = "",
    ) -> Answer:
        if self._session is None:
            self._session = new_session(20.0)
        try:
            async with self._session.request(
                method, URL(url, encoded=True), data=body, headers=headers
            ) as answer:
                data = await answer.read()
                return Answer(request_id, answer.status, data, answer.headers)
        except (aiohttp.ClientError, OSError):
            return Answer(request_id, 0, b"", {})
