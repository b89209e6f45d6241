# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The data plane of an entry: the components that serve requests.

Owns the loads and execution times of targets (fleet), the regions' shares of keys
(placement), connections to targets, targets' limits, quota usage, the retry budget, and
the quarantine of requests. All of it is lost with the process and learned again from
responses and other entries, the quarantine also from the store. Relies on the catalogue
in force (`configuration`) and on the known entries (`membership`).
"""

import asyncio
from collections.abc import Callable, Collection, Mapping

from leverdoor.entry.admission.admission import Admission
from leverdoor.entry.bounds import (
    INITIAL_RETRIES,
    MAX_SAVED_RETRIES,
    RETRY_FRACTION,
    SHIFT_FRACTION,
    SHIFT_WINDOW_S,
    max_saved_retries,
)
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.configuration.catalog_manager import CatalogManager
from leverdoor.entry.context import EntryContext
from leverdoor.entry.exchange.exchange_types import PeerUpdate
from leverdoor.entry.exchange.messages import PermitRequest
from leverdoor.entry.limits.target_limits import TargetLimits
from leverdoor.entry.links.link_table import LinkTable
from leverdoor.entry.links.relay_client import RelayClient
from leverdoor.entry.links.relay_selector import RelaySelector
from leverdoor.entry.links.relay_server import RelayServer, max_streams
from leverdoor.entry.links.verifying import LinkVerifier
from leverdoor.entry.membership.member import EntryState
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.placement.fleet import SUM_OF_PEERS, Fleet
from leverdoor.entry.placement.key_admission import KeyAdmissionTable
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.placement.tuning import WAITING
from leverdoor.entry.requests.connection_pool import ConnectionPool
from leverdoor.entry.requests.connector import Connector
from leverdoor.entry.requests.forwarding import Forwarder
from leverdoor.entry.requests.handler import EntryHandler
from leverdoor.entry.requests.outcomes import OutcomeRecorder
from leverdoor.entry.requests.reply_resources import ReplyResources
from leverdoor.entry.requests.routing import RequestRouter
from leverdoor.entry.requests.target_reports import TargetReportHandler
from leverdoor.entry.settings import EntrySettings
from leverdoor.entry.warm_up import may_warm_up
from leverdoor.http.connection_resources import ConnectionResources
from leverdoor.http.reply_proof import ReplyNames
from leverdoor.http.server import HttpServer
from leverdoor.http.server_connection import ServerConnection
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id
from leverdoor.quarantine.crash_checker import CrashChecker, TargetCheckResult
from leverdoor.quarantine.crashes import LostRun
from leverdoor.quarantine.quarantine import Quarantine
from leverdoor.quarantine.trial_owner import is_trial_owner
from leverdoor.retry_budget import RetryBudget
from leverdoor.settings import parse_address
from leverdoor.workspaces.quota import Quotas

__all__ = ["DataPlane"]

PROBES_PER_ROUND = 4
"""Maximum probes of links that start in a heartbeat round.

20 a second find within half a second how far a loss extends in a deployment of nine
groups of targets. A greater number adds connections at the targets when links return.
"""


class DataPlane:
    """Creates and connects the components that serve requests in one entry."""

    def __init__(
        self,
        context: EntryContext,
        catalog_manager: CatalogManager,
        membership: Membership,
        metrics: EntryMetrics,
        state: Callable[[], EntryState],
        ask_room: Callable[[PermitRequest, str], None],
        without_links: Callable[[float], Collection[int]],
        client_resources: ConnectionResources,
    ) -> None:
        """Create all components without opening any socket or connection.

        Args:
          context: the entry's settings and external dependencies.
          keeper: provides the catalogue in force.
          membership: the known entries.
          metrics: the entry's metrics.
          state: returns the lifecycle state of this entry.
          ask_room: sends a request for capacity at a target to another entry's address.
          without_links: returns the `member_id` of other entries that have lost their
            links to all targets.
          client_resources: what the connections of all clients share.
        """
        s = context.settings
        self._context = context
        self._catalog_manager = catalog_manager
        self._membership = membership
        self.fleet = Fleet()
        self.limits = TargetLimits(
            context, membership, self.fleet, state, ask_room, metrics
        )
        self.placement = self._create_placement()
        self._admission = self._create_admission(metrics)
        self._reports = self._create_reports(metrics)
        self.links = LinkTable(context.rng)
        self._relay_selector = RelaySelector(membership, without_links, context.rng)
        self._verifier = LinkVerifier(self.links, self._targets, context.rng)
        self.relay_server = RelayServer(
            self.links,
            self._is_entry,
            self._targets,
            self._verifier,
            lambda outcome: metrics.stream_requests.labels(outcome).inc(),
            max_streams(s.descriptors),
        )
        self._reply_resources = ReplyResources(s.memory_mb)
        names = context.wire.headers
        self.connections = ConnectionPool(
            ReplyNames(names.request_id, names.stamp, names.not_run),
            self._create_connector(metrics),
            context.events.connections_forgotten,
        )
        now = asyncio.get_running_loop().time()
        self.quotas = Quotas(s.quotas, context.rng, now, first_start=s.first_start)
        ratio = s.repeat_ratio * RETRY_FRACTION
        self._budget = RetryBudget(ratio, MAX_SAVED_RETRIES, INITIAL_RETRIES)
        self.quarantine = Quarantine()
        self._metrics = metrics
        self._probes: set[asyncio.Task[None]] = set()
        """Probes of links in progress."""
        router = RequestRouter(
            context.wire,
            self._catalog,
            self.placement.pick_service,
            self.keys_confirmed,
        )
        self.handler = self._create_handler(router, metrics)
        self.server = HttpServer(
            self.handler.handle,
            router.may_repeat,
            metrics.overlapping_requests.inc,
            metrics.unread_pauses.inc,
            client_resources,
            self.handler.refuse_body,
        )

    def _create_placement(self) -> PlacementPolicy:
        s = self._context.settings
        move_per_s = s.max_shift * SHIFT_FRACTION / SHIFT_WINDOW_S
        policy = PlacementPolicy(
            s.region,
            s.domain,
            self.fleet,
            self._context.rng,
            move_per_s,
            key_admission=KeyAdmissionTable() if s.waits_for_room else None,
            single_region_tuning=WAITING if s.waits_for_room else None,
        )
        policy.may_warm_up_target = lambda target: may_warm_up(self._membership, target)
        return policy

    def _create_admission(self, metrics: EntryMetrics) -> Admission | None:
        """Return None if the settings do not let requests wait for room."""
        context = self._context
        if not context.settings.waits_for_room:
            return None
        region = context.settings.region
        return Admission(
            self.placement,
            context.rng,
            lambda: max(self._membership.count_in_region(region), 1),
            context.events,
            metrics,
        )

    def _create_reports(self, metrics: EntryMetrics) -> TargetReportHandler:
        context = self._context
        return TargetReportHandler(
            context.wire,
            self.placement,
            self.limits.collector,
            context.events,
            metrics,
        )

    def _create_connector(self, metrics: EntryMetrics) -> Connector:
        return Connector(
            self._context.settings.region,
            self._reports.handle_reply,
            lambda service, result: metrics.connects.labels(service, result).inc(),
            self.links,
            RelayClient(self._relay_selector, self._context.settings.relay.host),
            self._verifier,
            self._on_link_change,
            self._reply_resources,
        )

    def _on_link_change(self, target: Target) -> None:
        """Forget failures of a target whose link was found lost, or works again."""
        now = asyncio.get_running_loop().time()
        self.fleet.state_of(target, now).forgive(now)
        self.placement.announce_room(target)

    def _targets(self) -> Mapping[str, Target]:
        return self._catalog().targets

    def _is_entry(self, host: str) -> bool:
        """Return whether a host is that of another entry."""
        members = [self._membership.member(n) for n in self._membership.names()]
        return any(
            m is not None and parse_address(m.pull).host == host for m in members
        )

    def _create_handler(
        self, router: RequestRouter, metrics: EntryMetrics
    ) -> EntryHandler:
        wire, events = self._context.wire, self._context.events
        outcomes = OutcomeRecorder(
            self.placement,
            self.fleet,
            events,
            lambda service, fault: metrics.broken_replies.labels(service, fault).inc(),
        )
        forwarder = Forwarder(
            wire,
            self.placement,
            self.connections,
            outcomes,
            self.limits.grant_client,
            self._budget,
            self.quotas,
            self.quarantine,
            CrashChecker(
                self.connections.probe, self._on_target_checked, self._is_in_service
            ),
            events,
            self._admission,
        )
        return EntryHandler(
            wire,
            router,
            forwarder,
            self.quotas,
            self.quarantine,
            self._runs_trials,
            events,
            metrics,
            self._catalog,
        )

    def _catalog(self) -> Catalog:
        return self._catalog_manager.catalog

    def keys_confirmed(self, now: float) -> bool:
        """Return whether the configuration is recent enough for workspace keys."""
        max_age_s = self._context.settings.confirm_within_s
        return self._catalog_manager.confirmation.holds(max_age_s, now)

    def _runs_trials(self, fingerprint: int) -> bool:
        """Return whether this entry runs a quarantined request's trials for all."""
        own = self._membership.own.name
        return is_trial_owner(own, self._membership.names(), fingerprint)

    def _is_in_service(self, target: Target) -> bool:
        """Return whether a target is registered, usable and not leaving."""
        now = asyncio.get_running_loop().time()
        leaving = self.fleet.state_of(target, now).availability.leaving
        return target.name in self._catalog().usable_target_names and not leaving

    def _on_target_checked(
        self,
        target: Target,
        found: TargetCheckResult,
        runs: list[LostRun],
        took_s: float,
    ) -> None:
        """Process the check of a target that closed connections without a response.

        If the target ended, the runs that it lost while in service are reported to the
        quarantine. Runs lost to a planned stop are not, because a rollout cuts long
        requests off at one target after another.
        """
        events = self._context.events
        events.target_checked(
            target.name, target.service, found.value, len(runs), took_s
        )
        if found is not TargetCheckResult.ENDED:
            return
        now = asyncio.get_running_loop().time()
        self._metrics.targets_ended.labels(target.service).inc()
        state = self.fleet.state_of(target, now)
        ejected_s = state.unreached(now)
        events.target_ejected(target.name, "ended", ejected_s)
        if state.availability.leaving:
            return
        for run in runs:
            self.quarantine.record_crash(target_id(target.name), run, now)

    def update_quarantine(self, now: float) -> None:
        """Quarantine requests identified as the cause of ended targets."""
        for change in self.quarantine.judge(now):
            self._context.events.quarantine(change)
        self._metrics.quarantined.set(len(self.quarantine.holds))

    def create_connection(self) -> ServerConnection:
        """Create the protocol of a client connection, with the limits in force."""
        return self.server.create_connection(self._catalog().limits)

    def reload(self, settings: EntrySettings) -> None:
        """Apply settings that changed while the entry runs."""
        self._budget.ratio = settings.repeat_ratio * RETRY_FRACTION

    def renew(self, previous: Catalog, catalog: Catalog, now: float) -> None:
        """Put a newer catalogue in force for the request path."""
        self.update_entry_count()
        self.fleet.renew(catalog.targets, now, catalog.services.values())
        self.limits.renew(catalog.targets)
        self.links.renew(catalog.targets)
        self._reports.renew(catalog.targets)
        self.connections.max_connections = {
            s.name: s.connections for s in catalog.services.values()
        }
        for name in previous.usable_target_names - catalog.usable_target_names:
            self.connections.close_idle(name)
        self.placement.renew(catalog)
        if self._admission is not None:
            self._admission.renew(catalog)

    def receive(self, update: PeerUpdate, now: float) -> None:
        """Process reports of other entries on targets, keys, quotas and requests."""
        self.quarantine.receive(update.notices, now)
        self.limits.receive_from_peers(update.limits)
        if update.others_in_flight is not None:
            self.fleet.receive(SUM_OF_PEERS, update.others_in_flight, now)
            self.placement.announce_room(None)
        self.placement.warm_keys.receive(update.warm_keys, now)
        self.fleet.speeds.receive(update.speeds, now)
        if update.use is not None:
            self.update_entry_count()
            self.quotas.receive(update.use, now)

    def forget(self, now: float) -> None:
        """Drop expired state of targets; report unavailable and slow targets."""
        self.limits.forget(now)
        for change in self.fleet.speeds.take_changes(now):
            self._context.events.target_slowness(change.target, change.slowness)
        self._metrics.slow_targets.set(self.fleet.speeds.slow_count(now))
        self.fleet.forget(now)
        for (service, region), fraction in self.placement.key_fractions().items():
            self._metrics.admitted_keys.labels(service, region).set(fraction)
        self._relay_selector.forget(now)
        self._metrics.reply_bytes.set(self._reply_resources.memory.held_bytes)
        self._metrics.lost_links.set(self.links.lost_count)
        self._metrics.relayed_streams.set(len(self.relay_server.streams))
        self._metrics.relayed_bytes.set(self.relay_server.bytes)
        self._metrics.leaving_targets.set(self.fleet.leaving_count())
        self._metrics.resting_targets.set(self.fleet.resting_count(now))

    def update_links(self, lag_s: float, now: float) -> bool:
        """Probe links that are lost or in doubt, and log changes; once a round.

        Args:
          lag_s: lateness of the event loop in seconds.
          now: monotonic time in seconds.
        Returns: whether links were lost or regained.
        """
        self.relay_server.record_lag(lag_s, now)
        self.links.sweep(now)
        targets = self._targets()
        for name in self.links.to_probe(PROBES_PER_ROUND, now):
            task = asyncio.ensure_future(self.connections.probe_link(targets[name]))
            self._probes.add(task)
            task.add_done_callback(self._probes.discard)
        changes = self.links.take_changes()
        for change in changes:
            self._context.events.links(change)
        return bool(changes)

    def update_admission(self) -> None:
        """Adapt which priorities are refused at once; called several times a second."""
        if self._admission is not None:
            self._admission.update()

    def leave(self) -> None:
        """Begin a planned stop: no request waits for room any more."""
        self.server.leaving = True
        self.relay_server.leaving = True
        if self._admission is not None:
            self._admission.stop()

    def update_entry_count(self) -> None:
        """Apply the number of known entries to quotas, connections and retries."""
        count = self._membership.count
        self.quotas.entries = count
        self.connections.entries = count
        self._budget.max_balance = max_saved_retries(
            self._context.settings.repeat_slack, count
        )
