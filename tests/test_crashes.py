# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Crashes of targets: which reports count once, and the attribution to requests."""

from leverdoor.model.target_id import target_id
from leverdoor.quarantine.crashes import (
    MAX_RUNS,
    SAME_CRASH_S,
    CrashTable,
    LostRun,
    count_sequential,
)
from leverdoor.quarantine.verdict import MIN_CRASHES, Verdict, judge_request

FATAL_REQUEST = 0xCA05E
HARMLESS_REQUEST = 0x71C


def test_a_crash_that_is_reported_twice_counts_once() -> None:
    table = CrashTable()
    assert table.add_run(1, LostRun(FATAL_REQUEST, 0.0, 0.1))
    assert not table.add_run(1, LostRun(FATAL_REQUEST, 0.0, 0.1 + SAME_CRASH_S))
    assert table.add_run(1, LostRun(FATAL_REQUEST, 2.0, 2.1))
    for i in range(2 * MAX_RUNS):
        table.add_run(2, LostRun(i, 0.0, 0.1))
    assert len(table._crashes[-1].runs) == MAX_RUNS


def test_overlapping_runs_count_once() -> None:
    one = LostRun(1, 0.0, 1.0)
    assert count_sequential([one, LostRun(1, 0.1, 1.0), LostRun(1, 0.9, 1.0)]) == 1
    assert count_sequential([one, LostRun(1, 0.99, 1.1)]) == 2
    assert count_sequential([LostRun(1, i, i + 1.0) for i in range(4)]) == 4


def test_crashes_are_attributed_to_the_request_with_the_most_crashes() -> None:
    table = CrashTable()
    for i in range(MIN_CRASHES):
        table.add_run(i, LostRun(FATAL_REQUEST, i, i + 0.1))
        table.add_run(i, LostRun(HARMLESS_REQUEST, i, i + 0.1))
    assert judge_request(table, FATAL_REQUEST) is Verdict.UNSURE
    assert judge_request(table, HARMLESS_REQUEST) is Verdict.UNSURE
    table.add_run(MIN_CRASHES, LostRun(FATAL_REQUEST, MIN_CRASHES, MIN_CRASHES + 0.1))
    assert judge_request(table, FATAL_REQUEST) is Verdict.CAUSE
    assert judge_request(table, HARMLESS_REQUEST) is Verdict.HARMLESS
    assert table.attributed_crashes(HARMLESS_REQUEST) == []


def test_target_ids_have_32_bits() -> None:
    assert 0 < target_id("i-1") < 1 << 32
