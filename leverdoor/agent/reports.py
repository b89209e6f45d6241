# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The reports of a plain site, computed for each request.

Owns only connections, which are lost with the process. Relies on heartbeats for all
reports except the burn report, which is fetched from the gates; a gate that does not
respond is listed as missing.
"""

import asyncio

import aiohttp
import msgspec

from leverdoor.codec import decode_json
from leverdoor.errors import Code, LeverdoorError
from leverdoor.membership.ownership import cap_row_name
from leverdoor.membership.peers import Peer, Peers
from leverdoor.model.burn import BurnLine, Series, merge_series, summarize
from leverdoor.model.position import Position
from leverdoor.sessions import MAX_LISTING_BYTES, new_session, read_body
from leverdoor.storage.state import State
from leverdoor.storage.view import ViewCache

__all__ = ["REPORTS", "Report", "Reporter"]

FETCH_TIMEOUT_S = 1.5
"""Timeout of fetching a gate's part of a report, in seconds.

Short, because the operator waits for the report.
"""
REPORTS = ("entries", "headroom", "burn", "shifts", "drains")


class EntryLine(msgspec.Struct, tag_field="type"):
    """State of one entry VM.

    `revision` is that of its gate, `held` the number of slots that the gate holds, and
    `age_ms` the time since the last heartbeat.
    """

    vm: str
    region: str
    domain: str
    state: str
    gate: str
    revision: int
    held: int
    age_ms: int


class HeadroomLine(msgspec.Struct, tag_field="type"):
    """Slots (all, held, free) and waiting requests of one service in one region."""

    region: str
    service: str
    slots: int
    held: int
    free: int
    waiting: int


class ShiftLine(msgspec.Struct, tag_field="type"):
    """One shift cap.

    `cap` is the number of its units, `held` that of the units held by gates, and `free`
    that of the units free in the current window.
    """

    service: str
    region: str
    cap: int
    held: int
    free: int


class DrainLine(msgspec.Struct, tag_field="type"):
    """One drain, its targets and their requests in flight."""

    name: str
    targets: int
    in_flight: int


class Report(msgspec.Struct):
    """A report; the type of its lines depends on its name.

    `entries` is the number of live entry VMs. `missing` lists the VMs whose gates did
    not respond.
    """

    name: str
    revision: int
    entries: int
    missing: list[str]
    lines: list[EntryLine | HeadroomLine | BurnLine | ShiftLine | DrainLine]


class Reporter:
    """Computes reports from heartbeats and from the responses of gates."""

    def __init__(self, cache: ViewCache, peers: Peers, state: State) -> None:
        """Create a reporter from the components of an agent."""
        self._state = state
        self._cache = cache
        self._peers = peers
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def _live_peers(self) -> list[Peer]:
        return self._peers.live_peers(asyncio.get_running_loop().time())

    async def report(self, name: str) -> Report:
        """Compute a report.

        Raises:
          LeverdoorError: NOT_FOUND, no report has this name.
        """
        missing: list[str] = []
        lines: list[EntryLine | HeadroomLine | BurnLine | ShiftLine | DrainLine]
        match name:
            case "entries":
                lines = list(self._entries())
            case "headroom":
                lines = list(self._headroom())
            case "shifts":
                lines = list(self._shifts())
            case "drains":
                lines = list(self._drains())
            case "burn":
                burn, missing = await self._burn()
                lines = list(burn)
            case _:
                raise LeverdoorError(Code.NOT_FOUND, f"there is no report {name}")
        view = self._cache.view
        return Report(name, view.revision, len(self._live_peers()), missing, lines)

    def in_force(self, revision: int) -> tuple[int, int]:
        """Return the number of gates with a revision in force and of all live gates."""
        gates = [p.heartbeat for p in self._live_peers() if p.heartbeat.gate]
        at = Position(self._state.position.era, revision)
        return sum(b.gate_position >= at for b in gates), len(gates)

    def _entries(self) -> list[EntryLine]:
        now = asyncio.get_running_loop().time()
        return [
            EntryLine(
                p.heartbeat.vm,
                p.heartbeat.region,
                p.heartbeat.domain,
                p.heartbeat.state.value,
                p.heartbeat.gate,
                p.heartbeat.gate_revision,
                sum(load.held for load in p.heartbeat.loads.values()),
                int((now - p.last_seen) * 1000),
            )
            for p in self._live_peers()
        ]

    def _headroom(self) -> list[HeadroomLine]:
        lines = []
        for (service, region), targets in sorted(
            self._cache.view.targets_by_location.items()
        ):
            loads = [
                p.heartbeat.loads[service]
                for p in self._live_peers()
                if p.heartbeat.region == region and service in p.heartbeat.loads
            ]
            lines.append(
                HeadroomLine(
                    region,
                    service,
                    sum(t.slots for t in targets),
                    sum(load.held for load in loads),
                    sum(load.free for load in loads),
                    sum(load.waiting for load in loads),
                )
            )
        return lines

    def _shifts(self) -> list[ShiftLine]:
        lines = []
        for cap in sorted(self._cache.view.caps.values(), key=lambda c: c.name):
            row = cap_row_name(cap.service, cap.region)
            table_row = self._cache.table(cap.region).rows.get(row)
            free = sum(p.heartbeat.caps.get(row, 0) for p in self._live_peers())
            held = sum(table_row.held.values()) if table_row else 0
            lines.append(ShiftLine(cap.service, cap.region, cap.units, held, free))
        return lines

    def _drains(self) -> list[DrainLine]:
        view = self._cache.view
        in_flight: dict[str, int] = {}
        for p in self._live_peers():
            for target, n in p.heartbeat.draining.items():
                in_flight[target] = in_flight.get(target, 0) + n
        lines = []
        for drain in sorted(view.drains.values(), key=lambda d: d.name):
            covered = [t.name for t in view.targets.values() if drain.covers(t)]
            total = sum(in_flight.get(name, 0) for name in covered)
            lines.append(DrainLine(drain.name, len(covered), total))
        return lines

    async def _burn(self) -> tuple[list[BurnLine], list[str]]:
        """Fetch the request counts of every live gate and merge them.

        Returns: the lines, and the VMs whose gates did not respond.
        """
        heartbeats = [p.heartbeat for p in self._live_peers() if p.heartbeat.relay]
        series_lists = await asyncio.gather(
            *(self._fetch_series(b.relay) for b in heartbeats)
        )
        missing = [
            b.vm for b, p in zip(heartbeats, series_lists, strict=True) if p is None
        ]
        merged = merge_series(s for p in series_lists if p for s in p)
        return summarize(merged, self._cache.view.levels.values()), missing

    async def _fetch_series(self, relay: str) -> list[Series] | None:
        if self._session is None:
            self._session = new_session(FETCH_TIMEOUT_S)
        try:
            async with self._session.get(f"http://{relay}/v1/burn") as response:
                return decode_json(
                    await read_body(response, MAX_LISTING_BYTES), list[Series]
                )
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            return None
