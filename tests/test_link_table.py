# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which links to targets count as lost, in part or as a whole, and for how long."""

from random import Random

from desk import target
from leverdoor.entry.links.link_table import (
    ALL_TARGETS,
    LOSS_MEMORY_S,
    MIN_WORKING_S,
    PROBE_INTERVAL_S,
    QUIET_S,
    LinkTable,
)
from leverdoor.model.resources import Target

SERVICES = ("look", "file")
REGIONS = ("a", "b")


def targets() -> dict[str, Target]:
    return {
        f"{service}-{region}-{i}": target(
            f"{service}-{region}-{i}", f"{region}1", service=service
        )
        for service in SERVICES
        for region in REGIONS
        for i in range(3)
    }


TARGETS = targets()


def link_table() -> LinkTable:
    table = LinkTable(Random(1))
    table.renew(TARGETS)
    for one in TARGETS.values():
        table.record_alive(one, 0.0, opened=True)
    return table


def lose(table: LinkTable, names: list[str], now: float = 1.0) -> None:
    for name in names:
        table.record_lost(TARGETS[name], True, now)


def relayed(table: LinkTable) -> set[str]:
    return {name for name, one in TARGETS.items() if table.must_relay(one)}


def lost_scopes(table: LinkTable) -> set[tuple[str, str]]:
    changes = table.take_changes()
    return {(c.service, c.region) for c in changes if c.change == "lost"}


def test_one_lost_link_concerns_its_target_only() -> None:
    table = link_table()
    lose(table, ["look-a-0"])
    assert relayed(table) == {"look-a-0"}
    assert lost_scopes(table) == set()


def test_two_lost_links_of_a_group_spare_other_requests_the_connect_timeout() -> None:
    table = link_table()
    lose(table, ["look-a-0", "look-a-1"])
    assert relayed(table) == {"look-a-0", "look-a-1", "look-a-2"}
    assert not table.all_lost


def test_a_sign_of_life_later_than_the_loss_keeps_a_target_direct() -> None:
    table = link_table()
    lose(table, ["look-a-0", "look-a-1"])
    table.record_alive(TARGETS["look-a-2"], 1.1, opened=False)
    assert relayed(table) == {"look-a-0", "look-a-1"}


def test_a_lost_service_is_not_taken_for_a_lost_region() -> None:
    table = link_table()
    lose(table, ["look-a-0", "look-a-1"])
    table.record_alive(TARGETS["file-a-0"], 1.2, opened=False)
    table.record_alive(TARGETS["file-b-0"], 1.2, opened=False)
    lose(table, ["look-b-0", "look-b-1"])
    assert lost_scopes(table) == {("look", "a"), ("look", "b"), ("look", "")}
    assert {n.split("-")[0] for n in relayed(table)} == {"look"}


def test_all_links_are_lost_once_groups_of_two_services_and_regions_are() -> None:
    table = link_table()
    lose(table, ["look-a-0", "look-a-1", "file-b-0", "file-b-1"])
    assert table.all_lost
    assert ALL_TARGETS in lost_scopes(table)
    assert relayed(table) == set(TARGETS)


def test_a_target_that_peers_do_not_reach_either_is_no_lost_link() -> None:
    table = link_table()
    lose(table, ["look-a-0"])
    table.record_down(TARGETS["look-a-0"])
    assert relayed(table) == set()
    assert table.lost_count == 0


def test_a_link_is_used_again_once_it_has_worked_for_a_while() -> None:
    table = link_table()
    lose(table, ["look-a-0"])
    assert table.record_alive(TARGETS["look-a-0"], 2.0, opened=True)
    table.sweep(2.0 + MIN_WORKING_S - 0.01)
    assert relayed(table) == {"look-a-0"}
    assert table.may_connect(TARGETS["look-a-0"])
    table.sweep(2.0 + MIN_WORKING_S)
    assert relayed(table) == set()


def test_a_flapping_link_has_to_work_for_longer_each_time() -> None:
    table = link_table()
    one = TARGETS["look-a-0"]
    now = 1.0
    for loss in range(6):
        table.record_lost(one, True, now)
        table.record_alive(one, now, opened=True)
        required_s = MIN_WORKING_S * 2 ** min(loss, 3)
        table.sweep(now + required_s - 0.01)
        assert table.must_relay(one)
        now += required_s
        table.sweep(now)
        assert not table.must_relay(one)
    now += LOSS_MEMORY_S + 1.0
    table.record_lost(one, True, now)
    table.record_alive(one, now, opened=True)
    table.sweep(now + MIN_WORKING_S)
    assert not table.must_relay(one)


def test_kept_connections_serve_unless_new_ones_hang() -> None:
    table = link_table()
    table.record_lost(TARGETS["look-a-0"], False, 1.0)
    table.record_lost(TARGETS["look-a-1"], True, 1.0)
    assert table.trusts_kept_connections(TARGETS["look-a-0"])
    assert not table.trusts_kept_connections(TARGETS["look-a-1"])
    assert table.trusts_kept_connections(TARGETS["file-a-0"])
    # An answer on a kept connection does not show that new ones can be opened.
    assert not table.record_alive(TARGETS["look-a-0"], 1.5, opened=False)
    assert table.must_relay(TARGETS["look-a-0"])


def test_no_link_is_probed_while_none_is_lost_and_quiet_groups_are_probed_first() -> (
    None
):
    table = link_table()
    assert table.to_probe(4, 10.0) == []
    lose(table, ["look-a-0", "look-a-1"])
    now = 1.0 + QUIET_S
    first = table.to_probe(4, now)
    groups = {(TARGETS[n].service, TARGETS[n].region) for n in first}
    assert len(groups) == 4
    again = table.to_probe(100, now + PROBE_INTERVAL_S / 2)
    assert not set(again) & set(first)
    assert set(relayed(table)) <= set(first) | set(again)


def test_targets_that_left_the_configuration_are_forgotten() -> None:
    table = link_table()
    lose(table, ["look-a-0", "look-a-1", "file-b-0", "file-b-1"])
    table.renew({n: t for n, t in TARGETS.items() if t.service == "look"})
    assert table.lost_count == 2
    assert not table.all_lost
