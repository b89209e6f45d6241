# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The entry daemon: wires the parts of one entry and runs them on one loop."""

import asyncio
import time
from collections.abc import Callable, Mapping
from random import Random

from aiohttp import web

from leverdoor.entry.admin import AdminServer
from leverdoor.entry.bounds import (
    MOVED_SHARE,
    RETRIES_FIRST,
    RETRIES_SAVED,
    RETRY_SHARE,
    SHARE_ROUNDS,
    SHIFT_WINDOW_S,
    WARM_TOLD_S,
)
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.configuration.catalog_keeper import CatalogKeeper
from leverdoor.entry.events import Events
from leverdoor.entry.membership.exchange import Exchange
from leverdoor.entry.membership.exchange_types import EntryStatus, PeerUpdate
from leverdoor.entry.membership.joining import Joining
from leverdoor.entry.membership.member import LEAVING, SERVING, STARTING, Member
from leverdoor.entry.membership.members import HEARTBEAT_S, Membership
from leverdoor.entry.membership.peer_link import PeerLink
from leverdoor.entry.membership.registration import Registration, retry_pause_s
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.placement.fleet import OTHERS, Fleet
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.requests.client_connection import ClientConnection
from leverdoor.entry.requests.connections import Connections
from leverdoor.entry.requests.forwarding import Forwarder
from leverdoor.entry.requests.handler import EntryHandler
from leverdoor.entry.requests.intake import Intake
from leverdoor.entry.requests.outcomes import Outcomes
from leverdoor.entry.settings import EntrySettings, reload_settings
from leverdoor.entry.shutdown import STOP_POLL_S, finish
from leverdoor.entry.wire import Wire
from leverdoor.lifecycle import keep_running
from leverdoor.model.resources import Target
from leverdoor.retry_budget import RetryBudget
from leverdoor.settings import Address
from leverdoor.storage.following import StoreFollower
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import LeasingStore
from leverdoor.workspaces.quota import Quotas

__all__ = ["Entry"]

SWEEP_HEARTBEATS = 5
"""Heartbeats between two clean-ups of what ages: 1 s. Chosen."""
LISTEN_ON_S = 2.2
"""How long a leaving entry accepts connections: the life of a cached look-up and 0.2
s.
"""
STOP_MARGIN_S = 0.4
"""Seconds before the end of the grace by which an entry ends itself; chosen."""
BACKLOG = 512
"""Connections that wait to be accepted; chosen, a second of new ones at a burst."""
STORE_BACKOFF_S = 1.0
"""Longest pause between calls to a store that is away; it is heard within 2 s."""


class Entry:
    """One entry process."""

    def __init__(
        self,
        settings: EntrySettings,
        store: LeasingStore,
        wire: Wire,
        events: Events,
    ) -> None:
        """Create an entry; nothing is opened yet."""
        self._settings = settings
        self._store = store
        self._wire = wire
        self._events = events
        self._stop = asyncio.Event()
        self._life = STARTING
        self._servers: list[asyncio.Server] = []
        self._peers_read = asyncio.Event()

    def stop(self) -> None:
        """Ask the entry to leave: finish all in flight, then end."""
        self._stop.set()

    def reload(self, settings: EntrySettings) -> None:
        """Take settings that changed; addresses and places stay as they are."""
        taken = reload_settings(self._settings, settings)
        self._settings = taken.settings
        self._budget.ratio = self._settings.repeat_ratio * RETRY_SHARE
        self._events.process(
            "reload", changed=taken.changed, left_as_they_are=taken.left
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
        await self._peers.open(s.gossip)
        front = await self._listen(self._client_connection, s.front)
        for address in (s.ready, s.directory, s.pull, s.metrics):
            await self._listen(self._admin_server, address)
        loops = (self._join_and_follow, self._register, self._heartbeat)
        tasks = [asyncio.create_task(keep_running(w.__qualname__, w)) for w in loops]
        try:
            await self._stop.wait()
            await self._leave(front)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close()
        self._events.process("end")

    def _build(self) -> None:
        """Create all parts; nothing is opened yet."""
        rng = Random(self._settings.seed or None)
        self._build_state(rng)
        self._build_data_path(rng)
        self._build_control_path(rng)

    def _build_state(self, rng: Random) -> None:
        """Create what is known: the store's state, other entries, targets."""
        s = self._settings
        self._member = Member(
            s.name,
            s.region,
            s.domain,
            str(s.front),
            str(s.gossip),
            str(s.pull),
            time.time_ns() // 1_000,
            s.link_mbps,
        )
        self._state = State()
        self._state.changes.subscribe(self._take_delta)
        self._keeper = CatalogKeeper(
            self._wire, self._state, self._events, s.leave_s, self._take_catalog
        )
        self._membership = Membership(self._member, rng)
        self._exchange = Exchange(self._membership)
        self._fleet = Fleet()
        self._metrics = EntryMetrics()

    def _build_data_path(self, rng: Random) -> None:
        """Create what serves requests."""
        s = self._settings
        move_per_s = s.max_shift * MOVED_SHARE / SHIFT_WINDOW_S
        self._placement = PlacementPolicy(
            s.region, s.domain, self._fleet, rng, move_per_s
        )
        self._placement.sharers = self._sharers
        self._connections = Connections(
            self._wire.headers.request_id,
            s.region,
            self._events.connections_forgotten,
        )
        self._quotas = Quotas(
            s.quotas, rng, asyncio.get_running_loop().time(), first_start=s.first_start
        )
        self._budget = RetryBudget(
            s.repeat_ratio * RETRY_SHARE, RETRIES_SAVED, RETRIES_FIRST
        )
        outcomes = Outcomes(self._wire, self._placement, self._fleet, self._events)
        forwarder = Forwarder(
            self._wire,
            self._placement,
            self._connections,
            outcomes,
            self._budget,
            self._quotas,
            self._events,
        )
        intake = Intake(
            self._wire,
            lambda: self._keeper.catalog,
            self._placement.pick_service,
            lambda now: self._keeper.confirmation.holds(s.confirm_within_s, now),
        )
        self._handler = EntryHandler(
            self._wire,
            intake,
            forwarder,
            self._quotas,
            self._events,
            self._metrics,
            lambda: self._keeper.catalog,
        )
        self._request_server = web.Server(
            self._handler.handle, handler_cancellation=True
        )

    def _build_control_path(self, rng: Random) -> None:
        """Create what follows the store and speaks with other entries."""
        admin = AdminServer(
            self._wire,
            self._state,
            self._metrics,
            lambda: self._life == SERVING,
            lambda region, domain, now: self._membership.addresses(
                region, domain, self._life, now
            ),
            self._settings.lookup_ttl_s,
        )
        self._admin_server = web.Server(admin.handle, access_log=None)
        self._peers = PeerLink(
            self._exchange, self._state, self._keeper, self._report, self._take_update
        )
        self._joining = Joining(
            self._store,
            self._wire.peer_key(""),
            self._membership,
            self._state,
            self._peers.puller,
            self._events,
            rng,
        )
        self._follower = StoreFollower(
            self._store,
            self._state,
            self._is_elected,
            rng,
            prefix="",
            longest_backoff_s=STORE_BACKOFF_S,
            on_change=self._take_store,
            on_answer=self._keeper.store_answered,
        )
        self._registration = Registration(
            self._store,
            self._wire.peer_key(self._settings.name),
            self._member,
            self._events,
            rng,
            self._registration_pause_s,
        )

    async def _join_and_follow(self) -> None:
        """Find the others, get the state, then follow the store while elected."""
        if not self._peers_read.is_set():
            written = await self._joining.find()
            own = self._wire.peer_key(self._settings.name)
            self._registration.adopt(written.get(own))
            self._peers_read.set()
            await self._joining.fetch(self._settings.watchers)
        await self._follower.run()

    async def _register(self) -> None:
        await self._peers_read.wait()
        await self._registration.run()

    def _registration_pause_s(self) -> float:
        """Return the pause after a failed registration, in seconds."""
        entries = len(self._membership.everyone()) + 1
        return retry_pause_s(entries, self._settings.store_writes_per_s)

    def _client_connection(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        limits = self._keeper.catalog.limits
        return ClientConnection(self._request_server, loop, limits, self._handler.busy)

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
        await self._request_server.shutdown(STOP_POLL_S)
        await self._admin_server.shutdown(STOP_POLL_S)
        self._connections.close()
        await self._peers.close()
        await self._store.close()

    # What is known.

    def _is_elected(self) -> bool:
        now = asyncio.get_running_loop().time()
        if now < self._joining.settled_at:
            return False
        return self._membership.elected(self._settings.watchers, now)

    def _take_store(self, reachable: bool, why: str) -> None:
        """Record that the store was lost, or answers again."""
        self._keeper.outage.take(reachable, asyncio.get_running_loop().time())
        change = "answers" if reachable else "lost"
        self._events.store(change, self._state.revision, why)

    def _take_delta(self, _: Delta) -> None:
        """Compile a newer state, and let others know that there is one."""
        self._keeper.compile()
        self._metrics.revision.set(self._state.revision)
        self._peers.spread_news()
        if self._life == STARTING and self._keeper.catalog.configured:
            self._life = SERVING
            self._events.process("ready", version=self._keeper.catalog.version)
            self._peers.announce()

    def _take_catalog(
        self, before: Catalog, catalog: Catalog, peers: Mapping[str, bytes]
    ) -> None:
        """Put a newer catalogue in force in all parts."""
        now = asyncio.get_running_loop().time()
        self._membership.found(peers, now)
        self._quotas.entries = self._membership.count
        self._fleet.renew(catalog.targets, now)
        for name in before.in_service - catalog.in_service:
            self._connections.drop(name)
        self._placement.renew(catalog)
        self._exchange.lists.renew(catalog.names_by_region)
        workspaces = catalog.workspaces.by_name.values()
        self._exchange.use.renew(self._quotas.plans(workspaces))

    def _take_update(self, heard: PeerUpdate, now: float) -> None:
        """Let the other parts know what others told."""
        if heard.others is not None:
            self._fleet.receive(OTHERS, heard.others, now)
        self._placement.shared_warmth.receive(heard.warm, now)
        self._keeper.outage.peer_reported(heard.outage_ms, now)
        self._keeper.confirmation.peer_reported(heard.confirmed_ms, now)
        if heard.use is not None:
            self._quotas.entries = self._membership.count
            self._quotas.receive(heard.use, now)

    def _sharers(self, target: Target) -> int:
        """Count the entries that share a cold target's allowance."""
        near = self._membership.in_domain(target.domain)
        if near:
            return near if self._settings.domain == target.domain else 0
        near = self._membership.in_region(target.region)
        if near:
            return near if self._settings.region == target.region else 0
        return max(len(self._membership.everyone()) + 1, 1)

    # Heartbeats.

    def _report(self) -> EntryStatus:
        now = asyncio.get_running_loop().time()
        return EntryStatus(
            self._life,
            self._state.revision,
            self._fleet.in_flight(),
            self._placement.shares.reported(),
            self._keeper.outage.age_ms(now),
            self._placement.shared_warmth.recent(WARM_TOLD_S, now),
            self._quotas.report(now),
            self._quotas.lived_s(now),
            self._keeper.confirmation.age_ms(now),
        )

    async def _heartbeat(self) -> None:
        """Send heartbeats and digests, and expire what has grown old."""
        loop = asyncio.get_running_loop()
        turn = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            turn += 1
            now = loop.time()
            self._quotas.entries = self._membership.count
            self._peers.round(now)
            if turn % SHARE_ROUNDS == 0:
                self._placement.shares.update([self._exchange.region_shares()], now)
            if turn % SWEEP_HEARTBEATS == 0:
                self._sweep(now)

    def _sweep(self, now: float) -> None:
        """Drop what has grown old, and report what changed."""
        self._connections.sweep(now)
        self._membership.forget(now)
        self._exchange.forget(now)
        self._metrics.in_flight.set(self._handler.active)
        self._metrics.peers.set(len(self._membership.live(now)))
        for name, change, silent_s in self._membership.changes(now):
            self._events.peer(name, change, silent_s)
        for service, shares in self._placement.shares.moved().items():
            self._events.shares(service, shares)

    # Leaving.

    async def _leave(self, front: asyncio.Server) -> None:
        """Stop being named, serve cached answers for a while, finish, end."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self._life = LEAVING
        self._handler.leaving = True
        self._events.process("leaving", in_flight=self._handler.active)
        self._peers.say_goodbye()
        removal = asyncio.create_task(self._registration.end())
        await asyncio.sleep(LISTEN_ON_S)
        front.close()
        last = began + self._settings.grace_s - STOP_MARGIN_S
        await finish(self._handler, self._request_server, last)
        removal.cancel()
        self._events.process("drained", in_flight=self._handler.active)
