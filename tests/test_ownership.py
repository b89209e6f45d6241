# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the ownership table."""

from leverdoor.membership.ownership import Ack, GateProcess, RowSpec, Table, plan

SPECS = {f"t:{i}": RowSpec(6) for i in range(8)} | {"c:x": RowSpec(3, 0)}
LIVE = [GateProcess(f"vm{i}", f"gate{i}", 1, f"d{i % 2}") for i in range(4)]


def settled(table: Table) -> Table:
    acks = {m.identity: Ack(10**9) for m in LIVE}
    while (after := plan(table, SPECS, LIVE, acks=acks)) is not None:
        table = after
    return table


def test_all_units_are_granted_once() -> None:
    table = settled(Table("r"))
    assert all(sum(r.held.values()) == r.capacity for r in table.rows.values())


def test_holders_of_a_target_stand_in_two_domains() -> None:
    table = settled(Table("r"))
    for name, row in table.rows.items():
        if name.startswith("t:"):
            assert len({table.members[n].domain for n in row.held}) == 2


def test_a_leaving_member_keeps_units_until_it_acknowledges() -> None:
    table = settled(Table("r"))
    leaving = frozenset({"vm3"})
    shrunk = plan(table, SPECS, LIVE, leaving)
    assert shrunk is not None
    assert all(r.committed() <= r.capacity for r in shrunk.rows.values())
    assert plan(shrunk, SPECS, LIVE, leaving) is None
    late = {m.identity: Ack(shrunk.version - 1) for m in LIVE}
    assert plan(shrunk, SPECS, LIVE, leaving, acks=late) is None
    acked = {m.identity: Ack(shrunk.version) for m in LIVE}
    granted = plan(shrunk, SPECS, LIVE, leaving, acks=acked)
    assert granted is not None
    assert all(sum(r.held.values()) == r.capacity for r in granted.rows.values())


def test_a_row_still_over_is_not_granted_on() -> None:
    table = settled(Table("r"))
    leaving = frozenset({"vm3"})
    shrunk = plan(table, SPECS, LIVE, leaving)
    assert shrunk is not None
    row = next(n for n, r in shrunk.rows.items() if r.releases)
    acks = {m.identity: Ack(shrunk.version, [row]) for m in LIVE}
    granted = plan(shrunk, SPECS, LIVE, leaving, acks=acks)
    assert granted is not None
    assert granted.rows[row].releases == shrunk.rows[row].releases


def test_a_silent_member_keeps_what_it_holds() -> None:
    table = settled(Table("r"))
    assert plan(table, SPECS, LIVE[:3]) is None


def test_a_gone_member_is_replaced() -> None:
    table = settled(Table("r"))
    after = plan(table, SPECS, LIVE[:3], gone=frozenset({LIVE[3].identity}))
    assert after is not None
    assert len(after.members) == 3
    assert all(r.committed() == r.capacity for r in after.rows.values())


def test_a_later_incarnation_takes_over_an_earlier_one_never() -> None:
    table = settled(Table("r"))
    later = GateProcess("vm3", "gate3", 2, "d1")
    after = plan(table, SPECS, [*LIVE[:3], later])
    assert after is not None
    assert later in after.members.values()
    assert LIVE[3] not in after.members.values()
    assert plan(after, SPECS, LIVE) is None


def test_few_units_move_when_a_member_joins() -> None:
    table = settled(Table("r"))
    joined = [*LIVE, GateProcess("vm4", "gate4", 1, "d0")]
    after = plan(table, SPECS, joined)
    assert after is not None
    moved = sum(r.units for row in after.rows.values() for r in row.releases)
    total = sum(row.capacity for row in after.rows.values())
    assert moved < total / 2
