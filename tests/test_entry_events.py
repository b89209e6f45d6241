# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The log writer never blocks, and a rate limit applies to each kind of event."""

import json
import os

from leverdoor.entry.events import Events
from leverdoor.entry.log_writer import BURST_LINES, MAX_PENDING_BYTES, LineWriter


def test_unread_pipe_does_not_block_the_writer() -> None:
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    for _ in range(20_000):
        lines.write(b"x" * 99 + b"\n")
    assert lines.dropped > 0
    os.set_blocking(reader, False)
    read = bytearray()
    while True:
        try:
            read += os.read(reader, 1 << 16)
        except BlockingIOError:
            if not lines._pending:
                break
            lines.flush()
    assert set(bytes(read).split(b"\n")) == {b"x" * 99, b""}
    assert len(read) <= MAX_PENDING_BYTES + (1 << 16) + 100
    os.close(reader)
    os.close(writer)


def test_closed_reader_raises_no_error() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    lines = LineWriter(writer)
    for _ in range(10):
        lines.write(b"x\n")
    os.close(writer)


def test_rate_limit_per_kind_reports_suppressed_lines() -> None:
    reader, writer = os.pipe()
    events = Events(LineWriter(writer), "n1")
    for i in range(int(BURST_LINES) + 50):
        events.emit("one", number=i)
    events.emit("two")
    limiter = events._limiters["one"]
    assert limiter.left_out >= 40
    left_out_lines = limiter.left_out
    limiter.tokens = 1.0
    events.emit("one", number=-1)
    read = [json.loads(line) for line in os.read(reader, 1 << 16).splitlines()]
    assert read[-2]["event"] == "two"
    assert read[-1]["left_out"] == left_out_lines
    assert {line["entry"] for line in read} == {"n1"}
    os.close(reader)
    os.close(writer)
