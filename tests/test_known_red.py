# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the list of known faults: it excuses nothing but what it names."""

from pathlib import Path

import pytest

from known_red import MOST, parse_known_red, read_known_red

LINE = "tests/test_x.py::test_y | the cause | make test | 1 of 2 | 2"


def test_a_line_has_five_parts() -> None:
    found = parse_known_red(f"# a comment\n\n{LINE}\n")
    assert [one.test for one in found] == ["tests/test_x.py::test_y"]
    assert found[0].issue == "2"
    with pytest.raises(ValueError, match="expected 5 parts"):
        parse_known_red("tests/test_x.py::test_y")


def test_the_list_stays_short() -> None:
    with pytest.raises(ValueError, match="at most"):
        parse_known_red("\n".join([LINE] * (MOST + 1)))


def test_each_listed_test_exists() -> None:
    for one in read_known_red():
        path, _, name = one.test.partition("::")
        text = (Path(__file__).parent.parent / path).read_text()
        assert f"def {name}(" in text
        assert one.issue.isdigit()
