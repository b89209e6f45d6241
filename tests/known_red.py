# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The tests that KNOWN-RED.txt lists: faults that are known and not mended yet.

A line is `test | cause | command and seed | what was seen | issue`. The listed tests
run and are expected to fail; one that passes fails the run, so that its line goes with
the fault. Any other test fails as usual.
"""

from pathlib import Path

import msgspec

__all__ = ["MOST", "KnownRed", "parse_known_red", "read_known_red"]

PAGE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3
"""Lines that the list may have; more than that is no landing."""
FIELDS = 5
"""Parts of a line."""


class KnownRed(msgspec.Struct, frozen=True):
    """One line of the list."""

    test: str
    """Its id as pytest prints it, `tests/test_x.py::test_y`."""
    cause: str
    command: str
    seen: str
    issue: str


def parse_known_red(text: str) -> list[KnownRed]:
    """Parse the list; blank lines and those that begin with `#` are left out.

    Raises:
      ValueError: a line has other than five parts, or there are too many lines.
    """
    found = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != FIELDS:
            raise ValueError(f"expected {FIELDS} parts: {line!r}")
        found.append(KnownRed(*parts))
    if len(found) > MOST:
        raise ValueError(f"{len(found)} lines, {MOST} at most")
    return found


def read_known_red() -> list[KnownRed]:
    """Read the project's list, empty if there is none."""
    return parse_known_red(PAGE.read_text()) if PAGE.exists() else []
