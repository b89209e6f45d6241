# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Election of the agents that follow the store, and the loop that follows it.

Guards against an agent that keeps the role although the store does not respond to it.
If the election considered only whether agents are alive, an agent that lost only its
connection to the store would keep the role and plan nothing for its region.
"""

import asyncio
from collections.abc import AsyncIterator
from random import Random

import msgspec

from leverdoor.errors import StoreUnavailable
from leverdoor.membership.peers import AgentHeartbeat, Peers
from leverdoor.model.position import Position
from leverdoor.storage.following import (
    POLL_S,
    WATCH_OVERDUE_S,
    WATCHERS_PER_REGION,
    ElectedRole,
    FollowerRole,
    StoreFollower,
    watcher_rank,
)
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import Event, MemoryStore, Wait, Write, client_default_wait
from leverdoor.storage.store_availability import MIN_FRACTION_OF_MEAN, RETRY_MEAN_S
from virtual_clock import run_virtual

VMS = [f"vm{i}" for i in range(5)]
NOW = 50.0


def peers_of(vm: str, unserved: set[str]) -> Peers:
    known = Peers(vm, "r")
    for name in VMS:
        heartbeat = AgentHeartbeat(name, "r", "r-0", name, name, 1, 1)
        heartbeat = msgspec.structs.replace(heartbeat, unserved=name in unserved)
        known.merge([heartbeat], NOW)
    return known


def followers(unserved: set[str]) -> list[str]:
    """Return the VMs whose agents elect themselves."""
    return [
        vm
        for vm in VMS
        if watcher_rank(peers_of(vm, unserved), vm, NOW, vm in unserved) >= 0
    ]


def test_unserved_agents_hand_the_role_to_served_ones() -> None:
    first = followers(set())
    assert len(first) == WATCHERS_PER_REGION
    assert len(followers({first[0]})) == WATCHERS_PER_REGION
    assert first[0] not in followers({first[0]})
    assert not set(first) & set(followers(set(first)))


def test_only_served_agent_follows() -> None:
    for vm in VMS:
        assert followers(set(VMS) - {vm}) == [vm]


def test_election_is_unchanged_while_no_agent_is_served() -> None:
    assert followers(set(VMS)) == followers(set())


def test_unserved_agent_retries_after_a_pause() -> None:
    now = [NOW]
    unserved_arguments: list[bool] = []

    def is_elected(unserved: bool) -> bool:
        unserved_arguments.append(unserved)
        return not unserved

    role = ElectedRole(is_elected, lambda: now[0], Random(1))
    assert role.follows()
    role.failed()
    assert role.unserved
    assert not role.follows()
    now[0] += RETRY_MEAN_S * (1 + MIN_FRACTION_OF_MEAN)
    assert role.follows()
    assert role.unserved, "other agents keep the role until the retry succeeds"
    role.answered()
    assert unserved_arguments == [False, True, False]
    assert not role.unserved


class FakeRole(FollowerRole):
    """Always follows; the test sets whether the replica is stale."""

    def __init__(self) -> None:
        self.stale = False
        self.failures = 0

    def follows(self) -> bool:
        return True

    def is_stale(self) -> bool:
        return self.stale

    def failed(self) -> None:
        self.failures += 1


class SilentWatchStore(MemoryStore):
    """A store whose first watch stays silent."""

    def __init__(self) -> None:
        super().__init__()
        self.watches = 0

    async def watch(
        self, prefix: str, after: Position, wait_s: Wait = client_default_wait
    ) -> AsyncIterator[list[Event]]:
        self.watches += 1
        if self.watches == 1:
            await asyncio.Event().wait()
        async for events in super().watch(prefix, after, wait_s):
            yield events


def test_silent_watch_is_abandoned_once_the_replica_is_stale() -> None:
    """Until the replica is stale, a silent watch may just have no changes to report."""

    async def run() -> None:
        store, state, role = SilentWatchStore(), State(), FakeRole()
        follower = StoreFollower(store, state, role, Random(1), prefix="")
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(10 * WATCH_OVERDUE_S)
        assert store.watches == 1
        role.stale = True
        await asyncio.sleep(3 * POLL_S)
        assert store.watches == 2
        assert not role.failures, "an abandoned watch is not a failed request"
        role.stale = False
        revision = (await store.commit([Write("k", b"v")])).revision
        await asyncio.sleep(POLL_S)
        assert state.revision == revision
        task.cancel()

    run_virtual(run())


class DownStore(MemoryStore):
    """A store on which every watch fails at once."""

    async def watch(
        self, prefix: str, after: int, wait_s: Wait = client_default_wait
    ) -> AsyncIterator[list[Event]]:
        raise StoreUnavailable("down")
        yield []


def test_role_records_failed_requests() -> None:
    async def run() -> None:
        role = FakeRole()
        follower = StoreFollower(DownStore(), State(), role, Random(1), prefix="")
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(1.0)
        assert role.failures > 1
        task.cancel()

    run_virtual(run())


def test_replica_has_all_changes_of_a_plain_sites_store_restored_from_a_copy() -> None:
    """Revisions that were given out again are never read: no era names the history."""

    async def run() -> None:
        store, state, role = MemoryStore(), State(), FakeRole()
        follower = StoreFollower(store, state, role, Random(1), prefix="")
        task = asyncio.ensure_future(follower.run())
        copy = store.copy()
        for i in range(4):
            await store.commit([Write(f"lost-{i}", b"1")])
        await asyncio.sleep(1.0)
        store.down = True
        store.wake_watches()
        await asyncio.sleep(1.0)
        store.restore(copy)
        store.down = False
        for i in range(6):
            await store.commit([Write(f"new-{i}", b"1")])
        await asyncio.sleep(20.0)
        task.cancel()
        stored = (await store.read("")).entries
        assert {e.key for e in stored} <= state.entries.keys()

    run_virtual(run())


def test_changes_that_a_peer_told_of_a_lost_history_do_not_hide_the_stores() -> None:
    """Events of the watch at revisions that a peer had told were taken for known."""

    async def run() -> None:
        store, state = MemoryStore(), State()
        follower = StoreFollower(store, state, FakeRole(), Random(1), prefix="")
        task = asyncio.ensure_future(follower.run())
        await store.commit([Write("a", b"1")])
        await asyncio.sleep(1.0)
        since = state.revision
        lost = [Event(since + 1, "lost", b"1"), Event(since + 2, "lost", b"2")]
        assert state.apply(Delta(since, since + 2, False, lost))
        for i in range(4):
            await store.commit([Write(f"new-{i}", b"1")])
            await asyncio.sleep(1.0)
        await asyncio.sleep(20.0)
        task.cancel()
        stored = (await store.read("")).entries
        assert {e.key for e in stored} == state.entries.keys()

    run_virtual(run())


class LateStore(MemoryStore):
    """A store whose watch answers with a change after a second."""

    async def watch(
        self, prefix: str, after: Position, wait_s: Wait = client_default_wait
    ) -> AsyncIterator[list[Event]]:
        await asyncio.sleep(1.0)
        yield [Event(after.revision + 1, "late", b"1")]


def test_late_events_of_an_earlier_era_are_not_applied() -> None:
    """A peer's state was of the next era when the answer of a watch arrived."""

    async def run() -> None:
        state = State()
        state.apply(Delta(0, 5, True, [], era=1))
        follower = StoreFollower(
            LateStore(), state, FakeRole(), Random(1), prefix="", marks_histories=False
        )
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.5)
        state.apply(Delta(0, 3, True, [], era=2))
        await asyncio.sleep(0.6)
        task.cancel()
        assert "late" not in state.entries
        assert state.position == Position(2, 3)

    run_virtual(run())
