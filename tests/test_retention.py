# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What stays in force when the store comes back from a copy, kind by kind."""

import json

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from leverdoor.model.position import START, Position
from leverdoor.platform.formats import describe_record
from leverdoor.storage.change_log import SMALL_VALUE_BYTES
from leverdoor.storage.retention import Retained
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import Event, KeyValue, Listing

CONFIG = "op/config"
TARGET = "servers/i-1"
EVACUATION = "op/evacuate/z1"
RECORD = "leverdoor/quarantine/00000000000ca05e"
ENTRY = "leverdoor/entries/n1"
PADDING = b" " * SMALL_VALUE_BYTES
"""Makes a value greater than those that a replica keeps of removed records."""


def config(version: int) -> bytes:
    return json.dumps({"version": f"{version:08x}"}).encode()


def target(sequence: int, state: str = "ready") -> bytes:
    return json.dumps({"sequence": sequence, "state": state}).encode()


def replica(era: int, events: list[Event], revision: int = 0) -> State:
    """Return a replica that listed these keys in an era."""
    state = State(describe_record)
    list_again(state, era, events, revision)
    return state


def list_again(state: State, era: int, events: list[Event], revision: int = 0) -> None:
    at = revision or max((e.revision for e in events), default=1)
    assert state.apply(Delta(0, at, True, events, era))


def in_force(state: State) -> dict[str, bytes]:
    return {k: e.value for k, e in state.in_force.items()}


# Before the return, in the copy, in force after it, written again, in force then.
CASES = [
    pytest.param(CONFIG, config(20), config(8), config(20), config(22), config(22)),
    pytest.param(CONFIG, config(20), config(8), config(20), config(19), config(20)),
    pytest.param(CONFIG, config(20), None, config(20), config(20), config(20)),
    pytest.param(TARGET, target(5), target(3), target(5), target(6), target(6)),
    pytest.param(TARGET, target(5), None, None, target(6), target(6)),
    pytest.param(
        TARGET,
        target(5, "draining"),
        target(4),
        target(5, "draining"),
        target(9),
        target(5, "draining"),
    ),
    pytest.param(
        TARGET, target(5, "draining"), target(4), target(5, "draining"), None, None
    ),
    pytest.param(EVACUATION, b"1", None, b"1", None, None),
    pytest.param(EVACUATION, b"1", None, b"1", b"1", b"1"),
    pytest.param(RECORD, b"a", None, b"a", b"a", b"a"),
    pytest.param(ENTRY, b"a", None, None, b"a", b"a"),
    pytest.param(ENTRY, b"b", b"a", b"a", b"b", b"b"),
]


@pytest.mark.parametrize(("key", "known", "copied", "kept", "again", "then"), CASES)
def test_changes_that_the_store_lost_stay_in_force_until_written_again(
    key: str,
    known: bytes,
    copied: bytes | None,
    kept: bytes | None,
    again: bytes | None,
    then: bytes | None,
) -> None:
    state = replica(1, [Event(9, key, known)])
    copy = [] if copied is None else [Event(4, key, copied)]
    list_again(state, 2, copy, revision=5)
    assert in_force(state).get(key) == kept
    # A removal is an event only if there is something to remove.
    state.extend([Event(6, key, again or b"0")])
    if again is None:
        state.extend([Event(7, key, None)])
    assert in_force(state).get(key) == then


# Last value before the removal, in the copy, whether it stays removed.
REMOVALS = [
    pytest.param(TARGET, target(5, "draining"), target(4), True, id="left"),
    pytest.param(TARGET, target(5), target(5), True, id="silent"),
    pytest.param(
        TARGET, target(5, "draining") + PADDING, target(4), True, id="left, large"
    ),
    pytest.param(TARGET, target(5) + PADDING, target(4), True, id="silent, large"),
    pytest.param(TARGET, target(5) + PADDING, target(9), False, id="again, large"),
    pytest.param(TARGET, target(5), target(9), False, id="registered again"),
    pytest.param(EVACUATION, b"1", b"1", True, id="evacuation taken back"),
    pytest.param(RECORD, b"a", b"a", True, id="request released"),
    pytest.param(ENTRY, b"a", b"a", False, id="entry"),
]


@pytest.mark.parametrize(("key", "last", "copied", "stays_removed"), REMOVALS)
def test_removals_that_the_store_lost_stay_in_force(
    key: str, last: bytes, copied: bytes, stays_removed: bool
) -> None:
    state = replica(1, [Event(4, key, last)])
    state.extend([Event(9, key, None)])
    revision = 4 if copied == last else 5
    list_again(state, 2, [Event(revision, key, copied)])
    assert (key not in in_force(state)) == stays_removed
    state.extend([Event(7, key, None)])
    assert key not in in_force(state)
    assert state.retained == {}


def test_a_replica_without_the_lost_changes_takes_them_from_a_peer() -> None:
    peer = replica(1, [Event(9, CONFIG, config(20))])
    list_again(peer, 2, [Event(4, CONFIG, config(8))])
    fresh, behind = State(describe_record), replica(1, [Event(4, CONFIG, config(8))])
    for state in (fresh, behind):
        assert state.apply(peer.delta(state.position))
        assert in_force(state) == {CONFIG: config(20)}
        assert state.position == Position(2, 4)


def test_a_change_that_is_known_is_not_replaced_by_an_earlier_one_of_a_peer() -> None:
    state = replica(1, [Event(4, EVACUATION, b"1")])
    state.extend([Event(6, EVACUATION, None)])
    state.extend([Event(7, EVACUATION, b"1")])
    removed = Retained(EVACUATION, None, 6, 1, b"1", 4)
    state.apply(Delta(0, 4, True, [Event(4, EVACUATION, b"1")], 2, [removed]))
    assert in_force(state) == {EVACUATION: b"1"}


def test_a_target_that_left_during_one_drill_stays_removed_after_the_next() -> None:
    """The listing of the first return lacked it, and the second copy had it."""
    copy = Event(4, TARGET, target(1))
    state = replica(1, [copy])
    state.extend([Event(9, TARGET, target(2, "draining"))])
    list_again(state, 2, [], revision=7)
    list_again(state, 3, [copy])
    assert TARGET not in in_force(state)


def test_a_delta_never_crosses_eras() -> None:
    state = replica(1, [Event(9, CONFIG, config(20))])
    assert not state.apply(Delta(9, 12, False, [Event(12, CONFIG, config(24))], 2))
    later = replica(2, [Event(12, CONFIG, config(24))])
    assert later.delta(state.position).full
    assert not later.apply(state.delta(START))


def test_nothing_is_retained_across_an_era_that_nobody_named() -> None:
    """An entry of an earlier release names no era; the store did not come back."""
    state = replica(-1, [Event(9, EVACUATION, b"1")])
    list_again(state, 2, [Event(12, CONFIG, config(24))])
    assert in_force(state) == {CONFIG: config(24)}


class RestoredStore(RuleBasedStateMachine):
    """A store that comes back from copies, and two replicas that follow it."""

    def __init__(self) -> None:
        super().__init__()
        self.era = 1
        self.revision = 1
        self.version = 0
        self.registered = 0
        self.listings: list[Listing] = []
        self.items: dict[str, tuple[int, bytes]] = {}
        self.history: list[Event] = []
        self.copies = [self._copy()]
        self.replicas = [State(describe_record) for _ in range(2)]
        self.versions = [0, 0]
        self.left: list[set[str]] = [set(), set()]

    def _copy(self) -> tuple[int, dict[str, tuple[int, bytes]], list[Event]]:
        return self.revision, dict(self.items), list(self.history)

    def _put(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (self.revision, value)
        self.history.append(Event(self.revision, key, value))

    @rule()
    def configure(self) -> None:
        self.version += 1
        self._put(CONFIG, config(self.version))

    @rule()
    def register(self) -> None:
        self.registered += 1
        self._put(f"servers/i-{self.registered}", target(1))

    @rule(pick=st.integers(0, 9))
    def leave(self, pick: int) -> None:
        names = sorted(k for k in self.items if k.startswith("servers/"))
        if names:
            self._put(names[pick % len(names)], target(2, "draining"))

    @rule(pick=st.integers(0, 9))
    def end(self, pick: int) -> None:
        leaving = sorted(
            k for k, (_, v) in self.items.items() if describe_record(k, v).leaving
        )
        if leaving:
            self._put(leaving[pick % len(leaving)], None)

    @rule()
    def take_copy(self) -> None:
        self.copies.append(self._copy())

    @rule(pick=st.integers(0, 9))
    def restore(self, pick: int) -> None:
        self.era += 1
        self.revision, items, history = self.copies[pick % len(self.copies)]
        self.items, self.history = dict(items), list(history)
        self.copies = [self._copy()]

    @rule()
    def begin_listing(self) -> None:
        entries = [KeyValue(k, v, r) for k, (r, v) in self.items.items()]
        self.listings.append(Listing(self.revision, entries, self.era))

    @rule(replica=st.integers(0, 1), pick=st.integers(0, 9))
    def end_listing(self, replica: int, pick: int) -> None:
        """Answers arrive in any order, also those of an earlier era."""
        if self.listings:
            listing = self.listings[-1 - pick % len(self.listings)]
            self.replicas[replica].reset(listing)

    @rule(replica=st.integers(0, 1))
    def watch_store(self, replica: int) -> None:
        state = self.replicas[replica]
        if state.position.era == self.era:
            state.extend([e for e in self.history if e.revision > state.revision])

    @rule(replica=st.integers(0, 1))
    def fetch(self, replica: int) -> None:
        state, peer = self.replicas[replica], self.replicas[1 - replica]
        state.apply(peer.delta(state.position))

    @invariant()
    def no_replica_goes_back(self) -> None:
        for i, state in enumerate(self.replicas):
            found = in_force(state)
            version = describe_record(CONFIG, found.get(CONFIG, config(0))).number
            assert version >= self.versions[i]
            self.versions[i] = version
            ready = {
                k
                for k, v in found.items()
                if k.startswith("servers/") and not describe_record(k, v).leaving
            }
            assert not self.left[i] & ready
            self.left[i] |= {
                k
                for k, v in found.items()
                if k.startswith("servers/") and describe_record(k, v).leaving
            }


TestRestoredStore = RestoredStore.TestCase
