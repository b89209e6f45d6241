# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The entry daemon: starts the parts of one entry, runs its loops, and ends it.

Owns the state that other entries and the platform see (starting, serving, leaving) and
the listening sockets. What serves requests stands in `data_plane`, what follows the
store and other entries in `control_plane`; between the two the daemon passes newer
catalogues and what other entries reported. Everything runs on one event loop.
"""

import asyncio
from collections.abc import Callable
from random import Random

from aiohttp import web

from leverdoor.entry.admin import AdminServer
from leverdoor.entry.bounds import SHARE_UPDATE_ROUNDS, WARM_SENT_S
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.configuration.catalog_keeper import CatalogKeeper
from leverdoor.entry.configuration.confirmation import NUMBER_BITS, Confirmation
from leverdoor.entry.configuration.left_out import LeftOutReport
from leverdoor.entry.context import EntryContext
from leverdoor.entry.control_plane import ControlPlane, create_member
from leverdoor.entry.data_plane import DataPlane
from leverdoor.entry.events import Events
from leverdoor.entry.exchange.exchange_types import EntryStatus, PeerUpdate
from leverdoor.entry.exchange.peer_network import PeerNetwork, SocketNetwork
from leverdoor.entry.membership.liveness import HEARTBEAT_S
from leverdoor.entry.membership.member import LEAVING, SERVING, STARTING, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.naming import Naming
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.quarantine_records import QuarantineRecords
from leverdoor.entry.settings import EntrySettings, reload_settings
from leverdoor.entry.shutdown import STOP_POLL_S, finish
from leverdoor.entry.wire import Configured, Wire
from leverdoor.lifecycle import supervise
from leverdoor.settings import Address
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import LeasingStore

__all__ = ["Entry"]

SWEEP_HEARTBEATS = 5
"""Rounds of heartbeats between two clean-ups: 1 s.

What is cleaned up ages over seconds. Greater, idle connections and metrics are late;
smaller, an entry spends processor time on them.
"""
LISTEN_ON_S = 2.2
"""How long a leaving entry accepts connections, in seconds.

A cached look-up lasts 2 s; 0.2 s, a round of heartbeats, is added. Smaller, clients
with a cached look-up are refused connections; greater, a stop takes longer.
"""
STOP_MARGIN_S = 0.4
"""Seconds before the end of the grace by which an entry ends itself.

It closes its sockets and writes its last log lines. Greater, requests in flight get
less time; smaller, the platform may kill the process in between.
"""
BACKLOG = 512
"""Connections that wait to be accepted.

A second of new ones at a burst. Smaller, clients' connections are dropped by the kernel
while the loop is busy; greater, they wait beyond their deadlines.
"""


class Entry:
    """One entry process."""

    def __init__(
        self,
        settings: EntrySettings,
        store: LeasingStore,
        wire: Wire,
        events: Events,
        network: PeerNetwork | None = None,
    ) -> None:
        """Create an entry; nothing is opened yet.

        Args:
          settings: at its start.
          store: the platform's service.
          wire: translates what comes from the platform.
          events: the log.
          network: the way to other entries; sockets if left out.
        """
        self._settings = settings
        self._store = store
        self._wire = wire
        self._events = events
        self._network = network or SocketNetwork()
        self._stop = asyncio.Event()
        self._state = STARTING
        self._servers: list[asyncio.Server] = []

    def stop(self) -> None:
        """Ask the entry to leave: finish all in flight, then end."""
        self._stop.set()

    def reload(self, settings: EntrySettings) -> None:
        """Take settings that changed; addresses and places stay as they are."""
        reloaded = reload_settings(self._settings, settings)
        self._settings = reloaded.settings
        self._data.reload(reloaded.settings)
        self._control.reload(reloaded.settings)
        self._events.process(
            "reload", changed=reloaded.changed, left_as_they_are=reloaded.left
        )

    async def run(self) -> None:
        """Serve until stopped and everything in flight has ended."""
        self._build()
        s = self._settings
        self._events.process(
            "start",
            region=s.region,
            domain=s.domain,
            front=str(s.front),
            gossip=str(s.gossip),
            pull=str(s.pull),
            metrics=str(s.metrics),
        )
        await self._control.peers.open(s.gossip)
        front = await self._listen(self._data.create_connection, s.front)
        for address in (s.ready, s.directory, s.pull, s.metrics):
            await self._listen(self._admin_server, address)
        loops = (
            self._join_and_follow,
            self._register,
            self._heartbeat,
            self._keep_records,
        )
        tasks = [asyncio.create_task(supervise(w.__qualname__, w)) for w in loops]
        try:
            await self._stop.wait()
            await self._leave(front)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close()
        self._events.process("end")

    # Parts.

    def _build(self) -> None:
        """Create all parts; nothing is opened yet."""
        s = self._settings
        rng = Random(s.seed or None)
        context = EntryContext(
            s, self._store, self._network, self._wire, self._events, rng
        )
        self._store_copy = State()
        self._store_copy.changes.subscribe(self._take_delta)
        self._keeper = CatalogKeeper(
            self._wire,
            self._store_copy,
            Confirmation(member_id(s.name), rng.getrandbits(NUMBER_BITS)),
            self._events,
            s.leave_s,
            self._take_catalog,
        )
        self._membership = Membership(create_member(s))
        self._naming = Naming(self._membership)
        self._metrics = EntryMetrics()
        self._left_out = LeftOutReport(self._events, self._metrics)
        self._data = DataPlane(
            context,
            self._keeper,
            self._membership,
            self._metrics,
            lambda: self._state,
            lambda request, to: self._control.peers.ask_room(request, to),
        )
        self._control = ControlPlane(
            context,
            self._store_copy,
            self._keeper,
            self._membership,
            self._status,
            self._take_update,
            self._data.limits.take,
        )
        self._records = QuarantineRecords(
            self._data.quarantine,
            self._store,
            self._wire,
            s.name,
            self._events,
            rng,
            self._control.follows_store,
        )
        self._admin_server = web.Server(self._create_admin().handle, access_log=None)

    def _create_admin(self) -> AdminServer:
        return AdminServer(
            self._wire,
            self._store_copy,
            self._metrics,
            lambda: self._state == SERVING,
            lambda region, domain, now: self._naming.addresses(
                region, domain, self._state, now
            ),
            self._settings.lookup_ttl_s,
        )

    async def _listen(
        self, server: Callable[[], asyncio.Protocol], address: Address
    ) -> asyncio.Server:
        listener = await asyncio.get_running_loop().create_server(
            server, address.host, address.port, backlog=BACKLOG
        )
        self._servers.append(listener)
        return listener

    async def _close(self) -> None:
        for listener in self._servers:
            listener.close()
        await self._data.server.shutdown(STOP_POLL_S)
        await self._admin_server.shutdown(STOP_POLL_S)
        self._data.connections.close()
        await self._control.peers.close()
        await self._store.close()

    # The loops; their names are logged.

    async def _join_and_follow(self) -> None:
        await self._control.join_and_follow()

    async def _register(self) -> None:
        await self._control.register()

    async def _keep_records(self) -> None:
        await self._records.run()

    async def _heartbeat(self) -> None:
        """Send heartbeats and digests, and expire what has grown old."""
        loop = asyncio.get_running_loop()
        turn = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            turn += 1
            now = loop.time()
            self._data.count_entries()
            self._data.judge_requests(now)
            self._control.peers.round(now)
            if turn % SHARE_UPDATE_ROUNDS == 0:
                shares = self._control.exchange.region_shares()
                self._data.placement.shares.update([shares], now)
            if turn % SWEEP_HEARTBEATS == 0:
                self._sweep(now)

    def _sweep(self, now: float) -> None:
        """Drop what has grown old, and report what changed."""
        self._data.connections.sweep(now)
        self._membership.forget(now)
        self._control.exchange.forget(now)
        self._data.forget(now)
        self._metrics.confirmed_age.set(self._keeper.confirmation.age_s(now))
        self._metrics.in_flight.set(self._data.handler.active)
        self._metrics.peers.set(len(self._membership.live(now)))
        for name, change, silent_s in self._membership.changes(now):
            self._events.peer(name, change, silent_s)
        for service, shares in self._data.placement.shares.moved().items():
            self._events.shares(service, shares)

    # Between the store, other entries and requests.

    def _take_delta(self, _: Delta) -> None:
        """Compile a newer state, and announce it to other entries."""
        self._keeper.compile()
        self._metrics.revision.set(self._store_copy.revision)
        self._control.peers.spread_news()
        if self._state == STARTING and self._keeper.catalog.configured:
            self._state = SERVING
            self._events.process("ready", version=self._keeper.catalog.version)
            self._control.peers.announce()

    def _take_catalog(
        self, before: Catalog, catalog: Catalog, configured: Configured
    ) -> None:
        """Put a newer catalogue in force in all parts."""
        now = asyncio.get_running_loop().time()
        self._membership.add_registered(configured.peers, now)
        self._records.take(configured.held, now)
        self._left_out.take(configured.left_out, now)
        self._data.renew(before, catalog, now)
        exchange = self._control.exchange
        exchange.lists.renew(catalog.names_by_region)
        workspaces = catalog.workspaces.by_name.values()
        exchange.use.renew(self._data.quotas.plans(workspaces))

    def _take_update(self, update: PeerUpdate, now: float) -> None:
        """Give the other parts what other entries reported."""
        self._data.receive(update, now)
        self._keeper.outage.peer_reported(update.outage_ms, now)
        self._control.take_answer(update.answer, now)

    def _status(self) -> EntryStatus:
        """Return what heartbeats say of this entry."""
        now = asyncio.get_running_loop().time()
        return EntryStatus(
            self._state,
            self._store_copy.revision,
            self._data.fleet.in_flight(),
            self._data.placement.shares.reported(),
            self._keeper.outage.age_ms(now),
            self._data.placement.shared_warmth.recent(WARM_SENT_S, now),
            self._data.quotas.report(now),
            self._data.quotas.lived_s(now),
            self._keeper.confirmation.tell(self._store_copy.revision, now),
            self._control.is_unserved(now),
            self._data.limits.round(now),
            self._data.quarantine.notices(now),
        )

    # Leaving.

    async def _leave(self, front: asyncio.Server) -> None:
        """Leave the directory, serve cached look-ups for a while, finish, end."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self._state = LEAVING
        handler = self._data.handler
        handler.leaving = True
        self._events.process("leaving", in_flight=handler.active)
        self._control.peers.announce_leave()
        removal = asyncio.create_task(self._control.registration.end())
        await asyncio.sleep(LISTEN_ON_S)
        front.close()
        last = began + self._settings.grace_s - STOP_MARGIN_S
        await finish(handler, self._data.server, last)
        removal.cancel()
        self._events.process("drained", in_flight=handler.active)
