# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The deployment of a soak: every link goes through a proxy, clocks can be set.

State: its proxies, the targets that have left, and the newest version of the
configuration; all of it lasts one soak. Relies on `EntrySite` for the processes.
"""

import asyncio
import tempfile
from collections.abc import Mapping
from pathlib import Path

import xxhash

from leverdoor.codec import serialize_json
from leverdoor.standins.entry_process import EntryProcess, Place
from leverdoor.standins.entry_site import HOST, SAMPLE_ROUTES
from leverdoor.standins.partition_site import PartitionSite
from leverdoor.standins.proxy import LinkFault, LoopbackProxy
from leverdoor.standins.soak.harmed import CUTS, LostWays
from leverdoor.standins.soak.record import now_s
from leverdoor.standins.soak.skewed import CLOCK
from leverdoor.standins.soak.workspaces import WORKSPACES
from leverdoor.standins.upstreams import UpstreamStandin

__all__ = ["SoakSite", "mark_path"]

REGIONS = ("a", "b", "c")
ENTRIES_A_REGION = 2
"""Entries in each of the three regions."""
FOLLOWERS = 2
"""Entries of a region that follow the store, as in the entries' settings."""
SERVICES = ("look", "file")
TARGETS_A_SERVICE = 2
"""In each region."""


def mark_path(version: int) -> str:
    """Return the path that only one version of the configuration routes."""
    return f"/mark-{version}/"


async def _never_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Keep a connection until the caller ends it."""
    try:
        await reader.read()
    finally:
        writer.close()


class SoakSite(PartitionSite):
    """Entries, targets and a store, with a proxy before each."""

    def __init__(
        self,
        entries_a_region: int = ENTRIES_A_REGION,
        resources: Mapping[str, int] | None = None,
    ) -> None:
        """Create it; `start` runs it.

        Args:
          entries_a_region: entries in each of the three regions.
          resources: the resources of each VM that the settings name.
        """
        places = {
            f"n-{region}-{i}": Place(f"{region}1", region)
            for region in REGIONS
            for i in range(entries_a_region)
        }
        targets = [
            UpstreamStandin(f"i-{service}-{region}-{i}", service, f"{region}1")
            for service in SERVICES
            for region in REGIONS
            for i in range(TARGETS_A_SERVICE)
        ]
        super().__init__(places, targets, resources=resources)
        self.proxies: dict[str, LoopbackProxy] = {}
        self.left: dict[str, float] = {}
        """Targets that have left or are about to, and since when (loop time, s)."""
        self.routed = 0
        """The newest version of the configuration."""
        self.changes: list[tuple[int, float]] = []
        """Versions of the configuration, and when the store confirmed each."""
        self._behind: dict[str, str] = {}
        self._fronts: dict[str, str] = {}
        self._joined = 0
        self._silent: asyncio.Server | None = None
        self._silent_address = ""
        self._clocks = tempfile.TemporaryDirectory()

    async def start(self, routes: list[dict[str, object]] | None = None) -> None:
        """Start everything and wait until every entry is ready."""
        await super().start(routes)
        await self._listen_silently()
        for entry in self.entries.values():
            front = entry.ports["frontend"]
            self._fronts[entry.name] = await self._link(f"front/{entry.name}", front)

    async def stop(self) -> None:
        """End everything that was started here."""
        await super().stop()
        if self._silent is not None:
            self._silent.close()
        for proxy in self.proxies.values():
            await proxy.close()
        self._clocks.cleanup()

    async def _listen_silently(self) -> None:
        """Take connections at an address that never answers."""
        self._silent = await asyncio.start_server(_never_answer, HOST, 0)
        port = self._silent.sockets[0].getsockname()[1]
        self._silent_address = f"{HOST}:{port}"

    def front(self, entry: EntryProcess) -> str:
        """Return the address at which clients reach an entry."""
        return self._fronts.get(entry.name, entry.ports["frontend"])

    async def _link(self, name: str, address: str) -> str:
        self._behind[name] = address
        proxy = self.proxies[name] = LoopbackProxy(lambda: self._behind[name])
        return await proxy.start()

    def _entry(self, name: str, place: Place, store: str) -> EntryProcess:
        entry = super()._entry(name, place, store)
        entry.program = "leverdoor.standins.soak.skewed"
        entry.environment[CLOCK] = str(self._clock(name))
        entry.environment[CUTS] = str(self._lost_ways(name))
        self.set_clock(name, 0.0)
        return entry

    def _lost_ways(self, name: str) -> Path:
        return Path(self._clocks.name) / f"{name}.cuts"

    def cut_ways(self, ways: set[tuple[str, str]]) -> None:
        """Lose all that passes on some ways, from a sender to a receiver.

        Args:
          ways: all that are cut from now on; others are whole.
        """
        for name in self.entries:
            lost = LostWays(
                unreached=[self._host_of(to) for a, to in ways if a == name],
                unanswered=[self._host_of(a) for a, to in ways if to == name],
                silent_address=self._silent_address,
            )
            fresh = Path(self._clocks.name) / f"{name}.cuts.new"
            fresh.write_bytes(serialize_json(lost))
            fresh.replace(self._lost_ways(name))

    def _host_of(self, name: str) -> str:
        return self.entries[name].ports["frontend"].rpartition(":")[0]

    def first_followers(self) -> list[str]:
        """Return the entries of each region that follow the store, all being well."""
        found: list[str] = []
        for region in REGIONS:
            names = [n for n, e in self.entries.items() if e.place.region == region]
            names.sort(key=lambda n: xxhash.xxh3_64_intdigest(n.encode()))
            found += names[:FOLLOWERS]
        return found

    def _clock(self, name: str) -> Path:
        return Path(self._clocks.name) / name

    def set_clock(self, name: str, offset_s: float) -> None:
        """Set an entry's time of day, as seen from its next look at it."""
        fresh = self._clock(f"{name}.new")
        fresh.write_text(str(offset_s))
        fresh.replace(self._clock(name))

    def configure(
        self,
        routes: list[dict[str, object]],
        limits: Mapping[str, int] | None = None,
        tenants: list[dict[str, object]] | None = None,
    ) -> int:
        """Write a configuration with a route that only this version has."""
        version = self._version + 1
        mark = {
            **SAMPLE_ROUTES[0],
            "name": f"mark-{version}",
            "path-prefix": mark_path(version),
        }
        tenants = tenants or [w.tenant() for w in WORKSPACES]
        revision = super().configure([*routes, mark], limits, tenants)
        self.routed = version
        self.changes.append((version, now_s()))
        return revision

    def set_link_fault(self, kind: str, fault: LinkFault) -> None:
        """Set the fault of one link, or of all of a kind (a name's beginning)."""
        for name, proxy in self.proxies.items():
            if name.startswith(kind):
                proxy.set_fault(fault)

    def stayers(self, service: str = "") -> list[str]:
        """Return the targets that neither left nor are the last of their service."""
        found = []
        for of in SERVICES if not service else (service,):
            here = sorted(
                n
                for n, t in self.targets.items()
                if t.service == of and n not in self.left
            )
            found += here[1:]
        return found

    async def join_target(self, service: str, region: str) -> None:
        """Let one more target come, cold."""
        self._joined += 1
        target = UpstreamStandin(f"i-new-{self._joined}", service, f"{region}1")
        target.cold_ms = 500
        await self.add_target(target)

    def crash_target(self, name: str) -> None:
        """End a target as when its process crashes; it is back under another name."""
        self.left.setdefault(name, now_s())
        super().crash_target(name)

    async def _refuse_connections(self, name: str) -> None:
        await self.proxies[f"target/{name}"].close()

    async def reuse_address(self, name: str) -> None:
        """End a target; its address goes to a new one of another service."""
        old = self.targets[name]
        address = self._addresses[name]
        await self.end_target(name)
        self._joined += 1
        service = next(s for s in SERVICES if s != old.service)
        target = UpstreamStandin(f"i-reuse-{self._joined}", service, old.zone)
        self._let_crash(target)
        served = await self._serve(target.name, target.app())
        self._behind[f"target/{name}"] = served
        self.proxies[f"target/{target.name}"] = self.proxies[f"target/{name}"]
        self._addresses[target.name] = address
        self.targets[target.name] = target
        self.register(target.name)
