# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The gate daemon: the data path of one VM of a plain site.

Owns the components of the gate, its incarnation and its latest configuration snapshot,
all of which are lost when the process ends. Relies on the agent for configuration and
hints. While the agent is unreachable, the gate keeps serving with the latest ones. The
gate never calls the store.
"""

import asyncio
import secrets
import time
from functools import partial
from random import Random

import msgspec
from aiohttp import web
from loguru import logger

from leverdoor.agent.link import GateLink, GateReport, Hints
from leverdoor.gate.dispatch import Dispatcher
from leverdoor.gate.gate_quarantine import GateQuarantine
from leverdoor.gate.handler import MAX_HEADER_BYTES, GateHandler
from leverdoor.gate.hop_client import HopClient
from leverdoor.gate.idempotency_keys import KeyRegistry
from leverdoor.gate.keyed_server import KeyedServer
from leverdoor.gate.row_units import HeldUnits
from leverdoor.gate.scheduler import Scheduler
from leverdoor.gate.serving import Server
from leverdoor.guarded_connection import GuardedConnection
from leverdoor.http.connection_resources import ConnectionResources, EvictionLog
from leverdoor.http.listening import listen
from leverdoor.lifecycle import supervise
from leverdoor.membership.peers import GateState
from leverdoor.metrics import GateMetrics
from leverdoor.model.burn import BurnRateMeter
from leverdoor.settings import Address, GateSettings
from leverdoor.storage.state import Delta, State
from leverdoor.storage.view import ViewCache

__all__ = ["Gate"]

REPORT_INTERVAL_S = 0.1
"""Interval of the gate's reports to its agent, in seconds.

Half the heartbeat interval, so that the report in a heartbeat is at most half an
interval old. A shorter interval costs both processes CPU time for little gain.
"""
STOP_POLL_S = 0.05
"""Polling interval for requests in flight during shutdown, in seconds."""
CLOSE_TIMEOUT_S = 1.0
"""Timeout for closing the servers after all requests have drained, in seconds."""


MAX_REQUEST_BYTES = 256 * 1024
"""Bytes of a request that the gate may buffer: a short body, or a part of a stream."""


class Gate:
    """One gate process."""

    def __init__(self, settings: GateSettings) -> None:
        """Create a gate without opening sockets or connections."""
        self._settings = settings
        self._incarnation = time.time_ns() // 1_000
        self._stop = asyncio.Event()
        self._runners: list[web.AppRunner] = []
        self._listeners: list[asyncio.Server] = []

    def stop(self) -> None:
        """Start a graceful shutdown that completes the requests in flight."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until the gate is stopped and no request is in flight."""
        s = self._settings
        self._resources = ConnectionResources(on_evict=EvictionLog())
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
            for listener in self._listeners:
                listener.close()
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
        self._state = State(fingerprinted=True)
        self._cache = ViewCache(self._state)
        self._held_units = HeldUnits(str(s.listen), self._incarnation)
        self._scheduler = Scheduler(
            s.vm, s.region, self._held_units, self._cache.view, rng
        )
        self._dispatcher = Dispatcher(self._scheduler)
        self._client = HopClient()
        self._metrics = GateMetrics()
        self._quarantine = GateQuarantine(
            s.vm, self._scheduler.peer_gates, self._metrics, rng
        )
        self._server = Server(self._dispatcher, self._client, self._quarantine)
        self._key_registry = KeyRegistry(
            s.vm, s.relay_address, self._incarnation, secrets.token_bytes(32), now
        )
        self._keyed = KeyedServer(
            self._key_registry, self._server, self._scheduler, self._client
        )
        self._handler = GateHandler(
            s.region,
            s.lookup_ttl_ms,
            self._scheduler,
            self._server,
            self._keyed,
            self._key_registry,
            self._quarantine,
            BurnRateMeter(),
            self._metrics,
        )
        self._handler.address = str(s.listen)
        self._link = GateLink(s.agent)

    async def _listen(self, app: web.Application, address: Address) -> None:
        """Bind an address exclusively.

        The ownership table relies on a bound address as proof that its previous
        process has ended, so two processes must never share it.
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
        assert runner.server is not None
        create = partial(
            GuardedConnection, runner.server, self._resources, MAX_REQUEST_BYTES
        )
        self._listeners.append(await listen(create, address))
        self._runners.append(runner)

    # Communication with the agent.

    async def _report(self) -> None:
        """Send state, load and the table acknowledgement to the agent periodically."""
        loop = asyncio.get_running_loop()
        s = self._settings
        while True:
            now = loop.time()
            self._metrics.waiting.set(self._dispatcher.waiting)
            position = self._state.fetch_position
            report = GateReport(
                gate=str(s.listen),
                relay=s.relay_address,
                incarnation=self._incarnation,
                revision=position.revision,
                ack=self._held_units.ack(now),
                state=self._handler.state,
                loads=self._scheduler.loads(now),
                caps=self._scheduler.caps(now),
                # Rows of target slots; rows of shift caps begin with c: instead.
                held=sorted(r for r in self._held_units.rows if r.startswith("t:")),
                draining=self._scheduler.pool.draining(now),
                era=position.era,
            )
            await self._link.send(report)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _receive(self) -> None:
        """Receive configuration and hints from the agent."""
        while True:
            try:
                message = await self._link.receive()
            except msgspec.MsgspecError as e:
                logger.error("bad message from the agent", error=str(e))
                continue
            if isinstance(message, Delta):
                self._apply_delta(message)
            else:
                self._apply_hints(message)
            self._dispatcher.wake_scheduler()

    def _apply_delta(self, delta: Delta) -> None:
        """Apply a configuration or ownership delta; the first one starts serving."""
        if not self._state.apply(delta):
            return
        now = asyncio.get_running_loop().time()
        region = self._settings.region
        self._scheduler.view = self._cache.view
        self._held_units.apply(
            self._cache.table(region), self._cache.view.settle_s(region), now
        )
        self._metrics.revision.set(self._state.revision)
        if self._handler.state is GateState.STARTING:
            self._handler.state = GateState.SERVING
            logger.info("gate ready", revision=self._state.revision)

    def _apply_hints(self, hints: Hints) -> None:
        """Apply the hints; raise the incarnation if it is not above the floor."""
        now = asyncio.get_running_loop().time()
        self._scheduler.peer_gates.receive(hints.heartbeats, now)
        self._scheduler.pool.leaving_vms = frozenset(hints.leaving_vms)
        for address, probe in hints.probes.items():
            self._scheduler.targets.report(address, probe)
        if hints.incarnation_floor >= self._incarnation:
            self._raise_incarnation(hints.incarnation_floor + 1)

    def _raise_incarnation(self, incarnation: int) -> None:
        """Raise the incarnation above that of an earlier process.

        It is too low after the clock was set back. Does nothing while this process
        holds units, which are granted to its current incarnation.
        """
        if self._held_units.rows:
            return
        logger.warning("later incarnation", incarnation=incarnation)
        self._incarnation = incarnation
        self._held_units.incarnation = incarnation
        self._held_units.version = 0
        self._key_registry.incarnation = incarnation

    # Shutdown.

    async def _leave(self) -> None:
        """Drain the gate: withdraw it from look-ups, then complete its requests.

        Callers with a cached look-up are served until it expires. The addresses stay
        bound until the end, because another process takes a free address as proof that
        no request is in flight here.
        """
        s = self._settings
        self._handler.state = GateState.LEAVING
        logger.info("gate leaving", active=self._handler.active)
        await asyncio.sleep(s.lookup_ttl_ms / 1000 + s.leave_grace_s)
        self._handler.closed = True
        while self._handler.active or self._keyed.running:
            await asyncio.sleep(STOP_POLL_S)
        logger.info("gate drained")
