# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the ownership table."""

from leverdoor.membership.ownership import Ack, GateProcess, RowSpec, Table, plan

SPECS = {f"t:{i}": RowSpec(6) for i in range(8)} | {"c:x": RowSpec(3, 0)}
LIVE = [GateProcess(f"vm{i}", f"gate{i}", 1, f"d{i % 2}") for i in range(4)]


def plan_until_stable(table: Table) -> Table:
    acks = {m.identity: Ack(10**9) for m in LIVE}
    while (after := plan(table, SPECS, LIVE, acks=acks)) is not None:
        table = after
    return table


def test_all_units_are_granted_once() -> None:
    table = plan_until_stable(Table("r"))
    assert all(sum(r.held.values()) == r.capacity for r in table.rows.values())


def test_holders_of_a_target_are_in_two_failure_domains() -> None:
    table = plan_until_stable(Table("r"))
    for name, row in table.rows.items():
        if name.startswith("t:"):
            assert len({table.members[n].domain for n in row.held}) == 2


def test_a_leaving_member_keeps_units_until_it_acknowledges() -> None:
    table = plan_until_stable(Table("r"))
    leaving = frozenset({"vm3"})
    released = plan(table, SPECS, LIVE, leaving)
    assert released is not None
    assert all(r.committed_units() <= r.capacity for r in released.rows.values())
    assert plan(released, SPECS, LIVE, leaving) is None
    outdated = {m.identity: Ack(released.version - 1) for m in LIVE}
    assert plan(released, SPECS, LIVE, leaving, acks=outdated) is None
    acked = {m.identity: Ack(released.version) for m in LIVE}
    granted = plan(released, SPECS, LIVE, leaving, acks=acked)
    assert granted is not None
    assert all(sum(r.held.values()) == r.capacity for r in granted.rows.values())


def test_units_of_a_row_in_excess_use_are_not_granted() -> None:
    table = plan_until_stable(Table("r"))
    leaving = frozenset({"vm3"})
    released = plan(table, SPECS, LIVE, leaving)
    assert released is not None
    row = next(n for n, r in released.rows.items() if r.releases)
    acks = {m.identity: Ack(released.version, [row]) for m in LIVE}
    granted = plan(released, SPECS, LIVE, leaving, acks=acks)
    assert granted is not None
    assert granted.rows[row].releases == released.rows[row].releases


def test_a_silent_member_keeps_its_units() -> None:
    table = plan_until_stable(Table("r"))
    assert plan(table, SPECS, LIVE[:3]) is None


def test_a_dead_member_is_replaced() -> None:
    table = plan_until_stable(Table("r"))
    after = plan(table, SPECS, LIVE[:3], dead_identities=frozenset({LIVE[3].identity}))
    assert after is not None
    assert len(after.members) == 3
    assert all(r.committed_units() == r.capacity for r in after.rows.values())


def test_a_later_incarnation_replaces_an_earlier_one_but_not_vice_versa() -> None:
    table = plan_until_stable(Table("r"))
    later = GateProcess("vm3", "gate3", 2, "d1")
    after = plan(table, SPECS, [*LIVE[:3], later])
    assert after is not None
    assert later in after.members.values()
    assert LIVE[3] not in after.members.values()
    assert plan(after, SPECS, LIVE) is None


def test_less_than_half_of_the_units_move_when_a_member_joins() -> None:
    table = plan_until_stable(Table("r"))
    joined = [*LIVE, GateProcess("vm4", "gate4", 1, "d0")]
    after = plan(table, SPECS, joined)
    assert after is not None
    moved = sum(r.units for row in after.rows.values() for r in row.releases)
    total = sum(row.capacity for row in after.rows.values())
    assert moved < total / 2
