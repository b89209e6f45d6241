# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the ownership table under random and systematic orders of faults."""

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
RIPENING_S = {"t:a": LINGER_S, "t:b": LINGER_S, "c:x": WINDOW_S}
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
    """A gate process with its holdings and its requests at targets."""

    def __init__(self, number: int, incarnation: int) -> None:
        self.member = GateProcess(
            f"vm{number}", f"gate{number}", incarnation, f"d{number % 2}"
        )
        self.holdings = HeldUnits(f"gate{number}", incarnation)
        self.running_requests: list[str] = []


class TableMachine(RuleBasedStateMachine):
    """Gates that apply the table late, die, freeze and restart.

    A gate that no rule picks for some steps models a paused process: it keeps acting on
    an old table. Requests that run at targets are counted separately from the holdings.
    `cap_units_cool` tells whether used cap units stay counted for the window.
    """

    ripening_s = RIPENING_S
    cap_units_cool = True

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.table = serialize_table(Table("r"))
        self.gates = [Gate(i, 1) for i in range(GATES)]
        self.alive = [True] * GATES
        self.acks: dict[str, Ack] = {}
        self.dead_identities: set[str] = set()
        self.lingering: list[tuple[str, float]] = []
        self.arrivals: list[float] = []
        self.write_table(set(), False)
        self.apply_table(set(range(GATES)))
        self.wait(2 * WINDOW_S)

    @rule(seconds=st.sampled_from([0.1, 1.0, 6.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.lingering = [w for w in self.lingering if w[1] > self.now]

    @rule(silent=st.sets(gate_numbers, max_size=1), silent_vms_leave=st.booleans())
    def write_table(self, silent: set[int], silent_vms_leave: bool) -> None:
        live = [
            g.member
            for i, g in enumerate(self.gates)
            if self.alive[i] and i not in silent
        ]
        leaving = frozenset(f"vm{i}" for i in silent if silent_vms_leave)
        table = parse_table(self.table)
        after = plan(
            table, SPECS, live, leaving, frozenset(self.dead_identities), self.acks
        )
        if after is not None:
            self.table = serialize_table(after)

    @rule(numbers=st.sets(gate_numbers, min_size=1))
    def apply_table(self, numbers: set[int]) -> None:
        for i in numbers:
            if self.alive[i]:
                holdings = self.gates[i].holdings
                holdings.apply(parse_table(self.table), self.ripening_s, self.now)

    @rule(numbers=st.sets(gate_numbers, min_size=1))
    def receive_acks(self, numbers: set[int]) -> None:
        for i in numbers:
            if self.alive[i]:
                gate = self.gates[i]
                self.acks[gate.member.identity] = gate.holdings.ack(self.now)

    @rule(i=gate_numbers, row=st.sampled_from(["t:a", "t:b"]))
    def fill_target(self, i: int, row: str) -> None:
        while self.alive[i] and self.gates[i].holdings.acquire(row, self.now):
            self.gates[i].running_requests.append(row)

    @rule(i=gate_numbers)
    def send_shift(self, i: int) -> None:
        gate = self.gates[i]
        if self.alive[i] and gate.holdings.acquire("c:x", self.now):
            self.arrivals.append(self.now)
            cooldown_s = WINDOW_S if self.cap_units_cool else 0.0
            gate.holdings.release("c:x", self.now, cooldown_s)

    @rule(i=gate_numbers, response_lost=st.booleans())
    def end_requests(self, i: int, response_lost: bool) -> None:
        gate = self.gates[i]
        while self.alive[i] and gate.running_requests:
            row = gate.running_requests.pop()
            if response_lost:
                self.lingering.append((row, self.now + LINGER_S))
            gate.holdings.release(row, self.now, LINGER_S if response_lost else 0.0)

    @rule(i=gate_numbers)
    def kill_vm(self, i: int) -> None:
        if self.alive[i]:
            self.kill_gate(i)
            self.dead_identities.add(self.gates[i].member.identity)

    @rule(i=gate_numbers)
    def kill_gate(self, i: int) -> None:
        if self.alive[i]:
            self.lingering += [
                (row, self.now + LINGER_S) for row in self.gates[i].running_requests
            ]
            self.alive[i] = False

    @rule(i=gate_numbers)
    def restart_gate(self, i: int) -> None:
        if not self.alive[i]:
            self.gates[i] = Gate(i, self.gates[i].member.incarnation + 1)
            self.alive[i] = True

    @invariant()
    def no_target_exceeds_its_slots(self) -> None:
        running = [row for row, until in self.lingering if until > self.now]
        for i, gate in enumerate(self.gates):
            if self.alive[i]:
                running += gate.running_requests
        for row in ("t:a", "t:b"):
            assert running.count(row) <= SLOTS

    @invariant()
    def no_window_exceeds_the_cap(self) -> None:
        if self.arrivals:
            last = self.arrivals[-1]
            assert sum(last - WINDOW_S < t <= last for t in self.arrivals) <= CAP


def test_limits_hold_in_random_orders() -> None:
    run_state_machine_as_test(TableMachine, settings=SETTINGS)


class NoRipening(TableMachine):
    """A broken model in which granted units can be used immediately."""

    ripening_s = dict.fromkeys(RIPENING_S, 0.0)


class NoCooling(TableMachine):
    """A broken model in which cap units can be reused immediately."""

    cap_units_cool = False


def _fill_all_targets(m: TableMachine) -> None:
    for i in range(GATES):
        for row in ("t:a", "t:b"):
            m.fill_target(i, row)
    m.no_target_exceeds_its_slots()


def _leave_without_applying_table(m: TableMachine) -> None:
    """VM 0 leaves, but its paused gate does not apply the new table."""
    for _ in range(3):
        m.write_table({0}, True)
        m.apply_table({1, 2})
        m.receive_acks({1, 2})
    m.wait(6.0)
    _fill_all_targets(m)


def _kill_vm_while_targets_run(m: TableMachine) -> None:
    """A gate dies with its VM while targets still run its requests."""
    _fill_all_targets(m)
    m.kill_vm(0)
    m.write_table(set(), False)
    m.apply_table({1, 2})
    _fill_all_targets(m)


def _reuse_cap_unit_immediately(m: TableMachine) -> None:
    """Each gate uses its cap unit more than once within a window."""
    for _ in range(CAP + 1):
        for i in range(GATES):
            m.send_shift(i)
            m.no_window_exceeds_the_cap()


# Each case, the model in which it violates a limit, and whether the check of
# acknowledgements is disabled there.
CASES = [
    (_leave_without_applying_table, TableMachine, True),
    (_kill_vm_while_targets_run, NoRipening, False),
    (_reuse_cap_unit_immediately, NoCooling, False),
]


@pytest.mark.parametrize(("case", "model", "skip_ack_check"), CASES)
def test_each_mechanism_is_needed(
    case: Callable[[TableMachine], None],
    model: type[TableMachine],
    skip_ack_check: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    case(TableMachine())
    if skip_ack_check:
        monkeypatch.setattr(ownership, "_is_complete", lambda ack, name, release: True)
    with pytest.raises(AssertionError):
        case(model())


# Breadth-first search over all orders of steps, bounded by the number of states, for
# three VMs and two targets with two slots each.

SMALL_SPECS = {"t:a": RowSpec(2), "t:b": RowSpec(2)}
VMS = ("vm0", "vm1", "vm2")
MAX_TABLE_VERSION = 4


class SmallGate(msgspec.Struct, frozen=True):
    """A gate process with the table it applied, and the units it holds and uses.

    `unripe` units are held but cannot be used yet.
    """

    incarnation: int
    alive: bool
    version: int
    held: tuple[int, int]
    unripe: tuple[int, int]
    used: tuple[int, int]


class ExplorationState(msgspec.Struct, frozen=True):
    """The state of the whole model; `leaving` is the index of a VM, or -1."""

    table: bytes
    gates: tuple[SmallGate, ...]
    acks: tuple[tuple[str, int, tuple[str, ...]], ...]
    lingering: tuple[int, int]
    leaving: int


ROWS = ("t:a", "t:b")


def _add_at(pair: tuple[int, int], at: int, change: int) -> tuple[int, int]:
    return (pair[0] + change, pair[1]) if at == 0 else (pair[0], pair[1] + change)


def _identity(i: int, gate: SmallGate) -> str:
    return f"{VMS[i]}|g{i}|{gate.incarnation}"


def _next_states(s: ExplorationState) -> Iterator[ExplorationState]:
    table = parse_table(s.table)
    yield from _next_table_states(s, table)
    for i, gate in enumerate(s.gates):
        for after, lingering in _next_gate_states(gate, i, table, s.lingering):
            gates = s.gates[:i] + (after,) + s.gates[i + 1 :]
            yield msgspec.structs.replace(s, gates=gates, lingering=lingering)
        if gate.alive:
            over = tuple(r for j, r in enumerate(ROWS) if gate.used[j] > gate.held[j])
            acks = {a[0]: a for a in s.acks}
            acks[_identity(i, gate)] = (_identity(i, gate), gate.version, over)
            yield msgspec.structs.replace(s, acks=tuple(sorted(acks.values())))
    for j in (0, 1):
        if s.lingering[j]:
            yield msgspec.structs.replace(s, lingering=_add_at(s.lingering, j, -1))


def _next_table_states(s: ExplorationState, table: Table) -> Iterator[ExplorationState]:
    if table.version >= MAX_TABLE_VERSION:
        return
    live = [
        GateProcess(VMS[i], f"g{i}", g.incarnation, f"d{i}")
        for i, g in enumerate(s.gates)
        if g.alive
    ]
    # Each acknowledgement is an identity, a table version and the overused rows.
    acks = {a[0]: Ack(a[1], list(a[2])) for a in s.acks}
    dead_identities = frozenset(
        _identity(i, g) for i, g in enumerate(s.gates) if not g.alive
    )
    # At any step, the last VM may begin to leave.
    for leaving in {s.leaving, 2}:
        vms = frozenset() if leaving < 0 else frozenset({VMS[leaving]})
        for dead in {frozenset[str](), dead_identities}:
            after = plan(table, SMALL_SPECS, live, vms, dead, acks)
            if after is not None:
                yield msgspec.structs.replace(
                    s, table=serialize_table(after), leaving=leaving
                )


def _next_gate_states(
    gate: SmallGate, i: int, table: Table, lingering: tuple[int, int]
) -> Iterator[tuple[SmallGate, tuple[int, int]]]:
    replace = msgspec.structs.replace
    if not gate.alive:
        if gate.incarnation < 2:
            restarted = SmallGate(gate.incarnation + 1, True, 0, (0, 0), (0, 0), (0, 0))
            yield restarted, lingering
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
            lingering,
        )
    for j in (0, 1):
        if gate.unripe[j] and not lingering[j]:
            yield (
                replace(gate, unripe=_add_at(gate.unripe, j, -gate.unripe[j])),
                lingering,
            )
        if gate.used[j] < gate.held[j] - gate.unripe[j]:
            yield replace(gate, used=_add_at(gate.used, j, 1)), lingering
        if gate.used[j]:
            yield replace(gate, used=_add_at(gate.used, j, -1)), lingering
    lingering_work = (lingering[0] + gate.used[0], lingering[1] + gate.used[1])
    yield replace(gate, alive=False, used=(0, 0)), lingering_work


def test_no_target_exceeds_its_slots_in_any_order() -> None:
    none = (0, 0)
    gates = tuple(SmallGate(1, True, 0, none, none, none) for _ in VMS)
    first = ExplorationState(serialize_table(Table("r")), gates, (), none, -1)
    seen = {first}
    queue = deque([first])
    state_limit = 150_000
    while queue and len(seen) < state_limit:
        state = queue.popleft()
        for j in (0, 1):
            running = state.lingering[j] + sum(
                g.used[j] for g in state.gates if g.alive
            )
            assert running <= 2, state
        for after in _next_states(state):
            if after not in seen:
                seen.add(after)
                queue.append(after)
    assert len(seen) >= state_limit
    print(f"{len(seen)} states")
