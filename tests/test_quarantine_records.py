# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What is held back stands in the store, and what happens there holds at entries."""

import os
import time
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leverdoor.entry.events import Events
from leverdoor.entry.log_writer import LineWriter
from leverdoor.entry.quarantine_records import REMOVED_AFTER_S, QuarantineRecords
from leverdoor.errors import Code
from leverdoor.platform.wire_format import wire
from leverdoor.quarantine.crashes import LostRun
from leverdoor.quarantine.fingerprint import fingerprint_text
from leverdoor.quarantine.notices import serialize_notices
from leverdoor.quarantine.quarantine import (
    HOLD_S,
    JUDGE_AFTER_S,
    MOST_TRIES,
    TRY_AFTER_S,
    Hold,
    Quarantine,
)
from leverdoor.quarantine.records import (
    hold_of,
    parse_record,
    record_of,
    serialize_record,
)
from leverdoor.quarantine.refusal import held_refusal
from leverdoor.quarantine.verdict import ENOUGH
from leverdoor.storage.store import KeyValue, LeasingStore, Write

CAUSE = 0xCA05E
KEY = wire({}).held_key(fingerprint_text(CAUSE))
WALL_S = 1.7e9
HOUR_S = 3_600.0


class Entry:
    """One entry's quarantine with its records; the store is a plain dict."""

    def __init__(self, store: dict[str, KeyValue], now: float = 1000.0) -> None:
        self.now = now
        self.store = store
        self.quarantine = Quarantine()
        events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), "n1")
        unused: LeasingStore = None  # type: ignore[assignment]
        self.records = QuarantineRecords(
            self.quarantine, unused, wire({}), "n1", events, Random(1), lambda: True
        )

    def read(self) -> None:
        records = {k.rpartition("/")[2]: v for k, v in self.store.items()}
        self.records.take(records, self.now)

    def write(self, wall_s: float) -> list[Write]:
        """Write what is due, as the store does."""
        writes = self.records.due(self.now, wall_s)
        for w in writes:
            held = self.store.get(w.key)
            assert w.expect == (held.revision if held else 0)
            if w.value is None:
                del self.store[w.key]
            else:
                revision = held.revision + 1 if held else 1
                self.store[w.key] = KeyValue(w.key, w.value, revision)
        self.read()
        return writes

    def hold(self, beside: int = 0) -> None:
        """Let targets end under the cause, and judge."""
        for i in range(ENOUGH):
            self.now += 1.0
            for fingerprint in {CAUSE, beside or CAUSE}:
                run = LostRun(fingerprint, self.now - 0.1, self.now)
                self.quarantine.crashed(i, run, self.now)
        self.now += 1.1 * JUDGE_AFTER_S
        self.quarantine.judge(self.now)
        assert self.held()

    def held(self) -> bool:
        self.quarantine.judge(self.now)
        return self.quarantine.hold(CAUSE, self.now) is not None


@pytest.fixture(autouse=True)
def wall(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: WALL_S)


def test_a_record_is_written_once_and_tells_an_entry_that_starts() -> None:
    one = Entry({})
    one.hold()
    assert [w.key for w in one.write(WALL_S)] == [KEY]
    assert one.write(WALL_S) == []
    two = Entry(one.store)
    two.read()
    assert two.held()


def test_a_record_that_is_removed_releases_its_request() -> None:
    one = Entry({})
    one.hold()
    one.write(WALL_S)
    one.store.clear()
    one.read()
    assert not one.held()
    assert one.write(WALL_S) == []


def test_a_run_that_ends_well_removes_the_record() -> None:
    one = Entry({})
    one.hold()
    one.write(WALL_S)
    one.now += 1.0
    one.quarantine.answered(CAUSE, one.now)
    assert [w.value for w in one.write(WALL_S)] == [None]


def test_a_record_that_is_over_is_removed() -> None:
    one = Entry({})
    one.hold()
    one.write(WALL_S)
    one.now += HOLD_S + REMOVED_AFTER_S
    assert not one.held()
    assert one.write(WALL_S) == []
    one.now += 1.0
    assert [w.value for w in one.write(WALL_S)] == [None]


def test_a_clock_that_is_ahead_removes_no_record() -> None:
    """It would release the request at all entries."""
    one = Entry({})
    one.hold()
    one.write(WALL_S)
    ahead = Entry(one.store)
    ahead.read()
    assert ahead.write(WALL_S + HOUR_S) == []
    assert KEY in one.store


def test_what_is_held_back_once_more_gets_a_new_record() -> None:
    one = Entry({})
    one.hold()
    one.write(WALL_S)
    one.now += HOLD_S + 1.0
    assert not one.held()
    one.hold()
    assert [w.value is None for w in one.write(WALL_S + HOLD_S)] == [False]
    assert one.held()


def test_a_record_says_how_many_tries_are_left() -> None:
    """An entry that starts must not try it as if nobody had."""
    one = Entry({})
    one.hold(beside=CAUSE + 1)
    one.write(WALL_S)
    one.now += TRY_AFTER_S
    hold = one.quarantine.hold(CAUSE, one.now)
    assert hold is not None and hold.tries == MOST_TRIES
    assert one.quarantine.try_once_more(hold, one.now)
    one.write(WALL_S)
    assert parse_record(one.store[KEY].value).tries == MOST_TRIES - 1
    assert one.held()


def test_records_that_cannot_be_read_do_no_harm() -> None:
    bad = {"x/zz": KeyValue("x/zz", b"{}", 1), "x/12": KeyValue("x/12", b"[", 1)}
    one = Entry(bad)
    one.read()
    assert one.write(WALL_S) == []


def test_the_age_of_a_record_is_told_by_wall_clocks_within_bounds() -> None:
    hold = Hold(CAUSE, 990.0, 1000.0)
    record = record_of(hold, "n1", 1010.0, WALL_S)
    assert parse_record(serialize_record(record)) == record
    for wall_s, at in ((WALL_S, 1010.0), (WALL_S - HOUR_S, 1020.0)):
        found = hold_of(record, CAUSE, 1020.0, wall_s)
        assert found.at == pytest.approx(at, abs=0.01)
        assert found.at - found.first == pytest.approx(10.0, abs=0.01)
    assert hold_of(record, CAUSE, 5000.0, WALL_S + HOUR_S).until == 5000.0


def test_a_refusal_says_when_to_come_back() -> None:
    sure = held_refusal(Hold(CAUSE, 990.0, 1000.0), 1100.0)
    assert sure.code is Code.QUARANTINED
    assert sure.retry_after_ms == round((HOLD_S - 100.0) * 1000)
    unsure = held_refusal(Hold(CAUSE, 990.0, 1000.0, 1, 1005.0), 1002.0)
    assert unsure.retry_after_ms == 3_000
    assert held_refusal(
        Hold(CAUSE, 990.0, 1000.0, 1, 1005.0), 1004.9
    ).retry_after_ms == (1_000)


def take_and_tell(text: str, value: bytes) -> Entry:
    """Have an entry read a record that another program wrote, and tell the others."""
    one = Entry({})
    one.records.take({text: KeyValue(KEY, value, 1)}, one.now)
    one.records.due(one.now, WALL_S)
    one.quarantine.judge(one.now)
    serialize_notices(one.quarantine.notices(one.now))
    return one


GOOD = b'{"held_at_ms":1700000000000,"first_s":2.0,"entry":"n1","tries":1}'


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("f" * 20, GOOD),
        ("-1", GOOD),
        (fingerprint_text(CAUSE), GOOD.replace(b'"tries":1', b'"tries":-1')),
        (
            fingerprint_text(CAUSE),
            GOOD.replace(b'"tries":1', b'"tries":%d' % (1 << 40)),
        ),
        (fingerprint_text(CAUSE), GOOD.replace(b"2.0", b"1e308")),
        (fingerprint_text(CAUSE), GOOD.replace(b"1700000000000", b"9" * 400)),
    ],
)
def test_a_record_out_of_range_does_not_silence_an_entry(
    text: str, value: bytes
) -> None:
    """Found by reading: one such record would have ended the round of every entry.

    A record that is JSON of the right types was taken as it was; the next round could
    not pack its fingerprint, tries or span into a notice and raised, so that no entry
    sent heartbeats while the record stood.
    """
    take_and_tell(text, value)


@given(
    st.text(max_size=20) | st.integers(0, (1 << 72) - 1).map("{:x}".format),
    st.binary(max_size=40)
    | st.builds(
        '{{"held_at_ms":{},"first_s":{},"entry":"n1","tries":{}}}'.format,
        st.integers(),
        st.floats(allow_nan=False, allow_infinity=False),
        st.integers(),
    ).map(str.encode),
)
def test_any_record_is_read_or_left_out(text: str, value: bytes) -> None:
    take_and_tell(text, value)
