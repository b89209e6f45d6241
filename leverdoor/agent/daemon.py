# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The agent daemon: the control path of one entry VM."""

import asyncio
import contextlib
import time
from random import Random

import msgspec
from aiohttp import web
from loguru import logger

from leverdoor.agent.api import Api
from leverdoor.agent.link import AgentLink, GateReport, Hints
from leverdoor.agent.planning import Planner
from leverdoor.agent.probing import Prober
from leverdoor.agent.reports import Reporter
from leverdoor.errors import LeverdoorError
from leverdoor.lifecycle import keep_running
from leverdoor.membership.gossip import GossipSocket
from leverdoor.membership.peers import AgentHeartbeat, Gossip, Peers
from leverdoor.metrics import AgentMetrics
from leverdoor.model.probe import Probe
from leverdoor.settings import AgentSettings
from leverdoor.storage.configuration import Configuration
from leverdoor.storage.etcd import EtcdStore
from leverdoor.storage.following import PeerFollower, StoreFollower, elected
from leverdoor.storage.state import Delta, State
from leverdoor.storage.view import ViewCache
from leverdoor.storage.vmlist import Departures, HttpVmList, VmState

__all__ = ["Agent"]

GATE_SILENCE_S = 1.0
"""Silence on the link after which the gate passes for dead; ten of its reports."""
DEPARTED_KEPT_S = 120.0
"""How long a departed VM is remembered, so that late heartbeats do not revive it."""
STOP_TIMEOUT_S = 1.0
"""Longest time that closing may take, in seconds; chosen, not measured."""
MEASURE_BEATS = 10
"""Heartbeats between two measurements of the process; chosen, not measured."""
PROBES_PER_S = 8
"""Targets asked for their report in a second; keeps an agent below 1% of a core."""


class Agent:
    """One agent process."""

    def __init__(self, settings: AgentSettings) -> None:
        """Create an agent; nothing is opened yet."""
        self._settings = settings
        self._started = time.time_ns() // 1_000
        self._stop = asyncio.Event()
        self._seq = 0
        self._leaving_vms: frozenset[str] = frozenset()
        self._departed: dict[str, float] = {}
        self._probes: dict[str, Probe] = {}
        self._gates: dict[bytes, float] = {}
        self._report: GateReport | None = None
        self._report_at = 0.0
        self._news: dict[str, AgentHeartbeat] = {}

    def stop(self) -> None:
        """Ask the agent to end; its gate goes on serving."""
        self._stop.set()

    async def run(self) -> None:
        """Follow, gossip, plan and serve the API until stopped."""
        await self._build()
        s = self._settings
        runner = web.AppRunner(
            self._api.app(),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        await runner.setup()
        site = web.TCPSite(runner, s.api.host, s.api.port, reuse_port=False)
        await site.start()
        logger.info("agent up", api=str(s.api))
        loops = (
            self._gossip_loop,
            self._receive_reports,
            self._follower.run,
            self._planner.run,
            self._list_loop,
            self._probe_loop,
        )
        tasks = [asyncio.create_task(keep_running(w.__qualname__, w)) for w in loops]
        try:
            await self._stop.wait()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await runner.cleanup()
            await self._close()
        logger.info("agent down")

    async def _build(self) -> None:
        s = self._settings
        self._rng = Random(s.seed or None)
        self._metrics = AgentMetrics()
        self._state = State()
        self._cache = ViewCache(self._state, with_blocks=False)
        self._peers = Peers(s.vm, s.region)
        self._store = EtcdStore(s.store)
        self._vm_list = HttpVmList(s.vm_list)
        self._departures = Departures(s.vm_list_lag_ms / 1000)
        self._prober = Prober()
        self._pull = PeerFollower(self._state)
        self._follower = StoreFollower(
            self._store, self._state, lambda: self._rank() >= 0, self._rng
        )
        self._planner = Planner(
            s.region,
            self._store,
            self._state,
            self._cache,
            self._peers,
            self._rank,
            self.leaving_vms,
            self.departed,
        )
        self._configuration = Configuration(self._store, self._state, self._cache)
        self._reporter = Reporter(self._cache, self._peers)
        self._api = Api(self._configuration, self._state, self._reporter, self._metrics)
        self._link = AgentLink(s.link)
        self._socket = GossipSocket(Gossip, self._take_gossip)
        await self._socket.open(s.gossip)
        self._state.changes.subscribe(self._push_delta)
        self._heartbeat()

    async def _close(self) -> None:
        self._socket.close()
        self._link.close()
        await self._prober.close()
        await self._pull.close()
        await self._reporter.close()
        await self._vm_list.close()
        await self._store.close()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _rank(self) -> int:
        return elected(self._peers, self._settings.vm, self._now())

    # Membership.

    def _heartbeat(self) -> AgentHeartbeat:
        """Renew this VM's own heartbeat."""
        s = self._settings
        now = self._now()
        self._seq += 1
        heartbeat = AgentHeartbeat(
            vm=s.vm,
            region=s.region,
            domain=s.domain,
            gossip=str(s.gossip),
            api=str(s.api),
            agent=self._started,
            seq=self._seq,
            revision=self._state.revision,
            departed=sorted(self._departed),
            leaving_vms=sorted(self._leaving_vms),
        )
        r = self._report
        if r is not None and now - self._report_at <= GATE_SILENCE_S:
            heartbeat = msgspec.structs.replace(
                heartbeat,
                gate=r.gate,
                relay=r.relay,
                incarnation=r.incarnation,
                gate_revision=r.revision,
                ack=r.ack,
                state=r.state,
                loads=r.loads,
                caps=r.caps,
                draining=r.draining,
            )
        self._peers.merge([heartbeat], now)
        return heartbeat

    async def _gossip_loop(self) -> None:
        interval = self._settings.gossip_interval_ms / 1000
        seeds = [str(a) for a in self._settings.seeds if a != self._settings.gossip]
        while True:
            now = self._now()
            self._heartbeat()
            if self._seq % MEASURE_BEATS == 0:
                self._peers.forget(now)
            message = self._peers.message(self._rng, now)
            for to in self._peers.partners(self._rng, seeds):
                self._socket.send(message, to)
            await self._send_hints()
            if self._seq % MEASURE_BEATS == 0:
                self._measure(now)
            await asyncio.sleep(interval * (0.9 + 0.2 * self._rng.random()))

    def _measure(self, now: float) -> None:
        m = self._metrics
        m.revision.set(self._state.revision)
        m.peers.set(len(self._peers.live(now)))
        m.store_calls.set(self._store.calls)
        m.gossip_bytes.labels("sent").set(self._socket.sent_bytes)
        m.gossip_bytes.labels("received").set(self._socket.received_bytes)

    def _take_gossip(self, gossip: Gossip) -> None:
        news = self._peers.merge(gossip.heartbeats, self._now())
        for heartbeat in news:
            self._news[heartbeat.vm] = heartbeat
        ahead = [b for b in news if b.revision > self._state.revision]
        if ahead:
            best = max(ahead, key=lambda b: b.revision)
            task = asyncio.create_task(self._pull.pull(best.api))
            task.add_done_callback(lambda t: t.exception())

    # The VM list.

    def leaving_vms(self) -> frozenset[str]:
        """VMs that leave, by this agent's readings and its region's watchers'."""
        found = set(self._leaving_vms)
        for heartbeat in self._peers.live_near(self._now()):
            found |= set(heartbeat.leaving_vms)
        return frozenset(found)

    def departed(self) -> frozenset[str]:
        """Identities of processes that are proved to be gone."""
        found = set(self._departed)
        for heartbeat in self._peers.live_near(self._now()):
            found |= set(heartbeat.departed)
        return frozenset(found)

    async def _list_loop(self) -> None:
        interval = self._settings.vm_list_interval_ms / 1000
        while True:
            if self._rank() >= 0:
                with contextlib.suppress(LeverdoorError):
                    await self._read_list()
            else:
                self._leaving_vms = frozenset()
            await asyncio.sleep(interval * (0.9 + 0.2 * self._rng.random()))

    async def _read_list(self) -> None:
        asked_at = self._now()
        known: dict[str, set[str]] = {}
        for m in self._cache.table(self._settings.region).members.values():
            known.setdefault(m.vm, set()).add(m.identity)
        vms = await self._vm_list.fetch()
        self._leaving_vms = frozenset(v.vm for v in vms if v.state is VmState.LEAVING)
        gone = self._departures.observe({v.vm for v in vms}, known, asked_at)
        heard = {b.identity for b in self._peers.live_near(self._now())}
        for identity in gone - heard:
            logger.warning("process gone with its VM", identity=identity)
            self._departed[identity] = asked_at
        for identity, at in list(self._departed.items()):
            if asked_at - at > DEPARTED_KEPT_S:
                del self._departed[identity]

    # Targets.

    async def _probe_loop(self) -> None:
        """Probe the targets that the gate holds, fewer times if they are many."""
        least_s = self._settings.probe_interval_ms / 1000
        while True:
            held = (
                [r.removeprefix("t:") for r in self._report.held]
                if self._report
                else []
            )
            interval = max(least_s, len(held) / PROBES_PER_S)
            await asyncio.sleep(interval * (0.9 + 0.2 * self._rng.random()))
            self._probes = await self._prober.probe(held)

    # The gate.

    async def _receive_reports(self) -> None:
        while True:
            peer, report = await self._link.receive()
            self._report = report
            self._report_at = self._now()
            if report.revision > self._state.revision or peer not in self._gates:
                logger.info("gate joined", gate=report.gate)
            self._gates[peer] = self._report_at
            if report.revision < self._state.revision:
                await self._link.send(peer, self._state.delta(report.revision))

    def _push_delta(self, delta: Delta) -> None:
        for peer in self._gates:
            task = asyncio.create_task(self._link.send(peer, delta))
            task.add_done_callback(lambda t: t.exception())

    async def _send_hints(self) -> None:
        """Tell the gate what is new since the last time."""
        if self._report is None:
            return
        now = self._now()
        hints = Hints(
            heartbeats=list(self._news.values()),
            leaving_vms=sorted(self.leaving_vms()),
            probes=self._probes,
            incarnation_floor=self._floor(self._report),
        )
        self._news = {}
        self._probes = {}
        for peer, heard_at in list(self._gates.items()):
            if now - heard_at > GATE_SILENCE_S * 10:
                del self._gates[peer]
            else:
                await self._link.send(peer, hints)

    def _floor(self, report: GateReport) -> int:
        """Latest incarnation that the table has at this gate's address before it."""
        members = self._cache.table(self._settings.region).members.values()
        same = [
            m.incarnation
            for m in members
            if m.gate == report.gate and m.vm == self._settings.vm
        ]
        later = [i for i in same if i > report.incarnation]
        return max(later, default=0)
