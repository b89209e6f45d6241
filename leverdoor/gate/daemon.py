# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The gate daemon: the data path of one VM of a plain site.

Owns the parts of the gate and their wiring, its incarnation and its last snapshot of
the configuration; all is lost with the process. Relies on its agent for configuration
and hints: without it the gate serves on from the last ones. Never calls the store.
"""

import asyncio
import secrets
import time
from random import Random

import msgspec
from aiohttp import web
from loguru import logger

from leverdoor.agent.link import GateLink, GateReport, Hints
from leverdoor.gate.dispatch import Dispatcher
from leverdoor.gate.handler import MAX_HEADER_BYTES, GateHandler
from leverdoor.gate.holdings import Holdings
from leverdoor.gate.keyed import KeyedServer
from leverdoor.gate.keys import KeyRing
from leverdoor.gate.quarantining import GateQuarantine
from leverdoor.gate.relay import HopClient
from leverdoor.gate.scheduler import Scheduler
from leverdoor.gate.serving import Server
from leverdoor.lifecycle import supervise
from leverdoor.membership.peers import GateState
from leverdoor.metrics import GateMetrics
from leverdoor.model.burn import BurnMeter
from leverdoor.settings import Address, GateSettings
from leverdoor.storage.state import Delta, State
from leverdoor.storage.view import ViewCache

__all__ = ["Gate"]

REPORT_INTERVAL_S = 0.1
"""Seconds between two reports of a gate to its agent.

Half the interval of heartbeats, so that each carries a report that is not older than
that. More often costs both processes time and changes little.
"""
STOP_POLL_S = 0.05
"""Seconds between two looks at the requests in flight at a stop: short."""
CLOSE_TIMEOUT_S = 1.0
"""Longest time that closing the servers may take, in seconds; all is drained then."""


class Gate:
    """One gate process."""

    def __init__(self, settings: GateSettings) -> None:
        """Create a gate; nothing is opened yet."""
        self._settings = settings
        self._incarnation = time.time_ns() // 1_000
        self._stop = asyncio.Event()
        self._runners: list[web.AppRunner] = []

    def stop(self) -> None:
        """Begin to leave: finish all in flight, then end."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until stopped and everything in flight has ended."""
        s = self._settings
        self._build()
        await self._listen(self._handler.relay_app(), s.relay)
        await self._listen(self._handler.caller_app(), s.listen)
        logger.info("gate up", listen=str(s.listen), relay=str(s.relay))
        loops = (
            self._dispatcher.run,
            self._report,
            self._receive,
            self._quarantine.run,
        )
        tasks = [asyncio.create_task(supervise(w.__qualname__, w)) for w in loops]
        try:
            await self._stop.wait()
            await self._leave()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for runner in self._runners:
                await runner.cleanup()
            await self._client.close()
            await self._quarantine.close()
            self._link.close()
        logger.info("gate down")

    def _build(self) -> None:
        s = self._settings
        rng = Random(s.seed or None)
        now = asyncio.get_running_loop().time()
        self._state = State()
        self._cache = ViewCache(self._state)
        self._holdings = Holdings(str(s.listen), self._incarnation)
        self._scheduler = Scheduler(
            s.vm, s.region, self._holdings, self._cache.view, rng
        )
        self._dispatcher = Dispatcher(self._scheduler)
        self._client = HopClient()
        self._metrics = GateMetrics()
        self._quarantine = GateQuarantine(
            s.vm, self._scheduler.neighbours, self._metrics, rng
        )
        self._server = Server(self._dispatcher, self._client, self._quarantine)
        self._ring = KeyRing(
            s.vm, s.relay_address, self._incarnation, secrets.token_bytes(32), now
        )
        self._keyed = KeyedServer(
            self._ring, self._server, self._scheduler, self._client
        )
        self._handler = GateHandler(
            s.region,
            s.lookup_ttl_ms,
            self._scheduler,
            self._server,
            self._keyed,
            self._ring,
            self._quarantine,
            BurnMeter(),
            self._metrics,
        )
        self._handler.address = str(s.listen)
        self._link = GateLink(s.agent)

    async def _listen(self, app: web.Application, address: Address) -> None:
        """Bind an address for this process alone.

        The ownership table takes a bound address as proof that the process
        that had it before has ended, so it must never be shared.
        """
        runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=CLOSE_TIMEOUT_S,
            max_field_size=MAX_HEADER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
        )
        await runner.setup()
        site = web.TCPSite(
            runner, address.host, address.port, reuse_port=False, backlog=512
        )
        await site.start()
        self._runners.append(runner)

    # The link to the agent.

    async def _report(self) -> None:
        """Report this gate's state, load and acknowledgement to the agent."""
        loop = asyncio.get_running_loop()
        s = self._settings
        while True:
            now = loop.time()
            self._metrics.waiting.set(self._dispatcher.waiting)
            report = GateReport(
                gate=str(s.listen),
                relay=s.relay_address,
                incarnation=self._incarnation,
                revision=self._state.revision,
                ack=self._holdings.ack(now),
                state=self._handler.state,
                loads=self._scheduler.loads(now),
                caps=self._scheduler.caps(now),
                held=sorted(r for r in self._holdings.rows if r.startswith("t:")),
                draining=self._scheduler.pool.draining(now),
            )
            await self._link.send(report)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _receive(self) -> None:
        """Take configuration and hints from the agent."""
        while True:
            try:
                message = await self._link.receive()
            except msgspec.MsgspecError as e:
                logger.error("bad message from the agent", error=str(e))
                continue
            if isinstance(message, Delta):
                self._take_delta(message)
            else:
                self._take_hints(message)
            self._dispatcher.kick()

    def _take_delta(self, delta: Delta) -> None:
        """Put a change of configuration or ownership into force; serve from then on."""
        if not self._state.apply(delta):
            return
        now = asyncio.get_running_loop().time()
        region = self._settings.region
        self._scheduler.view = self._cache.view
        self._holdings.apply(
            self._cache.table(region), self._cache.view.settle_s(region), now
        )
        self._metrics.revision.set(self._state.revision)
        if self._handler.state is GateState.STARTING:
            self._handler.state = GateState.SERVING
            logger.info("gate ready", revision=self._state.revision)

    def _take_hints(self, hints: Hints) -> None:
        """Take what is no part of the configuration: load, VMs that leave, probes."""
        now = asyncio.get_running_loop().time()
        self._scheduler.neighbours.receive(hints.heartbeats, now)
        self._scheduler.pool.leaving_vms = frozenset(hints.leaving_vms)
        for address, probe in hints.probes.items():
            self._scheduler.targets.report(address, probe)
        if hints.incarnation_floor >= self._incarnation:
            self._rename(hints.incarnation_floor + 1)

    def _rename(self, incarnation: int) -> None:
        """Take a later incarnation, since an earlier clock gave too early a one."""
        if self._holdings.rows:
            return
        logger.warning("later incarnation", incarnation=incarnation)
        self._incarnation = incarnation
        self._holdings.incarnation = incarnation
        self._holdings.version = 0
        self._ring.incarnation = incarnation

    # Leaving.

    async def _leave(self) -> None:
        """Stop being named, serve cached look-ups for a while, finish, end.

        The addresses stay bound to the end: that another process can bind
        them is taken as proof that this one has nothing in flight.
        """
        s = self._settings
        self._handler.state = GateState.LEAVING
        logger.info("gate leaving", active=self._handler.active)
        await asyncio.sleep(s.lookup_ttl_ms / 1000 + s.leave_grace_s)
        self._handler.closed = True
        while self._handler.active or self._keyed.running:
            await asyncio.sleep(STOP_POLL_S)
        logger.info("gate drained")
