# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What a replica keeps beyond its entries, and what its peers get from it."""

import tracemalloc
from collections.abc import Callable, Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from leverdoor.model.position import Position
from leverdoor.storage.change_log import SMALL_VALUE_BYTES
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import Event

MAX_VALUE_BYTES = 1_048_576
"""The largest value that the platform's store takes."""
KEY = "op/config"


def value_of(size: int, number: int) -> bytes:
    return number.to_bytes(4, "big") * (size // 4)


def write(state: State, key: str, value: bytes | None) -> None:
    state.extend([Event(state.revision + 1, key, value)])


def replica() -> State:
    """Return a replica with one entry, that changes can follow."""
    state = State(fingerprinted=True)
    state.apply(Delta(0, 1, True, [Event(1, "first", b"1")]))
    return state


def large_configurations(state: State) -> None:
    for number in range(300):
        write(state, KEY, value_of(MAX_VALUE_BYTES, number))


def ordinary_configurations(state: State) -> None:
    for number in range(4_600):
        write(state, KEY, value_of(67_000, number))


def changes_of_many_keys(state: State) -> None:
    for number in range(2_000):
        write(state, f"servers/{number % 50}", value_of(100_000, number))


@pytest.fixture
def traced() -> Iterator[None]:
    tracemalloc.start()
    yield
    tracemalloc.stop()


@pytest.mark.parametrize(
    "changes", [large_configurations, ordinary_configurations, changes_of_many_keys]
)
def test_a_series_of_changes_does_not_fill_the_memory(
    traced: None, changes: Callable[[State], None]
) -> None:
    """A log bounded by the number of changes kept every former value."""
    state = replica()
    before, _ = tracemalloc.get_traced_memory()
    changes(state)
    after, _ = tracemalloc.get_traced_memory()
    live = sum(len(e.value) for e in state.entries.values())
    assert after - before - live <= 4 * MAX_VALUE_BYTES


def test_records_that_are_removed_do_not_fill_the_memory(traced: None) -> None:
    """The last values of 5,000 removed records were kept whole."""
    state = replica()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(300):
        write(state, f"k{number}", value_of(524_288, number))
        write(state, f"k{number}", None)
    after, _ = tracemalloc.get_traced_memory()
    assert after - before <= 4 * MAX_VALUE_BYTES


@pytest.mark.parametrize("lag", [1, 7, 300])
def test_a_peer_behind_a_series_of_changes_gets_the_newest_value(lag: int) -> None:
    """Bounded memory must not cost a fetch of all entries, or of former values."""
    state = replica()
    write(state, "unchanged", value_of(MAX_VALUE_BYTES, 1))
    peer = State(fingerprinted=True)
    peer.apply(state.delta(peer.position))
    large_configurations(state)
    missing = State(fingerprinted=True)
    at = state.position._replace(revision=state.revision - lag)
    delta = state.delta(at)
    assert not delta.full
    assert sum(len(e.value or b"") for e in delta.events) == MAX_VALUE_BYTES
    assert len(delta.events) + len(delta.superseded) == lag
    assert not missing.apply(delta), "it leaves a gap"
    assert peer.apply(state.delta(peer.position))
    assert peer.entries == state.entries


def late_events(count: int) -> tuple[State, list[Event]]:
    """Return a replica with the newest of several changes, and all of them."""
    events = [
        Event(2 + number, KEY, value_of(MAX_VALUE_BYTES, number))
        for number in range(count)
    ]
    source, state = replica(), replica()
    source.extend(events)
    state.apply(source.delta(state.position))
    return state, events


def test_a_late_watch_is_not_taken_for_another_history() -> None:
    """Each alarm lists all entries again."""
    state, events = late_events(8)
    assert not state.contradicts(events)


@pytest.mark.parametrize("number", range(8))
def test_a_late_watch_of_another_history_is_noticed(number: int) -> None:
    """Also by a change whose value the log does not keep."""
    state, events = late_events(8)
    other = Event(events[number].revision, KEY, b"other" * MAX_VALUE_BYTES)
    assert state.contradicts([other])
    assert state.contradicts([Event(other.revision, KEY, None)])
    assert state.contradicts([Event(other.revision, "other", other.value)])


class Replicas(RuleBasedStateMachine):
    """A replica that has each change of the store, and three that fetch from others."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[Event] = []
        self.states = [replica() for _ in range(4)]

    @rule(
        writes=st.dictionaries(
            st.sampled_from(["a", "b", "c"]),
            st.none() | st.sampled_from([1, SMALL_VALUE_BYTES + 1, 4_000]),
            min_size=1,
        )
    )
    def change(self, writes: dict[str, int | None]) -> None:
        """Change several keys in one revision."""
        revision = self.states[0].revision + 1
        made = [
            Event(revision, k, None if size is None else bytes([revision % 256]) * size)
            for k, size in writes.items()
        ]
        self.states[0].extend(made)
        self.history.extend(made)

    @rule(receiver=st.integers(1, 3), sender=st.integers(0, 3))
    def fetch(self, receiver: int, sender: int) -> None:
        state, peer = self.states[receiver], self.states[sender]
        delta = peer.delta(state.fetch_position)
        if peer.position > state.position:
            assert not delta.full
            assert state.apply(delta)
            assert state.position == peer.position

    @invariant()
    def histories_agree(self) -> None:
        for state in self.states:
            assert not state.diverged
            assert not state.contradicts(self.history)
            at_position = [e for e in self.history if e.revision <= state.revision]
            newest = {e.key: e.value for e in at_position}
            stored = {k: e.value for k, e in state.entries.items() if k != "first"}
            assert stored == {k: v for k, v in newest.items() if v is not None}
        source = self.states[0]
        for state in self.states[1:]:
            for revision in range(1, state.revision):
                at = Position(state.position.era, revision)
                assert state.delta(at).base == source.delta(at).base


Replicas.TestCase.settings = settings(derandomize=True, max_examples=60, deadline=None)
TestReplicas = Replicas.TestCase
