# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The ends of targets and what ran there: what counts once, and against whom."""

from leverdoor.model.target_id import target_id
from leverdoor.quarantine.crashes import (
    MOST_RUNS,
    SAME_END_S,
    CrashBook,
    LostRun,
    separate,
)
from leverdoor.quarantine.verdict import ENOUGH, Verdict, judge_request

CAUSE = 0xCA05E
VICTIM = 0x71C


def test_one_end_that_is_reported_twice_counts_once() -> None:
    book = CrashBook()
    assert book.add(1, LostRun(CAUSE, 0.0, 0.1))
    assert not book.add(1, LostRun(CAUSE, 0.0, 0.1 + SAME_END_S))
    assert book.add(1, LostRun(CAUSE, 2.0, 2.1))
    for i in range(2 * MOST_RUNS):
        book.add(2, LostRun(i, 0.0, 0.1))
    assert len(book._crashes[-1].runs) == MOST_RUNS


def test_runs_that_overlap_count_once() -> None:
    one = LostRun(1, 0.0, 1.0)
    assert separate([one, LostRun(1, 0.1, 1.0), LostRun(1, 0.9, 1.0)]) == 1
    assert separate([one, LostRun(1, 0.99, 1.1)]) == 2
    assert separate([LostRun(1, i, i + 1.0) for i in range(4)]) == 4


def test_an_end_speaks_against_the_request_that_was_there_at_the_most() -> None:
    book = CrashBook()
    for i in range(ENOUGH):
        book.add(i, LostRun(CAUSE, i, i + 0.1))
        book.add(i, LostRun(VICTIM, i, i + 0.1))
    assert judge_request(book, CAUSE) is Verdict.UNSURE
    assert judge_request(book, VICTIM) is Verdict.UNSURE
    book.add(ENOUGH, LostRun(CAUSE, ENOUGH, ENOUGH + 0.1))
    assert judge_request(book, CAUSE) is Verdict.CAUSE
    assert judge_request(book, VICTIM) is Verdict.HARMLESS
    assert book.attributed(VICTIM) == []


def test_targets_have_ids_of_32_bits() -> None:
    assert 0 < target_id("i-1") < 1 << 32
