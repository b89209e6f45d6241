# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The agent daemon: the control plane of one VM of a plain site.

Owns and connects the components of the agent: the replica of the store, the peers, the
last reading of the VM list (`vm_list.py`) and the gate's last report
(`gate_sessions.py`). All of it is lost with the process and restored from the store,
the peers and the gate. Relies on the store for changes only; during an outage the
replica remains in force.
"""

import asyncio
import time
from functools import partial
from random import Random

import msgspec
from aiohttp import web
from loguru import logger

from leverdoor.agent.api import MAX_BODY_BYTES, Api
from leverdoor.agent.gate_sessions import GateSessions
from leverdoor.agent.link import AgentLink, GateReport
from leverdoor.agent.planning import Planner
from leverdoor.agent.probing import Prober
from leverdoor.agent.reports import Reporter
from leverdoor.agent.vm_list import VmListMonitor
from leverdoor.errors import LeverdoorError
from leverdoor.guarded_connection import GuardedConnection
from leverdoor.http.connection_resources import ConnectionResources, EvictionLog
from leverdoor.http.listening import listen
from leverdoor.lifecycle import supervise
from leverdoor.membership.gossip import GossipSocket
from leverdoor.membership.peers import AgentHeartbeat, Gossip, Peers
from leverdoor.metrics import AgentMetrics
from leverdoor.model.position import START, Position
from leverdoor.settings import AgentSettings
from leverdoor.storage.configuration import Configuration
from leverdoor.storage.etcd import EtcdStore
from leverdoor.storage.fetching import PeerFetcher
from leverdoor.storage.following import ElectedRole, StoreFollower, watcher_rank
from leverdoor.storage.state import Delta, State
from leverdoor.storage.view import ViewCache

__all__ = ["Agent"]

STOP_TIMEOUT_S = 1.0
"""Shutdown timeout of the API, in seconds; the gate keeps serving meanwhile."""
HEARTBEATS_PER_UPDATE = 10
"""Number of heartbeats between updates of metrics and removals of silent peers.

Corresponds to 2 s at the default gossip interval.
"""
MAX_PROBES_PER_S = 8
"""Maximum rate of target probes; keeps an agent below 1% of a core."""


BODY_COPIES = 2
"""Copies of a request's body at the moment when all of it was received."""


class Agent:
    """One agent process."""

    def __init__(self, settings: AgentSettings) -> None:
        """Create an agent; `run` opens its sockets."""
        self._settings = settings
        self._started_us = time.time_ns() // 1_000
        self._stop = asyncio.Event()
        self._seq = 0

    def stop(self) -> None:
        """Request the end of `run`; the gate keeps serving."""
        self._stop.set()

    async def run(self) -> None:
        """Follow the store, gossip, plan and serve the API until stopped."""
        await self._build()
        s = self._settings
        runner = web.AppRunner(
            self._api.app(),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        await runner.setup()
        assert runner.server is not None
        resources = ConnectionResources(on_evict=EvictionLog())
        create = partial(
            GuardedConnection, runner.server, resources, BODY_COPIES * MAX_BODY_BYTES
        )
        listener = await listen(create, s.api)
        logger.info("agent up", api=str(s.api))
        loops = (
            self._gossip_loop,
            self._receive_reports,
            self._follower.run,
            self._planner.run,
            self._list_loop,
            self._probe_loop,
        )
        tasks = [asyncio.create_task(supervise(w.__qualname__, w)) for w in loops]
        try:
            await self._stop.wait()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            listener.close()
            await runner.cleanup()
            await self._close()
        logger.info("agent down")

    async def _build(self) -> None:
        s = self._settings
        self._rng = Random(s.seed or None)
        self._metrics = AgentMetrics()
        self._state = State(fingerprinted=True)
        self._cache = ViewCache(self._state, with_blocks=False)
        self._peers = Peers(s.vm, s.region)
        self._store = EtcdStore(s.store)
        self._vm_list = VmListMonitor(s)
        self._prober = Prober()
        self._fetcher = PeerFetcher(self._state)
        self._role = ElectedRole(self._is_elected, self._now, self._rng)
        self._follower = StoreFollower(
            self._store,
            self._state,
            self._role,
            self._rng,
            accepted=self._newest_position_of_peers,
        )
        self._planner = Planner(
            s.region,
            self._store,
            self._state,
            self._cache,
            self._peers,
            self._watcher_rank,
            self.leaving_vms,
            self.departed,
        )
        self._configuration = Configuration(self._store, self._state, self._cache)
        self._reporter = Reporter(self._cache, self._peers, self._state)
        self._api = Api(self._configuration, self._state, self._reporter, self._metrics)
        self._link = AgentLink(s.link)
        self._gates = GateSessions(self._link)
        self._socket = GossipSocket(Gossip, self._receive_gossip)
        await self._socket.open(s.gossip)
        self._state.changes.subscribe(self._push_delta)
        self._renew_heartbeat()

    async def _close(self) -> None:
        self._socket.close()
        self._link.close()
        await self._prober.close()
        await self._fetcher.close()
        await self._reporter.close()
        await self._vm_list.close()
        await self._store.close()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _watcher_rank(self) -> int:
        """Return this agent's rank among the watchers of the store, -1 for none."""
        return self._rank(self._role.unserved)

    def _rank(self, unserved: bool) -> int:
        return watcher_rank(self._peers, self._settings.vm, self._now(), unserved)

    def _newest_position_of_peers(self) -> Position:
        """Return the newest position that any agent has told."""
        heartbeats = [p.heartbeat for p in self._peers.peers_by_vm.values()]
        return max((b.position for b in heartbeats), default=START)

    def _is_elected(self, unserved: bool) -> bool:
        return self._rank(unserved) >= 0

    # Membership.

    def _renew_heartbeat(self) -> None:
        """Create and record the next heartbeat of this VM."""
        s = self._settings
        now = self._now()
        self._seq += 1
        heartbeat = AgentHeartbeat(
            vm=s.vm,
            region=s.region,
            domain=s.domain,
            gossip=str(s.gossip),
            api=str(s.api),
            # The start time identifies the agent process.
            agent=self._started_us,
            seq=self._seq,
            revision=self._state.revision,
            departed=sorted(self._vm_list.departed),
            leaving_vms=sorted(self._vm_list.leaving),
            unserved=self._role.unserved,
            era=self._state.position.era,
        )
        r = self._gates.fresh_report(now)
        if r is not None:
            heartbeat = msgspec.structs.replace(
                heartbeat,
                gate=r.gate,
                relay=r.relay,
                incarnation=r.incarnation,
                gate_revision=r.revision,
                gate_era=r.era,
                ack=r.ack,
                state=r.state,
                loads=r.loads,
                caps=r.caps,
                draining=r.draining,
            )
        self._peers.merge([heartbeat], now)

    async def _gossip_loop(self) -> None:
        interval = self._settings.gossip_interval_ms / 1000
        seeds = [str(a) for a in self._settings.seeds if a != self._settings.gossip]
        while True:
            now = self._now()
            self._renew_heartbeat()
            if self._seq % HEARTBEATS_PER_UPDATE == 0:
                self._peers.forget(now)
            message = self._peers.compose_message(self._rng, now)
            for address in self._peers.choose_recipients(self._rng, seeds):
                self._socket.send(message, address)
            await self._send_hints()
            if self._seq % HEARTBEATS_PER_UPDATE == 0:
                self._update_metrics(now)
            await asyncio.sleep(interval * (0.9 + 0.2 * self._rng.random()))

    def _update_metrics(self, now: float) -> None:
        m = self._metrics
        m.revision.set(self._state.revision)
        m.peers.set(len(self._peers.live_peers(now)))
        m.store_calls.set(self._store.calls)
        m.gossip_bytes.labels("sent").set(self._socket.sent_bytes)
        m.gossip_bytes.labels("received").set(self._socket.received_bytes)

    def _receive_gossip(self, gossip: Gossip) -> None:
        """Merge heartbeats and fetch changes from the peer that is furthest ahead."""
        newer = self._peers.merge(gossip.heartbeats, self._now())
        self._gates.add_heartbeats(newer)
        ahead = [b for b in newer if b.position > self._state.position]
        if ahead:
            best = max(ahead, key=lambda b: b.position)
            task = asyncio.create_task(self._fetcher.pull(best.api))
            task.add_done_callback(lambda t: t.exception())

    # The VM list.

    def leaving_vms(self) -> frozenset[str]:
        """Return the VMs that are leaving according to any agent of the region."""
        union = set(self._vm_list.leaving)
        for heartbeat in self._peers.live_heartbeats_in_region(self._now()):
            union |= set(heartbeat.leaving_vms)
        return frozenset(union)

    def departed(self) -> frozenset[str]:
        """Return the processes that an agent of the region found to be terminated."""
        union = self._vm_list.departed
        for heartbeat in self._peers.live_heartbeats_in_region(self._now()):
            union |= set(heartbeat.departed)
        return frozenset(union)

    async def _list_loop(self) -> None:
        interval = self._settings.vm_list_interval_ms / 1000
        while True:
            if self._watcher_rank() >= 0:
                await self._read_list()
            else:
                self._vm_list.expire_leaving(self._now())
            await asyncio.sleep(interval * (0.9 + 0.2 * self._rng.random()))

    async def _read_list(self) -> None:
        """Read the VM list; if that fails, report no process as terminated."""
        table = self._cache.table(self._settings.region)
        try:
            gone = await self._vm_list.read(table, self._peers)
        except LeverdoorError as e:
            logger.warning("VM list not read", error=str(e))
            return
        for identity in gone:
            logger.warning("process gone with its VM", identity=identity)

    # Targets.

    async def _probe_loop(self) -> None:
        """Probe the targets of which the gate holds slots, at a limited rate."""
        min_interval_s = self._settings.probe_interval_ms / 1000
        while True:
            report = self._gates.report
            held = [r.removeprefix("t:") for r in report.held] if report else []
            interval = max(min_interval_s, len(held) / MAX_PROBES_PER_S)
            await asyncio.sleep(interval * (0.9 + 0.2 * self._rng.random()))
            self._gates.set_probes(await self._prober.probe(held))

    # The gate.

    async def _receive_reports(self) -> None:
        """Receive reports, and send each gate the changes that it lacks."""
        while True:
            peer, report = await self._link.receive()
            is_new = self._gates.receive(peer, report, self._now())
            # Also logged for each report of a gate that is ahead of this agent.
            if report.position > self._state.position or is_new:
                logger.info("gate joined", gate=report.gate)
            if report.position < self._state.position:
                await self._send_missing(peer, report.position)

    async def _send_missing(self, peer: bytes, since: Position) -> None:
        """Send a gate the changes that it lacks, unless they are under way."""
        if not self._gates.awaits_confirmation(peer):
            delta = self._state.delta(since)
            await self._gates.send_missing(peer, delta, self._now())

    def _push_delta(self, delta: Delta) -> None:
        """Send a change of the configuration or the ownership table to all gates."""
        task = asyncio.create_task(self._gates.push_change(delta, self._now()))
        task.add_done_callback(lambda t: t.exception())

    async def _send_hints(self) -> None:
        report = self._gates.report
        if report is not None:
            floor = self._incarnation_floor(report)
            await self._gates.send_hints(self.leaving_vms(), floor, self._now())

    def _incarnation_floor(self, report: GateReport) -> int:
        """Return the latest incarnation in the ownership table at the gate's address.

        Returns: 0 if it is not later than the gate's own.
        """
        members = self._cache.table(self._settings.region).members.values()
        incarnations = [
            m.incarnation
            for m in members
            if m.gate == report.gate and m.vm == self._settings.vm
        ]
        later = [i for i in incarnations if i > report.incarnation]
        return max(later, default=0)
