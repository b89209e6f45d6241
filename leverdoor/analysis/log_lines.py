# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Reads the structured logs of entries.

Owns no state; relies on lines of JSON with the fields `t`, `event` and `entry`.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from leverdoor.codec import decode_json

__all__ = ["BadLine", "Log", "LogLine", "parse_log"]


class LogLine(msgspec.Struct, frozen=True):
    """One event of a log."""

    at: float
    """Time of day in seconds."""
    entry: str
    event: str
    fields: dict[str, Any]
    number: int = 0
    """Place of its line among those read, from 1."""


class BadLine(msgspec.Struct, frozen=True):
    """A line that holds no event."""

    number: int
    """Place among the lines read, from 1."""
    why: str


class Log(msgspec.Struct, frozen=True):
    """The events of some logs, by time, and the lines that could not be read."""

    events: list[LogLine]
    bad: list[BadLine]


def parse_log(lines: Iterable[str]) -> Log:
    """Read events from log lines.

    Whatever stands before the JSON of a line is skipped, as a service manager may
    put a time and a name there; empty lines are passed over.
    """
    events = []
    bad = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        found = _parse_line(line, number)
        if isinstance(found, LogLine):
            events.append(found)
        else:
            bad.append(BadLine(number, found))
    return Log(sorted(events, key=lambda e: e.at), bad)


def _parse_line(line: str, number: int) -> "LogLine | str":
    """Return the event of a line, or why there is none."""
    start = line.find("{")
    if start < 0:
        return "no JSON object"
    try:
        fields = decode_json(line[start:], object)
    except msgspec.DecodeError as e:
        return f"not JSON: {e}"
    if not isinstance(fields, dict) or "event" not in fields:
        return "a JSON object without an event"
    try:
        at = float(fields.pop("t", 0.0))
    except (TypeError, ValueError, OverflowError):
        return "an event whose time is not a number"
    event = str(fields.pop("event"))
    return LogLine(at, str(fields.pop("entry", "")), event, fields, number)
