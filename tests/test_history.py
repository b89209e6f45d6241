# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Agents of plain sites follow a store that is restored without raised revisions.

Guards against replicas that lack for good what a restored store wrote at revisions that
it had given out before. The production followers run on a virtual clock.
"""

import asyncio
from random import Random

import pytest

from bench import deployment, running, until
from leverdoor.client.operator import Operator
from leverdoor.gate.daemon import Gate
from leverdoor.membership.ownership import Table, parse_table, serialize_table
from leverdoor.model.position import START, UNKNOWN_ERA, Position
from leverdoor.model.resources import Tier, serialize_resource
from leverdoor.storage.following import FollowerRole, StoreFollower
from leverdoor.storage.history import HISTORY, parse_marker
from leverdoor.storage.state import RESOURCES, TABLES, State
from leverdoor.storage.store import MemoryStore, Write
from virtual_clock import run_virtual

SETTLE_S = 12.0
"""Longer than the longest pause between failed requests, and a repetition."""


class AlwaysFollows(FollowerRole):
    """An elected agent."""

    def follows(self) -> bool:
        return True


class PlainSite:
    """Agents that follow one store, and others that fetch what these have."""

    def __init__(self, followers: int, fetchers: int = 0) -> None:
        self.store = MemoryStore()
        self.followed = [State(fingerprinted=True) for _ in range(followers)]
        self.fetched = [State(fingerprinted=True) for _ in range(fetchers)]
        self.cut_off: set[int] = set()
        """Numbers of the fetchers that reach no agent."""
        self.tasks = [
            asyncio.ensure_future(self._follow(state)) for state in self.followed
        ]
        self.tasks.append(asyncio.ensure_future(self._fetch()))

    async def _follow(self, state: State) -> None:
        follower = StoreFollower(
            self.store, state, AlwaysFollows(), Random(1), accepted=self.newest_position
        )
        await follower.run()

    def newest_position(self) -> Position:
        """Return what the heartbeats of all agents that are not cut off say."""
        return max((s.position for s in self.connected()), default=START)

    def connected(self) -> list[State]:
        return self.followed + [
            s for i, s in enumerate(self.fetched) if i not in self.cut_off
        ]

    async def _fetch(self) -> None:
        """Let every agent fetch from the one that is furthest ahead."""
        while True:
            await asyncio.sleep(0.05)
            states = self.connected()
            best = max(states, key=lambda s: s.position)
            for state in states:
                if state.position < best.position:
                    state.apply(best.delta(state.fetch_position))

    async def write(self, key: str, value: bytes | None = b"1") -> None:
        await self.store.commit([Write(f"/leverdoor/{key}", value)])

    async def lose_store(self, lost_s: float = 1.0) -> None:
        self.store.down = True
        self.store.wake_watches()
        await asyncio.sleep(lost_s)

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def stored(self) -> dict[str, tuple[bytes, int]]:
        listing = await self.store.read("/leverdoor/")
        return {e.key: (e.value, e.revision) for e in listing.entries}


def entries_of(state: State) -> dict[str, tuple[bytes, int]]:
    return {e.key: (e.value, e.revision) for e in state.entries.values()}


def test_all_agents_have_what_a_restored_store_holds() -> None:
    """Its revision is behind, the same, or beyond what they have."""

    async def run(new_writes: int) -> None:
        site = PlainSite(followers=3, fetchers=3)
        await site.write("kept")
        copy = site.store.copy()
        for i in range(4):
            await site.write(f"lost-{i}")
        await asyncio.sleep(1.0)
        await site.lose_store()
        site.store.restore(copy)
        site.store.down = False
        for i in range(new_writes):
            await site.write(f"new-{i}")
        await asyncio.sleep(SETTLE_S)
        await site.write("later")
        await asyncio.sleep(1.0)
        stored = await site.stored()
        assert parse_marker(stored[HISTORY][0]).era == 0, "one era for all of them"
        for state in site.followed + site.fetched:
            assert entries_of(state) == stored
            assert state.position.era == 0
        await site.stop()

    for new_writes in (0, 1, 4, 9):
        run_virtual(run(new_writes))


def test_ownership_tables_never_go_back() -> None:
    """Gates ignore a lower version; its units would be granted twice."""

    async def run() -> None:
        site = PlainSite(followers=2, fetchers=1)

        async def write_table(region: str, version: int) -> None:
            table = serialize_table(Table(region, version))
            await site.write(f"tables/{region}", table)

        await write_table("a", 1)
        await write_table("b", 1)
        copy = site.store.copy()
        for version in (2, 3):
            await write_table("a", version)
            await write_table("b", version)
        await write_table("c", 0)
        await asyncio.sleep(1.0)
        await site.lose_store()
        site.store.restore(copy)
        site.store.down = False
        await write_table("b", 4)
        await asyncio.sleep(SETTLE_S)
        stored = await site.stored()
        versions = {
            region: parse_table(stored[f"{TABLES}{region}"][0]).version
            for region in ("a", "b", "c")
        }
        assert versions == {"a": 3, "b": 4, "c": 0}
        for state in site.followed + site.fetched:
            assert entries_of(state) == stored
        await site.stop()

    run_virtual(run())


def test_an_outage_without_a_loss_begins_no_era() -> None:
    async def run() -> None:
        site = PlainSite(followers=2, fetchers=1)
        await site.write("before")
        await asyncio.sleep(1.0)
        await site.lose_store()
        site.store.down = False
        await site.write("after")
        await asyncio.sleep(SETTLE_S)
        stored = await site.stored()
        assert HISTORY not in stored
        for state in site.followed + site.fetched:
            assert entries_of(state) == stored
            assert state.position.era == UNKNOWN_ERA
        await site.stop()

    run_virtual(run())


def test_an_agent_that_starts_reads_the_era_from_the_store() -> None:
    """Otherwise gates that know the era would ignore agents that all started again."""

    async def run() -> None:
        site = PlainSite(followers=1)
        await site.write("a")
        copy = site.store.copy()
        await site.write("b")
        await asyncio.sleep(1.0)
        await site.lose_store()
        site.store.restore(copy)
        site.store.down = False
        await asyncio.sleep(SETTLE_S)
        started = State()
        site.tasks.append(asyncio.ensure_future(site._follow(started)))
        await asyncio.sleep(1.0)
        assert started.position == site.followed[0].position
        assert started.position.era == 0
        await site.stop()

    run_virtual(run())


def test_what_only_a_peer_had_shows_that_the_store_was_restored() -> None:
    """An agent without the latest changes sees nothing else of the restore."""

    async def run() -> None:
        site = PlainSite(followers=1, fetchers=1)
        await site.write("a")
        await asyncio.sleep(1.0)
        copy = site.store.copy()
        await site.write("b")
        await asyncio.sleep(1.0)
        await site.lose_store()
        site.followed[0] = State()
        site.tasks[0].cancel()
        site.store.restore(copy)
        site.store.down = False
        site.tasks[0] = asyncio.ensure_future(site._follow(site.followed[0]))
        await asyncio.sleep(SETTLE_S)
        stored = await site.stored()
        assert HISTORY in stored
        assert entries_of(site.fetched[0]) == stored
        await site.stop()

    run_virtual(run())


@pytest.mark.parametrize("writes_after", [1, 2, 6])
def test_an_agent_that_alone_had_the_lost_changes_takes_none_of_them_along(
    writes_after: int,
) -> None:
    """Its revisions stand for others in the restored store; both were mixed."""

    async def run() -> None:
        site = PlainSite(followers=1, fetchers=1)
        await site.write("a")
        await asyncio.sleep(1.0)
        copy = site.store.copy()
        await site.write("lost")
        await asyncio.sleep(1.0)
        site.cut_off = {0}
        await site.lose_store()
        site.tasks[0].cancel()
        site.followed[0] = State(fingerprinted=True)
        site.store.restore(copy)
        site.store.down = False
        site.tasks[0] = asyncio.ensure_future(site._follow(site.followed[0]))
        await asyncio.sleep(SETTLE_S)
        for number in range(writes_after):
            await site.write(f"new-{number}")
        await asyncio.sleep(1.0)
        site.cut_off = set()
        await site.write("last")
        await asyncio.sleep(SETTLE_S)
        assert entries_of(site.fetched[0]) == await site.stored()
        await site.stop()

    run_virtual(run())


def test_an_agent_that_returns_ahead_of_a_restored_store_misleads_nobody() -> None:
    """Agents took its lost changes, and ignored the store's at the same revisions."""

    async def run() -> None:
        site = PlainSite(followers=1, fetchers=2)
        await site.write("a")
        await asyncio.sleep(1.0)
        copy = site.store.copy()
        site.cut_off = {1}
        for number in range(5):
            await site.write(f"lost-{number}")
        await asyncio.sleep(1.0)
        site.cut_off = {0, 1}
        await site.lose_store()
        site.tasks[0].cancel()
        site.followed[0] = State(fingerprinted=True)
        site.store.restore(copy)
        site.store.down = False
        site.tasks[0] = asyncio.ensure_future(site._follow(site.followed[0]))
        site.cut_off = {0}
        await asyncio.sleep(SETTLE_S)
        await site.write("new")
        await asyncio.sleep(1.0)
        site.cut_off = set()
        await asyncio.sleep(SETTLE_S)
        stored = await site.stored()
        assert [entries_of(s) for s in site.connected()] == [stored] * 3
        await site.stop()

    run_virtual(run())


@pytest.mark.parametrize("size", [1, 2_000])
@pytest.mark.parametrize("seed", range(12))
def test_agents_agree_with_the_store_after_any_restores(seed: int, size: int) -> None:
    """Agents are cut off and return, the store is lost, restored, and written.

    The logs of agents keep former values of one byte, and not those of 2,000.
    """

    async def run() -> None:
        rng = Random(seed)
        site = PlainSite(followers=2, fetchers=3)
        copies = [site.store.copy()]
        for _ in range(30):
            for _ in range(rng.randrange(4)):
                key = f"k{rng.randrange(5)}"
                await site.write(key, rng.choice([b"1" * size, b"2" * size, None]))
                await asyncio.sleep(rng.choice([0.0, 0.2]))
            step = rng.randrange(5)
            if step == 0:
                copies.append(site.store.copy())
            elif step == 1:
                await site.lose_store(rng.choice([0.3, 3.0]))
                if rng.random() < 0.7:
                    site.store.restore(rng.choice(copies))
                site.store.down = False
            elif step == 2:
                site.cut_off = {rng.randrange(3)}
            elif step == 3:
                site.cut_off = set()
            await asyncio.sleep(rng.choice([0.0, 0.3, SETTLE_S]))
        site.cut_off = set()
        await asyncio.sleep(SETTLE_S)
        await site.write("last")
        await asyncio.sleep(1.0)
        stored = await site.stored()
        for state in site.followed + site.fetched:
            assert entries_of(state) == stored
        await site.stop()

    run_virtual(run())


async def test_gates_serve_by_a_restored_store() -> None:
    """Real agents and gates: gates had the higher revision, and ignored the new one."""
    async with running(deployment(vms=3)) as bench:
        store, operator = bench.kv.store, Operator([bench.api()])
        copy = store.copy()
        for i in range(6):
            await operator.apply([Tier(name=f"lost-{i}")])
        await until(lambda: all("lost-5" in tiers(g) for g in bench.gates.values()))
        tables = {g._state.entries[TABLES + "r0"].value for g in bench.gates.values()}
        store.down = True
        store.wake_watches()
        await asyncio.sleep(0.5)
        store.restore(copy)
        store.down = False
        written = Write(RESOURCES + "tier/new", serialize_resource(Tier(name="new")))
        await store.commit([written])
        await until(lambda: all("new" in tiers(g) for g in bench.gates.values()))
        for gate in bench.gates.values():
            assert "lost-0" not in tiers(gate)
            assert gate._state.position.era == 0
        assert HISTORY in {e.key for e in (await store.read("")).entries}
        applied = await operator.apply([Tier(name="later")])
        await operator.wait(applied.revision, len(bench.gates), SETTLE_S)
        await operator.close()
        table = (await store.read(TABLES + "r0")).entries[0].value
        known = max(parse_table(t).version for t in tables)
        assert parse_table(table).version >= known


def tiers(gate: Gate) -> set[str]:
    return set(gate._scheduler.view.tiers)
