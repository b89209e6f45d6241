# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The control plane of an entry: store following, registration and peer messages.

Owns the ranking of entries (`Roles`), the exchange of messages, the entry's
registration, and its decision to follow the store (`StoreRole`). All of it is lost
with the process and restored from the store and from heartbeats. Relies on the entry's
membership view, on the store, on the UDP and HTTP addresses of the other entries, and
on the copy of the store's state that `configuration` compiles.
"""

import asyncio
import time
from collections.abc import Callable

from leverdoor.entry.configuration.catalog_manager import CatalogManager
from leverdoor.entry.configuration.confirmation import ReportedAnswer
from leverdoor.entry.context import EntryContext
from leverdoor.entry.exchange.exchange import Exchange
from leverdoor.entry.exchange.exchange_types import EntryStatus
from leverdoor.entry.exchange.peer_link import (
    PeerLink,
    PeerUpdateHandler,
    PermitMessageHandler,
)
from leverdoor.entry.membership.joining import JoinProcedure
from leverdoor.entry.membership.member import Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.registration import Registration, mean_retry_pause_s
from leverdoor.entry.membership.roles import Roles
from leverdoor.entry.settings import EntrySettings
from leverdoor.entry.store_role import StoreRole
from leverdoor.storage.following import FollowerRole, StoreFollower
from leverdoor.storage.state import State

__all__ = ["ControlPlane", "create_member"]

STORE_BACKOFF_S = 1.0
"""Maximum pause between calls to an unreachable store, in seconds.

With a jitter of half of it, entries read changes within 2 s of the store's return. A
greater value delays them. With a smaller value, all followers load a store that is just
recovering.
"""


def create_member(settings: EntrySettings) -> Member:
    """Return this process's membership record, with a new incarnation."""
    return Member(
        settings.name,
        settings.region,
        settings.domain,
        str(settings.front),
        str(settings.gossip),
        str(settings.pull),
        time.time_ns() // 1_000,
        settings.link_mbps,
    )


class ControlPlane:
    """Synchronizes one entry with the store and with the other entries."""

    def __init__(
        self,
        context: EntryContext,
        state: State,
        catalog_manager: CatalogManager,
        membership: Membership,
        status: Callable[[], EntryStatus],
        take_update: PeerUpdateHandler,
        take_room: PermitMessageHandler,
        lease_renewed: Callable[[float], None],
    ) -> None:
        """Create all components without opening any socket or connection.

        Args:
          context: the entry's settings and external dependencies.
          state: the local copy of the store's state.
          keeper: compiles that copy into the catalogue in force.
          membership: the known entries.
          status: returns the status that this entry's heartbeats carry.
          take_update: called with reports of other entries and the loop time in s.
          take_room: called with requests for capacity at targets, and their replies.
          lease_renewed: called with the loop time in seconds from which the lease of
            this entry's registration lasts.
        """
        self._lease_renewed = lease_renewed
        self._context = context
        self._state = state
        self._catalog_manager = catalog_manager
        self._membership = membership
        self._settings = context.settings
        self._peers_discovered = asyncio.Event()
        self._roles = Roles(membership, context.rng)
        self.exchange = Exchange(membership, self._roles)
        self.peers = PeerLink(
            self.exchange,
            context.network,
            state,
            catalog_manager,
            context.events,
            status,
            take_update,
            take_room,
        )
        self.registration = self._create_registration()
        self._joining = self._create_joining()
        self._store_role = StoreRole(
            membership,
            self._roles,
            self.exchange.unserved,
            catalog_manager.confirmation,
            lambda: self._settings,
            context.rng,
        )
        self._follower_role = _FollowerRoleAdapter(
            self._store_role,
            self._joining,
            self._on_store_answer,
            context.time_of_day,
        )
        self._follower = self._create_follower()

    def _create_registration(self) -> Registration:
        return Registration(
            self._context.store,
            self._own_key,
            self._membership.own,
            self._context.events,
            self._context.rng,
            self._registration_pause_s,
            self._lease_renewed,
        )

    def _create_joining(self) -> JoinProcedure:
        return JoinProcedure(
            self._context.store,
            self._context.wire.peer_key(""),
            self._membership,
            self._roles,
            self._state,
            self.peers.peer_follower,
            self._context.events,
            self._context.rng,
        )

    def _create_follower(self) -> StoreFollower:
        return StoreFollower(
            self._context.store,
            self._state,
            self._follower_role,
            self._context.rng,
            prefix="",
            longest_backoff_s=STORE_BACKOFF_S,
            on_change=self._on_reachability_change,
            marks_histories=False,
        )

    def reload(self, settings: EntrySettings) -> None:
        """Apply settings that changed while the entry runs."""
        self._settings = settings

    async def join_and_follow(self) -> None:
        """Discover the other entries, fetch the state, then run the store follower."""
        if not self._peers_discovered.is_set():
            registered = await self._joining.discover_peers()
            self.registration.adopt(registered.get(self._own_key))
            self._peers_discovered.set()
            await self._joining.fetch_state(self._settings.watchers)
        await self._follower.run()

    async def register(self) -> None:
        """Keep the entry registered in the store once discovery has finished."""
        await self._peers_discovered.wait()
        await self.registration.run()

    @property
    def _own_key(self) -> str:
        """The key of this entry's registration in the store."""
        return self._context.wire.peer_key(self._membership.own.name)

    def _registration_pause_s(self) -> float:
        """Return the mean pause after a failed registration, in seconds."""
        writes_per_s = self._settings.store_writes_per_s
        return mean_retry_pause_s(self._membership.count, writes_per_s)

    def follows_store(self) -> bool:
        """Return whether this entry follows the store now."""
        return self._follower_role.follows()

    def receive_confirmation(self, report: ReportedAnswer, now: float) -> None:
        """Process another entry's report of its newest store answer.

        If this entry lacked a recent answer, it forwards the new one at once, so that
        other entries that lack one do not query the store.
        """
        was_stale = self._store_role.is_stale(now)
        self._catalog_manager.confirmation.record_peer_answer(
            report, self._state.position, now
        )
        if was_stale and not self._store_role.is_stale(now):
            self.peers.schedule_announcement()

    def _on_store_answer(self) -> None:
        """Record a store answer; forward it if this entry lacked a recent one."""
        was_stale = self._store_role.is_stale(asyncio.get_running_loop().time())
        self._catalog_manager.record_store_answer()
        if was_stale:
            self.peers.schedule_announcement()

    def is_unserved(self, now: float) -> bool:
        """Return whether the store recently failed to answer this entry."""
        return self._store_role.is_unserved(now)

    def _on_reachability_change(self, reachable: bool, reason: str) -> None:
        """Record and log that the store became unreachable or reachable."""
        self._catalog_manager.outage.record_reachability(
            reachable, asyncio.get_running_loop().time()
        )
        change = "answers" if reachable else "lost"
        store = self._context.store
        self._context.events.store(change, self._state.revision, store.era, reason)


class _FollowerRoleAdapter(FollowerRole):
    """Supplies a `StoreRole` with clock readings.

    The entry neither follows nor queries the store until it has joined the others.
    """

    def __init__(
        self,
        role: StoreRole,
        joining: JoinProcedure,
        on_answer: Callable[[], None],
        time_of_day: Callable[[], float],
    ) -> None:
        self._role = role
        self._joining = joining
        self._on_answer = on_answer
        self._time_of_day = time_of_day

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _has_joined(self) -> bool:
        return self._now >= self._joining.may_follow_store_from

    def follows(self) -> bool:
        return self._has_joined() and self._role.follows(self._now)

    def must_ask(self) -> bool:
        return self._has_joined() and self._role.must_ask(self._now)

    def is_stale(self) -> bool:
        return self._role.is_stale(self._now)

    def asked(self) -> None:
        self._role.asked()

    def answered(self) -> None:
        self._role.answered(self._now)
        self._on_answer()

    def failed(self) -> None:
        self._role.failed(self._now)

    def wait_s(self) -> float:
        return self._role.wait_s(self._now, self._time_of_day())
