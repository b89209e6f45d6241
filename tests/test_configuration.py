# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Configuration writes under concurrent operators, lost responses and outages."""

import asyncio
from collections.abc import Sequence

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from returns.result import Failure, Success

from leverdoor.errors import Code, OutcomeUnknown, StoreUnavailable
from leverdoor.model.position import START
from leverdoor.model.resources import (
    Region,
    Resource,
    Service,
    ShiftCap,
    Tier,
    WorkClass,
)
from leverdoor.storage.configuration import Configuration
from leverdoor.storage.state import PREFIX, State
from leverdoor.storage.store import Commit, Listing, MemoryStore, Store, Write


def region(name: str, *domains: str) -> Region:
    return Region(name=name, domains=list(domains) or [f"{name}-0"])


class FaultyStore(MemoryStore):
    """A store that injects a fault into its next request.

    "refused": a commit is not executed. "late": the test applies it later. "lost": it
    is applied, but its response is lost. "unreadable": a read fails.
    """

    def __init__(self) -> None:
        super().__init__()
        self.next_fault = ""
        self.delayed_writes: list[Sequence[Write]] = []

    async def commit(self, writes: Sequence[Write]) -> Commit:
        next_fault, self.next_fault = self.next_fault, ""
        if next_fault == "refused":
            raise StoreUnavailable
        if next_fault == "late":
            self.delayed_writes.append(writes)
            raise OutcomeUnknown
        if next_fault == "lost":
            self._commit(writes)
            raise OutcomeUnknown
        return await super().commit(writes)

    async def read(self, prefix: str) -> Listing:
        if self.next_fault == "unreadable":
            self.next_fault = ""
            raise StoreUnavailable
        return await super().read(prefix)


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators write through two agents with lagging replicas, in random order."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = FaultyStore()
        self.states = [State(), State()]
        self.agents = [Configuration(self.store, s) for s in self.states]
        self.accepted: dict[int, tuple[str, int]] = {}
        self.refused: set[int] = set()
        self.highest_revisions = [0, 0]
        self.number = 0

    def teardown(self) -> None:
        self.loop.close()

    def listing(self) -> Listing:
        return self.loop.run_until_complete(MemoryStore.read(self.store, PREFIX))

    @rule(
        agent=st.integers(0, 1),
        name=st.sampled_from(["a", "b"]),
        next_fault=st.sampled_from(["", "", "", "lost", "late", "refused"]),
    )
    def apply(self, agent: int, name: str, next_fault: str) -> None:
        self.number += 1
        self.store.next_fault = next_fault
        tier = Tier(name=name, weight=1 + self.number % 1000)
        result = self.loop.run_until_complete(self.agents[agent].apply([tier]))
        if isinstance(result, Success):
            self.accepted[self.number] = (name, result.unwrap().revision)
        else:
            error = result.failure()
            assert error.code in (Code.STORE_UNAVAILABLE, Code.WRITE_UNKNOWN)
            if error.code is Code.STORE_UNAVAILABLE:
                self.refused.add(self.number)

    @rule()
    def apply_delayed_write(self) -> None:
        if self.store.delayed_writes:
            self.store._commit(self.store.delayed_writes.pop(0))

    @rule(agent=st.integers(0, 1))
    def catch_up(self, agent: int) -> None:
        self.states[agent].reset(self.listing())

    @rule(source=st.integers(0, 1))
    def fetch_from_peer(self, source: int) -> None:
        other = self.states[1 - source]
        other.apply(self.states[source].delta(other.position))

    @rule(agent=st.integers(0, 1))
    def restart_from_peer(self, agent: int) -> None:
        fresh = State()
        fresh.apply(self.states[1 - agent].delta(START))
        if fresh.revision >= self.states[agent].revision:
            self.states[agent] = fresh
            self.agents[agent] = Configuration(self.store, fresh)

    @invariant()
    def no_replica_goes_back(self) -> None:
        for i, state in enumerate(self.states):
            assert state.revision >= self.highest_revisions[i]
            self.highest_revisions[i] = state.revision

    @invariant()
    def rejected_writes_never_appear(self) -> None:
        weights = {e.value for e in self.listing().entries if "tier/" in e.key}
        for number in self.refused:
            assert all(f'"weight":{1 + number % 1000},' not in str(w) for w in weights)

    @invariant()
    def last_accepted_write_is_stored(self) -> None:
        last: dict[str, int] = {}
        for number, (name, _) in self.accepted.items():
            last[name] = number
        entries = {e.key: e.value for e in self.listing().entries}
        for name, number in last.items():
            value = entries[f"/leverdoor/resources/tier/{name}"]
            assert f'"weight":{1 + number % 1000},' in value.decode()


def test_accepted_writes_are_never_reverted_in_random_orders() -> None:
    run_state_machine_as_test(
        ConfigurationMachine,
        settings=settings(
            max_examples=150,
            stateful_step_count=30,
            derandomize=True,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


async def test_without_the_fence_a_late_write_undoes_an_accepted_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A delayed write arrives after the writer wrote again.

    With the fence, the store rejects the delayed write. Without the fence and the
    condition on the guard, the delayed write replaces the later one.
    """

    async def no_fence(self: Configuration, write_id: str, snapshot: object) -> int:
        return 0

    async def run_scenario() -> bytes:
        store = FaultyStore()
        agent = Configuration(store, State())
        store.next_fault = "late"
        await agent.apply([Tier(name="a", weight=1)])
        await agent.apply([Tier(name="a", weight=2)])
        unconditional = [Write(w.key, w.value) for w in store.delayed_writes[0]]
        delayed_writes = store.delayed_writes[0] if fenced else unconditional
        store._commit(delayed_writes)
        return (await store.read("/leverdoor/resources/")).entries[0].value

    fenced = True
    assert b'"weight":2' in await run_scenario()
    fenced = False
    monkeypatch.setattr(Configuration, "_resolve", no_fence)
    assert b'"weight":1' in await run_scenario()


async def test_concurrent_operators_cannot_store_a_contradiction() -> None:
    store: Store = MemoryStore()
    one, two = Configuration(store, State()), Configuration(store, State())
    await one.apply([Tier(name="a", reserve_percent=40)])
    results = await asyncio.gather(
        one.apply([Tier(name="b", reserve_percent=40)]),
        two.apply([Tier(name="c", reserve_percent=40)]),
    )
    assert sorted(isinstance(r, Success) for r in results) == [False, True]
    failed = next(r for r in results if isinstance(r, Failure))
    assert failed.failure().code is Code.CONTRADICTION


async def test_failed_condition_is_a_conflict() -> None:
    agent = Configuration(MemoryStore(), State())
    first = (await agent.apply([region("r")])).unwrap()
    await agent.apply([region("r", "d1")])
    result = await agent.apply([region("r", "d2")], {"region/r": first.revision})
    assert result.failure().code is Code.CONFLICT
    assert result.failure().revision > first.revision


@pytest.mark.parametrize("key", ["region/r", "service/s"])
async def test_referenced_resource_cannot_be_deleted(key: str) -> None:
    agent = Configuration(MemoryStore(), State())
    cap = ShiftCap(name="c", service="s", region="r", units=1, window_ms=1000)
    resources: list[Resource] = [
        region("r"),
        Service(name="s", work=WorkClass.LOOKUP),
        cap,
    ]
    assert isinstance(await agent.apply(resources), Success)
    result = await agent.delete(key)
    assert result.failure().code is Code.DANGLING_REFERENCE
    assert isinstance(await agent.delete("shiftcap/c"), Success)
    assert isinstance(await agent.delete(key), Success)


async def test_outage_of_the_store_rejects_a_write_at_once() -> None:
    store = MemoryStore()
    store.down = True
    result = await Configuration(store, State()).apply([region("r")])
    assert result.failure().code is Code.STORE_UNAVAILABLE
    assert result.failure().retry_after_ms > 0


async def test_unreadable_store_after_a_lost_response_is_unknown() -> None:
    store = FaultyStore()
    store.next_fault = "lost"
    agent = Configuration(store, State())
    await agent._snapshot(fresh=True)

    async def read(prefix: str) -> Listing:
        raise StoreUnavailable

    snapshot = await agent._snapshot(fresh=True)
    store.read = read  # type: ignore[method-assign]
    with pytest.raises(OutcomeUnknown):
        await agent._resolve("x", snapshot)


async def test_dry_run_writes_nothing() -> None:
    store = MemoryStore()
    result = await Configuration(store, State()).apply([region("r")], dry_run=True)
    assert result.unwrap().revision == 0
    assert store.writes == 0
