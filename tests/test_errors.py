# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the numbered codes."""

from pathlib import Path

import pytest

from leverdoor.errors import Code, LeverdoorError, Refusal, Run, code_info

TABLE = Path(__file__).parent.parent / "docs" / "ERRORS.md"


def test_the_documented_table_is_the_code() -> None:
    lines = TABLE.read_text().splitlines()
    rows = [
        [c.strip() for c in line.strip("|").split("|")]
        for line in lines
        if line.startswith(("| 0 ", "| 1", "| 2", "| 3", "| 4"))
    ]
    found = {int(r[0]): tuple(r[1:]) for r in rows}
    expected = {}
    for code in Code:
        i = code_info(code)
        expected[int(code)] = (
            code.name,
            str(i.status),
            i.run.value,
            str(i.exit_status),
            i.meaning,
        )
    assert found == expected


def test_exit_statuses_tell_codes_apart() -> None:
    statuses = [code_info(c).exit_status for c in Code]
    assert len(set(statuses)) == len(statuses)


def test_a_problem_says_whether_it_ran() -> None:
    problem = LeverdoorError(Code.ANSWER_LOST, retry_after_ms=5).problem()
    assert (problem.run, problem.retry_after_ms) == (Run.MAYBE, 5)


@pytest.mark.parametrize("code", list(Code))
def test_a_refusal_that_may_be_sent_again_says_when(code: Code) -> None:
    info = code_info(code)
    again = info.run is Run.NO and info.status in (408, 429, 503)
    assert (Refusal(code).retry_after_ms > 0) == again
    assert Refusal(code, retry_after_ms=7).retry_after_ms == 7
