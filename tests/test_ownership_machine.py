# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The ownership table under random and exhaustive orders of faults."""

from collections import deque
from collections.abc import Callable, Iterator

import msgspec
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from leverdoor.gate.row_units import HeldUnits
from leverdoor.membership import ownership
from leverdoor.membership.ownership import (
    Ack,
    GateProcess,
    Row,
    RowSpec,
    Table,
    parse_table,
    plan,
    serialize_table,
)

LINGER_S = 1.0
WINDOW_S = 5.0
SLOTS = 4
CAP = 3
SPECS = {"t:a": RowSpec(SLOTS), "t:b": RowSpec(SLOTS), "c:x": RowSpec(CAP, 0)}
SETTLE = {"t:a": LINGER_S, "t:b": LINGER_S, "c:x": WINDOW_S}
GATES = 3
gate_numbers = st.integers(0, GATES - 1)
SETTINGS = settings(
    max_examples=300,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class Gate:
    """One gate process: its holdings, and the work it has at targets."""

    def __init__(self, number: int, incarnation: int) -> None:
        self.member = GateProcess(
            f"vm{number}", f"gate{number}", incarnation, f"d{number % 2}"
        )
        self.holdings = HeldUnits(f"gate{number}", incarnation)
        self.work: list[str] = []


class TableMachine(RuleBasedStateMachine):
    """Gates that see the table late, die, freeze and come back.

    A frozen gate is one that no rule picks for a while: it still believes
    what it believed. What targets run is counted apart from the holdings.
    """

    settle = SETTLE
    window_cools = True

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.table = serialize_table(Table("r"))
        self.gates = [Gate(i, 1) for i in range(GATES)]
        self.alive = [True] * GATES
        self.acks: dict[str, Ack] = {}
        self.gone: set[str] = set()
        self.left: list[tuple[str, float]] = []
        self.arrivals: list[float] = []
        self.write_table(set(), False)
        self.see_table(set(range(GATES)))
        self.wait(2 * WINDOW_S)

    @rule(seconds=st.sampled_from([0.1, 1.0, 6.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.left = [w for w in self.left if w[1] > self.now]

    @rule(unheard=st.sets(gate_numbers, max_size=1), leave=st.booleans())
    def write_table(self, unheard: set[int], leave: bool) -> None:
        live = [
            g.member
            for i, g in enumerate(self.gates)
            if self.alive[i] and i not in unheard
        ]
        leaving = frozenset(f"vm{i}" for i in unheard if leave)
        table = parse_table(self.table)
        after = plan(table, SPECS, live, leaving, frozenset(self.gone), self.acks)
        if after is not None:
            self.table = serialize_table(after)

    @rule(numbers=st.sets(gate_numbers, min_size=1))
    def see_table(self, numbers: set[int]) -> None:
        for i in numbers:
            if self.alive[i]:
                holdings = self.gates[i].holdings
                holdings.apply(parse_table(self.table), self.settle, self.now)

    @rule(numbers=st.sets(gate_numbers, min_size=1))
    def hear_acks(self, numbers: set[int]) -> None:
        for i in numbers:
            if self.alive[i]:
                gate = self.gates[i]
                self.acks[gate.member.identity] = gate.holdings.ack(self.now)

    @rule(i=gate_numbers, row=st.sampled_from(["t:a", "t:b"]))
    def fill_target(self, i: int, row: str) -> None:
        while self.alive[i] and self.gates[i].holdings.acquire(row, self.now):
            self.gates[i].work.append(row)

    @rule(i=gate_numbers)
    def send_shift(self, i: int) -> None:
        gate = self.gates[i]
        if self.alive[i] and gate.holdings.acquire("c:x", self.now):
            self.arrivals.append(self.now)
            cooldown_s = WINDOW_S if self.window_cools else 0.0
            gate.holdings.release("c:x", self.now, cooldown_s)

    @rule(i=gate_numbers, lost=st.booleans())
    def end_work(self, i: int, lost: bool) -> None:
        gate = self.gates[i]
        while self.alive[i] and gate.work:
            row = gate.work.pop()
            if lost:
                self.left.append((row, self.now + LINGER_S))
            gate.holdings.release(row, self.now, LINGER_S if lost else 0.0)

    @rule(i=gate_numbers)
    def die_with_vm(self, i: int) -> None:
        if self.alive[i]:
            self.die(i)
            self.gone.add(self.gates[i].member.identity)

    @rule(i=gate_numbers)
    def die(self, i: int) -> None:
        if self.alive[i]:
            self.left += [(row, self.now + LINGER_S) for row in self.gates[i].work]
            self.alive[i] = False

    @rule(i=gate_numbers)
    def start_again(self, i: int) -> None:
        if not self.alive[i]:
            self.gates[i] = Gate(i, self.gates[i].member.incarnation + 1)
            self.alive[i] = True

    @invariant()
    def no_target_is_past_its_slots(self) -> None:
        running = [row for row, until in self.left if until > self.now]
        for i, gate in enumerate(self.gates):
            if self.alive[i]:
                running += gate.work
        for row in ("t:a", "t:b"):
            assert running.count(row) <= SLOTS

    @invariant()
    def no_window_is_past_the_cap(self) -> None:
        if self.arrivals:
            last = self.arrivals[-1]
            assert sum(last - WINDOW_S < t <= last for t in self.arrivals) <= CAP


def test_no_limit_is_broken_in_random_orders() -> None:
    run_state_machine_as_test(TableMachine, settings=SETTINGS)


class NoSettling(TableMachine):
    """Units gained can be used at once."""

    settle = dict.fromkeys(SETTLE, 0.0)


class NoCooling(TableMachine):
    """Cap units can be used again at once."""

    window_cools = False


def _fill_all(m: TableMachine) -> None:
    for i in range(GATES):
        for row in ("t:a", "t:b"):
            m.fill_target(i, row)
    m.no_target_is_past_its_slots()


def _leave_unseen(m: TableMachine) -> None:
    """VM 0 leaves, but its frozen gate sees nothing of it."""
    for _ in range(3):
        m.write_table({0}, True)
        m.see_table({1, 2})
        m.hear_acks({1, 2})
    m.wait(6.0)
    _fill_all(m)


def _die_while_targets_run(m: TableMachine) -> None:
    """A gate dies with its VM while targets still run its work."""
    _fill_all(m)
    m.die_with_vm(0)
    m.write_table(set(), False)
    m.see_table({1, 2})
    _fill_all(m)


def _shift_again_at_once(m: TableMachine) -> None:
    """A gate uses its cap unit twice within a window."""
    for _ in range(CAP + 1):
        for i in range(GATES):
            m.send_shift(i)
            m.no_window_is_past_the_cap()


CASES = [
    (_leave_unseen, TableMachine, True),
    (_die_while_targets_run, NoSettling, False),
    (_shift_again_at_once, NoCooling, False),
]


@pytest.mark.parametrize(("case", "broken", "ack"), CASES)
def test_each_mechanism_is_needed(
    case: Callable[[TableMachine], None],
    broken: type[TableMachine],
    ack: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    case(TableMachine())
    if ack:
        monkeypatch.setattr(ownership, "_acked", lambda ack, name, release: True)
    with pytest.raises(AssertionError):
        case(broken())


# Every order, at a small size: three VMs, two targets of two slots.

SMALL = {"t:a": RowSpec(2), "t:b": RowSpec(2)}
VMS = ("vm0", "vm1", "vm2")
MOST_WRITES = 4


class SmallGate(msgspec.Struct, frozen=True):
    """A gate process by what it believes and uses; `unripe` units wait."""

    incarnation: int
    alive: bool
    version: int
    held: tuple[int, int]
    unripe: tuple[int, int]
    used: tuple[int, int]


class Small(msgspec.Struct, frozen=True):
    """The whole state of the exploration."""

    table: bytes
    gates: tuple[SmallGate, ...]
    acks: tuple[tuple[str, int, tuple[str, ...]], ...]
    left: tuple[int, int]
    leaving: int


ROWS = ("t:a", "t:b")


def _with(pair: tuple[int, int], at: int, change: int) -> tuple[int, int]:
    return (pair[0] + change, pair[1]) if at == 0 else (pair[0], pair[1] + change)


def _identity(i: int, gate: SmallGate) -> str:
    return f"{VMS[i]}|g{i}|{gate.incarnation}"


def _steps(s: Small) -> Iterator[Small]:
    table = parse_table(s.table)
    yield from _table_steps(s, table)
    for i, gate in enumerate(s.gates):
        for after, left in _gate_steps(gate, i, table, s.left):
            gates = s.gates[:i] + (after,) + s.gates[i + 1 :]
            yield msgspec.structs.replace(s, gates=gates, left=left)
        if gate.alive:
            over = tuple(r for j, r in enumerate(ROWS) if gate.used[j] > gate.held[j])
            acks = {a[0]: a for a in s.acks}
            acks[_identity(i, gate)] = (_identity(i, gate), gate.version, over)
            yield msgspec.structs.replace(s, acks=tuple(sorted(acks.values())))
    for j in (0, 1):
        if s.left[j]:
            yield msgspec.structs.replace(s, left=_with(s.left, j, -1))


def _table_steps(s: Small, table: Table) -> Iterator[Small]:
    if table.version >= MOST_WRITES:
        return
    live = [
        GateProcess(VMS[i], f"g{i}", g.incarnation, f"d{i}")
        for i, g in enumerate(s.gates)
        if g.alive
    ]
    acks = {a[0]: Ack(a[1], list(a[2])) for a in s.acks}
    gone = frozenset(_identity(i, g) for i, g in enumerate(s.gates) if not g.alive)
    for leaving in {s.leaving, 2}:
        vms = frozenset() if leaving < 0 else frozenset({VMS[leaving]})
        for dead in {frozenset[str](), gone}:
            after = plan(table, SMALL, live, vms, dead, acks)
            if after is not None:
                yield msgspec.structs.replace(
                    s, table=serialize_table(after), leaving=leaving
                )


def _gate_steps(
    gate: SmallGate, i: int, table: Table, left: tuple[int, int]
) -> Iterator[tuple[SmallGate, tuple[int, int]]]:
    replace = msgspec.structs.replace
    if not gate.alive:
        if gate.incarnation < 2:
            fresh = SmallGate(gate.incarnation + 1, True, 0, (0, 0), (0, 0), (0, 0))
            yield fresh, left
        return
    if table.version > gate.version:
        number = table.member_id(f"g{i}", gate.incarnation)
        none = Row(0)
        held = [table.rows.get(r, none).held.get(number, 0) for r in ROWS]
        unripe = [
            max(0, min(held[j], gate.unripe[j] + held[j] - gate.held[j]))
            for j in (0, 1)
        ]
        yield (
            replace(
                gate,
                version=table.version,
                held=(held[0], held[1]),
                unripe=(unripe[0], unripe[1]),
            ),
            left,
        )
    for j in (0, 1):
        if gate.unripe[j] and not left[j]:
            yield replace(gate, unripe=_with(gate.unripe, j, -gate.unripe[j])), left
        if gate.used[j] < gate.held[j] - gate.unripe[j]:
            yield replace(gate, used=_with(gate.used, j, 1)), left
        if gate.used[j]:
            yield replace(gate, used=_with(gate.used, j, -1)), left
    died = (left[0] + gate.used[0], left[1] + gate.used[1])
    yield replace(gate, alive=False, used=(0, 0)), died


def test_no_slot_is_granted_twice_in_any_order() -> None:
    none = (0, 0)
    gates = tuple(SmallGate(1, True, 0, none, none, none) for _ in VMS)
    first = Small(serialize_table(Table("r")), gates, (), none, -1)
    seen = {first}
    queue = deque([first])
    limit = 150_000
    while queue and len(seen) < limit:
        state = queue.popleft()
        for j in (0, 1):
            running = state.left[j] + sum(g.used[j] for g in state.gates if g.alive)
            assert running <= 2, state
        for after in _steps(state):
            if after not in seen:
                seen.add(after)
                queue.append(after)
    assert len(seen) >= limit
    print(f"{len(seen)} states")
