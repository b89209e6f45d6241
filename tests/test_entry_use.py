# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What entries tell each other of the use of workspaces."""

from hypothesis import given, settings
from hypothesis import strategies as st

from leverdoor.entry.exchange.use_lists import FEW_PAIRS, UseLists, summed
from leverdoor.entry.exchange.use_merging import UseMerger, UseReport
from leverdoor.workspaces.isolation import RESERVATION_S

NAMES = [f"w{i}" for i in range(FEW_PAIRS + 50)]


def lists(names: list[str]) -> UseLists:
    made = UseLists()
    made.renew(dict.fromkeys(names, 100.0))
    return made


@settings(derandomize=True, max_examples=100)
@given(st.dictionaries(st.sampled_from(NAMES[:20]), st.integers(1, 60_000)))
def test_use_is_told_and_understood(use: dict[str, int]) -> None:
    sender, receiver = lists(NAMES[:20]), lists(NAMES[:20])
    assert receiver.parse(sender.serialize(use)) == use


def test_a_list_that_is_not_known_tells_nothing() -> None:
    data = lists(NAMES[:3]).serialize({"w1": 4})
    assert lists(NAMES[:2]).parse(data) is None
    assert lists(NAMES[:2]).parse(b"") == {}


def test_lists_of_the_last_changes_are_still_understood() -> None:
    receiver = lists(NAMES[:3])
    data = lists(NAMES[:3]).serialize({"w1": 4})
    receiver.renew(dict.fromkeys(NAMES[:4], 100.0))
    assert receiver.parse(data) == {"w1": 4}


def test_of_many_workspaces_only_what_matters_is_told() -> None:
    sender = lists(NAMES)
    use = dict.fromkeys(NAMES, 1) | {"w7": 90}
    data = sender.serialize(use, 20)
    assert sender.parse(data) == {"w7": 90}
    assert sender.least_reported(data) == 0.2
    few = sender.serialize({"w1": 1}, 20)
    assert sender.parse(few) == {"w1": 1}
    assert sender.least_reported(few) == 0.0


def test_sums() -> None:
    assert summed({"a": 1}, {}, {"a": 2, "b": 3}) == {"a": 3, "b": 3}


def merger() -> UseMerger:
    made = UseMerger()
    made.planned = {"w": 100.0}
    return made


def test_sums_by_domain_region_and_all() -> None:
    m = merger()
    m.take_entry("e1", UseReport(10.0, {"w": 2}))
    m.take_domain("d2", UseReport(10.0, {"w": 3}, entries=4))
    m.take_region("r2", UseReport(10.0, {"w": 4}, entries=9))
    sums = m.sums({"w": 1}, 0, 10.1)
    assert (sums.domain, sums.region, sums.total) == ({"w": 3}, {"w": 6}, {"w": 10})
    assert sums.silent == (0, 0, 0)


def test_a_silent_entry_keeps_its_part_of_a_quota() -> None:
    """It may serve behind a cut: half by its use, half by the number of entries."""
    m = merger()
    m.take_entry("e1", UseReport(10.0, {"w": 10}))
    assert m.sums({"w": 15}, 0, 10.1).total == {"w": 25}
    later = m.sums({"w": 15}, 0, 13.0)
    assert later.total == {"w": 15 + 20}
    assert later.silent == (1, 1, 1)
    m.forget(10.0 + RESERVATION_S + 1)
    gone = m.sums({"w": 15}, 0, 10.0 + RESERVATION_S + 1)
    assert (gone.total, gone.silent) == ({"w": 15}, (0, 0, 0))


def test_the_use_of_a_former_life_counts_until_the_window_has_passed() -> None:
    m = merger()
    m.take_entry("e1", UseReport(10.0, {"w": 10}, incarnation=1))
    m.take_entry("e1", UseReport(11.0, {"w": 1}, incarnation=2))
    assert m.sums({}, 0, 11.0).total == {"w": 11}
    m.take_entry("e1", UseReport(16.0, {"w": 1}, incarnation=2))
    assert m.sums({}, 0, 16.0).total == {"w": 1}


def test_one_that_left_reserves_nothing() -> None:
    m = merger()
    m.take_entry("e1", UseReport(10.0, {"w": 10}, leaves=True))
    assert m.sums({}, 0, 12.0).total == {"w": 10}
    assert m.sums({}, 0, 16.0).total == {}


def test_all_parts_are_known_before_sums_are_trusted() -> None:
    m = merger()
    assert not m.knows({"d2"}, {"r2"}, 10.0)
    m.take_domain("d2", UseReport(10.0, {}))
    m.take_region("r2", UseReport(10.0, {}))
    assert m.knows({"d2"}, {"r2"}, 10.2)
    assert not m.knows({"d2"}, {"r2"}, 20.0)
    assert m.age_s(10.5) == 0.5


def test_what_an_aggregator_that_is_gone_had_merged_counts_until_it_has_left() -> None:
    """Both aggregators of a domain and others were killed: their sums are kept."""
    m = merger()
    m.take_domain("d2", UseReport(10.0, {"w": 40}))
    m.take_domain("d2", UseReport(10.2, {"w": 3}, merged_s=0.1))
    assert m.sums({}, 0, 10.3).total == {"w": 40}
    m.take_domain("d2", UseReport(11.5, {"w": 3}, merged_s=0.4))
    assert m.sums({}, 0, 11.6).total == {"w": 40}
    m.take_domain("d2", UseReport(14.9, {"w": 5}, merged_s=3.8))
    assert m.sums({}, 0, 14.9).total == {"w": 42}
    m.take_domain("d2", UseReport(15.2, {"w": 5}, merged_s=4.1))
    assert m.sums({}, 0, 15.3).total == {"w": 5}
