# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The entry daemon: creates the components of an entry, runs its loops, and stops it.

Owns the lifecycle state that other entries and the platform see (starting, serving,
leaving) and the listening sockets; both are lost with the process. Relies on
`data_plane` to serve requests and on `control_plane` to follow the store and exchange
messages with other entries. The daemon passes new catalogues and peer reports between
the two. Everything runs on one event loop.
"""

import asyncio
import contextlib
import errno
from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

from leverdoor.entry.admin import AdminServer
from leverdoor.entry.bounds import SHARE_UPDATE_ROUNDS, WARM_KEY_REPORT_S
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.configuration.catalog_manager import CatalogManager
from leverdoor.entry.configuration.confirmation import ANSWER_COUNTER_BITS, Confirmation
from leverdoor.entry.configuration.left_out import LeftOutReporter
from leverdoor.entry.context import EntryContext
from leverdoor.entry.control_plane import ControlPlane, create_member
from leverdoor.entry.data_plane import DataPlane
from leverdoor.entry.events import Events
from leverdoor.entry.exchange.exchange_types import EntryStatus, PeerUpdate
from leverdoor.entry.exchange.peer_network import PeerNetwork, SocketNetwork
from leverdoor.entry.membership.entry_selection import EntrySelector
from leverdoor.entry.membership.liveness import HEARTBEAT_INTERVAL_S
from leverdoor.entry.membership.member import LEAVING, SERVING, STARTING, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.quarantine_records import QuarantineRecords
from leverdoor.entry.readiness import Readiness
from leverdoor.entry.restored_store import RestoredStore
from leverdoor.entry.settings import EntrySettings, reload_settings
from leverdoor.entry.shutdown import STOP_POLL_S, drain, drain_streams
from leverdoor.entry.wire import StoreContents, Wire
from leverdoor.http.connection_budget import Eviction
from leverdoor.http.connection_resources import ConnectionResources
from leverdoor.http.listening import listen
from leverdoor.http.server import HttpServer
from leverdoor.lifecycle import supervise
from leverdoor.process_memory import return_free_memory
from leverdoor.settings import Address
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import LeasingStore

__all__ = ["Entry"]

SWEEP_ROUNDS = 5
"""Heartbeat rounds between two sweeps of expired state: 1 s.

State expires after seconds. With a greater value, idle connections are closed late and
metrics lag. A smaller value costs processor time.
"""
PORT_RETRY_S = 0.2
"""Time after which a port that another process holds is tried again, in seconds.

A former process may be about to end. A greater value prolongs such a start; a smaller
one costs processor time.
"""
LEAVE_LISTEN_S = 2.2
"""How long a leaving entry accepts connections, in seconds.

Clients cache a look-up for 2 s; one heartbeat round of 0.2 s is added. With a smaller
value, clients with a cached look-up are refused connections. A greater value prolongs a
stop.
"""
STOP_MARGIN_S = 0.4
"""Time reserved at the end of the grace period for the shutdown, in seconds.

In it the entry closes its sockets and writes its last log lines. With a greater value,
requests in flight get less time. With a smaller value, the platform may kill the
process during the shutdown.
"""


T = TypeVar("T")


class _StopRequested(Exception):
    """A stop was requested before all ports were open."""


class Entry:
    """The components and the lifecycle of one entry process."""

    def __init__(
        self,
        settings: EntrySettings,
        store: LeasingStore,
        wire: Wire,
        events: Events,
        network: PeerNetwork | None = None,
    ) -> None:
        """Create an entry without opening any socket or connection.

        Args:
          settings: the initial settings.
          store: the platform's key-value store.
          wire: the platform's names, paths and formats.
          events: the event log.
          network: the transport to other entries; sockets by default.
        """
        self._settings = settings
        self._store = store
        self._wire = wire
        self._events = events
        self._network = network or SocketNetwork()
        self._stop = asyncio.Event()
        self._state = STARTING
        self._readiness = Readiness()
        self._servers: list[asyncio.Server] = []

    def stop(self) -> None:
        """Request a planned stop: finish the requests in flight, then end."""
        self._stop.set()

    def reload(self, settings: EntrySettings) -> None:
        """Apply changed settings; those that require a restart keep their values."""
        result = reload_settings(self._settings, settings)
        self._settings = result.settings
        self._data.reload(result.settings)
        self._control.reload(result.settings)
        self._events.process(
            "reload", changed=result.changed, left_as_they_are=result.restart_required
        )

    async def run(self) -> None:
        """Serve until a stop is requested and the entry has left."""
        self._create_components()
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
        try:
            front = await self._open_ports()
        except _StopRequested:
            await self._close()
            self._events.process("end")
            return
        loops = (
            self._serve_metrics,
            self._join_and_follow,
            self._register,
            self._heartbeat,
            self._keep_records,
            self._restore_records,
        )
        tasks = [asyncio.create_task(supervise(f.__qualname__, f)) for f in loops]
        try:
            await self._stop.wait()
            await self._leave(front)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close()
        self._events.process("end")

    # Components.

    def _create_components(self) -> None:
        """Create all components without opening any socket or connection."""
        s = self._settings
        rng = Random(s.seed or None)
        context = EntryContext(
            s, self._store, self._network, self._wire, self._events, rng
        )
        self._store_copy = State(self._wire.describe_record)
        self._store_copy.changes.subscribe(self._on_delta)
        self._catalog_manager = CatalogManager(
            self._wire,
            self._store_copy,
            Confirmation(member_id(s.name), rng.getrandbits(ANSWER_COUNTER_BITS)),
            self._events,
            s.leave_s,
            self._on_catalog,
        )
        self._membership = Membership(create_member(s))
        self._entry_selector = EntrySelector(
            self._membership, self._entries_without_links
        )
        self._metrics = EntryMetrics()
        self._left_out_report = LeftOutReporter(self._events, self._metrics)
        client_resources = ConnectionResources(
            s.memory_mb, s.descriptors, self._on_eviction
        )
        self._client_budget = client_resources.budget
        self._data = DataPlane(
            context,
            self._catalog_manager,
            self._membership,
            self._metrics,
            lambda: self._state,
            lambda request, to: self._control.peers.send_permit_request(request, to),
            lambda now: self._control.exchange.without_links.others(now),
            client_resources,
        )
        self._control = ControlPlane(
            context,
            self._store_copy,
            self._catalog_manager,
            self._membership,
            self._status,
            self._on_peer_update,
            self._data.limits.take,
            self._data.quotas.renew_lease,
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
        self._restored_store = RestoredStore(
            self._store_copy,
            self._wire.describe_record,
            self._store,
            self._events,
            self._metrics,
            rng,
            self._control.follows_store,
            self._catalog_manager.compile,
        )
        self._admin_server = HttpServer(
            self._create_admin().handle, resources=client_resources
        )

    def _on_eviction(self, cause: Eviction, count: int) -> None:
        """Log and count client connections that gave way to others."""
        self._metrics.evicted_connections.labels(cause.value).inc(count)
        self._events.connections_evicted(cause.value, count)

    def _create_admin(self) -> AdminServer:
        return AdminServer(
            self._wire,
            self._store_copy,
            self._metrics,
            lambda: self._state == SERVING,
            lambda region, domain, now: self._entry_selector.select_addresses(
                region, domain, self._state, now
            ),
            self._settings.lookup_ttl_s,
            lambda: self._admin_server.unsent_bytes(),
        )

    async def _open_ports(self) -> asyncio.Server:
        """Open all ports but that of the metrics; return the listener of requests.

        Raises:
          _StopRequested: a stop was requested while a port was taken.
        """
        s = self._settings
        await self._when_free(lambda: self._control.peers.open(s.gossip), s.gossip)
        front = await self._listen(self._data.create_connection, s.front)
        for address in (s.ready, s.directory, s.pull):
            await self._listen(self._admin_server.create_connection, address)
        await self._listen(self._data.relay_server.create_connection, s.relay)
        return front

    async def _listen(
        self, server: Callable[[], asyncio.BaseProtocol], address: Address
    ) -> asyncio.Server:
        listener = await self._when_free(lambda: listen(server, address), address)
        self._servers.append(listener)
        return listener

    async def _when_free(self, open_port: Callable[[], Awaitable[T]], at: Address) -> T:
        """Open a port; while another process holds it, try again.

        Raises:
          _StopRequested: a stop was requested meanwhile.
        """
        while not self._stop.is_set():
            try:
                return await open_port()
            except OSError as e:
                if e.errno != errno.EADDRINUSE:
                    raise
            self._events.process("port taken", address=str(at))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PORT_RETRY_S):
                    await self._stop.wait()
        raise _StopRequested

    async def _close(self) -> None:
        for listener in self._servers:
            listener.close()
        await self._data.server.shutdown(STOP_POLL_S)
        await self._admin_server.shutdown(STOP_POLL_S)
        self._data.relay_server.close()
        self._data.connections.close()
        await self._control.peers.close()
        await self._store.close()

    # Loops. Their names appear in the log through `supervise`.

    async def _join_and_follow(self) -> None:
        await self._control.join_and_follow()

    async def _serve_metrics(self) -> None:
        """Serve metrics; requests are served without them while their port is taken."""
        connection = self._admin_server.create_connection
        with contextlib.suppress(_StopRequested):
            await self._listen(connection, self._settings.metrics)
            await self._stop.wait()

    async def _register(self) -> None:
        await self._control.register()

    async def _keep_records(self) -> None:
        await self._records.run()

    async def _restore_records(self) -> None:
        await self._restored_store.run()

    async def _heartbeat(self) -> None:
        """Run the heartbeat rounds, share updates and sweeps until cancelled."""
        loop = asyncio.get_running_loop()
        rounds = 0
        while True:
            due_at = loop.time() + HEARTBEAT_INTERVAL_S
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            rounds += 1
            now = loop.time()
            if self._data.update_links(now - due_at, now):
                self._control.peers.announce()
            self._serve_if_ready()
            self._data.update_entry_count()
            self._data.update_quarantine(now)
            self._data.update_admission()
            self._control.peers.round(now)
            if rounds % SHARE_UPDATE_ROUNDS == 0:
                exchange = self._control.exchange
                self._data.placement.update_shares(
                    [exchange.region_shares()], exchange.admitted_keys(), now
                )
            if rounds % SWEEP_ROUNDS == 0:
                self._sweep(now)

    def _sweep(self, now: float) -> None:
        """Drop expired state, update gauges, and log changes of peers and shares."""
        if self._client_budget.take_relief():
            return_free_memory()
        self._data.connections.close_expired(now)
        self._membership.forget(now)
        self._control.exchange.forget(now)
        self._data.forget(now)
        self._metrics.confirmed_age.set(self._catalog_manager.confirmation.age_s(now))
        self._metrics.store_era.set(self._store.era)
        self._metrics.in_flight.set(self._data.handler.active_count)
        self._metrics.peers.set(len(self._membership.live(now)))
        for name, change, silent_s in self._membership.changes(now):
            self._events.peer(name, change, silent_s)
        for service, shares in self._data.placement.shares.take_shares_to_log().items():
            self._events.shares(service, shares)

    # Data flow between the store, other entries and the request path.

    def _on_delta(self, _: Delta) -> None:
        """Compile a newer state, announce it, and serve if this entry is ready."""
        self._catalog_manager.compile()
        self._restored_store.take_state()
        self._metrics.revision.set(self._store_copy.revision)
        self._control.peers.schedule_announcement()
        self._serve_if_ready()

    def _serve_if_ready(self) -> None:
        """Begin to serve if the entry is still starting and ready."""
        if self._state != STARTING:
            return
        catalog = self._catalog_manager.catalog
        now = asyncio.get_running_loop().time()
        keys_confirmed = self._data.keys_confirmed(now)
        if self._readiness.may_serve(catalog.configured, keys_confirmed, now):
            self._state = SERVING
            self._events.process("ready", version=catalog.version)
            self._control.peers.announce()

    def _on_catalog(
        self, previous: Catalog, catalog: Catalog, contents: StoreContents
    ) -> None:
        """Put a newer catalogue in force in all components."""
        now = asyncio.get_running_loop().time()
        self._membership.add_registered(contents.peers, now)
        self._records.take(contents.held_records, now)
        self._left_out_report.take(contents.left_out, now)
        self._data.renew(previous, catalog, now)
        exchange = self._control.exchange
        exchange.target_count_codec.renew(catalog.target_names_by_region)
        workspaces = catalog.workspaces.by_name.values()
        exchange.use.renew(self._data.quotas.admission_limits(workspaces))

    def _on_peer_update(self, update: PeerUpdate, now: float) -> None:
        """Distribute the reports of other entries to the components."""
        self._data.receive(update, now)
        self._catalog_manager.outage.record_peer_report(update.outage_age_ms, now)
        self._control.receive_confirmation(update.answer, now)
        self._serve_if_ready()

    def _status(self) -> EntryStatus:
        """Return the status for the next heartbeat.

        Reading the status counts as reporting it.
        """
        now = asyncio.get_running_loop().time()
        return EntryStatus(
            self._state,
            self._store_copy.position,
            self._data.fleet.in_flight(),
            self._data.placement.shares.shares_to_send(),
            self._catalog_manager.outage.age_ms(now),
            self._data.placement.warm_keys.queued_within(WARM_KEY_REPORT_S, now),
            self._data.quotas.report(now),
            self._data.quotas.counting_for_s(now),
            self._catalog_manager.confirmation.newest_answer(
                self._store_copy.position, now
            ),
            self._control.is_unserved(now),
            self._data.limits.round(now),
            self._data.quarantine.notices(now),
            self._data.fleet.speeds.to_tell(now),
            self._data.placement.admitted_keys(),
            self._data.links.all_lost,
        )

    def _entries_without_links(self, now: float) -> frozenset[int]:
        """Return the `member_id` of entries that have lost all links to targets."""
        own = {member_id(self._settings.name)} if self._data.links.all_lost else set()
        return self._control.exchange.without_links.others(now) | own

    # Leaving.

    async def _leave(self, front: asyncio.Server) -> None:
        """Announce the leave, serve clients with cached look-ups, then drain."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        self._state = LEAVING
        handler = self._data.handler
        self._data.leave()
        self._events.process("leaving", in_flight=handler.active_count)
        self._control.peers.announce_leave()
        deregistration = asyncio.create_task(self._control.registration.end())
        await asyncio.sleep(LEAVE_LISTEN_S)
        front.close()
        deadline = started + self._settings.grace_s - STOP_MARGIN_S
        await drain(self._data.server, deadline)
        await drain_streams(self._data.relay_server, deadline)
        deregistration.cancel()
        self._events.process("drained", in_flight=handler.active_count)
