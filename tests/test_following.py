# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which of a plain site's agents follow the store, and what an unserved one does.

The role was given to agents that are alive, whether or not the store answered them: an
agent that was cut off from it alone kept the role, and planned nothing for its region.
"""

import asyncio
from collections.abc import AsyncIterator
from random import Random

import msgspec

from leverdoor.errors import StoreUnavailable
from leverdoor.membership.peers import AgentHeartbeat, Peers
from leverdoor.storage.following import (
    POLL_S,
    WATCH_OVERDUE_S,
    WATCHERS_PER_REGION,
    ElectedRole,
    FollowerRole,
    StoreFollower,
    watcher_rank,
)
from leverdoor.storage.state import State
from leverdoor.storage.store import Event, MemoryStore, Wait, Write, client_default_wait
from leverdoor.storage.store_availability import MIN_FRACTION_OF_MEAN, RETRY_MEAN_S
from virtual_clock import run_virtual

VMS = [f"vm{i}" for i in range(5)]
NOW = 50.0


def peers(vm: str, unserved: set[str]) -> Peers:
    found = Peers(vm, "r")
    for name in VMS:
        beat = AgentHeartbeat(name, "r", "r-0", name, name, 1, 1)
        beat = msgspec.structs.replace(beat, unserved=name in unserved)
        found.merge([beat], NOW)
    return found


def followers(unserved: set[str]) -> list[str]:
    """Return who takes itself for a follower."""
    return [
        vm
        for vm in VMS
        if watcher_rank(peers(vm, unserved), vm, NOW, vm in unserved) >= 0
    ]


def test_agents_that_the_store_does_not_answer_hand_the_role_on() -> None:
    first = followers(set())
    assert len(first) == WATCHERS_PER_REGION
    assert len(followers({first[0]})) == WATCHERS_PER_REGION
    assert first[0] not in followers({first[0]})
    assert not set(first) & set(followers(set(first)))


def test_the_only_agent_that_is_served_follows() -> None:
    for vm in VMS:
        assert followers(set(VMS) - {vm}) == [vm]


def test_while_the_store_answers_no_agent_the_first_go_on() -> None:
    assert followers(set(VMS)) == followers(set())


def test_one_that_is_not_served_tries_again_after_a_while() -> None:
    now = [NOW]
    asked: list[bool] = []

    def is_elected(unserved: bool) -> bool:
        asked.append(unserved)
        return not unserved

    role = ElectedRole(is_elected, lambda: now[0], Random(1))
    assert role.follows()
    role.failed()
    assert role.unserved
    assert not role.follows()
    now[0] += RETRY_MEAN_S * (1 + MIN_FRACTION_OF_MEAN)
    assert role.follows()
    assert role.unserved, "others keep the role until the try has come off"
    role.answered()
    assert asked == [False, True, False]
    assert not role.unserved


class StaleRole(FollowerRole):
    """Always follows; what is held is as old as the test says."""

    def __init__(self) -> None:
        self.stale = False
        self.failures = 0

    def follows(self) -> bool:
        return True

    def is_stale(self) -> bool:
        return self.stale

    def failed(self) -> None:
        self.failures += 1


class StuckStore(MemoryStore):
    """A store whose first watch says nothing more once it has begun."""

    def __init__(self) -> None:
        super().__init__()
        self.watches = 0

    async def watch(
        self, prefix: str, after: int, wait_s: Wait = client_default_wait
    ) -> AsyncIterator[list[Event]]:
        self.watches += 1
        if self.watches == 1:
            await asyncio.Event().wait()
        async for events in super().watch(prefix, after, wait_s):
            yield events


def test_a_watch_that_went_silent_is_given_up_once_what_is_held_is_old() -> None:
    """Its store may just have nothing to say, as long as what is held is not old."""

    async def run() -> None:
        store, state, role = StuckStore(), State(), StaleRole()
        follower = StoreFollower(store, state, role, Random(1), prefix="")
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(10 * WATCH_OVERDUE_S)
        assert store.watches == 1
        role.stale = True
        await asyncio.sleep(3 * POLL_S)
        assert store.watches == 2
        assert not role.failures, "the store did not fail to answer a call"
        role.stale = False
        revision = (await store.commit([Write("k", b"v")])).revision
        await asyncio.sleep(POLL_S)
        assert state.revision == revision
        task.cancel()

    run_virtual(run())


class DownStore(MemoryStore):
    """A store that refuses all reads and watches."""

    async def watch(
        self, prefix: str, after: int, wait_s: Wait = client_default_wait
    ) -> AsyncIterator[list[Event]]:
        raise StoreUnavailable("down")
        yield []


def test_a_call_that_fails_is_told_to_the_role() -> None:
    async def run() -> None:
        role = StaleRole()
        follower = StoreFollower(DownStore(), State(), role, Random(1), prefix="")
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(1.0)
        assert role.failures > 1
        task.cancel()

    run_virtual(run())
