# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the numbered result codes and their errors."""

from pathlib import Path

import pytest

from leverdoor.errors import Code, LeverdoorError, Refusal, Run, code_info

ERRORS_PAGE = Path(__file__).parent.parent / "docs" / "ERRORS.md"


def test_documented_codes_match_the_code_table() -> None:
    lines = ERRORS_PAGE.read_text().splitlines()
    # The first cell of a row of the table is the number of a code.
    rows = [
        [c.strip() for c in line.strip("|").split("|")]
        for line in lines
        if line.startswith(("| 0 ", "| 1", "| 2", "| 3", "| 4"))
    ]
    documented = {int(r[0]): tuple(r[1:]) for r in rows}
    expected = {}
    for code in Code:
        info = code_info(code)
        expected[int(code)] = (
            code.name,
            str(info.status),
            info.run.value,
            str(info.exit_status),
            info.meaning,
        )
    assert documented == expected


def test_exit_statuses_are_unique() -> None:
    statuses = [code_info(c).exit_status for c in Code]
    assert len(set(statuses)) == len(statuses)


def test_a_problem_has_run_verdict_and_retry_delay() -> None:
    problem = LeverdoorError(Code.ANSWER_LOST, retry_after_ms=5).problem()
    assert (problem.run, problem.retry_after_ms) == (Run.MAYBE, 5)


@pytest.mark.parametrize("code", list(Code))
def test_only_a_retryable_refusal_has_a_default_retry_delay(code: Code) -> None:
    info = code_info(code)
    retryable = info.run is Run.NO and info.status in (408, 429, 503)
    assert (Refusal(code).retry_after_ms > 0) == retryable
    assert Refusal(code, retry_after_ms=7).retry_after_ms == 7
