# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The agent daemon: the control path of one VM of a plain site.

Owns the parts of the agent and their wiring: the copy of the store, the peers, what the
VM list shows (`vm_watch.py`) and the gate's last report (`gate_sessions.py`). All of it
is lost with the process and comes back from the store, the peers and the gate. Relies
on the store only to change things; while it is down the last snapshot stays in force.
"""

import asyncio
import time
from random import Random

import msgspec
from aiohttp import web
from loguru import logger

from leverdoor.agent.api import Api
from leverdoor.agent.gate_sessions import GateSessions
from leverdoor.agent.link import AgentLink, GateReport
from leverdoor.agent.planning import Planner
from leverdoor.agent.probing import Prober
from leverdoor.agent.reports import Reporter
from leverdoor.agent.vm_watch import VmWatch
from leverdoor.errors import LeverdoorError
from leverdoor.lifecycle import supervise
from leverdoor.membership.gossip import GossipSocket
from leverdoor.membership.peers import AgentHeartbeat, Gossip, Peers
from leverdoor.metrics import AgentMetrics
from leverdoor.settings import AgentSettings
from leverdoor.storage.configuration import Configuration
from leverdoor.storage.etcd import EtcdStore
from leverdoor.storage.fetching import PeerFollower
from leverdoor.storage.following import ElectedRole, StoreFollower, elected
from leverdoor.storage.state import Delta, State
from leverdoor.storage.view import ViewCache

__all__ = ["Agent"]

STOP_TIMEOUT_S = 1.0
"""Longest time that closing may take, in seconds: a gate goes on meanwhile."""
METRICS_BEATS = 10
"""Heartbeats between two updates of metrics and of peers to forget: 2 s."""
PROBES_PER_S = 8
"""Targets probed in a second; keeps an agent below 1% of a core."""


class Agent:
    """One agent process."""

    def __init__(self, settings: AgentSettings) -> None:
        """Create an agent; nothing is opened yet."""
        self._settings = settings
        self._started = time.time_ns() // 1_000
        self._stop = asyncio.Event()
        self._seq = 0

    def stop(self) -> None:
        """Begin to end; the gate goes on serving."""
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
        tasks = [asyncio.create_task(supervise(w.__qualname__, w)) for w in loops]
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
        self._vm_watch = VmWatch(s)
        self._prober = Prober()
        self._pull = PeerFollower(self._state)
        self._role = ElectedRole(self._is_elected, self._now, self._rng)
        self._follower = StoreFollower(
            self._store,
            self._state,
            self._role,
            self._rng,
        )
        self._planner = Planner(
            s.region,
            self._store,
            self._state,
            self._cache,
            self._peers,
            self._follower_place,
            self.leaving_vms,
            self.departed,
        )
        self._configuration = Configuration(self._store, self._state, self._cache)
        self._reporter = Reporter(self._cache, self._peers)
        self._api = Api(self._configuration, self._state, self._reporter, self._metrics)
        self._link = AgentLink(s.link)
        self._gates = GateSessions(self._link)
        self._socket = GossipSocket(Gossip, self._take_gossip)
        await self._socket.open(s.gossip)
        self._state.changes.subscribe(self._push_delta)
        self._renew_heartbeat()

    async def _close(self) -> None:
        self._socket.close()
        self._link.close()
        await self._prober.close()
        await self._pull.close()
        await self._reporter.close()
        await self._vm_watch.close()
        await self._store.close()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _follower_place(self) -> int:
        """Return this agent's place among those that follow the store, -1 if none."""
        return self._place(self._role.unserved)

    def _place(self, unserved: bool) -> int:
        return elected(self._peers, self._settings.vm, self._now(), unserved)

    def _is_elected(self, unserved: bool) -> bool:
        return self._place(unserved) >= 0

    # Membership.

    def _renew_heartbeat(self) -> None:
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
            departed=sorted(self._vm_watch.departed),
            leaving_vms=sorted(self._vm_watch.leaving),
            unserved=self._role.unserved,
        )
        r = self._gates.fresh_report(now)
        if r is not None:
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

    async def _gossip_loop(self) -> None:
        interval = self._settings.gossip_interval_ms / 1000
        seeds = [str(a) for a in self._settings.seeds if a != self._settings.gossip]
        while True:
            now = self._now()
            self._renew_heartbeat()
            if self._seq % METRICS_BEATS == 0:
                self._peers.forget(now)
            message = self._peers.message(self._rng, now)
            for to in self._peers.partners(self._rng, seeds):
                self._socket.send(message, to)
            await self._send_hints()
            if self._seq % METRICS_BEATS == 0:
                self._update_metrics(now)
            await asyncio.sleep(interval * (0.9 + 0.2 * self._rng.random()))

    def _update_metrics(self, now: float) -> None:
        m = self._metrics
        m.revision.set(self._state.revision)
        m.peers.set(len(self._peers.live(now)))
        m.store_calls.set(self._store.calls)
        m.gossip_bytes.labels("sent").set(self._socket.sent_bytes)
        m.gossip_bytes.labels("received").set(self._socket.received_bytes)

    def _take_gossip(self, gossip: Gossip) -> None:
        news = self._peers.merge(gossip.heartbeats, self._now())
        self._gates.add_heartbeats(news)
        ahead = [b for b in news if b.revision > self._state.revision]
        if ahead:
            best = max(ahead, key=lambda b: b.revision)
            task = asyncio.create_task(self._pull.pull(best.api))
            task.add_done_callback(lambda t: t.exception())

    # The VM list.

    def leaving_vms(self) -> frozenset[str]:
        """Return the VMs that leave by any reading of the VM list in the region."""
        found = set(self._vm_watch.leaving)
        for heartbeat in self._peers.live_near(self._now()):
            found |= set(heartbeat.leaving_vms)
        return frozenset(found)

    def departed(self) -> frozenset[str]:
        """Return the identities of processes proved to be gone by any such reading."""
        found = self._vm_watch.departed
        for heartbeat in self._peers.live_near(self._now()):
            found |= set(heartbeat.departed)
        return frozenset(found)

    async def _list_loop(self) -> None:
        interval = self._settings.vm_list_interval_ms / 1000
        while True:
            if self._follower_place() >= 0:
                await self._read_list()
            else:
                self._vm_watch.pause(self._now())
            await asyncio.sleep(interval * (0.9 + 0.2 * self._rng.random()))

    async def _read_list(self) -> None:
        """Read the VM list; while it is away, nobody is proved to be gone by it."""
        table = self._cache.table(self._settings.region)
        try:
            gone = await self._vm_watch.read(table, self._peers)
        except LeverdoorError as e:
            logger.warning("VM list not read", error=str(e))
            return
        for identity in gone:
            logger.warning("process gone with its VM", identity=identity)

    # Targets.

    async def _probe_loop(self) -> None:
        """Probe the targets of which the gate holds slots, pacing the probes."""
        least_s = self._settings.probe_interval_ms / 1000
        while True:
            report = self._gates.report
            held = [r.removeprefix("t:") for r in report.held] if report else []
            interval = max(least_s, len(held) / PROBES_PER_S)
            await asyncio.sleep(interval * (0.9 + 0.2 * self._rng.random()))
            self._gates.set_probes(await self._prober.probe(held))

    # The gate.

    async def _receive_reports(self) -> None:
        """Take reports; a gate that is behind gets what it lacks."""
        while True:
            peer, report = await self._link.receive()
            is_new = self._gates.receive(peer, report, self._now())
            if report.revision > self._state.revision or is_new:
                logger.info("gate joined", gate=report.gate)
            if report.revision < self._state.revision:
                await self._link.send(peer, self._state.delta(report.revision))

    def _push_delta(self, delta: Delta) -> None:
        """Send a change of the configuration or the table to the gates at once."""
        for peer in self._gates.connections():
            task = asyncio.create_task(self._link.send(peer, delta))
            task.add_done_callback(lambda t: t.exception())

    async def _send_hints(self) -> None:
        report = self._gates.report
        if report is not None:
            floor = self._floor(report)
            await self._gates.send_hints(self.leaving_vms(), floor, self._now())

    def _floor(self, report: GateReport) -> int:
        """Return a later incarnation in the table at the gate's address, else 0."""
        members = self._cache.table(self._settings.region).members.values()
        same = [
            m.incarnation
            for m in members
            if m.gate == report.gate and m.vm == self._settings.vm
        ]
        later = [i for i in same if i > report.incarnation]
        return max(later, default=0)
