# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The parts of an entry that follow the store and exchange messages with other entries.

Owns who the other entries are and when they were last seen (membership), what is sent
to whom (exchange), the entry's registration in the store, and its turn as a follower of
the store. All of it is lost with the process and found again from the store and from
heartbeats. Relies on the store, on the UDP and HTTP addresses of the other entries, and
on the copy of the store's state that `configuration` compiles.
"""

import asyncio
import time
from collections.abc import Callable

from leverdoor.entry.configuration.catalog_keeper import CatalogKeeper
from leverdoor.entry.configuration.confirmation import ToldAnswer
from leverdoor.entry.context import EntryContext
from leverdoor.entry.exchange.exchange import Exchange
from leverdoor.entry.exchange.exchange_types import EntryStatus
from leverdoor.entry.exchange.peer_link import PeerLink, TakeRoomMessage, TakeUpdate
from leverdoor.entry.membership.joining import Joining
from leverdoor.entry.membership.member import Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.registration import Registration, retry_pause_s
from leverdoor.entry.membership.roles import Roles
from leverdoor.entry.settings import EntrySettings
from leverdoor.entry.store_role import StoreRole
from leverdoor.storage.following import FollowerRole, StoreFollower
from leverdoor.storage.state import State

__all__ = ["ControlPlane", "create_member"]

STORE_BACKOFF_S = 1.0
"""Longest pause between calls to a store that is away, in seconds.

With the spread of half of it, changes are read again within 2 s of its return. Greater,
they are later; smaller, all followers load a store that is just coming back.
"""


def create_member(settings: EntrySettings) -> Member:
    """Return this process as other entries know it, with a new incarnation."""
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
    """What keeps one entry in step with the store and with other entries."""

    def __init__(
        self,
        context: EntryContext,
        state: State,
        keeper: CatalogKeeper,
        membership: Membership,
        status: Callable[[], EntryStatus],
        take_update: TakeUpdate,
        take_room: TakeRoomMessage,
    ) -> None:
        """Create all parts; nothing is opened yet.

        Args:
          context: the entry's settings and surroundings.
          state: the copy of the store.
          keeper: compiles the copy.
          membership: the entries known.
          status: returns what heartbeats say of this entry.
          take_update: called with what other entries reported, and the loop time.
          take_room: called with questions for room at targets, and their answers.
        """
        self._context = context
        self._state = state
        self._keeper = keeper
        self._membership = membership
        self._settings = context.settings
        self._peers_discovered = asyncio.Event()
        self._roles = Roles(membership, context.rng)
        self.exchange = Exchange(membership, self._roles)
        self.peers = PeerLink(
            self.exchange,
            context.network,
            state,
            keeper,
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
            keeper.confirmation,
            lambda: self._settings,
            context.rng,
        )
        self._follower_role = _ClockedFollowerRole(
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
        )

    def _create_joining(self) -> Joining:
        return Joining(
            self._context.store,
            self._context.wire.peer_key(""),
            self._membership,
            self._roles,
            self._state,
            self.peers.puller,
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
        )

    def reload(self, settings: EntrySettings) -> None:
        """Take settings that changed while the entry runs."""
        self._settings = settings

    async def join_and_follow(self) -> None:
        """Find the others, get the state, then follow the store while elected."""
        if not self._peers_discovered.is_set():
            registered = await self._joining.find()
            self.registration.adopt(registered.get(self._own_key))
            self._peers_discovered.set()
            await self._joining.fetch(self._settings.watchers)
        await self._follower.run()

    async def register(self) -> None:
        """Keep the entry registered in the store, once the others were read."""
        await self._peers_discovered.wait()
        await self.registration.run()

    @property
    def _own_key(self) -> str:
        """The key under which this entry registers in the store."""
        return self._context.wire.peer_key(self._membership.own.name)

    def _registration_pause_s(self) -> float:
        """Return the pause after a failed registration, in seconds."""
        writes_per_s = self._settings.store_writes_per_s
        return retry_pause_s(self._membership.count, writes_per_s)

    def follows_store(self) -> bool:
        """Return whether this entry follows the store now."""
        return self._follower_role.follows()

    def receive_confirmation(self, told: ToldAnswer, now: float) -> None:
        """Take what another entry's revision rests on.

        Who lacked a recent answer passes it on at once, so that those who lack one as
        well don't ask the store for it.
        """
        was_stale = self._store_role.is_stale(now)
        self._keeper.confirmation.peer_told(told, self._state.revision, now)
        if was_stale and not self._store_role.is_stale(now):
            self.peers.spread_news()

    def _on_store_answer(self) -> None:
        """Record that the store answered here, as `receive_confirmation` does of others."""
        was_stale = self._store_role.is_stale(asyncio.get_running_loop().time())
        self._keeper.store_answered()
        if was_stale:
            self.peers.spread_news()

    def is_unserved(self, now: float) -> bool:
        """Return whether the store does not answer this entry."""
        return self._store_role.unserved(now)

    def _on_reachability_change(self, reachable: bool, why: str) -> None:
        """Record that the store was lost, or answers again."""
        self._keeper.outage.take(reachable, asyncio.get_running_loop().time())
        change = "answers" if reachable else "lost"
        self._context.events.store(change, self._state.revision, why)


class _ClockedFollowerRole(FollowerRole):
    """An entry's role by its clocks; none before it has joined the others."""

    def __init__(
        self,
        role: StoreRole,
        joining: Joining,
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
        return self._now >= self._joining.settled_at

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
